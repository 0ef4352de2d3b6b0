#include <algorithm>
#include <map>
#include <tuple>

#include "peer_func.h"
#include "text_func.h"

namespace bw {

bool OwnsAnyShard(const ControlState& state, const InstanceId& id) {
  return std::any_of(state.shards.begin(), state.shards.end(),
                     [&](const auto& it) { return it.owner == id; });
}

std::vector<Member> PickPeers(const ControlState& state,
                              const InstanceId& self,
                              const ZoneId& zone,
                              const std::map<InstanceId, Time>& unresponsive) {
  using Rank = std::tuple<bool, Duration, bool, uint64_t>;
  std::vector<Member> out;
  std::map<ZoneId, std::pair<Rank, const Member*>> others;
  for (const auto& [id, member] : state.members) {
    if (id == self) {
      continue;
    }
    if (member.zone == zone) {
      out.push_back(member);
      continue;
    }
    const auto last_request = unresponsive.find(id);
    const bool responsive = last_request == unresponsive.end();
    const Rank rank(responsive,
                    responsive ? Duration::zero()
                               : -last_request->second.time_since_epoch(),
                    OwnsAnyShard(state, id),
                    StableHash(self.value + "/" + id.value));
    auto [it, added] = others.try_emplace(member.zone, rank, &member);
    if (!added && it->second.first < rank) {
      it->second = {rank, &member};
    }
  }
  for (const auto& it : others) {
    out.push_back(*it.second.second);
  }
  return out;
}

ShardId HomeShard(const ControlState& state,
                  const TeamId& team,
                  const std::string& key) {
  if (state.shards.empty()) {
    return INVALID_SHARD;
  }
  return static_cast<ShardId>(StableHash(team.value + "/" + key) %
                              state.shards.size());
}

}  // namespace bw
