// Runs the cases of the third review that are scripts: bwentry processes as on
// the users' platform, the project's stand-in of that platform, and callers.
//
//   review3_driver CASE WORK_FOLDER RECORD_FILE
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
// TROUBLE=0 in the environment leaves the disruption out.

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr int kInstances = 9;
constexpr int kZones = 4;
constexpr int kFrontPort = 7400;
constexpr int kMeshPort = 7420;
constexpr int64_t kMemoryMb = 260;

/// `finish_s`, and the spans of rule LOST.
constexpr int64_t kFinishMs = 14'000;
constexpr int64_t kStandstillMs = 3000;
constexpr int64_t kCalmBeforeMs = 4000;
constexpr int64_t kAfterLastRunMs = 6000;

/// The steady clock that the stand-in's records use.
int64_t NowMs() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

void Pause(int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

struct Response {
  long status = 0;  ///< 0: none.
  std::string body;
};

size_t OnBody(char* data, size_t size, size_t n, void* user) {
  static_cast<std::string*>(user)->append(data, size * n);
  return size * n;
}

Response Call(const std::string& method,
              const std::string& url,
              const std::string& body = {},
              const std::vector<std::string>& headers = {}) {
  constexpr long kTimeoutMs = 4000;
  Response out;
  CURL* easy = curl_easy_init();
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  list = curl_slist_append(list, "Content-Type: application/json");
  for (const auto& it : headers) {
    list = curl_slist_append(list, it.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &out.body);
  if (!body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  if (curl_easy_perform(easy) == CURLE_OK) {
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &out.status);
  }
  curl_slist_free_all(list);
  curl_easy_cleanup(easy);
  return out;
}

/// Processes that end with this one.
class Children {
 public:
  Children() = default;
  ~Children() {
    for (const pid_t it : pids_) {
      End(it);
    }
  }
  Children(const Children&) = delete;
  Children& operator=(const Children&) = delete;

  pid_t Start(const std::vector<std::string>& command,
              const std::vector<std::string>& environment,
              const std::string& log) {
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid < 0) {
      throw std::runtime_error("cannot start a process");
    }
    if (pid > 0) {
      pids_.insert(pid);
      return pid;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(kNotRun);
    }
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    std::vector<char*> arguments;
    std::vector<char*> variables;
    arguments.reserve(command.size() + 1);
    variables.reserve(environment.size() + 1);
    for (const auto& it : command) {
      arguments.push_back(const_cast<char*>(it.c_str()));
    }
    for (const auto& it : environment) {
      variables.push_back(const_cast<char*>(it.c_str()));
    }
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    execve(arguments[0], arguments.data(), variables.data());
    _exit(kNotRun);
  }

  /// Kills a process.
  void Kill(pid_t pid) {
    if (pids_.erase(pid) > 0) {
      End(pid);
    }
  }

  /// @return True if the process has ended by itself; it is forgotten then.
  bool HasEnded(pid_t pid) {
    if (!pids_.contains(pid) || waitpid(pid, nullptr, WNOHANG) != pid) {
      return false;
    }
    pids_.erase(pid);
    return true;
  }

 private:
  static void End(pid_t pid) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }

  std::set<pid_t> pids_;
};

/// @return Resident memory of a process in MB.
int64_t MemoryMb(pid_t pid) {
  constexpr int64_t kBytesPerMb = 1 << 20;
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  int64_t size = 0;
  int64_t resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE) / kBytesPerMb;
}

/// @return The first of `count` consecutive ports that are free.
int FreePorts(int count) {
  constexpr int kFirst = 20'000;
  constexpr int kLast = 55'000;
  constexpr int kTries = 200;
  for (int n = 0; n < kTries; ++n) {
    const int first = kFirst + (getpid() * 131 + n * 977) % (kLast - kFirst);
    bool free = true;
    for (int port = first; port < first + count && free; ++port) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<uint16_t>(port));
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      free =
          bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
      close(fd);
    }
    if (free) {
      return first;
    }
  }
  throw std::runtime_error("no free ports");
}

/// A run of a task, as the stand-in's runners have recorded it.
struct Run {
  std::string task;
  std::string runner;
  int64_t began = 0;
  int64_t ended = INT64_MAX;
};

/// Nine instances, the platform's stand-in with its runners, and two tenants.
class Fleet {
 public:
  Fleet(std::string folder, const std::string& record, int runners)
      : folder_(std::move(folder)),
        record_(record),
        runners_(runners),
        ports_(FreePorts(1 + runners)),
        began_(NowMs()) {}

  void Note(const std::string& text) {
    const std::lock_guard lock(mutex_);
    record_ << NowMs() - began_ << " ms: " << text << std::endl;
  }

  /// @return False if the instances do not serve.
  bool Start() {
    children_.Start({"target/bin/bwfakeplatform", "--set",
                     "fake.listen=127.0.0.1:" + std::to_string(ports_), "--set",
                     "fake.count=" + std::to_string(runners_), "--set",
                     "fake.zones=" + std::to_string(kZones)},
                    {}, folder_ + "/platform.log");
    if (!Eventually(
            [&] { return Call("GET", Platform() + "/truth").status; })) {
      return false;
    }
    Configure();
    for (int n = 0; n < kInstances; ++n) {
      StartInstance(n);
    }
    return Eventually([&] {
      for (int n = 0; n < kInstances; ++n) {
        if (CallFront(n, "GET", "/batch/", "", "k0").status != 200) {
          return false;
        }
      }
      return true;
    });
  }

  /// From now on does what the platform does for the instances: kills those
  /// that exceed their memory, and starts those again that have ended.
  void WatchInstances() {
    watcher_ = std::jthread([this](const std::stop_token& stop) {
      constexpr int64_t kIntervalMs = 100;
      for (; !stop.stop_requested(); Pause(kIntervalMs)) {
        for (int n = 0; n < kInstances; ++n) {
          WatchInstance(n);
        }
      }
    });
  }

  int Kills() const { return kills_; }

  /// Hands a submission in. @return True if it was accepted.
  bool Submit(const std::string& path, const Json& body, const char* key) {
    const Response out =
        CallFront(next_front_++ % kInstances, "POST", path, body.dump(), key);
    Note("POST " + path + " " + body.dump() + " -> " +
         std::to_string(out.status) + " " + out.body);
    return out.status == 200;
  }

  std::string State(const std::string& path, const char* key) {
    const Response out =
        CallFront(next_front_++ % kInstances, "GET", path, "", key);
    Note("GET " + path + " -> " + std::to_string(out.status) + " " + out.body);
    return out.status == 200
               ? Json::parse(out.body, nullptr, false).value("state", "")
               : "";
  }

  /// Runners are lost for good: from now on they answer nothing, and after
  /// three heartbeat intervals their entries are removed and their tasks are
  /// gone.
  void Lose(const std::vector<std::string>& runners) {
    constexpr int64_t kHeartbeatsMs = 4500;
    for (const auto& it : runners) {
      Note("runner " + it + " is lost for good");
      lost_.insert(it);
      Control({{"silent", std::stoi(it.substr(1))}, {"on", true}});
    }
    Pause(kHeartbeatsMs);
    for (const auto& it : runners) {
      Control({{"drain", std::stoi(it.substr(1))}, {"ms", 0}});
    }
    Note("their entries are removed");
  }

  /// @return The runs of a submission, or all.
  std::vector<Run> Runs(const std::string& job = {}) const {
    std::vector<Run> out;
    const Response truth = Call("GET", Platform() + "/truth");
    for (const Json& it : Json::parse(truth.body)) {
      Run run{it["task"], it["backend"], it["began_ms"]};
      if (const int64_t ended = it["ended_ms"]; ended != 0) {
        run.ended = ended;
      }
      if (run.task.starts_with(job)) {
        out.push_back(run);
      }
    }
    return out;
  }

  void NoteRuns() {
    for (const auto& it : Runs()) {
      Note("run of " + it.task + " on " + it.runner + " from " +
           std::to_string(it.began - began_) + " to " +
           (it.ended == INT64_MAX ? std::string("now")
                                  : std::to_string(it.ended - began_)));
    }
  }

  /// @return Runners on which nothing ran from `from` until now, without those
  /// that are lost.
  int IdleRunners(int64_t from) const {
    std::set<std::string> out_of_count = lost_;
    for (const auto& it : Runs()) {
      if (it.ended > from) {
        out_of_count.insert(it.runner);
      }
    }
    return runners_ - static_cast<int>(out_of_count.size());
  }

  bool Eventually(const std::function<bool()>& what) const {
    constexpr int64_t kTimeoutMs = 20'000;
    for (const int64_t end = NowMs() + kTimeoutMs; NowMs() < end;) {
      if (what()) {
        return true;
      }
      Pause(100);
    }
    return false;
  }

 private:
  void Control(const Json& body) const {
    Call("POST", Platform() + "/control", body.dump());
  }

  void StartInstance(int n) {
    const std::string name = folder_ + "/e" + std::to_string(n);
    std::ofstream(name + ".ini") << RenderTemplate(n);
    instances_[n] = {
        children_.Start({"target/bin/bwentry"},
                        {"BILBERRYWING_BOOT=" + name + ".ini"}, name + ".log"),
        0};
  }

  void WatchInstance(int n) {
    constexpr int64_t kRestartMs = 500;
    Instance& it = instances_[n];
    if (it.pid == 0) {
      if (NowMs() >= it.start_at) {
        StartInstance(n);
      }
      return;
    }
    const int64_t memory = MemoryMb(it.pid);
    if (memory > kMemoryMb) {
      children_.Kill(it.pid);
      ++kills_;
      Note("instance " + std::to_string(n) + " is killed: it uses " +
           std::to_string(memory) + " MB");
      it = {0, NowMs() + kRestartMs};
    } else if (children_.HasEnded(it.pid)) {
      Note("instance " + std::to_string(n) + " has ended by itself");
      it = {0, NowMs() + kRestartMs};
    }
  }

  std::string Platform() const {
    return "http://127.0.0.1:" + std::to_string(ports_);
  }

  /// @return An address of its own for each instance.
  static std::string HostOf(int n) {
    constexpr int kByte = 256;
    return "127." + std::to_string(1 + getpid() / kByte % (kByte - 2)) + "." +
           std::to_string(getpid() % kByte) + "." + std::to_string(n + 1);
  }

  static Response CallFront(int n,
                            const std::string& method,
                            const std::string& path,
                            const std::string& body,
                            const char* key) {
    return Call(method,
                "http://" + HostOf(n) + ":" + std::to_string(kFrontPort) + path,
                body,
                {"Host: queues.example",
                 std::string("Bilberrywing-Credential: ") + key});
  }

  void Configure() const {
    const auto queue = [](const char* name, int priority) {
      return Json{{"name", name},
                  {"host", "queues.example"},
                  {"pathPrefix", std::string("/") + name + "/"},
                  {"service", "s"},
                  {"priority", priority},
                  {"maxAttempts", 3},
                  {"stretch", 2.2},
                  {"targetLatencyMs", 1000}};
    };
    const auto tenant = [&](const char* name, const char* key) {
      const uint64_t runners = static_cast<uint64_t>(runners_);
      return Json{{"name", name},
                  {"apiKeys", {key}},
                  {"weight", 50},
                  {"maximum",
                   {{"cpu", runners * 16'000},
                    {"memMb", runners * 32'000},
                    {"gpu", 0}}}};
    };
    const Json config{{"version", 1},
                      {"routes", {queue("urgent", 0), queue("batch", 1)}},
                      {"services", Json::array()},
                      {"tenants", {tenant("t0", "k0"), tenant("t1", "k1")}},
                      {"limits", {{"maxBodyBytes", 262'144}}}};
    Control({{"config", config}});
  }

  /// @return The settings of an instance, by the template that the deploy file
  /// names and the figures of a small installation.
  std::string RenderTemplate(int n) const {
    const std::string store = "127.0.0.1:" + std::to_string(ports_);
    const std::map<std::string, std::string> values = {
        {"nodeName", "front-" + std::to_string(n)},
        {"zone", std::string(1, static_cast<char>('a' + n % kZones))},
        {"ip", HostOf(n)},
        {"limits.cpuShare", "0.25"},
        {"limits.cores", "1"},
        {"limits.maxFds", "4100"},
        {"limits.memoryMb", std::to_string(kMemoryMb)},
        {"listen.front", HostOf(n) + ":" + std::to_string(kFrontPort)},
        {"listen.ready", HostOf(n) + ":" + std::to_string(kFrontPort + 1)},
        {"portRange.0", std::to_string(kMeshPort)},
        {"platform.address", store},
        {"advice", store},
        {"platform.ttlMinMs", "1000"},
        {"platform.callBytes", "2097152"},
        {"platform.recordBytes", "262144"},
        {"timingBounds.holdMaxMs", "10000"},
        {"timingBounds.revokeMs", "5000"},
        {"timingBounds.graceS", "6"},
        {"timingBounds.status_s", "120"},
        {"timingBounds.farX", "3"}};
    std::ifstream file("src/platform/settings.ini.in");
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

  const std::string folder_;
  std::ofstream record_;
  const int runners_;
  const int ports_;
  const int64_t began_;
  /// A process; none if `pid` is 0, until `start_at`.
  struct Instance {
    pid_t pid = 0;
    int64_t start_at = 0;
  };
  std::map<int, Instance> instances_;
  std::atomic<int> kills_ = 0;
  std::mutex mutex_;  ///< Guards the record.
  int next_front_ = 0;
  std::set<std::string> lost_;
  Children children_;
  std::jthread watcher_;
};

/// @return The longest time between `from` and `to` in which none of the runs
/// was active.
int64_t LongestStandstill(std::vector<Run> runs, int64_t from, int64_t to) {
  std::sort(runs.begin(), runs.end(),
            [](const Run& a, const Run& b) { return a.began < b.began; });
  int64_t longest = 0;
  int64_t idle_since = from;
  for (const auto& it : runs) {
    longest = std::max(longest, std::min(it.began, to) - idle_since);
    idle_since = std::max(idle_since, it.ended);
  }
  return idle_since < to ? std::max(longest, to - idle_since) : longest;
}

Json Step(int count, int cpu, int memory_mb) {
  return {{"count", count}, {"cpu", cpu}, {"memMb", memory_mb}};
}

int ActiveRuns(const Fleet& fleet, const std::string& job) {
  const auto runs = fleet.Runs(job);
  return static_cast<int>(
      std::count_if(runs.begin(), runs.end(),
                    [](const Run& it) { return it.ended == INT64_MAX; }));
}

/// A task that lasts runs on a runner that is lost for good, while a gang waits
/// for room.
int RunServiceCase(Fleet* fleet, bool trouble) {
  const std::string others = "00000000000000b1";
  const std::string service = "00000000000000a1";
  const std::string gang = "00000000000000c1";
  Json large = Step(7, 8000, 2000);
  large["perpetual"] = true;
  Json lasting = Step(2, 2000, 500);
  lasting["perpetual"] = true;
  lasting["antiAffinity"] = 1;
  Json wide = Step(4, 8000, 2000);
  wide["gang"] = true;
  wide["estimateMs"] = 20'000;
  if (!fleet->Submit("/batch/" + others,
                     {{"spec", "ms=0,cpu=8000"}, {"steps", {large}}}, "k1") ||
      !fleet->Eventually([&] { return ActiveRuns(*fleet, others) == 7; }) ||
      !fleet->Submit("/batch/" + service,
                     {{"spec", "ms=0,cpu=2000"}, {"steps", {lasting}}}, "k0") ||
      !fleet->Eventually([&] { return ActiveRuns(*fleet, service) == 2; })) {
    return kNotRun;
  }
  // Three runners are empty, so it waits.
  if (!fleet->Submit("/urgent/" + gang,
                     {{"spec", "ms=20000,gang=4,cpu=8000"}, {"steps", {wide}}},
                     "k1")) {
    return kNotRun;
  }
  Pause(5000);
  Run lost;
  for (const auto& it : fleet->Runs(service)) {
    lost = it.ended == INT64_MAX ? it : lost;
  }
  if (trouble) {
    fleet->Lose({lost.runner});
  }
  const int64_t lost_at = NowMs();
  constexpr int64_t kObserveMs = 30'000;
  Pause(kObserveMs);
  fleet->State("/batch/" + service, "k0");
  fleet->NoteRuns();
  // The owner is calm again, and the task's last run has ended long before.
  const int64_t from = lost_at + kCalmBeforeMs + kAfterLastRunMs;
  const int64_t longest =
      LongestStandstill(fleet->Runs(lost.task), from, lost_at + kObserveMs);
  const int idle = fleet->IdleRunners(lost_at);
  fleet->Note("task " + lost.task + ": nothing ran for " +
              std::to_string(longest) + " ms from 6 s after its last run on; " +
              std::to_string(idle) + " sound runners were empty all the while");
  const bool room = idle >= 2;
  return longest >= kStandstillMs && room ? kBroken : kHeld;
}

/// A large gang is handed in which finds no room beside tasks that last, while
/// most of the service is free.
int RunGangCase(Fleet* fleet, bool trouble) {
  const std::string service = "00000000000000a1";
  const std::string gang = "00000000000000c1";
  const std::string victim = "00000000000000d1";
  Json lasting = Step(7, 1000, 500);
  lasting["perpetual"] = true;
  lasting["antiAffinity"] = 1;
  Json wide = Step(6, 8000, 2000);
  wide["gang"] = true;
  wide["estimateMs"] = 60'000;
  Json single = Step(1, 8000, 2000);
  single["estimateMs"] = 5000;
  if (!fleet->Submit("/batch/" + service,
                     {{"spec", "ms=0,cpu=1000"}, {"steps", {lasting}}}, "k0") ||
      !fleet->Eventually([&] { return ActiveRuns(*fleet, service) == 7; })) {
    return kNotRun;
  }
  Pause(2000);
  if (trouble &&
      !fleet->Submit("/urgent/" + gang,
                     {{"spec", "ms=60000,gang=6,cpu=8000"}, {"steps", {wide}}},
                     "k1")) {
    return kNotRun;
  }
  Pause(1000);
  if (!fleet->Submit("/batch/" + victim,
                     {{"spec", "ms=5000,cpu=8000"}, {"steps", {single}}},
                     "k0")) {
    return kNotRun;
  }
  const int64_t traffic_ends = NowMs();
  constexpr int64_t kObserveMs = kFinishMs + 30'000;
  Pause(kObserveMs);
  const std::string state = fleet->State("/batch/" + victim, "k0");
  fleet->NoteRuns();
  const int64_t longest = LongestStandstill(
      fleet->Runs(victim), traffic_ends + kFinishMs, traffic_ends + kObserveMs);
  const int idle = fleet->IdleRunners(traffic_ends);
  fleet->Note("submission " + victim + ": " + state + "; nothing ran for " +
              std::to_string(longest) +
              " ms from finish_s after the end of the traffic on; " +
              std::to_string(idle) + " runners were empty all the while");
  const bool room = idle >= 2;
  return state != "completed" && longest >= kStandstillMs && room ? kBroken
                                                                  : kHeld;
}

/// A submission that lasts fails on every runner soon after its start, again
/// and again, and another one has many tasks.
int RunCrashCase(Fleet* fleet, bool trouble) {
  const std::string failing = "00000000000000a1";
  const std::string victim = "00000000000000d1";
  constexpr int kUsual = 20;
  for (int n = 0; n < kUsual; ++n) {
    Json step = Step(1, 1000, 500);
    step["estimateMs"] = 300;
    if (!fleet->Submit("/batch/00000000000001" + std::to_string(10 + n),
                       {{"spec", "ms=300,cpu=1000"}, {"steps", {step}}},
                       "k0")) {
      return kNotRun;
    }
    Pause(150);
  }
  Json lasting = Step(12, 8000, 500);
  lasting["perpetual"] = true;
  if (trouble &&
      !fleet->Submit("/urgent/" + failing,
                     {{"spec", "ms=0,dies=100,cpu=8000"}, {"steps", {lasting}}},
                     "k1")) {
    return kNotRun;
  }
  Pause(6000);
  Json wide = Step(240, 8000, 500);
  wide["estimateMs"] = 2000;
  if (!fleet->Submit("/batch/" + victim,
                     {{"spec", "ms=2000,cpu=8000"}, {"steps", {wide}}}, "k0")) {
    return kNotRun;
  }
  const int64_t traffic_ends = NowMs();
  constexpr int64_t kObserveMs = kFinishMs + 46'000;
  Pause(kObserveMs);
  const std::string state = fleet->State("/batch/" + victim, "k0");
  fleet->NoteRuns();
  const int64_t from = traffic_ends + kFinishMs;
  const int64_t to = traffic_ends + kObserveMs;
  const int64_t longest = LongestStandstill(fleet->Runs(victim), from, to);
  const int64_t all_idle = LongestStandstill(fleet->Runs(), from, to);
  fleet->Note("submission " + victim + ": " + state +
              "; from finish_s after the end of the traffic on, nothing of it "
              "ran for " +
              std::to_string(longest) +
              " ms, and nothing at all on any runner for up to " +
              std::to_string(all_idle) + " ms on end");
  return state != "completed" && longest >= kStandstillMs &&
                 all_idle >= kStandstillMs
             ? kBroken
             : kHeld;
}

/// Schedules come whose tasks no runner can run.
int RunScheduleCase(Fleet* fleet, bool trouble) {
  constexpr int64_t kTrafficMs = 36'000;
  constexpr int64_t kUsualIntervalMs = 180;
  constexpr int kSchedules = 5;
  constexpr int kUsualBetween = 4;
  constexpr int kAsked = 3;
  constexpr int kTries = 3;
  fleet->WatchInstances();
  std::vector<std::string> accepted;
  int usual = 0;
  int schedules = 0;
  for (const int64_t end = NowMs() + kTrafficMs; NowMs() < end;) {
    Json step = Step(1, 1000, 500);
    step["estimateMs"] = 300;
    const std::string job =
        "/batch/0000000000000" + std::to_string(100 + usual);
    if (fleet->Submit(job, {{"spec", "ms=300,cpu=1000"}, {"steps", {step}}},
                      "k0")) {
      accepted.push_back(job);
    }
    ++usual;
    if (trouble && usual % kUsualBetween == 0 && schedules < kSchedules) {
      Json wide = Step(8000, 100, 50);
      wide["requires"] = "c";
      wide["estimateMs"] = 1000;
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      fleet->Submit(
          "/batch/000000000000c00" + std::to_string(schedules),
          {{"spec", "ms=1000"},
           {"steps", {wide}},
           {"startAtMs", std::chrono::duration_cast<milliseconds>(now).count()},
           {"intervalMs", 500},
           {"repeatCount", 1000}},
          "k1");
      ++schedules;
    }
    Pause(kUsualIntervalMs);
  }
  if (accepted.size() < kAsked) {
    return kNotRun;
  }
  Pause(kFinishMs);
  int unanswered = 0;
  for (int n = 0; n < kAsked; ++n) {
    bool known = false;
    for (int i = 0; i < kTries && !known; ++i) {
      known =
          !fleet->State(accepted[accepted.size() * n / kAsked], "k0").empty();
      Pause(known ? 0 : 300);
    }
    unanswered += known ? 0 : 1;
  }
  fleet->Note(std::to_string(schedules) + " schedules and " +
              std::to_string(usual) + " usual submissions were handed in, " +
              std::to_string(accepted.size()) + " of these were accepted; of " +
              std::to_string(kAsked) + " asked for, " +
              std::to_string(unanswered) + " got no answer in " +
              std::to_string(kTries) + " tries; instances were killed " +
              std::to_string(fleet->Kills()) + " times for their memory");
  constexpr int kMinKills = 3;
  return unanswered > 0 && fleet->Kills() >= kMinKills ? kBroken : kHeld;
}

struct Case {
  int runners;
  int (*run)(Fleet* fleet, bool trouble);
};

const std::map<std::string, Case>& Cases() {
  static const std::map<std::string, Case> out = {
      {"service", {12, RunServiceCase}},
      {"gang", {12, RunGangCase}},
      {"crash", {12, RunCrashCase}},
      {"schedule", {12, RunScheduleCase}}};
  return out;
}

int Main(const std::string& name,
         const std::string& folder,
         const std::string& record) {
  const auto it = Cases().find(name);
  if (it == Cases().end()) {
    std::cerr << "no such case\n";
    return kNotRun;
  }
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = variable == nullptr || std::string(variable) != "0";
  Fleet fleet(folder, record, it->second.runners);
  fleet.Note(trouble ? "with the disruption" : "without the disruption");
  int out = kNotRun;
  if (fleet.Start()) {
    fleet.Note("all instances serve");
    out = it->second.run(&fleet, trouble);
  }
  fleet.Note(out == kBroken ? "the rule was broken"
             : out == kHeld ? "the rule held"
                            : "the case did not run");
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return kNotRun;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    return Main(argv[1], argv[2], argv[3]);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return kNotRun;
  }
}
