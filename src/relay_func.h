// Choice of the instances that send the owner's calls to backend servers. Pure
// functions over plain values; thread-safe.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "fleet_func.h"

namespace bw {

/// Mesh addresses of the relays of each availability zone. A zone without an
/// entry has none.
using RelaysByZone = std::map<ZoneId, std::vector<std::string>>;

/// Status in the result of a call that a relay did not send because it knows
/// too little of evacuations, or because the call has expired. No HTTP status.
inline constexpr int kHeldBackByRelay = 1;

/// Chooses the relays: none in a small cell, whose owner sends all calls
/// itself; else in each zone as many of its instances as its backend servers
/// need, the largest first. A relay shares the fate of its zone's servers when
/// the zone is cut off.
/// @param servers Number of backend servers of each zone.
RelaysByZone ChooseRelays(std::span<const FleetMember> members,
                          const FleetMember& self,
                          const std::map<ZoneId, size_t>& servers);

/// @return The relay of `relays` for a backend server; empty if there is none.
/// Stays the same while other relays come and go, so that connections are
/// reused.
std::string RelayOf(std::span<const std::string> relays,
                    const std::string& backend);

}  // namespace bw
