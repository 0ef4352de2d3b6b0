#include <algorithm>
#include <tuple>

#include "order_func.h"

namespace bw {
namespace {

/// Completions within three times the objective earn credit: RULES, "Credit".
constexpr uint64_t kLateFactor = 3;
/// Estimates are rough, and the slowest server decides when a step ends: a step
/// with less slack than this part of its remaining time often ends late.
constexpr int64_t kMarginDivisor = 4;
/// Maximum of waiting rate-limited steps of a queue. They run only on capacity
/// that other jobs leave unused, so more would not complete more of them.
constexpr size_t kMaxRateLimitedWaiting = 40;
/// Maximum of waiting steps, for each backend server and at least. A server
/// starts a few steps a second at most.
constexpr size_t kMaxWaitingPerServer = 2;
constexpr size_t kMinMaxWaiting = 300;
/// That maximum grows by this in a half-empty service. Bounds memory.
constexpr size_t kHalfEmptyFactor = 10;
/// Refused callers return within this time after the least one.
constexpr uint32_t kRetrySpreadMs = 2000;
/// A shorter expected delay makes no job late.
constexpr milliseconds kMinPlacingDelay{300};
/// Size of an account's token bucket, in seconds of its rate.
constexpr double kBurstSeconds = 2;

}  // namespace

DeadlineClass DeadlineClassOf(const WaitingStep& it) {
  if (it.remaining_ms <= it.objective_in_ms) {
    return DeadlineClass::kInTime;
  }
  if (it.remaining_ms > it.cutoff_in_ms) {
    return DeadlineClass::kPastCutoff;
  }
  // A step with a reservation ranks as in time, so that a late gang does not
  // lose its reservation just before it can start.
  return it.has_reservation ? DeadlineClass::kInTime : DeadlineClass::kLate;
}

bool IsDoubtful(const WaitingStep& it) {
  const int64_t slack = it.objective_in_ms - it.remaining_ms;
  return DeadlineClassOf(it) == DeadlineClass::kInTime && !it.has_reservation &&
         slack < it.remaining_ms / kMarginDivisor;
}

bool ComesBefore(const WaitingStep& a, const WaitingStep& b) {
  const auto key = [](const WaitingStep& it) {
    const int64_t slack = it.objective_in_ms - it.remaining_ms;
    const bool doubtful = IsDoubtful(it);
    return std::make_tuple(it.rate_limited, DeadlineClassOf(it), it.priority,
                           doubtful, doubtful ? -slack : slack, it.arrival,
                           it.step);
  };
  return key(a) < key(b);
}

Objective ObjectiveOf(const CellQueue& queue, uint64_t chain_ms) {
  Objective out;
  out.in_time_ms =
      static_cast<uint64_t>(queue.stretch * static_cast<double>(chain_ms)) +
      queue.target_latency_ms;
  out.cutoff_ms = kLateFactor * out.in_time_ms;
  return out;
}

uint64_t LongestChainMs(const BatchSpec& spec,
                        const std::vector<bool>& still_to_do) {
  std::vector<uint64_t> ends(spec.steps.size());
  uint64_t longest = 0;
  for (size_t n = 0; n < spec.steps.size(); ++n) {
    uint64_t begin = 0;
    for (uint32_t before : spec.steps[n].depends_on) {
      begin = std::max(begin, ends[before]);
    }
    const bool counts = still_to_do.empty() || still_to_do[n];
    ends[n] = begin + (counts ? spec.steps[n].estimate_ms : 0);
    longest = std::max(longest, ends[n]);
  }
  return longest;
}

bool ShouldRejectJob(bool rate_limited, size_t rate_limited_waiting) {
  return rate_limited && rate_limited_waiting >= kMaxRateLimitedWaiting;
}

bool IsBacklogFull(size_t waiting_steps, size_t servers, bool half_empty) {
  const size_t most = std::max(kMinMaxWaiting, kMaxWaitingPerServer * servers);
  return waiting_steps >= (half_empty ? kHalfEmptyFactor * most : most);
}

DeadlineClass DeadlineClassAfter(const Objective& objective,
                                 uint64_t chain_ms,
                                 Duration placing_delay) {
  const auto exceeds = [&](uint64_t limit_ms) {
    const milliseconds slack(limit_ms - std::min(limit_ms, chain_ms));
    return placing_delay > std::max(slack, kMinPlacingDelay);
  };
  if (!exceeds(objective.in_time_ms)) {
    return DeadlineClass::kInTime;
  }
  return exceeds(objective.cutoff_ms) ? DeadlineClass::kPastCutoff
                                      : DeadlineClass::kLate;
}

uint32_t SpreadRetryAfterMs(const JobId& job, uint32_t least_ms) {
  return least_ms + static_cast<uint32_t>(std::hash<std::string>()(job.value) %
                                          kRetrySpreadMs);
}

bool AccountRateLimiter::ExceedsRate(const TeamId& team,
                                     double per_second,
                                     Time now) {
  if (per_second <= 0) {
    return false;
  }
  auto [it, added] = buckets_.try_emplace(team);
  Bucket& bucket = it->second;
  const double capacity = std::max(1.0, per_second * kBurstSeconds);
  if (added) {
    bucket.tokens = capacity;
  } else {
    const double seconds =
        std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(capacity, bucket.tokens + seconds * per_second);
  }
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    return true;
  }
  bucket.tokens -= 1;
  return false;
}

}  // namespace bw
