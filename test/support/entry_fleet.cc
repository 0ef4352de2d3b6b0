#include "entry_fleet.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace bw::test {
namespace {

/// Ports of one instance: front, ready, mesh, metrics.
constexpr int kPortsPerEntry = 4;
constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kCallTimeout{4000};

std::string Local(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

std::string EntryJob(int count, int ms) {
  return R"({"spec":"ms=)" + std::to_string(ms) + R"(","steps":[{"count":)" +
         std::to_string(count) + R"(,"cpu":1000,"memMb":100,"estimateMs":)" +
         std::to_string(ms == 0 ? 1000 : ms) + "}]}";
}

EntryFleet::EntryFleet(int instances, int backends, int grace_s)
    : ports_(FreePorts(1 + backends + instances * kPortsPerEntry)),
      first_entry_port_(ports_ + 1 + backends),
      backends_(backends),
      grace_s_(grace_s),
      entries_(static_cast<size_t>(instances)) {
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

std::string EntryFleet::FrontOf(int n) const {
  return Local(first_entry_port_ + n * kPortsPerEntry);
}

bool EntryFleet::Start() {
  platform_ = ChildProcess("bwfakeplatform",
                           {"--set", "fake.listen=" + Local(ports_), "--set",
                            "fake.count=" + std::to_string(backends_)},
                           directory_ + "/platform.log");
  if (!Eventually([&] {
        net::HttpCall call;
        call.url = "http://" + Local(ports_) + "/truth";
        return net::CallAndWait(call).Ok();
      })) {
    return false;
  }
  Configure(1, {"k0", "k1"});
  for (size_t n = 0; n < entries_.size(); ++n) {
    StartEntry(static_cast<int>(n));
  }
  return Eventually(
      [&] {
        for (size_t n = 0; n < entries_.size(); ++n) {
          if (!IsReady(static_cast<int>(n)) ||
              Call(static_cast<int>(n), "GET", "").status != 200) {
            return false;
          }
        }
        return true;
      },
      kStartTimeout);
}

void EntryFleet::StartEntry(int n) {
  const int port = first_entry_port_ + n * kPortsPerEntry;
  std::vector<std::string> arguments;
  for (const std::string& it :
       {"instance.name=e" + std::to_string(n), std::string("instance.zone=a"),
        "listen.front=" + Local(port), "listen.ready=" + Local(port + 1),
        std::string("mesh.host=127.0.0.1"),
        "mesh.first_port=" + std::to_string(port + 2),
        "platform.store=" + Local(ports_), "platform.advice=" + Local(ports_),
        "bounds.grace_s=" + std::to_string(grace_s_)}) {
    arguments.emplace_back("--set");
    arguments.push_back(it);
  }
  arguments.push_back("--settings=" + SettingsOf(n));
  std::ofstream(SettingsOf(n), std::ios::app).flush();
  entries_[static_cast<size_t>(n)] =
      ChildProcess("bwentry", arguments, LogOf(n));
}

std::string EntryFleet::SettingsOf(int n) const {
  return directory_ + "/e" + std::to_string(n) + ".ini";
}

void EntryFleet::ChangeSettings(int n, const std::string& text) const {
  std::ofstream(SettingsOf(n), std::ios::trunc) << text;
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
  call.url = "http://" + Local(first_entry_port_ + n * kPortsPerEntry + 1) +
             "/v1/ready";
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
    call.url =
        "http://" +
        Local(first_entry_port_ + static_cast<int>(n) * kPortsPerEntry + 3) +
        "/metrics";
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

void EntryFleet::Configure(int version,
                           const std::vector<std::string>& keys) const {
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
  Control({{"config",
            {{"version", version},
             {"routes",
              {{{"name", "q"},
                {"host", "h"},
                {"pathPrefix", "/p/"},
                {"service", "s"},
                {"maxAttempts", 3},
                {"stretch", 2.0},
                {"targetLatencyMs", 1000},
                {"advice",
                 {{"decideMs", 1.0}, {"eachMs", 0.1}, {"validMs", 2000}}}}}},
             {"tenants", tenants}}}});
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
        if (later && a["how"] == "done" && !a["forgotten"]) {
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
