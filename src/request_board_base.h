// Request/response work of one shard: bounded queues per team, runners with
// slots, and the outcome of every request.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/instance_list.h"
#include "request_queue_base.h"
#include "shard_type.h"
#include "usage_base.h"
#include "work_type.h"

namespace bw {

/// Queues requests and sends them to runners. Once any byte of a request may
/// have reached a runner it is never sent again; see docs/DESIGN.md, "At most
/// once". Not thread-safe: belongs to the core thread.
class RequestBoard {
 public:
  /// @pre `port` and `usage` outlive the board.
  RequestBoard(ShardId shard, ShardPort* port, TeamUsage* usage);

  /// Accepts or refuses a request. Its reply callback is called exactly once,
  /// possibly before this returns.
  void Submit(RequestWork work);

  /// Updates the runners from the platform's instance list.
  void OnInstances(const std::vector<platform::ListedInstance>& listed);

  /// Sends queued requests while a queue and a runner are eligible.
  void SendQueued();

  /// Refuses expired requests, evicts old idempotency keys and polls runners
  /// that are due. Call periodically.
  void Tick();

  /// Refuses all queued requests, as this placer no longer owns the shard.
  void RefuseWaiting(ErrorCode error);

  /// Starts a term of ownership of the shard. Another owner may have used the
  /// runners in the meantime, so each one is polled before it is used.
  /// @param inherits True if a former owner may have left work running.
  void OnOwnershipGained(bool inherits);

  size_t Waiting() const { return waiting_count_; }
  size_t InFlight() const { return in_flight_; }

  /// @return Free slots of all usable runners.
  uint32_t FreeSlots() const;

 private:
  using QueueKey = std::pair<TeamId, QueueId>;

  /// A request that occupies a slot of a runner.
  struct AssignedRequest {
    TeamId team;
    bool outcome_unknown = false;    ///< The call ended without a response.
    uint64_t start_deadline_ms = 0;  ///< Latest start, by the runner's clock.
    Time call_ended_at = kNever;     ///< Set if the outcome is unknown.
    Time sent_at = kNever;
    Time missing_since = kNever;        ///< First poll without it.
    std::shared_ptr<RequestWork> work;  ///< Null if of a former owner.
  };

  struct Runner {
    platform::ListedInstance info;
    bool listed = true;
    bool inherited = false;  ///< A former owner may have sent it requests.
    bool reported = false;   ///< It was polled successfully by this owner.
    bool poll_in_flight = false;
    Time last_poll_at = kNever;  ///< Send time of the newest successful poll.
    Time last_response_at = kNever;  ///< Response time of that poll.
    uint64_t clock_ms = 0;           ///< Runner's clock in that response.
    std::map<std::string, AssignedRequest> requests;
    uint32_t failures = 0;  ///< Consecutive failed calls.
    Time avoid_until = kNever;

    bool IsUsable(Time now) const {
      return listed && reported && !info.leaving && now >= avoid_until &&
             requests.size() < info.slots;
    }
  };

  /// State of a request with an idempotency key.
  enum class KeyedState : uint8_t { kLogging, kReady, kSent, kDone, kUnknown };

  /// A request with an idempotency key.
  struct KeyedRequest {
    KeyedState state = KeyedState::kLogging;
    uint64_t body_hash = 0;
    WorkOutcome outcome;     ///< Valid for kDone and kUnknown.
    Time ended_at = kNever;  ///< kNever until the request has ended.
    std::vector<OutcomeReply> duplicate_replies;  ///< For repeated calls.
  };

  WorkOutcome CheckAdmission(const RequestWork& work);
  void RecordRefusal(const RequestWork& work, ErrorCode error);
  bool SubmitKeyed(RequestWork* work);
  bool HandleDuplicate(KeyedRequest* keyed,
                       RequestWork* work,
                       uint64_t body_hash);
  void AppendWriteAheadRecord(const std::shared_ptr<RequestWork>& work);
  void Enqueue(RequestWork work);
  void End(RequestWork* work, WorkOutcome outcome);
  void Refuse(RequestWork* work, ErrorCode error, std::string detail = {});
  bool SendNext();
  RequestQueue* PickQueue();
  Runner* PickRunner();
  void SendTo(Runner* runner, RequestWork work);
  void OnRunResponse(const std::string& runner,
                     const std::shared_ptr<RequestWork>& work,
                     const net::HttpResult& result);
  void ReleaseSlot(Runner* runner, const std::string& id);
  void UpdateHealth(Runner* runner, const net::HttpResult& result);
  void Poll(Runner* runner);
  void OnLoadResponse(const std::string& name,
                      Time poll_sent_at,
                      const net::HttpResult& result);
  void EndMissingRequests(Runner* runner,
                          Time poll_sent_at,
                          const std::set<std::string>& running);
  void AdoptRunningRequests(Runner* runner,
                            const std::set<std::string>& running);
  void UpdateUnreportedSlots();
  void DropExpired();
  void EvictOldKeys();

  const ShardId shard_;
  ShardPort* const port_;
  TeamUsage* const usage_;
  std::map<std::string, Runner> runners_;
  std::map<QueueKey, RequestQueue> waiting_;
  std::map<IdempotencyId, KeyedRequest> keyed_;
  size_t waiting_count_ = 0;
  size_t in_flight_ = 0;
  size_t next_runner_ = 0;
  Time owner_since_ = kNever;
  /// Runners in the next instance list may run a former owner's requests.
  bool may_inherit_work_ = false;
};

}  // namespace bw
