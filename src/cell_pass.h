// One placing pass of the cell. Private to cell_*.cc.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "cell_base.h"

namespace bw {

/// A backend server that did not respond gets no work for this long, or until
/// it responds.
inline constexpr milliseconds kSuspectDuration{10'000};

inline int64_t SignedMs(uint64_t n) {
  return static_cast<int64_t>(n);
}

/// Total and free resources of all backend servers of one service.
struct Cell::ServiceCapacity {
  Resources total;
  Resources free;  ///< At the start of the pass, less reservations for gangs.

  bool IsHalfEmpty() const { return free.millicores * 2 > total.millicores; }
};

/// State of one placing pass: the free resources of all servers, less what
/// earlier steps of the pass took or reserved.
struct Cell::Pass {
  Time now;
  Time ends_at = kNever;  ///< No further step is examined then, by BootClock.
  std::vector<Server*> servers;
  /// As the step being placed may use them.
  std::vector<ServerCandidate> candidates;
  /// Per server, less what was placed in this pass.
  std::vector<Resources> free;
  /// Per server, for gangs that come first.
  std::vector<std::vector<Reservation>> reserved;
  /// Per server; computed at the first reservation.
  std::vector<std::vector<Release>> releases;
  std::vector<ServiceCapacity> services;  ///< By number of the service.
  /// Queues whose queries found all instances busy; urgent ones and others.
  std::array<std::vector<QueueId>, 2> busy_queues;
  bool timed_out = false;  ///< Not all steps were examined, for want of time.
  size_t placed = 0;       ///< Steps that were placed whole.
  /// Steps still waiting that can meet their objective, by priority.
  PlacingDelay::Counts in_time;
  bool avoid_cold = false;  ///< Most servers are warm.
  size_t reservations = 0;  ///< Gangs with reserved room.
  size_t max_reservations = 0;

  bool MayReserve() const { return reservations < max_reservations; }
};

}  // namespace bw
