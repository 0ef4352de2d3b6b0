#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <tuple>

#include "fleet_func.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr char kSeparator = '|';
constexpr uint32_t kMinHandOverFactor = 2;
/// A group lists only members with a partition, so all topics together need
/// several times as many partitions as there may be instances.
constexpr uint64_t kFleetTopics = 16;

/// @return True if `a` should own the cell rather than `b`.
bool IsPreferredOwner(const FleetMember& a, const FleetMember& b) {
  return std::tie(b.millicores, a.address) < std::tie(a.millicores, b.address);
}

}  // namespace

std::string MakeMemberName(const FleetMember& member,
                           const std::string& unique) {
  return fmt::format("{1}{0}{2}{0}{3}{0}{4}{0}{5}", kSeparator, member.instance,
                     member.address, unique, member.millicores,
                     member.zone.value);
}

std::optional<FleetMember> ParseMemberName(const std::string& name) {
  constexpr size_t kRequiredParts = 3;
  const auto parts = SplitList(name, kSeparator);
  if (parts.size() < kRequiredParts) {
    return std::nullopt;
  }
  FleetMember out{parts[0], parts[1], 0, {}};
  if (parts.size() > kRequiredParts) {
    const std::string& it = parts[kRequiredParts];
    std::from_chars(it.data(), it.data() + it.size(), out.millicores);
  }
  if (parts.size() > kRequiredParts + 1) {
    out.zone = ZoneId(parts[kRequiredParts + 1]);
  }
  return out;
}

std::string FleetTopicOf(const FleetMember& member) {
  return fmt::format("bilberrywing-fleet-{}",
                     StableHash(member.instance) % kFleetTopics);
}

std::vector<FleetMember> SortedByAddress(std::vector<FleetMember> members) {
  std::sort(members.begin(), members.end(),
            [](const FleetMember& a, const FleetMember& b) {
              return a.address < b.address;
            });
  members.erase(std::unique(members.begin(), members.end(),
                            [](const FleetMember& a, const FleetMember& b) {
                              return a.address == b.address;
                            }),
                members.end());
  return members;
}

uint32_t OwnerRank(std::span<const FleetMember> members,
                   const FleetMember& self) {
  return static_cast<uint32_t>(
      std::count_if(members.begin(), members.end(), [&](const FleetMember& it) {
        return it.address != self.address && IsPreferredOwner(it, self);
      }));
}

std::optional<FleetMember> FindSuccessor(std::span<const FleetMember> members,
                                         const FleetMember& self) {
  std::optional<FleetMember> out;
  for (const auto& it : members) {
    if (it.address != self.address && (!out || IsPreferredOwner(it, *out))) {
      out = it;
    }
  }
  return out;
}

bool IsWorthHandOver(const FleetMember& self, const FleetMember& other) {
  return self.millicores > 0 &&
         other.millicores >= kMinHandOverFactor * self.millicores;
}

}  // namespace bw
