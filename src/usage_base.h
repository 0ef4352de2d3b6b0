// Units each team has running on one shard, against the shard's allowance.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "control_type.h"

namespace bw {

/// Counts running units. Not thread-safe; belongs to the core thread.
class TeamUsage {
 public:
  explicit TeamUsage(ShardId shard) : shard_(shard) {}

  void Add(const TeamId& team, uint64_t units) { running_[team] += units; }

  /// @pre At least `units` were added.
  void Remove(const TeamId& team, uint64_t units) {
    auto it = running_.find(team);
    it->second -= units;
    if (it->second == 0) {
      running_.erase(it);
    }
  }

  uint64_t Running(const TeamId& team) const {
    auto it = running_.find(team);
    return it == running_.end() ? 0 : it->second;
  }

  /// Units the shard may start for the team now.
  uint64_t Room(const ControlState& state, const TeamId& team) const {
    const uint64_t allowed = Allowance(state, team);
    const uint64_t used = Running(team) + PledgedBy(team) + Unseen();
    return allowed > used ? allowed - used : 0;
  }

  uint64_t Allowance(const ControlState& state, const TeamId& team) const {
    auto it = state.allowances.find(team);
    const uint32_t n = ToIndex(shard_);
    return it == state.allowances.end() || n >= it->second.size()
               ? 0
               : it->second[n];
  }

  /// Takes note of what runs, for RecentPeak. Call several times a second.
  void NotePeaks(Time now) {
    for (const auto& it : running_) {
      Peak& peak = peaks_[it.first];
      if (it.second >= peak.units || now - peak.at > kPeakKept) {
        peak = {it.second, now};
      }
    }
    std::erase_if(
        peaks_, [&](const auto& it) { return now - it.second.at > kPeakKept; });
  }

  /// @return The most units of the team that ran within the last seconds.
  uint64_t RecentPeak(const TeamId& team) const {
    auto it = peaks_.find(team);
    return it == peaks_.end() ? 0 : it->second.units;
  }

  /// Units that may be given away: a shard that used its even part lately
  /// keeps it, so that a cut does not find it with nothing.
  uint64_t Spare(const ControlState& state, const TeamId& team) const {
    const uint64_t room = Room(state, team);
    auto account = state.accounts.find(team);
    if (account == state.accounts.end() || state.shards.empty()) {
      return 0;
    }
    const uint64_t even = account->second.upper_limit / state.shards.size();
    const uint64_t keep = std::min(RecentPeak(team), even);
    const uint64_t mine =
        Allowance(state, team) -
        std::min(Allowance(state, team), PledgedBy(team) + keep);
    return std::min(room, mine);
  }

  /// Sets units aside that a move record is giving away.
  void Pledge(const std::string& move, const TeamId& team, uint64_t units) {
    pledges_[move] = {team, units};
  }

  /// The move is in the fold, or was surely never stored.
  void EndPledge(const std::string& move) { pledges_.erase(move); }

  /// Backend servers whose lists a new owner has not read may run this many
  /// units, of any team.
  void SetUnseenOnRunners(uint64_t units) { unseen_on_runners_ = units; }
  void SetUnseenOnWorkers(uint64_t units) { unseen_on_workers_ = units; }
  uint64_t Unseen() const { return unseen_on_runners_ + unseen_on_workers_; }

  /// @return The ids of the moves under way.
  std::vector<std::string> Pledges() const {
    std::vector<std::string> out;
    for (const auto& it : pledges_) {
      out.push_back(it.first);
    }
    return out;
  }

  const std::map<TeamId, uint64_t>& all() const { return running_; }

 private:
  struct PledgedUnits {
    TeamId team;
    uint64_t units = 0;
  };

  uint64_t PledgedBy(const TeamId& team) const {
    uint64_t sum = 0;
    for (const auto& it : pledges_) {
      sum += it.second.team == team ? it.second.units : 0;
    }
    return sum;
  }

  struct Peak {
    uint64_t units = 0;
    Time at = kNever;
  };
  static constexpr Duration kPeakKept = milliseconds(5000);

  const ShardId shard_;
  std::map<TeamId, Peak> peaks_;
  uint64_t unseen_on_runners_ = 0;
  uint64_t unseen_on_workers_ = 0;
  std::map<TeamId, uint64_t> running_;
  std::map<std::string, PledgedUnits> pledges_;  ///< By move id.
};

}  // namespace bw
