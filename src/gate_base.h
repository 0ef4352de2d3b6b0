// The gate: accepts callers' requests and jobs, determines team and shard,
// forwards the work to a placer and sends every caller exactly one response.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_loop_base.h"
#include "follow_base.h"
#include "kernel_base.h"
#include "key_freshness_base.h"
#include "metric_base.h"
#include "net/http_type.h"
#include "net/mesh.h"
#include "peer_base.h"
#include "work_type.h"

namespace bw {

/// Validated settings of a gate.
struct GateOptions {
  InstanceId instance;
  ZoneId zone;
  Duration max_key_age{5'000'000};  ///< Age up to which API keys count as
                                    ///< current.
  bool serve_in_outage = true;
  milliseconds log_poll_timeout{500};  ///< Time-out of a long poll.
  milliseconds max_run{30'000};        ///< Longest run time of one request.
  milliseconds drain_grace{1000};      ///< Time for the balancer to notice the
                                       ///< drain.
  size_t max_body_bytes = 1 << 20;
  size_t max_open_calls = 10'000;  ///< Most concurrent calls.
  /// Mesh address by instance name, used in place of the member's own address.
  std::map<std::string, std::string> address_overrides;
  std::vector<std::string> seeds;  ///< Mesh addresses to fetch the control
                                   ///< state from.
};

/// Dependencies of the gate. @pre All outlive the gate.
struct GateParts {
  platform::LogService* log = nullptr;
  Timeline* events = nullptr;
  Metrics* metrics = nullptr;
};

/// The service "gate". Serve is thread-safe; everything else runs on the core
/// thread unless marked thread-safe.
class Gate : public Service {
 public:
  Gate(GateOptions options, GateParts parts);
  ~Gate() override;

  void Start(Kernel& kernel) override;
  void Drain() override;
  bool IsBusy() const override { return busy_; }
  void Stop() override;

  /// Handles one caller's HTTP request and responds through `responder`.
  void Serve(const net::HttpRequest& request, net::Responder responder);

  /// @return True if callers can be served. Thread-safe.
  bool IsReady() const { return ready_ && !draining_; }

  /// @return The state of this gate as JSON. Thread-safe.
  std::string StatusText() const;

 private:
  enum class CallKind : uint8_t { kRequest, kJob, kJobQuery };

  /// One caller's request that has no response yet.
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
    std::set<uint32_t> tried;  ///< Shards that refused since it was last
                               ///< parked.
    uint32_t sends = 0;        ///< Times it was sent to a placer.
    ErrorCode last_error = ErrorCode::kNoOwner;
    net::Responder responder;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// A placer and its state according to its newest reply to a hello.
  struct Contact {
    Member member;
    Time last_used = kNever;       ///< Unused contacts are removed.
    Time last_hello = kNever;      ///< When the last hello was sent.
    Time last_reply = kNever;      ///< When the newest reply came.
    uint64_t placer_clock_us = 0;  ///< Placer's clock in that reply.
    std::map<uint32_t, proto::ShardReport> shards;
  };

  /// A call that was sent and not yet answered.
  struct SentCall {
    CallPtr call;
    InstanceId placer;
    uint64_t incarnation = 0;
    Time outcome_queried_at = kNever;  ///< Last query for its outcome; at first
                                       ///< the time it was sent.
    uint32_t shard = 0;
  };

  void AcceptCall(const CallPtr& call, const std::string& requested_team);
  ErrorCode ResolveOrigin(Call* call, const std::string& requested_team) const;
  void Route(const CallPtr& call);
  Contact* PickContact(const Call& call, uint32_t* shard);
  Contact* FindActingOwner(uint32_t shard);
  bool IsCurrent(const Contact& contact, Time now) const;
  void SendTo(const CallPtr& call, Contact* contact, uint32_t shard);
  proto::Envelope MakeRequest(const Call& call,
                              const Contact& contact,
                              uint32_t shard) const;
  void PostOutcome(const CallPtr& call,
                   uint32_t sends,
                   uint32_t shard,
                   const WorkOutcome& outcome);
  void OnOutcome(const CallPtr& call, uint32_t shard, WorkOutcome outcome);
  void Park(const CallPtr& call, ErrorCode error);
  void FailLostCalls();
  void QueryOverdueOutcomes();
  void QueryOutcome(SentCall* sent);
  std::string MakeCallId(const Call& call) const;
  bool IsPlacerLost(const SentCall& sent, Time now) const;
  void Finish(const CallPtr& call, const WorkOutcome& outcome);
  void Tick();
  void OnClockGap();
  void SendHellos();
  void SendHello(const Member& member);
  void OnHelloReply(const Member& member,
                    Time sent_at,
                    const proto::Ticket& ticket);
  std::string AddressOf(const Member& member) const;

  const GateOptions options_;
  const GateParts parts_;
  ControlFollower control_;
  ControlFollower::StatePtr state_;
  KeyFreshness keys_;
  PeerHealth health_;
  std::map<InstanceId, Contact> contacts_;
  std::vector<CallPtr> parked_;
  std::map<uint64_t, SentCall> sent_;  ///< By call number.
  std::atomic<size_t> open_{0};
  const std::string call_prefix_;  ///< Makes call IDs unique in the fleet.
  uint64_t last_number_ = 0;
  Time next_hello_ = kNever;
  Time next_state_fetch_ = kNever;
  Time next_parked_retry_ = kNever;
  std::atomic<bool> ready_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> busy_{false};
  Time drain_began_ = kNever;
  std::unique_ptr<net::Mesh> mesh_;
  std::unique_ptr<StreamFollower> follower_;
  EventLoop loop_;
};

/// @return The problem document (RFC 9457) of a failure. Thread-safe.
net::HttpResponse ProblemResponse(const WorkOutcome& outcome);

}  // namespace bw
