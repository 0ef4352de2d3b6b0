// Request/answer work of one shard: bounded queues per team, runners with
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

/// A request is sent to a runner at most once after its first byte may have
/// left; see docs/DESIGN.md, "At most once". Not thread-safe: belongs to the
/// core thread.
class RequestBoard {
 public:
  /// @pre `port` and `usage` outlive the board.
  RequestBoard(ShardId shard, ShardPort* port, TeamUsage* usage);

  /// Takes in a request; its reply is called exactly once, now or later.
  void Submit(RequestWork work);

  /// Brings the runners in line with the platform's list.
  void OnInstances(const std::vector<platform::ListedInstance>& listed);

  /// Sends what can be sent.
  void Pump();

  /// Drops expired work and asks runners for their lists.
  void Tick();

  /// The shard is no longer this placer's: everything not sent is refused.
  void RefuseWaiting(ErrorCode error);

  /// The shard is this placer's again: another owner may have acted on the
  /// runners, so their own lists are read anew.
  /// @param inherits True if a former owner may have left work running.
  void OnGained(bool inherits);

  size_t Waiting() const { return waiting_count_; }
  size_t InFlight() const { return in_flight_; }

  /// @return Slots that could take a request now.
  uint32_t FreeSlots() const;

 private:
  using QueueKey = std::pair<TeamId, QueueId>;

  /// One request on a runner.
  struct OnRunner {
    TeamId team;
    bool unknown = false;       ///< Its fate is not known.
    uint64_t not_after_ms = 0;  ///< Runner's clock: it starts no later.
    Time ended = kNever;        ///< When the call ended.
    Time sent = kNever;
    Time missing = kNever;  ///< Since when the runner's list lacks it.
    std::shared_ptr<RequestWork> work;  ///< Null when inherited.
  };
  struct Runner {
    platform::ListedInstance info;
    bool listed = true;
    bool inherited = false;  ///< A former owner may have used it.
    bool known = false;      ///< Its own list was read under this owner.
    bool polling = false;
    Time polled = kNever;  ///< When the newest answered poll was asked.
    Time answered = kNever;
    uint64_t clock_ms = 0;  ///< Runner's clock in that answer.
    std::map<std::string, OnRunner> requests;
    uint32_t failures = 0;  ///< Calls that failed in a row.
    Time avoid_until = kNever;

    bool Usable(Time now) const {
      return listed && known && !info.leaving && now >= avoid_until &&
             requests.size() < info.slots;
    }
  };

  /// Where a request with an idempotency key stands.
  enum class KeyedState : uint8_t { kLogging, kReady, kSent, kDone, kUnknown };
  struct Keyed {
    KeyedState state = KeyedState::kLogging;
    uint64_t body_hash = 0;
    WorkOutcome answer;  ///< Of kDone.
    Time ended = kNever;
    std::vector<OutcomeReply> extra;  ///< Callers who came back.
  };

  WorkOutcome CheckEntry(const RequestWork& work);
  void NoteRefusal(const RequestWork& work, ErrorCode error);
  bool SubmitKeyed(RequestWork* work);
  bool JoinKeyed(Keyed* keyed, RequestWork* work, uint64_t body_hash);
  void LogIntent(const std::shared_ptr<RequestWork>& work);
  void Enqueue(RequestWork work);
  void End(RequestWork* work, WorkOutcome outcome);
  void Refuse(RequestWork* work, ErrorCode error, std::string detail = {});
  bool SendNext();
  RequestQueue* PickQueue();
  Runner* PickRunner();
  void SendTo(Runner* runner, RequestWork work);
  void OnAnswer(const std::string& runner,
                const std::shared_ptr<RequestWork>& work,
                const net::HttpResult& result);
  void Release(Runner* runner, const std::string& id);
  void NoteHealth(Runner* runner, const net::HttpResult& result);
  void Poll(Runner* runner);
  void OnPolled(const std::string& name,
                Time asked,
                const net::HttpResult& result);
  void EndMissing(Runner* runner,
                  Time asked,
                  const std::set<std::string>& running);
  void AdoptListed(Runner* runner, const std::set<std::string>& running);
  void CountUnseen();
  void DropExpired();
  void ForgetOldKeys();

  const ShardId shard_;
  ShardPort* const port_;
  TeamUsage* const usage_;
  std::map<std::string, Runner> runners_;
  std::map<QueueKey, RequestQueue> waiting_;
  std::map<IdempotencyId, Keyed> keyed_;
  size_t waiting_count_ = 0;
  size_t in_flight_ = 0;
  size_t next_runner_ = 0;
  Time gained_ = kNever;
  bool inherits_ = false;  ///< Until the first list after the take-over.
};

}  // namespace bw
