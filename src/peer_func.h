// Which members a process talks to. Pure functions; thread-safe.
#pragma once

#include <map>
#include <vector>

#include "clock.h"
#include "control_type.h"

namespace bw {

/// All members of the own zone and one of each other zone, chosen by
/// rendezvous hash, owners of shards first, silent ones last and in turn: the
/// messages of a process grow with the number of zones, not with the fleet.
/// @param silent When each silent peer was asked last.
std::vector<Member> PickPeers(const ControlState& state,
                              const InstanceId& self,
                              const ZoneId& zone,
                              const std::map<InstanceId, Time>& silent);

/// @return True if the member owns a shard.
bool OwnsAnyShard(const ControlState& state, const InstanceId& id);

/// @return The shard that keeps an idempotency key; fixed for good.
ShardId HomeShard(const ControlState& state,
                  const TeamId& team,
                  const std::string& key);

}  // namespace bw
