// Placement of a step's tasks on backend servers, and reservations for gangs.
// Pure functions over plain values; thread-safe.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "cell_type.h"

namespace bw {

/// Lag of a server of usual speed.
inline constexpr uint32_t kUsualLag = 4;

/// State of one backend server, as input of the placement.
struct ServerCandidate {
  Resources total;
  Resources free;           ///< Free capacity less reservations.
  Resources over_reserved;  ///< Reserved beyond what is free now.
  uint32_t rack = 0;        ///< Index of the rack.
  uint32_t step_tasks = 0;  ///< Tasks of the same step that run on it.
  uint32_t penalty = 0;     ///< Recent failures on it; 0: none.
  bool usable = true;  ///< Reachable, not draining, admitted by a valid ticket.
  bool near_data = true;     ///< In the rack that holds the step's data.
  bool slow = false;         ///< Currently much slower than the others.
  uint32_t lag = kUsualLag;  ///< Of its kind of machine, see LagOf.

  bool operator==(const ServerCandidate&) const = default;
};

/// Kind of server that a step prefers among those that it may use.
enum class SpeedWish : uint8_t {
  kAny,
  kFast,  ///< For gangs, which end with their slowest member, and urgent steps.
  kSlow,  ///< For patient steps, which leave the fast servers to others.
};

/// @return Lag of a server: kUsualLag, one more for each factor of two that it
/// is slower and one less for each that it is faster.
/// @param speed Relative to the fleet; 1: usual.
/// @param last Its lag so far, kept while `speed` is near the limit.
uint32_t LagOf(double speed, uint32_t last);

/// @return Kind of server for a step that does not last.
/// @param remaining_ms Critical path of the unfinished work.
/// @param objective_in_ms Time left to the latency objective.
SpeedWish SpeedWishOf(bool gang, int64_t remaining_ms, int64_t objective_in_ms);

/// @return Sort key of servers by speed, the preferred first.
uint32_t UnwantedSpeed(SpeedWish wish, uint32_t lag);

/// Resources and placement constraints of a step.
struct StepNeed {
  Resources task;           ///< Resources of one task.
  uint32_t count = 1;       ///< Number of tasks to place.
  bool gang = false;        ///< Places all tasks or none.
  bool same_rack = false;   ///< Places all tasks in one rack.
  bool near_only = false;   ///< Uses only servers with `near_data`.
  bool spread = false;      ///< Spreads tasks over servers, not packed.
  bool avoid_slow = false;  ///< Uses no server marked `slow`.
  SpeedWish speed = SpeedWish::kAny;
  uint32_t per_server = 0;  ///< Maximum on one server; 0: no limit.

  bool operator==(const StepNeed&) const = default;
};

/// Server index of a task that was not placed.
inline constexpr uint32_t kNoServer = 0xffffffff;

/// @return True if the server meets the step's constraints; capacity is not
/// checked.
bool MayUse(const ServerCandidate& server, const StepNeed& need);

/// @return Number of tasks, at most `need.count`, that fit into `room` on this
/// server.
uint32_t SlotsIn(const ServerCandidate& server,
                 const Resources& room,
                 const StepNeed& need);

/// Chooses servers for a step's tasks. Packs tasks on the fullest servers,
/// which leaves large free blocks for wide tasks.
/// @return For each task the index of its server, or kNoServer; for a gang all
/// are kNoServer unless all tasks fit.
std::vector<uint32_t> FitStep(std::span<const ServerCandidate> servers,
                              const StepNeed& need);

/// Resources that a running task frees when it ends.
struct Release {
  int64_t ends_in_ms = 0;  ///< Estimated time until the task ends.
  Resources room;

  bool operator==(const Release&) const = default;
};

/// Reservation on a server for a gang that is scheduled earlier.
struct Reservation {
  Resources room;
  int64_t start_in_ms = 0;  ///< Estimated time until the gang starts.

  bool operator==(const Reservation&) const = default;
};

/// @return Resources of the reservations that a task of `task_ms` would delay.
/// Those of gangs that start only after the task's end don't count, so that
/// short tasks can backfill.
Resources ReservedDuring(std::span<const Reservation> reserved,
                         int64_t task_ms);

/// Servers reserved for the tasks of a gang.
struct GangReservation {
  std::vector<uint32_t> tasks;  ///< For each server; empty: does not fit.
  int64_t start_in_ms = 0;      ///< Estimated time until all tasks fit.

  bool operator==(const GangReservation&) const = default;
};

/// Chooses the servers to reserve for a gang that does not fit yet: those where
/// it can start first, so that reserved resources are idle as briefly as
/// possible.
/// @param releases Expected releases of each server; empty: unknown.
GangReservation ReserveForGang(std::span<const ServerCandidate> servers,
                               std::span<const std::vector<Release>> releases,
                               const StepNeed& need);

}  // namespace bw
