// Selects the members that a process communicates with. Pure functions;
// thread-safe.
#pragma once

#include <map>
#include <vector>

#include "clock.h"
#include "control_type.h"

namespace bw {

/// @return All other members of the own zone and one member of each other zone,
/// so that the messages of a process grow with the number of zones, not of
/// members. In other zones responsive members are preferred, then owners of
/// shards, then by rendezvous hash. If none is responsive, the one whose latest
/// request is the oldest is returned.
/// @param unresponsive Unresponsive peers and the time of the latest request to
/// each.
std::vector<Member> PickPeers(const ControlState& state,
                              const InstanceId& self,
                              const ZoneId& zone,
                              const std::map<InstanceId, Time>& unresponsive);

/// @return True if the member owns a shard.
bool OwnsAnyShard(const ControlState& state, const InstanceId& id);

/// @return The shard that stores an idempotency key. It never changes, as the
/// number of shards is fixed; INVALID_SHARD if there are no shards.
ShardId HomeShard(const ControlState& state,
                  const TeamId& team,
                  const std::string& key);

}  // namespace bw
