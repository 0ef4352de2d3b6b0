// Which members a process talks to. Pure functions; thread-safe.
#pragma once

#include <set>
#include <vector>

#include "control_type.h"

namespace bw {

/// All members of the own zone and one of each other zone, chosen by
/// rendezvous hash, silent ones last and owners of shards first: the messages
/// of a process grow with the number of zones, not with the fleet.
std::vector<Member> PickPeers(const ControlState& state,
                              const InstanceId& self,
                              const ZoneId& zone,
                              const std::set<InstanceId>& silent);

/// @return True if the member owns a shard.
bool OwnsAnyShard(const ControlState& state, const InstanceId& id);

/// @return The shard that keeps an idempotency key; fixed for good.
ShardId HomeShard(const ControlState& state,
                  const TeamId& team,
                  const std::string& key);

}  // namespace bw
