// Plain types of requests, jobs and their tasks.
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

/// Result of a request or job submission, as returned to the caller.
struct WorkOutcome {
  ErrorCode error = ErrorCode::kNone;
  int status = 200;  ///< HTTP status from the runner if `error` is kNone.
  std::string body;
  std::string content_type;
  uint32_t retry_after_ms = 0;
  std::string detail;

  bool operator==(const WorkOutcome&) const = default;
};
using OutcomeReply = std::function<void(WorkOutcome)>;

/// Account that submits work, and the queue it goes to.
struct WorkOrigin {
  TeamId team;
  QueueId queue;
  std::string key_hash;         ///< Hash of the API key; empty: none.
  std::string idempotency_key;  ///< Empty: none.

  auto operator<=>(const WorkOrigin&) const = default;
};

/// A request that waits for or runs on a runner.
struct RequestWork {
  std::string id;  ///< "team:instance:number"; unique in the fleet.
  WorkOrigin origin;
  std::string body;
  std::string content_type;
  Time accepted = kNever;  ///< Time at which the shard accepted it.
  Time valid_until;        ///< Must not be sent to a runner after this.
  Duration max_run;        ///< Run time-out; the outcome is unknown then.
  OutcomeReply reply;
};

enum class JobKind : uint8_t { kService, kBatch, kGang };

/// Specification of a job. Immutable after acceptance.
struct JobSpec {
  JobId id;
  WorkOrigin origin;
  JobKind kind = JobKind::kBatch;
  uint32_t tasks = 1;
  Resources need;       ///< Resources of each task.
  bool restart = true;  ///< False: each task runs at most once.
  uint64_t run_ms = 0;  ///< Declared run time; 0: until stopped.
  std::string command;  ///< Passed to the worker unchanged.

  auto operator<=>(const JobSpec&) const = default;

  /// @return Units of the team's limit that one task uses: its cores, rounded
  /// up and at least 1.
  uint64_t UnitsPerTask() const {
    constexpr uint64_t kMillicoresPerUnit = 1000;
    const uint64_t n =
        (need.millicores + kMillicoresPerUnit - 1) / kMillicoresPerUnit;
    return n == 0 ? 1 : n;
  }
};

/// State of one job as recorded in the jobs stream.
struct JobRecord {
  uint32_t shard = 0;
  JobSpec spec;
  bool cancelled = false;
  std::set<uint32_t> done;     ///< Tasks that succeeded.
  std::set<uint32_t> failed;   ///< Tasks that failed and are not retried.
  std::set<uint32_t> started;  ///< Started tasks of a job without `restart`.

  bool operator==(const JobRecord&) const = default;
  bool Ended() const {
    return cancelled || done.size() + failed.size() >= spec.tasks;
  }
};

/// Write-ahead record of a request with an idempotency key, stored before the
/// request is sent to a runner.
struct WriteAheadRecord {
  uint32_t shard = 0;
  uint64_t body_hash = 0;

  bool operator==(const WriteAheadRecord&) const = default;
};

/// Team and idempotency key.
using IdempotencyId = std::pair<TeamId, std::string>;

/// State replayed from one zone's jobs stream. A plain value.
struct JobsState {
  Offset version = 0;  ///< Offset of the next record to apply.
  std::map<JobId, JobRecord> jobs;
  std::map<IdempotencyId, WriteAheadRecord> write_ahead_records;
  std::map<IdempotencyId, JobId> job_keys;

  bool operator==(const JobsState&) const = default;
};

}  // namespace bw
