// Tells runs that stand still from gang members that have finished their part.
// Pure functions over plain values; thread-safe.
#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "clock.h"

namespace bw {

/// A run that uses no processor time for this long is idle.
inline constexpr milliseconds kIdleTimeout{1'500};

/// Processor use of one run, from its backend server's reports.
struct RunActivity {
  Time reported_at = kNever;  ///< Last report; kNever: none.
  Time idle_since = kNever;   ///< No processor time used since; kNever: busy.
  /// Bounds of the time in which it used processor time. A report tells only
  /// the use just before it.
  Duration least_worked{0};
  Duration most_worked{0};

  /// Handles a report. @param started When the run was confirmed to run.
  void OnReport(bool busy, Time started, Time now);

  /// @return True if it was idle for kIdleTimeout in its last report.
  bool IsIdle() const { return IdleFor() >= kIdleTimeout; }
  /// @return How long it was idle in its last report; 0: it was busy.
  Duration IdleFor() const {
    return idle_since == kNever ? Duration(0) : reported_at - idle_since;
  }

  bool operator==(const RunActivity&) const = default;
};

/// A member of a gang, as input of the verdict.
struct GangMember {
  RunActivity activity;
  /// It is confirmed to run, and its server has reported lately.
  bool known = false;
  bool seen_from_start = false;  ///< `most_worked` is an upper bound.
  bool server_busy = false;      ///< Other runs on its server are busy.
  Duration ran{0};               ///< Time since it was confirmed to run.

  bool operator==(const GangMember&) const = default;
};

/// @return True if a task that depends on no other one stands still.
/// @param ran Time since it was confirmed to run.
bool IsStalled(const RunActivity& activity, Duration ran);

/// Finds the member that keeps a gang from its end. A gang ends when its
/// slowest member has finished, so an idle member normally waits for others:
/// how long depends on their work, their servers and the tail of run times, not
/// on the estimate. A member stands still if
/// - it stopped after a small part of the work that half of the gang has done,
///   as the members' shares and servers differ by less, or
/// - no member is busy, although the gang has not ended.
/// @return Its index in `members`; in the second case the likeliest one. None
/// if the gang may be waiting for a busy member.
std::optional<size_t> FindStalledMember(std::span<const GangMember> members);

}  // namespace bw
