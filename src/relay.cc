#include <algorithm>
#include <functional>
#include <tuple>

#include "relay_func.h"

namespace bw {
namespace {

/// The owner of up to this many backend servers needs no relays.
constexpr size_t kMaxServersWithoutRelays = 64;
/// Backend servers for each relay.
constexpr size_t kServersPerRelay = 40;

}  // namespace

RelaysByZone ChooseRelays(std::span<const FleetMember> members,
                          const FleetMember& self,
                          const std::map<ZoneId, size_t>& servers) {
  size_t total = 0;
  for (const auto& it : servers) {
    total += it.second;
  }
  RelaysByZone out;
  if (total <= kMaxServersWithoutRelays) {
    return out;
  }
  for (const auto& [zone, count] : servers) {
    std::vector<const FleetMember*> candidates;
    for (const auto& it : members) {
      if (it.zone == zone && it.address != self.address) {
        candidates.push_back(&it);
      }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const FleetMember* a, const FleetMember* b) {
                return std::tie(b->millicores, a->address) <
                       std::tie(a->millicores, b->address);
              });
    const size_t wanted = (count + kServersPerRelay - 1) / kServersPerRelay;
    candidates.resize(std::min(candidates.size(), wanted));
    for (const auto* it : candidates) {
      out[zone].push_back(it->address);
    }
  }
  return out;
}

std::string RelayOf(std::span<const std::string> relays,
                    const std::string& backend) {
  const std::string* best = nullptr;
  size_t best_weight = 0;
  for (const auto& it : relays) {
    const size_t weight = std::hash<std::string>()(it + '|' + backend);
    if (best == nullptr || weight > best_weight) {
      best = &it;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::string() : *best;
}

}  // namespace bw
