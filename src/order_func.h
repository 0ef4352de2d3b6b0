// The order in which waiting steps get room: pure functions. Thread-safe.
#pragma once

#include <compare>
#include <cstdint>

#include "cell_type.h"

namespace bw {

/// What the order needs to know of one waiting step. A plain value.
struct WaitingStep {
  uint64_t arrival = 0;         ///< Order of arrival of its job.
  uint32_t step = 0;            ///< Number of the step in its job.
  uint32_t priority = 0;        ///< Of its queue; 0 comes first.
  bool room_kept = false;       ///< Room is kept for it since an earlier pass.
  bool over_share = false;      ///< Beyond the rate that its account is owed.
  int64_t objective_in_ms = 0;  ///< Until its job's latency objective.
  int64_t worthless_in_ms = 0;  ///< Until its job's end is worth nothing.
  int64_t remaining_ms = 0;     ///< Shortest time to its job's end.

  bool operator==(const WaitingStep&) const = default;
};

/// How much an end of the job is still worth if it starts now.
enum class Outlook : uint8_t {
  kInTime,
  kLate,
  kWorthless,
};
Outlook OutlookOf(const WaitingStep& it);

/// @return True if `a` gets room before `b`: what its account is owed first,
/// then what can still be in time, then by priority, then by the least slack.
bool ComesBefore(const WaitingStep& a, const WaitingStep& b);

/// A job's latency objective, and when its end stops being worth anything.
struct Objective {
  uint64_t in_time_ms = 0;
  uint64_t late_ms = 0;

  auto operator<=>(const Objective&) const = default;
};
/// @param chain_ms Longest chain of the job's steps.
Objective ObjectiveOf(const CellQueue& queue, uint64_t chain_ms);

/// @return The longest chain of estimated work over the steps in `mask`
/// (steps still to be done); all if empty.
uint64_t LongestChainMs(const BatchSpec& spec,
                        const std::vector<bool>& still_to_do);

/// @return True if a job is not taken in now: it is beyond what its account is
/// owed, and such work already waits in vain.
/// @param over_share_waiting Jobs beyond their accounts' rates that wait.
bool IsTurnedAway(bool over_share, size_t over_share_waiting);

/// Jobs a second that a client account is owed, as a token bucket. Not
/// thread-safe.
class ShareMeter {
 public:
  /// Takes one job in. @return True if it is beyond the account's rate.
  bool IsOver(const TeamId& team, double per_second, Time now);

 private:
  struct Bucket {
    double tokens = 0;
    Time filled = kNever;
  };
  std::map<TeamId, Bucket> buckets_;
};

}  // namespace bw
