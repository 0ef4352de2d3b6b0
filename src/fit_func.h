// Which backend servers the tasks of a step go to: pure functions over plain
// values. Thread-safe.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "cell_type.h"

namespace bw {

/// One backend server as the decision sees it.
struct ServerRoom {
  Resources total;
  Resources free;         ///< Less what is kept for steps that come first.
  Resources owed;         ///< Kept for them beyond what is free now.
  uint32_t rack = 0;      ///< Number of the rack.
  uint32_t of_step = 0;   ///< Tasks of the same step on it.
  uint32_t penalty = 0;   ///< Recent failures and slowness; 0 is sound.
  bool usable = true;     ///< Reachable, not leaving, with a valid ticket.
  bool near_data = true;  ///< On the rack where the step's data is.
  bool bad = false;       ///< Several times slower than others now.

  bool operator==(const ServerRoom&) const = default;
};

/// What a step asks for.
struct StepNeed {
  Resources task;           ///< Room one task takes.
  uint32_t count = 1;       ///< Tasks to place.
  bool gang = false;        ///< All or none.
  bool same_rack = false;   ///< Only within one rack.
  bool near_only = false;   ///< Only where `near_data` is set.
  bool spread = false;      ///< Few tasks on each server, not packed.
  bool avoid_bad = false;   ///< Rather waits than use a bad server.
  uint32_t per_server = 0;  ///< Most on one server; 0: any number.

  bool operator==(const StepNeed&) const = default;
};

inline constexpr uint32_t kNoServer = 0xffffffff;

/// @return True if the step may use the server.
bool MayUse(const ServerRoom& server, const StepNeed& need);

/// @return How many tasks fit into `room` on this server.
uint32_t SlotsIn(const ServerRoom& server,
                 const Resources& room,
                 const StepNeed& need);

/// Chooses servers for a step's tasks, packed so that large holes stay for
/// wide tasks. @return For each task the index of its server, or kNoServer;
/// for a gang all are kNoServer unless all fit.
std::vector<uint32_t> FitStep(std::span<const ServerRoom> servers,
                              const StepNeed& need);

/// Room that a run on a server gives back when it ends.
struct Release {
  int64_t in_ms = 0;  ///< Estimated time until then.
  Resources room;

  bool operator==(const Release&) const = default;
};

/// Room kept on a server for a gang that comes first.
struct KeptRoom {
  Resources room;
  int64_t complete_in_ms = 0;  ///< Estimated time until the gang starts.

  bool operator==(const KeptRoom&) const = default;
};

/// @return What is kept on a server against a task that takes `task_ms`: all
/// but the room of gangs that start only after the task's end.
Resources KeptAgainst(std::span<const KeptRoom> kept, int64_t task_ms);

/// Where the tasks of a gang will go.
struct GangRoom {
  std::vector<uint32_t> tasks;  ///< Of each server; empty: it fits nowhere.
  int64_t complete_in_ms = 0;   ///< Estimated time until all have room.

  bool operator==(const GangRoom&) const = default;
};

/// Chooses where to keep room for a gang that does not fit yet: where it is
/// complete first, so that room is kept for the shortest time.
/// @param releases Of each server, or empty if nothing is known of them.
GangRoom ReserveForGang(std::span<const ServerRoom> servers,
                        std::span<const std::vector<Release>> releases,
                        const StepNeed& need);

}  // namespace bw
