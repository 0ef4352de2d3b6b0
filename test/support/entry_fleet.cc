#include "entry_fleet.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

namespace bw::test {
namespace {

/// Ports of one instance: front, ready, mesh, metrics.
constexpr int kPortsPerEntry = 4;
constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kCallTimeout{4000};
/// Instances may be stopped.
constexpr milliseconds kProbeTimeout{500};

/// Links of one instance: from callers, from other instances, to the store.
constexpr int kLinksPerEntry = 3;
/// Between the parts of a settings file that is written in two parts.
constexpr milliseconds kPauseInWrite{3};

/// First port of an instance with an address of its own.
constexpr int kDeployedPort = 7420;

std::string Local(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// @return "127.X.Y.", where X and Y differ between the processes that run at a
/// time.
std::string OwnNetwork() {
  constexpr int kBits = 8;
  constexpr int kMask = (1 << kBits) - 1;
  const int pid = getpid();
  return "127." + std::to_string(1 + ((pid >> kBits) & kMask) % kMask) + "." +
         std::to_string(pid & kMask) + ".";
}

std::string ZoneOf(int n, int zones) {
  return std::string(1, static_cast<char>('a' + n % zones));
}

/// Replaces the lines of `settings` that set the same keys as those of `text`.
/// @pre Keys differ between sections.
std::string ReplaceSettings(const std::string& settings,
                            const std::string& text) {
  const auto key_of = [](const std::string& line) {
    return line.substr(0, line.find(" = "));
  };
  std::map<std::string, std::string> changed;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.find(" = ") != std::string::npos) {
      changed[key_of(line)] = line;
    }
  }
  std::string out;
  std::istringstream all(settings);
  for (std::string line; std::getline(all, line);) {
    const auto it = changed.find(key_of(line));
    out += (it == changed.end() ? line : it->second) + "\n";
  }
  return out;
}

}  // namespace

std::string EntryJob(int count, int ms) {
  return R"({"spec":"ms=)" + std::to_string(ms) + R"(","steps":[{"count":)" +
         std::to_string(count) + R"(,"cpu":1000,"memMb":100,"estimateMs":)" +
         std::to_string(ms == 0 ? 1000 : ms) + "}]}";
}

EntryFleet::EntryFleet(EntryFleetOptions options)
    : options_(options),
      ports_(FreePorts(1 + options.backends +
                       options.instances * kPortsPerEntry + 1 +
                       options.instances * kLinksPerEntry + options.backends)),
      entries_(static_cast<size_t>(options.instances + options.spare)) {
  std::string path = "/tmp/bw_entry_XXXXXX";
  directory_ = mkdtemp(path.data());
}

EntryFleet::~EntryFleet() {
  for (const int it : stalled_logs_) {
    close(it);
  }
}

std::string EntryFleet::LogOf(int n) const {
  return directory_ + "/e" + std::to_string(n) + ".log";
}

void EntryFleet::StallLog(int n) {
  unlink(LogOf(n).c_str());
  mkfifo(LogOf(n).c_str(), 0600);
  stalled_logs_.push_back(
      open(LogOf(n).c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
}

std::string EntryFleet::HostOf(int n) const {
  return options_.as_deployed ? OwnNetwork() + std::to_string(n + 1)
                              : "127.0.0.1";
}

int EntryFleet::PortOf(int n) const {
  return options_.as_deployed
             ? kDeployedPort
             : ports_ + 1 + options_.backends + n * kPortsPerEntry;
}

std::string EntryFleet::AddressOf(int n, int offset) const {
  return HostOf(n) + ":" + std::to_string(PortOf(n) + offset);
}

std::string EntryFleet::FrontOf(int n) const {
  return options_.proxied ? ProxyAddress(n, 0) : AddressOf(n, 0);
}

int EntryFleet::ProxyPort() const {
  return ports_ + 1 + options_.backends + options_.instances * kPortsPerEntry;
}

std::string EntryFleet::ProxyAddress(int instance, int link) const {
  return Local(ProxyPort() + 1 + instance * kLinksPerEntry + link);
}

std::string EntryFleet::StoreOf(int n) const {
  return options_.proxied ? ProxyAddress(n, 2) : Local(ports_);
}

bool EntryFleet::StartProxy() {
  proxy_ = ChildProcess("bwfakeproxy",
                        {"--set", "fake.listen=" + Local(ProxyPort())},
                        directory_ + "/proxy.log");
  Json links = Json::array();
  for (int n = 0; n < options_.instances; ++n) {
    const std::string name = "e" + std::to_string(n);
    links.push_back({{"name", "c>" + name},
                     {"listen", ProxyAddress(n, 0)},
                     {"target", AddressOf(n, 0)}});
    links.push_back({{"name", "m>" + name},
                     {"listen", ProxyAddress(n, 1)},
                     {"target", AddressOf(n, 2)}});
    links.push_back({{"name", name + ">store"},
                     {"listen", ProxyAddress(n, 2)},
                     {"target", Local(ports_)}});
  }
  for (int n = 0; n < options_.backends; ++n) {
    links.push_back({{"name", "e>b" + std::to_string(n)},
                     {"listen", ProxyAddress(options_.instances, n)},
                     {"target", Local(ports_ + 1 + n)}});
  }
  return Eventually([&] {
    net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + Local(ProxyPort()) + "/links";
    call.body = links.dump();
    return net::CallAndWait(call).Ok();
  });
}

bool EntryFleet::Start() {
  platform_ = ChildProcess(
      "bwfakeplatform",
      {"--set", "fake.listen=" + Local(ports_), "--set",
       "fake.count=" + std::to_string(options_.backends), "--set",
       "fake.zones=" + std::to_string(options_.zones), "--set",
       "fake.announced_port=" +
           std::to_string(options_.proxied
                              ? ProxyPort() + 1 +
                                    options_.instances * kLinksPerEntry
                              : 0)},
      directory_ + "/platform.log");
  if (!Eventually([&] {
        net::HttpCall call;
        call.url = "http://" + Local(ports_) + "/truth";
        return net::CallAndWait(call).Ok();
      })) {
    return false;
  }
  if (options_.proxied && !StartProxy()) {
    return false;
  }
  Configure(1, {"k0", "k1"});
  for (int n = 0; n < options_.instances; ++n) {
    ChangeSettings(n, "");
    StartEntry(n);
  }
  return Eventually(
      [&] {
        for (int n = 0; n < options_.instances; ++n) {
          if (!IsReady(n) || Call(n, "GET", "").status != 200) {
            return false;
          }
        }
        return true;
      },
      kStartTimeout);
}

std::vector<std::string> EntryFleet::ArgumentsOf(int n) const {
  std::vector<std::string> out;
  for (const std::string& it :
       {"instance.name=e" + std::to_string(n), std::string("instance.zone=a"),
        "listen.front=" + AddressOf(n, 0), "listen.ready=" + AddressOf(n, 1),
        "mesh.host=" + HostOf(n),
        "mesh.first_port=" + std::to_string(PortOf(n) + 2),
        "platform.store=" + StoreOf(n), "platform.advice=" + StoreOf(n),
        "mesh.advertise=" + (options_.proxied ? ProxyAddress(n, 1) : ""),
        "bounds.grace_s=" + std::to_string(options_.grace_s)}) {
    out.emplace_back("--set");
    out.push_back(it);
  }
  for (const std::string& it : options_.overrides) {
    out.emplace_back("--set");
    out.push_back(it);
  }
  out.push_back("--settings=" + SettingsOf(n));
  return out;
}

std::string EntryFleet::RenderTemplate(int n) const {
  const std::map<std::string, std::string> values = {
      {"nodeName", "e" + std::to_string(n)},
      {"zone", ZoneOf(n, options_.zones)},
      {"ip", HostOf(n)},
      {"limits.cpuShare", "0.25"},
      {"limits.cores", "1"},
      {"limits.maxFds", "4100"},
      {"limits.memoryMb", "260"},
      {"listen.front", AddressOf(n, 0)},
      {"listen.ready", AddressOf(n, 1)},
      {"portRange.0", std::to_string(PortOf(n) + 2)},
      {"platform.address", Local(ports_)},
      {"advice", Local(ports_)},
      {"platform.ttlMinMs", "1000"},
      {"platform.callBytes", "2097152"},
      {"platform.recordBytes", "262144"},
      {"timingBounds.holdMaxMs", "10000"},
      {"timingBounds.revokeMs", "5000"},
      {"timingBounds.graceS", std::to_string(options_.grace_s)},
      {"timingBounds.status_s", "120"},
      {"timingBounds.farX", "3"},
      {"timingBounds.evacuateMs", "3000"}};
  std::ifstream file(BW_SETTINGS_TEMPLATE);
  std::ostringstream read;
  read << file.rdbuf();
  std::string out = read.str();
  for (size_t at = 0; (at = out.find("{{", at)) != std::string::npos;) {
    const size_t end = out.find("}}", at);
    const auto it = values.find(out.substr(at + 2, end - at - 2));
    out.replace(at, end + 2 - at, it == values.end() ? "" : it->second);
  }
  return out;
}

void EntryFleet::StartEntry(int n) {
  std::vector<std::string> arguments;
  std::vector<std::string> environment;
  if (options_.as_deployed) {
    ChangeSettings(n, "");
    environment.push_back("BILBERRYWING_BOOT=" + SettingsOf(n));
  } else {
    arguments = ArgumentsOf(n);
  }
  entries_[static_cast<size_t>(n)] =
      ChildProcess("bwentry", arguments, LogOf(n), environment);
}

void EntryFleet::RemoveSettings(int n) const {
  unlink(SettingsOf(n).c_str());
}

std::string EntryFleet::SettingsOf(int n) const {
  return directory_ + "/e" + std::to_string(n) + ".ini";
}

void EntryFleet::ChangeSettings(int n,
                                const std::string& text,
                                WriteMode mode) const {
  const std::string out =
      options_.as_deployed ? ReplaceSettings(RenderTemplate(n), text) : text;
  const std::string file = SettingsOf(n);
  switch (mode) {
    case WriteMode::kInPlace:
      std::ofstream(file, std::ios::trunc) << out;
      return;
    case WriteMode::kInTwoParts: {
      std::ofstream stream(file, std::ios::trunc);
      stream << out.substr(0, out.size() / 2) << std::flush;
      std::this_thread::sleep_for(kPauseInWrite);
      stream << out.substr(out.size() / 2);
      return;
    }
    case WriteMode::kRename:
      std::ofstream(file + ".new", std::ios::trunc) << out;
      std::filesystem::rename(file + ".new", file);
  }
}

net::HttpResult EntryFleet::Call(int n,
                                 const std::string& method,
                                 const std::string& job,
                                 const std::string& body,
                                 const std::string& key) const {
  net::HttpCall call;
  call.method = method;
  call.url = "http://" + FrontOf(n) + "/p/" + job;
  call.body = body;
  call.headers = {{"Host", "h"}, {"Bilberrywing-Credential", key}};
  call.timeout = kCallTimeout;
  return net::CallAndWait(call);
}

std::string EntryFleet::State(int n, const std::string& job) const {
  const auto result = Call(n, "GET", job);
  const Json body = Json::parse(result.body, nullptr, false);
  return result.status == 200 && body.is_object() ? body.value("state", "")
                                                  : "";
}

bool EntryFleet::IsReady(int n) const {
  net::HttpCall call;
  call.url = "http://" + AddressOf(n, 1) + "/v1/ready";
  return net::CallAndWait(call).status == 200;
}

int EntryFleet::WaitForOwner() const {
  int out = -1;
  Eventually([&] {
    out = FindOwner();
    return out >= 0;
  });
  return out;
}

int EntryFleet::FindOwner() const {
  for (size_t n = 0; n < entries_.size(); ++n) {
    net::HttpCall call;
    call.url = "http://" + AddressOf(static_cast<int>(n), 3) + "/metrics";
    call.timeout = kProbeTimeout;
    const auto result = net::CallAndWait(call);
    if (result.body.find("bw_owner 1") != std::string::npos) {
      return static_cast<int>(n);
    }
  }
  return -1;
}

void EntryFleet::Control(const Json& body) const {
  net::HttpCall call;
  call.method = "POST";
  call.url = "http://" + Local(ports_) + "/control";
  call.body = body.dump();
  net::CallAndWait(call);
}

void EntryFleet::ControlLinks(const Json& body) const {
  net::HttpCall call;
  call.method = "POST";
  call.url = "http://" + Local(ProxyPort()) + "/control";
  call.body = body.dump();
  net::CallAndWait(call);
}

void EntryFleet::Configure(int version,
                           const std::vector<std::string>& keys,
                           int extra_queues) const {
  Json tenants = Json::array();
  for (size_t n = 0; n < 2; ++n) {
    Json row = {{"name", "t" + std::to_string(n)},
                {"weight", 1000},
                {"apiKeys", Json::array()}};
    if (n < keys.size() && !keys[n].empty()) {
      row["apiKeys"].push_back(keys[n]);
    }
    tenants.push_back(row);
  }
  Json routes = Json::array();
  for (int n = 0; n <= extra_queues; ++n) {
    const std::string suffix = n == 0 ? "" : std::to_string(n);
    routes.push_back(
        {{"name", "q" + suffix},
         {"host", "h"},
         {"pathPrefix", "/p" + suffix + "/"},
         {"service", "s"},
         {"maxAttempts", 3},
         {"stretch", 2.0},
         {"targetLatencyMs", 1000},
         {"advice", {{"decideMs", 1.0}, {"eachMs", 0.1}, {"validMs", 2000}}}});
  }
  Control({{"config",
            {{"version", version}, {"routes", routes}, {"tenants", tenants}}}});
}

Json EntryFleet::AllRuns() const {
  net::HttpCall call;
  call.url = "http://" + Local(ports_) + "/truth";
  return Json::parse(net::CallAndWait(call).body, nullptr, false);
}

std::string EntryFleet::Audit() const {
  std::map<std::string, std::vector<Json>> by_task;
  for (const auto& it : AllRuns()) {
    by_task[it["task"]].push_back(it);
  }
  for (const auto& task : by_task) {
    for (const auto& a : task.second) {
      for (const auto& b : task.second) {
        const uint64_t a_end = a["ended_ms"];
        const bool later = b["run"] > a["run"];
        if (later && (a_end == 0 || b["began_ms"] < a_end)) {
          return "two runs at once: " + a.dump() + b.dump();
        }
        if (later && a["how"] == "done" && !a["forgotten"] &&
            !a["lapsed_unread"]) {
          return "a run after the task was done: " + a.dump() + b.dump();
        }
      }
    }
  }
  return {};
}

std::string EntryFleet::Log(int n) const {
  std::ifstream file(LogOf(n));
  std::ostringstream out;
  out << file.rdbuf();
  return out.str();
}

}  // namespace bw::test
