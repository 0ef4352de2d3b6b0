#include "fleet.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "../../src/text_func.h"

namespace bw::test {
namespace {

constexpr int kWorkersPerRack = 6;
constexpr int kRunnerSlots = 8;
constexpr int kRunnerConnections = 64;
constexpr int kWorkerCores = 8;
constexpr int kWorkerMemoryMb = 16'000;
constexpr milliseconds kStartTimeout{30'000};

std::string LoopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// Appends "--set SETTING" to a command line.
void AddSetting(std::vector<std::string>* out, const std::string& setting) {
  out->push_back("--set");
  out->push_back(setting);
}

}  // namespace

std::string KeyOf(const std::string& team) {
  return "key-of-" + team;
}

std::string DefaultTemplates(const std::vector<std::string>& zones, int limit) {
  std::string names;
  for (const auto& it : zones) {
    names += (names.empty() ? "" : ",") + it;
  }
  std::string out = "[fleet]\nzones = " + names +
                    "\nshards_per_zone = 1\n"
                    "[template.standard]\nkeys = $keys\nshare = $share\n"
                    "upper_limit = $limit\n"
                    "queue.now.priority = 9\nqueue.now.max_wait_ms = 10000\n"
                    "queue.now.max_waiting = 1000\n"
                    "queue.batch.strategy = best_fit\n"
                    "queue.batch.max_waiting = 1000\n"
                    "queue.open.open = yes\n"
                    "queue.open.max_wait_ms = 10000\n";
  for (const char* team : {"perchas", "tayside"}) {
    out += "[account." + std::string(team) +
           "]\ntemplate = standard\nkeys = " + HashApiKey(KeyOf(team)) +
           "\nshare = 10\nlimit = " + std::to_string(limit) + "\n";
  }
  return out;
}

Fleet::Fleet(FleetOptions options) : options_(std::move(options)) {
  for (size_t n = 0; n < options_.instances.size(); ++n) {
    zones_.emplace_back(1, static_cast<char>('a' + n));
    zone_of_.insert(zone_of_.end(), options_.instances[n], zones_.back());
  }
  std::string name =
      (std::filesystem::temp_directory_path() / "bwtest-XXXXXX").string();
  directory_ = mkdtemp(name.data());
}

Fleet::~Fleet() {
  gates_.clear();
  placers_.clear();
  platform_.clear();
  if (std::getenv("BW_KEEP") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(directory_, ec);
  }
}

std::string Fleet::Name(int instance) {
  return "e" + std::to_string(instance);
}

Json Fleet::Call(const std::string& method,
                 const std::string& url,
                 const std::string& body) {
  net::HttpCall call;
  call.method = method;
  call.url = url;
  call.body = body;
  const auto result = net::CallAndWait(call);
  return Json::parse(result.body, nullptr, false);
}

void Fleet::StartPlatform() {
  const int port = FreePorts(3);
  log_url_ = "http://" + LoopbackAddress(port);
  list_url_ = "http://" + LoopbackAddress(port + 1);
  platform_.emplace_back(
      "bwfakelog",
      std::vector<std::string>{"--set", "fake.listen=" + LoopbackAddress(port)},
      directory_ + "/log.out");
  platform_.emplace_back(
      "bwfakelist",
      std::vector<std::string>{"--set",
                               "fake.listen=" + LoopbackAddress(port + 1)},
      directory_ + "/list.out");
  if (options_.proxied) {
    proxy_url_ = "http://" + LoopbackAddress(port + 2);
    platform_.emplace_back(
        "bwfakeproxy",
        std::vector<std::string>{"--set",
                                 "fake.listen=" + LoopbackAddress(port + 2)},
        directory_ + "/proxy.out");
  }
}

void Fleet::StartBackends() {
  const int zones = static_cast<int>(zones_.size());
  const int runner_port = FreePorts(zones * options_.runners + 1);
  const int worker_port = FreePorts(zones * options_.workers + 1);
  for (int n = 0; n < zones * options_.runners; ++n) {
    runners_.push_back(LoopbackAddress(runner_port + n));
    instances_.push_back({{"name", "r" + std::to_string(n)},
                          {"kind", "runner"},
                          {"zone", zones_[n % zones]},
                          {"address", runners_.back()},
                          {"slots", kRunnerSlots},
                          {"connections", kRunnerConnections}});
  }
  for (int n = 0; n < zones * options_.workers; ++n) {
    workers_.push_back(LoopbackAddress(worker_port + n));
    instances_.push_back({{"name", "w" + std::to_string(n)},
                          {"kind", "worker"},
                          {"zone", zones_[n % zones]},
                          {"address", workers_.back()},
                          {"cores", kWorkerCores},
                          {"memory_mb", kWorkerMemoryMb},
                          {"accelerators", 0},
                          {"rack", n / kWorkersPerRack}});
  }
  const auto start = [&](const char* binary, int port, size_t count) {
    if (count > 0) {
      platform_.emplace_back(
          binary,
          std::vector<std::string>{
              "--set", "fake.listen=" + LoopbackAddress(port), "--set",
              "fake.count=" + std::to_string(count)},
          directory_ + "/" + binary + ".out");
    }
  };
  start("bwfakerunner", runner_port, runners_.size());
  start("bwfakeworker", worker_port, workers_.size());
  if (!workers_.empty()) {
    platform_.pop_back();
    platform_.emplace_back(
        "bwfakeworker",
        std::vector<std::string>{
            "--set", "fake.listen=" + LoopbackAddress(worker_port), "--set",
            "fake.count=" + std::to_string(workers_.size()), "--set",
            "fake.cores=" + std::to_string(kWorkerCores), "--set",
            "fake.memory_mb=" + std::to_string(kWorkerMemoryMb)},
        directory_ + "/bwfakeworker.out");
  }
}

void Fleet::MakeLinks() {
  if (!options_.proxied) {
    return;
  }
  std::vector<std::pair<std::string, std::string>> links;  // Name, target.
  const std::string log = log_url_.substr(7);
  const std::string list = list_url_.substr(7);
  for (int n = 0; n < InstanceCount(); ++n) {
    for (const char* kind : {"e", "g"}) {
      const std::string from = kind + std::to_string(n);
      links.emplace_back(from + ">log", log);
      links.emplace_back(from + ">list", list);
      for (int m = 0; m < InstanceCount(); ++m) {
        links.emplace_back(from + ">" + Name(m),
                           LoopbackAddress(mesh_port_ + m));
      }
    }
  }
  const int port = FreePorts(static_cast<int>(links.size()));
  Json rules = Json::array();
  for (size_t n = 0; n < links.size(); ++n) {
    links_[links[n].first] = LoopbackAddress(port + static_cast<int>(n));
    rules.push_back({{"name", links[n].first},
                     {"listen", links_[links[n].first]},
                     {"target", links[n].second}});
  }
  Eventually([&] {
    return Call("POST", proxy_url_ + "/links", rules.dump()).is_object();
  });
}

std::string Fleet::LinkAddress(const std::string& from,
                               const std::string& to) const {
  auto it = links_.find(from + ">" + to);
  return it == links_.end() ? std::string() : it->second;
}

std::vector<std::string> Fleet::CommonSettings(int instance, bool gate) const {
  const std::string from = (gate ? "g" : "e") + std::to_string(instance);
  std::vector<std::string> out;
  AddSetting(&out, "instance.name=" + Name(instance));
  AddSetting(&out, "instance.zone=" + zone_of_[instance]);
  std::string log = log_url_;
  std::string links;
  std::string seeds;
  for (int n = 0; n < InstanceCount(); ++n) {
    std::string address = LoopbackAddress(mesh_port_ + n);
    if (options_.proxied) {
      address = LinkAddress(from, Name(n));
      links += (links.empty() ? "" : ",") + Name(n) + "=" + address;
    }
    if (n != instance || gate) {
      seeds += (seeds.empty() ? "" : ",") + address;
    }
  }
  if (options_.proxied) {
    log = "http://" + LinkAddress(from, "log");
    AddSetting(&out, "mesh.links=" + links);
  }
  AddSetting(&out, "mesh.seeds=" + seeds);
  AddSetting(&out, "platform.log=" + log);
  AddSetting(&out, "timeline.file=" + directory_ + "/events-" + from);
  return out;
}

void Fleet::StartPlacer(int instance) {
  auto arguments = CommonSettings(instance, false);
  const std::string from = Name(instance);
  AddSetting(&arguments,
             "platform.list=" + (options_.proxied
                                     ? "http://" + LinkAddress(from, "list")
                                     : list_url_));
  AddSetting(&arguments,
             "mesh.listen=" + LoopbackAddress(mesh_port_ + instance));
  AddSetting(&arguments,
             "status.listen=" + LoopbackAddress(status_port_ + instance));
  for (const auto& it : options_.placer_settings) {
    AddSetting(&arguments, it);
  }
  placers_[instance] = ChildProcess("bwplacer", arguments,
                                    directory_ + "/placer-" + from + ".out");
}

void Fleet::StartGate(int instance) {
  auto arguments = CommonSettings(instance, true);
  AddSetting(&arguments,
             "gate.listen=" + LoopbackAddress(gate_port_ + instance));
  AddSetting(&arguments,
             "status.listen=" + LoopbackAddress(gate_status_port_ + instance));
  for (const auto& it : options_.gate_settings) {
    AddSetting(&arguments, it);
  }
  gates_[instance] =
      ChildProcess("bwgate", arguments,
                   directory_ + "/gate-" + std::to_string(instance) + ".out");
}

bool Fleet::Start() {
  const int count = InstanceCount();
  gate_port_ = FreePorts(count);
  gate_status_port_ = FreePorts(count);
  mesh_port_ = FreePorts(count);
  status_port_ = FreePorts(count);
  StartPlatform();
  StartBackends();
  MakeLinks();
  const bool published = Eventually([&] {
    const Json listed = Call("POST", list_url_ + "/control",
                             Json{{"instances", instances_}}.dump());
    return listed.is_object() &&
           PublishText(options_.templates.empty() ? DefaultTemplates(zones_)
                                                  : options_.templates) == 0;
  });
  for (int n = 0; n < count; ++n) {
    if (n != options_.late_placer) {
      StartPlacer(n);
    }
    StartGate(n);
  }
  if (options_.late_placer >= 0) {
    std::this_thread::sleep_for(options_.late_by);
    StartPlacer(options_.late_placer);
  }
  const auto is_ready = [&](int n) {
    return StatusOf(n, true, "/readyz") == "ready\n";
  };
  const auto all_ready = [&] {
    for (int n = 0; n < count; ++n) {
      if (!is_ready(n) || OwnerOf(zone_of_[n]) < 0) {
        return false;
      }
    }
    return AllKnowAllMembers();
  };
  return published && Eventually(all_ready, kStartTimeout);
}

Json Fleet::ProcessStatus(int instance, bool gate) const {
  return Json::parse(StatusOf(instance, gate, "/status"), nullptr, false);
}

bool Fleet::AllKnowAllMembers() const {
  uint64_t view = 0;
  for (int n = 0; n < InstanceCount(); ++n) {
    const Json status = ProcessStatus(n, false);
    if (!status.is_object() || !status.value("member", false)) {
      return false;
    }
    view = std::max(view, status.value("view", uint64_t{0}));
  }
  for (int n = 0; n < InstanceCount(); ++n) {
    for (const bool gate : {false, true}) {
      const Json status = ProcessStatus(n, gate);
      if (!status.is_object() || status.value("version", uint64_t{0}) < view) {
        return false;
      }
    }
  }
  return true;
}

std::string Fleet::StatusOf(int instance,
                            bool gate,
                            const std::string& page) const {
  const int port = (gate ? gate_status_port_ : status_port_) + instance;
  net::HttpCall call;
  call.url = "http://" + LoopbackAddress(port) + page;
  call.timeout = milliseconds(1000);
  return net::CallAndWait(call).body;
}

int Fleet::OwnerOf(const std::string& zone) const {
  for (int n = 0; n < InstanceCount(); ++n) {
    if (zone_of_[n] != zone) {
      continue;
    }
    const Json status = ProcessStatus(n, false);
    if (!status.is_object() || !status.contains("shards")) {
      continue;
    }
    for (const auto& it : status["shards"]) {
      if (it.value("acting", false)) {
        return n;
      }
    }
  }
  return -1;
}

std::string Fleet::GateUrl(int instance) const {
  return "http://" + LoopbackAddress(gate_port_ + instance);
}

std::string Fleet::PlacerStatusUrl(int instance) const {
  return "http://" + LoopbackAddress(status_port_ + instance);
}

net::HttpResult Fleet::Post(int instance,
                            const std::string& path,
                            const std::string& body,
                            const std::string& team,
                            const net::Headers& more,
                            milliseconds timeout) const {
  net::HttpCall call;
  call.method = "POST";
  call.url = GateUrl(instance) + path;
  call.body = body;
  call.headers = more;
  call.timeout = timeout;
  if (!team.empty()) {
    call.headers.emplace_back("Bw-Key", KeyOf(team));
  }
  return net::CallAndWait(call);
}

net::HttpResult Fleet::Get(int instance,
                           const std::string& path,
                           const std::string& team) const {
  net::HttpCall call;
  call.url = GateUrl(instance) + path;
  call.headers = {{"Bw-Key", KeyOf(team)}};
  call.timeout = milliseconds(20'000);
  return net::CallAndWait(call);
}

net::HttpResult Fleet::Delete(int instance,
                              const std::string& path,
                              const std::string& team) const {
  net::HttpCall call;
  call.method = "DELETE";
  call.url = GateUrl(instance) + path;
  call.headers = {{"Bw-Key", KeyOf(team)}};
  call.timeout = milliseconds(20'000);
  return net::CallAndWait(call);
}

int Fleet::Ctl(const std::vector<std::string>& arguments,
               std::string* out) const {
  std::vector<std::string> line = {"--set", "platform.log=" + log_url_};
  line.insert(line.end(), arguments.begin(), arguments.end());
  return RunBinary("bwctl", line, out);
}

int Fleet::PublishText(const std::string& templates, std::string* out) {
  const std::string file = directory_ + "/templates.ini";
  std::ofstream(file) << templates;
  return Ctl({"publish", file}, out);
}

void Fleet::ControlLog(const Json& body) const {
  Call("POST", log_url_ + "/control", body.dump());
}

void Fleet::ControlList(const Json& body) const {
  Call("POST", list_url_ + "/control", body.dump());
}

void Fleet::SetLeaving(const std::string& name, bool leaving) {
  for (auto& it : instances_) {
    if (it["name"] == name) {
      it["leaving"] = leaving;
    }
  }
  ControlList({{"instances", instances_}});
}

void Fleet::SetLinkModes(const std::vector<std::string>& match,
                         const std::string& there,
                         const std::string& back,
                         int delay_ms) const {
  Call("POST", proxy_url_ + "/control",
       Json{{"match", match},
            {"there", there},
            {"back", back},
            {"delay_ms", delay_ms}}
           .dump());
}

void Fleet::SetZoneLinkMode(const std::string& zone,
                            const std::string& mode) const {
  std::vector<std::string> match;
  for (int n = 0; n < InstanceCount(); ++n) {
    for (int m = 0; m < InstanceCount(); ++m) {
      if ((zone_of_[n] == zone) != (zone_of_[m] == zone)) {
        match.push_back("e" + std::to_string(n) + ">" + Name(m));
        match.push_back("g" + std::to_string(n) + ">" + Name(m));
      }
    }
  }
  SetLinkModes(match, mode, mode);
}

void Fleet::SetLogLinkMode(const std::string& zone,
                           const std::string& mode) const {
  std::vector<std::string> match;
  for (int n = 0; n < InstanceCount(); ++n) {
    if (zone.empty() || zone_of_[n] == zone) {
      match.push_back("e" + std::to_string(n) + ">log");
      match.push_back("g" + std::to_string(n) + ">log");
    }
  }
  SetLinkModes(match, mode, mode);
}

std::vector<Json> Fleet::RunnerRecords() const {
  std::vector<Json> out;
  for (const auto& it : runners_) {
    out.push_back(Call("GET", "http://" + it + "/truth", ""));
  }
  return out;
}

std::vector<Json> Fleet::WorkerRecords() const {
  std::vector<Json> out;
  for (const auto& it : workers_) {
    out.push_back(Call("GET", "http://" + it + "/truth", ""));
  }
  return out;
}

Json Fleet::LogRecords(const std::string& stream) const {
  return Call("GET", log_url_ + "/truth?stream=" + stream, "");
}

}  // namespace bw::test
