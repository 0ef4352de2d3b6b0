// Plain types of work: requests, jobs and their tasks.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "error_type.h"
#include "id_type.h"
#include "place_type.h"

namespace bw {

/// How a piece of work ended, as told to its caller.
struct WorkOutcome {
  ErrorCode error = ErrorCode::kNone;
  int status = 200;  ///< The runner's HTTP status when there is no error.
  std::string body;
  std::string content_type;
  uint32_t retry_after_ms = 0;
  std::string detail;

  bool operator==(const WorkOutcome&) const = default;
};
using OutcomeReply = std::function<void(WorkOutcome)>;

/// Who hands work in, where to.
struct WorkOrigin {
  TeamId team;
  QueueId queue;
  std::string key_hash;         ///< Empty without a key.
  std::string idempotency_key;  ///< Empty without one.

  auto operator<=>(const WorkOrigin&) const = default;
};

/// One request/answer work item.
struct RequestWork {
  std::string id;  ///< "team:instance:number"; unique in the fleet.
  WorkOrigin origin;
  std::string body;
  std::string content_type;
  Time accepted = kNever;  ///< When the shard took it in.
  Time valid_until;        ///< After this it must not be sent to a runner.
  Duration max_run;        ///< Longest run; then the outcome is unknown.
  OutcomeReply reply;
};

enum class JobKind : uint8_t { kService, kBatch, kGang };

/// A job as handed in. Immutable after acceptance.
struct JobSpec {
  JobId id;
  WorkOrigin origin;
  JobKind kind = JobKind::kBatch;
  uint32_t tasks = 1;
  Resources need;       ///< Of each task.
  bool restart = true;  ///< False: each task runs at most once.
  uint64_t run_ms = 0;  ///< Declared run time; 0: until stopped.
  std::string command;  ///< Handed to the worker as it is.

  auto operator<=>(const JobSpec&) const = default;

  /// Units of the team's limit one task takes: its cores, at least 1.
  uint64_t UnitsPerTask() const {
    constexpr uint64_t kMillicoresPerUnit = 1000;
    const uint64_t n =
        (need.millicores + kMillicoresPerUnit - 1) / kMillicoresPerUnit;
    return n == 0 ? 1 : n;
  }
};

/// What the jobs stream says of one job.
struct JobRecord {
  uint32_t shard = 0;
  JobSpec spec;
  bool cancelled = false;
  std::set<uint32_t> done;     ///< Tasks that ended well.
  std::set<uint32_t> failed;   ///< Tasks that will not run again.
  std::set<uint32_t> started;  ///< Run-once tasks whose start was recorded.

  bool operator==(const JobRecord&) const = default;
  bool Ended() const {
    return cancelled || done.size() + failed.size() >= spec.tasks;
  }
};

/// A request with an idempotency key that was to be sent.
struct IntentRecord {
  uint32_t shard = 0;
  uint64_t body_hash = 0;

  bool operator==(const IntentRecord&) const = default;
};

/// Team and idempotency key.
using IdempotencyId = std::pair<TeamId, std::string>;

/// The fold of one zone's jobs stream. A plain value.
struct JobsState {
  Offset version = 0;
  std::map<JobId, JobRecord> jobs;
  std::map<IdempotencyId, IntentRecord> intents;
  std::map<IdempotencyId, JobId> job_keys;

  bool operator==(const JobsState&) const = default;
};

}  // namespace bw
