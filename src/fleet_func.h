// Which instance of the fleet should own the cell. Pure functions over plain
// values; thread-safe.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "id_type.h"

namespace bw {

/// An instance as the other instances know it.
struct FleetMember {
  std::string instance;
  std::string address;      ///< Mesh address.
  uint32_t millicores = 0;  ///< Its share of a processor; 0: unknown.
  ZoneId zone;              ///< May be unknown.

  auto operator<=>(const FleetMember&) const = default;
};

/// @return The name of a group member:
/// "instance|address|unique|millicores|zone".
/// @param unique Distinguishes the member from former ones of the instance.
std::string MakeMemberName(const FleetMember& member,
                           const std::string& unique);
/// Inverse of MakeMemberName().
std::optional<FleetMember> ParseMemberName(const std::string& name);

/// @return The topic of the fleet's group that the instance joins. One each, as
/// a group deals the partitions of each topic by themselves: an instance that
/// comes back gets none of a topic in which all others have one.
std::string FleetTopicOf(const FleetMember& member);

/// Sorts members by address and removes duplicates.
std::vector<FleetMember> SortedByAddress(std::vector<FleetMember> members);

/// @return The number of members that should own the cell rather than `self`:
/// larger ones, and of equal ones those with a lower address.
uint32_t OwnerRank(std::span<const FleetMember> members,
                   const FleetMember& self);

/// @return The member that should own the cell after `self`; nothing if there
/// is no other.
std::optional<FleetMember> FindSuccessor(std::span<const FleetMember> members,
                                         const FleetMember& self);

/// @return True if `other` is so much larger than the owner `self` that a
/// hand-over is worth its interruption.
bool IsWorthHandOver(const FleetMember& self, const FleetMember& other);

}  // namespace bw
