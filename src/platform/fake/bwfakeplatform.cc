// bwfakeplatform: stand-in for the users' platform. Serves the store and the
// advice service on the first port, and one backend server on each of the
// following ports, with the wire formats of src/platform. Test controls:
//
//   POST /control  {"mood":"well|refuses|loses|silent"}   store's fault mode
//                  {"crash":N}                            restart backend N
//                  {"silent":N,"on":b}                    backend N hangs
//                  {"late":N,"on":b}                      backend N carries
//                                                         orders out 2 s later
//                                                         and does not answer
//                  {"drain":N,"ms":N}                     backend N drains and
//                                                         leaves; "crash"
//                                                         brings it back
//                  {"tickets":b,"share":N}                starts need a ticket;
//                                                         N percent of backends
//                                                         may run a step
//                  {"config":{...}}                       set configuration
//                  {"evacuate":"zone","on":b}             evacuate a zone, or
//                                                         take that back
//   GET  /truth    all runs: task, run, backend, spec, cpu, began_ms, ended_ms,
//                  how, forgotten (the end was lost in a crash), lapsed_unread
//                  (a lease lapsed before the end was read), late (carried
//                  out late), over (beyond the capacity), bad_saved (not a
//                  checkpoint of its step)
//
// A job's spec tells how its tasks behave: see TaskScript.

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
#include "fake_backend.h"

namespace bw::fake {
namespace {

using platform::StoreStatus;

constexpr milliseconds kAnnounceInterval{500};
constexpr milliseconds kTickInterval{10};
constexpr int64_t kServersPerRack = 8;

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
      backends_.push_back(std::make_unique<FakeBackend>(
          "b" + std::to_string(n), announced,
          std::string(1, static_cast<char>('a' + n % zones)),
          "r" + std::to_string(1 + n / kServersPerRack), &shared_,
          [this](const std::string& id, const std::string& entry) {
            store_.Put(platform::kBackendTopic, id, entry);
          }));
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
      const std::string step = body.value("step", "");
      for (const auto& it : body.value("workers", Json::array())) {
        size_t n = 0;
        const std::string id = it;
        std::from_chars(id.data() + 1, id.data() + id.size(), n);
        if (const auto ticket = backends_.at(n)->TicketFor(step);
            !ticket.empty()) {
          good.push_back({it, ticket});
        }
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
    if (body.contains("evacuate")) {
      store_.Put(platform::kOperatorTopic,
                 "evacuate/" + body["evacuate"].get<std::string>(),
                 body.value("on", true) ? "{}" : "");
    }
    if (body.contains("crash")) {
      backends_.at(body["crash"].get<size_t>())->Crash();
    }
    if (body.contains("silent")) {
      backends_.at(body["silent"].get<size_t>())
          ->SetSilent(body.value("on", true));
    }
    if (body.contains("late")) {
      backends_.at(body["late"].get<size_t>())->SetLate(body.value("on", true));
    }
    if (body.contains("drain")) {
      backends_.at(body["drain"].get<size_t>())
          ->Drain(body.value("ms", uint64_t{0}));
    }
    if (body.contains("tickets")) {
      std::lock_guard lock(shared_.mutex);
      shared_.tickets_required = body.value("tickets", false);
      shared_.advice_share = body.value("share", uint64_t{100});
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
  SharedState shared_;
  std::vector<std::unique_ptr<FakeBackend>> backends_;
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
