// The gate: takes callers' requests and jobs, finds team and shard, and gives
// every caller one answer.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "follow_base.h"
#include "kernel_base.h"
#include "keytrust_base.h"
#include "loop_base.h"
#include "metric_base.h"
#include "net/http_type.h"
#include "net/mesh.h"
#include "peer_base.h"
#include "work_type.h"

namespace bw {

/// Settings of a gate, already checked.
struct GateOptions {
  InstanceId instance;
  ZoneId zone;
  Duration key_bound{5'000'000};
  bool serve_in_outage = true;
  milliseconds log_wait{500};
  milliseconds max_run{30'000};    ///< Longest run of one request.
  milliseconds drain_grace{1000};  ///< The balancer notices within this.
  size_t max_body_bytes = 1 << 20;
  size_t max_open = 10'000;  ///< Callers served at once.
  std::map<std::string, std::string> links;
  std::vector<std::string> seeds;
};

/// What the gate needs from outside. @pre All outlive the gate.
struct GateParts {
  platform::LogService* log = nullptr;
  Timeline* events = nullptr;
  Metrics* metrics = nullptr;
};

/// The service "gate". Serve is thread-safe; all else runs on the core thread.
class Gate : public Service {
 public:
  Gate(GateOptions options, GateParts parts);
  ~Gate() override;

  void Start(Kernel& kernel) override;
  void Drain() override;
  bool IsBusy() const override { return busy_; }
  void Stop() override;

  /// Handles one caller's HTTP request.
  void Serve(const net::HttpRequest& request, net::Responder responder);

  /// @return True if callers can be served. Thread-safe.
  bool IsReady() const { return ready_ && !draining_; }

  std::string StatusText() const;

 private:
  enum class CallKind : uint8_t { kRequest, kJob, kJobQuery };

  /// One caller under way.
  struct Call {
    uint64_t number = 0;
    CallKind kind = CallKind::kRequest;
    WorkOrigin origin;
    std::string body;
    std::string content_type;
    JobId job;
    bool cancel = false;
    Time began;
    Time valid_until;
    std::set<uint32_t> tried;  ///< Shards that refused for now.
    uint32_t sends = 0;        ///< Placers it was sent to so far.
    ErrorCode last_error = ErrorCode::kNoOwner;
    net::Responder responder;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// A placer as its newest ticket shows it.
  struct Contact {
    Member member;
    Time wanted = kNever;    ///< Last use; contacts out of use are dropped.
    Time greeted = kNever;   ///< Last heartbeat to it.
    Time received = kNever;  ///< Newest ticket.
    uint64_t clock_us = 0;   ///< Placer's clock in that ticket.
    std::map<uint32_t, proto::ShardReport> shards;
  };

  /// A call that was sent and not yet answered.
  struct Sent {
    CallPtr call;
    InstanceId placer;
    uint64_t incarnation = 0;
    Time asked = kNever;  ///< When its fate was asked for last.
    uint32_t shard = 0;
  };

  void Take(const CallPtr& call, const std::string& team_asked);
  ErrorCode FindOrigin(Call* call, const std::string& team_asked) const;
  void Route(const CallPtr& call);
  Contact* PickContact(const Call& call, uint32_t* shard);
  Contact* ContactOf(uint32_t shard);
  bool IsCurrent(const Contact& contact, Time now) const;
  void SendTo(const CallPtr& call, Contact* contact, uint32_t shard);
  proto::Envelope MakeQuestion(const Call& call,
                               const Contact& contact,
                               uint32_t shard) const;
  void PostOutcome(const CallPtr& call,
                   uint32_t sends,
                   uint32_t shard,
                   const WorkOutcome& outcome);
  void OnOutcome(const CallPtr& call, uint32_t shard, WorkOutcome outcome);
  void Park(const CallPtr& call, ErrorCode error);
  void GiveUpLost();
  void SettleOverdue();
  void AskFate(Sent* sent);
  std::string NameOf(const Call& call) const;
  bool IsLost(const Sent& sent, Time now) const;
  void Finish(const CallPtr& call, const WorkOutcome& outcome);
  void Tick();
  void OnGap();
  void SendHellos();
  void Greet(const Member& member);
  void OnTicket(const Member& member, Time asked, const proto::Ticket& ticket);
  std::string AddressOf(const Member& member) const;

  const GateOptions options_;
  const GateParts parts_;
  ControlFollower control_;
  ControlFollower::StatePtr state_;
  KeyTrust keys_;
  PeerHealth health_;
  std::map<InstanceId, Contact> contacts_;
  std::vector<CallPtr> parked_;
  std::map<uint64_t, Sent> sent_;  ///< By call number.
  std::atomic<size_t> open_{0};
  const std::string call_prefix_;  ///< Names calls uniquely in the fleet.
  uint64_t last_number_ = 0;
  Time next_hello_ = kNever;
  Time next_fetch_ = kNever;
  Time next_unpark_ = kNever;
  std::atomic<bool> ready_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> busy_{false};
  Time drain_began_ = kNever;
  std::unique_ptr<net::Mesh> mesh_;
  std::unique_ptr<StreamFollower> follower_;
  Loop loop_;
};

/// @return The problem document of a failure. Thread-safe.
net::HttpResponse ProblemResponse(const WorkOutcome& outcome);

}  // namespace bw
