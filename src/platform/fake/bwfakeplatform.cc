// bwfakeplatform: stand-in for the users' platform. Serves the store and the
// advice service on the first port, and one backend server on each of the
// following ports, with the wire formats of src/platform. Test controls:
//
//   POST /control  {"mood":"well|refuses|loses|silent"}   store's fault mode
//                  {"crash":N}                            restart backend N
//                  {"silent":N,"on":b}                    backend N hangs
//                  {"config":{...}}                       set configuration
//   GET  /truth    all runs: task, run, backend, began_ms, ended_ms, how,
//                  forgotten (nobody acknowledged the end before the server
//                  crashed or its lease lapsed)
//
// A task whose spec contains "ms=N" takes N ms; others run until stopped.

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "../../fake/fake_settings.h"
#include "../../fake/memory_store.h"
#include "../../fake/timer_thread.h"
#include "../../net/http_server.h"
#include "../../process_func.h"
#include "../../text_func.h"
#include "../configuration.h"

namespace bw::fake {
namespace {

using Json = nlohmann::json;
using platform::StoreStatus;

constexpr int kBackendCpu = 8000;
constexpr int kBackendMemoryMb = 16'000;
constexpr uint64_t kMaxLeaseMs = 10'000;
constexpr milliseconds kAnnounceInterval{500};
constexpr milliseconds kTickInterval{10};

/// @return The value of a numeric query parameter; 0 if absent.
uint64_t Number(const net::HttpRequest& request, const char* name) {
  const std::string text = request.Query(name);
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

std::string BigEndian(uint64_t n, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((n >> shift) & 0xff));
  }
  return out;
}

int HttpStatusOf(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return 200;
    case StoreStatus::kFenced:
    case StoreStatus::kOutOfOrder:
      return 409;
    case StoreStatus::kExpired:
      return 410;
    case StoreStatus::kInvalid:
      return 400;
    default:
      return 503;
  }
}

net::HttpResponse JsonResponse(int status, const Json& body) {
  net::HttpResponse out;
  out.status = status;
  out.body = body.dump();
  return out;
}

/// Ground truth about a run, for the tests' consistency checks.
struct RunRecord {
  std::string task;
  uint64_t run = 0;
  std::string backend;
  uint64_t began_ms = 0;
  uint64_t ended_ms = 0;  ///< 0: still running.
  std::string how;        ///< Why it ended.
  /// A crash lost its end before it was acknowledged, or the lease lapsed
  /// before that.
  bool forgotten = false;
};

/// HTTP server of the store; expires group members whose TTL has passed.
/// Thread-safe.
class StoreServer {
 public:
  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    const platform::Partition partition{
        request.Query("topic"), static_cast<uint32_t>(Number(request, "part"))};
    const Json body = Json::parse(request.body, nullptr, false);
    if (name == "log-append") {
      Append(request, partition, respond);
    } else if (name == "log-read") {
      Read(request, partition, respond);
    } else if (name == "log-newest") {
      ReadNewest(partition, respond);
    } else if (name == "log-join") {
      Join(body, respond);
    } else if (name == "log-leave") {
      store_.Leave(body.value("group", ""), body.value("member", ""),
                   [&](StoreStatus it) { Reply(it, Json::object(), respond); });
      store_.RespondToAll();
    } else if (name == "log-owners") {
      ReadOwners(request, respond);
    } else {
      respond(JsonResponse(404, Json::object()));
    }
  }

  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    std::lock_guard lock(mutex_);
    store_.Put({topic, 0}, key, value);
  }

  void SetFaultMode(MemoryStore::FaultMode mode) {
    std::lock_guard lock(mutex_);
    store_.fault_mode = mode;
  }

  /// Expires group members and completes long polls. Called every
  /// kTickInterval.
  void Tick() {
    std::lock_guard lock(mutex_);
    const uint64_t now = NowMs();
    for (auto it = member_expiry_ms_.begin(); it != member_expiry_ms_.end();) {
      if (now > it->second &&
          store_.fault_mode == MemoryStore::FaultMode::kNone) {
        store_.Expire(it->first.first, it->first.second);
        it = member_expiry_ms_.erase(it);
      } else {
        ++it;
      }
    }
    std::vector<PendingRead> reads = std::move(pending_reads_);
    pending_reads_.clear();
    for (auto& it : reads) {
      TryFinishRead(std::move(it), now);
    }
  }

 private:
  struct PendingRead {
    platform::Partition partition;
    Offset from = 0;
    uint64_t until_ms = 0;
    net::Responder respond;
  };

  /// Sends the response; none for kUnknown, so that the call times out.
  static void Reply(StoreStatus status,
                    const Json& body,
                    const net::Responder& respond) {
    if (status != StoreStatus::kUnknown) {
      respond(JsonResponse(HttpStatusOf(status), body));
    }
  }

  void Append(const net::HttpRequest& request,
              const platform::Partition& partition,
              const net::Responder& respond) {
    platform::StoreAppend append;
    append.partition = partition;
    append.producer = request.Query("producer");
    append.epoch = Number(request, "epoch");
    append.sequence = Number(request, "sequence");
    for (size_t at = 0; at + 4 <= request.body.size();) {
      size_t length = 0;
      for (int n = 0; n < 4; ++n) {
        length =
            (length << 8) | static_cast<unsigned char>(request.body[at + n]);
      }
      append.records.push_back(request.body.substr(at + 4, length));
      at += 4 + length;
    }
    store_.Append(std::move(append), milliseconds(0),
                  [&](const platform::AppendResponse& it) {
                    const bool out_of_order =
                        it.status == StoreStatus::kOutOfOrder;
                    Reply(it.status,
                          {{"offset", it.offset},
                           {"end", it.end},
                           {"reason", out_of_order ? "seq" : "fenced"},
                           {"sequence", it.expected_sequence}},
                          respond);
                  });
    store_.RespondToAll();
  }

  void Read(const net::HttpRequest& request,
            const platform::Partition& partition,
            const net::Responder& respond) {
    TryFinishRead({partition, Number(request, "from"),
                   NowMs() + Number(request, "waitMs"), respond},
                  NowMs());
  }

  /// Responds to a read. Queues it instead if there are no records yet and its
  /// wait has not elapsed.
  void TryFinishRead(PendingRead read, uint64_t now) {
    store_.Read(read.partition, read.from, milliseconds(0),
                [&](const platform::ReadResponse& it) {
                  if (it.status == StoreStatus::kOk && it.records.empty() &&
                      now < read.until_ms) {
                    pending_reads_.push_back(std::move(read));
                    return;
                  }
                  net::HttpResponse out;
                  out.status = HttpStatusOf(it.status);
                  out.content_type = "application/octet-stream";
                  out.body = BigEndian(it.end, 8) + BigEndian(it.first, 8);
                  for (const auto& record : it.records) {
                    out.body += BigEndian(record.size(), 4) + record;
                  }
                  if (it.status != StoreStatus::kUnknown) {
                    read.respond(out);
                  }
                });
    store_.RespondToAll();
  }

  void ReadNewest(const platform::Partition& partition,
                  const net::Responder& respond) {
    store_.ReadNewest(partition, "", [&](const platform::NewestResponse& it) {
      Json items = Json::array();
      for (const auto& record : it.records) {
        if (!record.value.empty()) {
          items.push_back({{"key", record.key},
                           {"value", ToBase64(record.value)},
                           {"offset", 0}});
        }
      }
      Reply(it.status, {{"items", items}, {"more", false}, {"end", it.end}},
            respond);
    });
    store_.RespondToAll();
  }

  void Join(const Json& body, const net::Responder& respond) {
    const platform::GroupMember member{
        body.value("group", ""), body.value("member", ""),
        body.value("topics", Json::array()).get<std::vector<std::string>>(),
        body.value("ttlMs", 0U), body.value("generation", uint64_t{0})};
    store_.Join(member, [&](const platform::JoinResponse& it) {
      Json parts = Json::array();
      for (const auto& part : it.partitions) {
        parts.push_back({part.topic, part.number, 0});
      }
      if (it.status == StoreStatus::kOk) {
        member_expiry_ms_[{member.group, member.member}] =
            NowMs() + member.ttl_ms;
      }
      Reply(it.status, {{"generation", it.generation}, {"parts", parts}},
            respond);
    });
    store_.RespondToAll();
  }

  void ReadOwners(const net::HttpRequest& request,
                  const net::Responder& respond) {
    store_.ReadOwners(
        request.Query("group"), [&](const platform::OwnersResponse& it) {
          Json parts = Json::array();
          for (const auto& row : it.owners) {
            parts.push_back(
                {row.partition.topic, row.partition.number, row.member, 0});
          }
          Reply(it.status, {{"parts", parts}}, respond);
        });
    store_.RespondToAll();
  }

  std::mutex mutex_;
  MemoryStore store_;
  std::map<std::pair<std::string, std::string>, uint64_t> member_expiry_ms_;
  std::vector<PendingRead> pending_reads_;
};

/// A simulated backend server. Thread-safe.
class Backend {
 public:
  Backend(std::string id,
          std::string address,
          std::string zone,
          StoreServer* store)
      : id_(std::move(id)),
        address_(std::move(address)),
        zone_(std::move(zone)),
        store_(store) {}

  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    if (silent_) {
      return;
    }
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return respond(JsonResponse(400, Json::object()));
    }
    const uint64_t token = body.value("fencingToken", uint64_t{0});
    if (token < fencing_token_) {
      return Reject("fence", respond);
    }
    fencing_token_ = token;
    if (name == "run-start") {
      Start(body, respond);
    } else if (name == "run-stop") {
      Stop(body, respond);
    } else if (name == "hold") {
      Poll(body, respond);
    } else {
      respond(JsonResponse(404, Json::object()));
    }
  }

  /// Simulates a crash and restart: ends all runs and resets the lists,
  /// the fencing token and the lease.
  void Crash() {
    std::lock_guard lock(mutex_);
    while (!running_.empty()) {
      End(running_.begin()->first, "crashed");
    }
    ForgetEnds();
    ended_.clear();
    last_end_number_ = 0;
    fencing_token_ = 0;
    lease_end_ms_ = 0;
    highest_ended_run_.clear();
    incarnation_ = NowMs();
  }

  /// A silent server does not respond to any call.
  void SetSilent(bool on) {
    std::lock_guard lock(mutex_);
    silent_ = on;
  }

  void Tick() {
    std::lock_guard lock(mutex_);
    const uint64_t now = NowMs();
    if (now > lease_end_ms_) {
      ForgetEnds();
    }
    std::vector<std::pair<std::string, const char*>> ended;
    for (const auto& it : running_) {
      if (now > lease_end_ms_) {
        ended.emplace_back(it.first, "lapsed");
      } else if (it.second.done_ms != 0 && now >= it.second.done_ms) {
        ended.emplace_back(it.first, "done");
      }
    }
    for (const auto& it : ended) {
      End(it.first, it.second);
    }
    auto polls = std::move(pending_polls_);
    pending_polls_.clear();
    for (auto& it : polls) {
      TryFinishPoll(std::move(it), now);
    }
  }

  /// Writes the server's entry to the store.
  void Announce() {
    std::lock_guard lock(mutex_);
    const Json entry = {
        {"service", "s"},
        {"address", address_},
        {"zone", zone_},
        {"state", "ready"},
        {"sequence", ++announcements_},
        {"born", incarnation_},
        {"labels", {"a", "r1"}},
        {"capacity",
         {{"cpu", kBackendCpu}, {"memMb", kBackendMemoryMb}, {"gpu", 0}}}};
    store_->Put(platform::kBackendTopic, id_, entry.dump());
  }

  /// Appends all runs to `out`.
  void AppendRunRecords(Json* out) {
    std::lock_guard lock(mutex_);
    for (const auto& it : run_records_) {
      out->push_back({{"task", it.task},
                      {"run", it.run},
                      {"backend", id_},
                      {"began_ms", it.began_ms},
                      {"ended_ms", it.ended_ms},
                      {"how", it.how},
                      {"forgotten", it.forgotten}});
    }
  }

 private:
  struct ActiveRun {
    uint64_t run = 0;
    uint64_t done_ms = 0;  ///< 0: runs until stopped.
    size_t record = 0;     ///< Index in run_records_.
  };
  struct PendingPoll {
    uint64_t until_ms = 0;
    net::Responder respond;
  };

  /// Marks the ends that nobody has acknowledged.
  void ForgetEnds() {
    for (const Json& it : ended_) {
      for (auto& record : run_records_) {
        record.forgotten =
            record.forgotten || (record.task == it[1] && record.run == it[2]);
      }
    }
  }

  static void Reject(const char* reason, const net::Responder& respond) {
    respond(JsonResponse(409, {{"clockMs", NowMs()}, {"reason", reason}}));
  }

  void ExtendLease(const Json& body) {
    const uint64_t wanted = body.value("deadlineMs", uint64_t{0});
    lease_end_ms_ =
        std::max(lease_end_ms_, std::min(wanted, NowMs() + kMaxLeaseMs));
  }

  void Start(const Json& body, const net::Responder& respond) {
    const std::string task = body.value("task", "");
    const uint64_t run = body.value("run", uint64_t{0});
    if (body.value("deadlineMs", uint64_t{0}) < NowMs()) {
      return Reject("late", respond);
    }
    ExtendLease(body);
    if (highest_ended_run_.contains(task) && highest_ended_run_[task] >= run) {
      return Reject("old", respond);
    }
    if (!running_.contains(task)) {
      const std::string spec = body.value("spec", "");
      uint64_t ms = 0;
      if (const auto n = spec.find("ms="); n != std::string::npos) {
        std::from_chars(spec.data() + n + 3, spec.data() + spec.size(), ms);
      }
      running_[task] = {run, ms == 0 ? 0 : NowMs() + ms, run_records_.size()};
      run_records_.push_back({task, run, id_, NowMs(), 0, ""});
    }
    respond(JsonResponse(200, {{"clockMs", NowMs()}}));
  }

  void Stop(const Json& body, const net::Responder& respond) {
    const std::string task = body.value("task", "");
    highest_ended_run_[task] =
        std::max(highest_ended_run_[task], body.value("run", uint64_t{0}));
    if (running_.contains(task)) {
      End(task, "stopped");
    }
    respond(JsonResponse(200, {{"clockMs", NowMs()}}));
  }

  void Poll(const Json& body, const net::Responder& respond) {
    ExtendLease(body);
    const uint64_t acknowledged = body.value("ackCursor", uint64_t{0});
    std::erase_if(ended_, [&](const Json& it) {
      return it[0].get<uint64_t>() <= acknowledged;
    });
    TryFinishPoll({NowMs() + body.value("waitMs", uint64_t{0}), respond},
                  NowMs());
  }

  /// Responds to a poll. Queues it instead if no run has ended yet and its wait
  /// has not elapsed.
  void TryFinishPoll(PendingPoll poll, uint64_t now) {
    if (ended_.empty() && now < poll.until_ms) {
      pending_polls_.push_back(std::move(poll));
      return;
    }
    Json running = Json::array();
    for (const auto& it : running_) {
      running.push_back({it.first, it.second.run, "", 100, 1000});
    }
    poll.respond(JsonResponse(200, {{"clockMs", now},
                                    {"born", incarnation_},
                                    {"running", running},
                                    {"ended", ended_}}));
  }

  /// @param task Not a reference, as it may be the key that is erased.
  void End(std::string task, const char* how) {
    const ActiveRun run = running_.at(task);
    running_.erase(task);
    highest_ended_run_[task] = std::max(highest_ended_run_[task], run.run);
    run_records_[run.record].ended_ms = NowMs();
    run_records_[run.record].how = how;
    ended_.push_back(Json::array({++last_end_number_, task, run.run, how, ""}));
  }

  const std::string id_;
  const std::string address_;
  const std::string zone_;
  StoreServer* const store_;
  std::mutex mutex_;
  bool silent_ = false;
  uint64_t incarnation_ = NowMs();
  uint64_t announcements_ = 0;
  uint64_t fencing_token_ = 0;
  uint64_t lease_end_ms_ = 0;
  uint64_t last_end_number_ = 0;
  std::map<std::string, ActiveRun> running_;
  /// By task: highest number of a run that was ended or stopped.
  std::map<std::string, uint64_t> highest_ended_run_;
  std::vector<Json> ended_;
  std::vector<PendingPoll> pending_polls_;
  std::vector<RunRecord> run_records_;
};

/// The store, the advice service and all backend servers of this process.
class Platform {
 public:
  Platform(const std::string& listen,
           int64_t count,
           int64_t zones,
           int64_t announced_port) {
    const HostPort first = SplitAddress(listen);
    for (int64_t n = 0; n < count; ++n) {
      const std::string address =
          first.host + ":" + std::to_string(first.port + 1 + n);
      const std::string announced =
          announced_port == 0
              ? address
              : first.host + ":" + std::to_string(announced_port + n);
      backends_.push_back(std::make_unique<Backend>(
          "b" + std::to_string(n), announced,
          std::string(1, static_cast<char>('a' + n % zones)), &store_));
      net::HttpServerOptions options;
      options.listen = address;
      servers_.push_back(std::make_unique<net::HttpServer>(
          options,
          [it = backends_.back().get()](const net::HttpRequest& request,
                                        const net::Responder& respond) {
            it->Serve(request, respond);
          }));
    }
    net::HttpServerOptions options;
    options.listen = listen;
    servers_.push_back(std::make_unique<net::HttpServer>(
        options,
        [this](const net::HttpRequest& request, const net::Responder& respond) {
          Serve(request, respond);
        }));
    Tick();
    Announce();
  }

 private:
  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    if (request.path == "/control") {
      Control(Json::parse(request.body, nullptr, false));
      respond(JsonResponse(200, Json::object()));
    } else if (request.path == "/truth") {
      Json out = Json::array();
      for (auto& it : backends_) {
        it->AppendRunRecords(&out);
      }
      respond(JsonResponse(200, out));
    } else if (request.path == "/v1/advise") {
      Json good = Json::array();
      const Json body = Json::parse(request.body, nullptr, false);
      for (const auto& it : body.value("workers", Json::array())) {
        good.push_back({it, "ticket"});
      }
      respond(JsonResponse(200, {{"good", good}, {"validMs", 2000}}));
    } else {
      store_.Serve(request, respond);
    }
  }

  void Control(const Json& body) {
    static const std::map<std::string, MemoryStore::FaultMode> modes = {
        {"well", MemoryStore::FaultMode::kNone},
        {"refuses", MemoryStore::FaultMode::kRejectCalls},
        {"loses", MemoryStore::FaultMode::kDropResponses},
        {"silent", MemoryStore::FaultMode::kDropCalls}};
    if (auto it = modes.find(body.value("mood", "")); it != modes.end()) {
      store_.SetFaultMode(it->second);
    }
    if (body.contains("config")) {
      store_.Put(platform::kOperatorTopic, platform::kConfigKey,
                 body["config"].dump());
    }
    if (body.contains("crash")) {
      backends_.at(body["crash"].get<size_t>())->Crash();
    }
    if (body.contains("silent")) {
      backends_.at(body["silent"].get<size_t>())
          ->SetSilent(body.value("on", true));
    }
  }

  void Tick() {
    store_.Tick();
    for (auto& it : backends_) {
      it->Tick();
    }
    timer_thread_.At(BootClock::now() + kTickInterval, [this] { Tick(); });
  }

  void Announce() {
    for (auto& it : backends_) {
      it->Announce();
    }
    timer_thread_.At(BootClock::now() + kAnnounceInterval,
                     [this] { Announce(); });
  }

  StoreServer store_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
  TimerThread timer_thread_;
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]", kPlatformSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  BlockSignals();
  Platform platform(line->settings.Text("fake.listen"),
                    line->settings.Int("fake.count"),
                    line->settings.Int("fake.zones"),
                    line->settings.Int("fake.announced_port"));
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace bw::fake

int main(int argc, const char** argv) {
  bw::RunMain(bw::fake::Main, argc, argv);
}
