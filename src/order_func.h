// Scheduling order of waiting steps, latency objectives and the rate limit of
// client accounts. All except the rate limiter are pure, thread-safe functions.
#pragma once

#include <compare>
#include <cstdint>

#include "cell_type.h"

namespace bw {

/// Sort key of one waiting step. Times are relative to now and may be negative.
struct WaitingStep {
  uint64_t arrival = 0;          ///< Arrival sequence number of its job.
  uint32_t step = 0;             ///< Index of the step in its job.
  uint32_t priority = 0;         ///< Priority of its queue; 0 is the highest.
  bool has_reservation = false;  ///< An earlier pass reserved room for it.
  bool rate_limited = false;     ///< Its account exceeded its rate limit.
  int64_t objective_in_ms = 0;   ///< Time until its job's latency objective.
  int64_t cutoff_in_ms = 0;      ///< Time until its job earns no more credit.
  int64_t remaining_ms = 0;      ///< Minimum time until its job completes.

  bool operator==(const WaitingStep&) const = default;
};

/// Deadline class of a job if the step starts now, best class first.
enum class DeadlineClass : uint8_t {
  kInTime,      ///< Meets its latency objective.
  kLate,        ///< Misses the objective but still earns credit.
  kPastCutoff,  ///< Earns no credit any more.
};
DeadlineClass DeadlineClassOf(const WaitingStep& it);

/// @return True if the step can meet its objective only if its estimate holds.
/// A step with reserved room is not doubtful: it starts when that is complete.
bool IsDoubtful(const WaitingStep& it);

/// @return True if `a` is scheduled before `b`. Steps within their account's
/// rate limit come first, then the better deadline class, then the higher
/// priority, then the least slack. While more is asked than there is room,
/// every step would wait until its slack is used up, and all would end late:
/// doubtful ones come after the others of their priority, the most slack first.
bool ComesBefore(const WaitingStep& a, const WaitingStep& b);

/// Latency objective of a job. Both times count from the job's acceptance; for
/// scheduled and repeated jobs from when the step started to wait.
struct Objective {
  uint64_t in_time_ms = 0;  ///< Completions up to this earn full credit.
  uint64_t cutoff_ms = 0;   ///< Completions after this earn no credit.

  auto operator<=>(const Objective&) const = default;
};
/// @param chain_ms Estimated run time of the longest chain of dependent steps.
Objective ObjectiveOf(const CellQueue& queue, uint64_t chain_ms);

/// @return Estimated run time of the longest chain of dependent steps.
/// @param still_to_do For each step, whether it counts; empty: all steps count.
uint64_t LongestChainMs(const BatchSpec& spec,
                        const std::vector<bool>& still_to_do);

/// @return True if a new job is rejected: its account is over its rate limit,
/// and too many rate-limited steps of its queue are waiting already. Those of
/// other queues don't count, as wide steps that wait for long would keep short
/// ones from room that is left.
/// @param rate_limited The job's account is over its rate limit.
/// @param rate_limited_waiting Number of those steps.
bool ShouldRejectJob(bool rate_limited, size_t rate_limited_waiting);

/// @return True if new jobs are rejected because so many steps are waiting that
/// a further one could hardly start in time.
/// @param waiting_steps Those of jobs within their account's rate limit; the
/// others come after any new one of these.
/// @param half_empty Whether less than half of the servers' capacity is in use;
/// then most of the waiting steps need particular servers.
bool IsBacklogFull(size_t waiting_steps, size_t servers, bool half_empty);

/// Deadline class of a new job by the expected delay until it is placed.
/// @param chain_ms Estimated run time of its longest chain of steps.
DeadlineClass DeadlineClassAfter(const Objective& objective,
                                 uint64_t chain_ms,
                                 Duration placing_delay);

/// @return Retry-After of a refused job: `least_ms` and a part that differs
/// between jobs, as refused callers must not return all at once.
uint32_t SpreadRetryAfterMs(const JobId& job, uint32_t least_ms);

/// Rate limiter of accepted jobs: one token bucket for each client account.
/// Not thread-safe.
class AccountRateLimiter {
 public:
  /// Charges one job to the account. @return True if the account is over its
  /// rate limit; the job is not charged then.
  /// @param per_second Rate limit in jobs per second; 0 or less: no limit.
  bool ExceedsRate(const TeamId& team, double per_second, Time now);

 private:
  struct Bucket {
    double tokens = 0;
    Time refilled_at = kNever;
  };
  std::map<TeamId, Bucket> buckets_;
};

}  // namespace bw
