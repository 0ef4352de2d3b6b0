// Counts the units each team has running on one shard and compares them with
// the shard's part of the team's allowance.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "control_type.h"

namespace bw {

/// Units in use on one shard, by team. Not thread-safe; belongs to the core
/// thread.
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

  /// @return Units the shard may start for the team now.
  uint64_t AvailableUnits(const ControlState& state, const TeamId& team) const {
    const uint64_t allowed = Allowance(state, team);
    const uint64_t used = Running(team) + ReservedFor(team) + UnreportedUnits();
    return allowed > used ? allowed - used : 0;
  }

  /// @return The shard's part of the team's allowance, in units.
  uint64_t Allowance(const ControlState& state, const TeamId& team) const {
    auto it = state.allowances.find(team);
    const uint32_t n = ToIndex(shard_);
    return it == state.allowances.end() || n >= it->second.size()
               ? 0
               : it->second[n];
  }

  /// Updates the peaks that RecentPeak returns. Call several times a second.
  void UpdatePeaks(Time now) {
    for (const auto& it : running_) {
      Peak& peak = peaks_[it.first];
      if (it.second >= peak.units || now - peak.at > kPeakWindow) {
        peak = {it.second, now};
      }
    }
    std::erase_if(peaks_, [&](const auto& it) {
      return now - it.second.at > kPeakWindow;
    });
  }

  /// @return The most units of the team that ran at once within kPeakWindow.
  uint64_t RecentPeak(const TeamId& team) const {
    auto it = peaks_.find(team);
    return it == peaks_.end() ? 0 : it->second.units;
  }

  /// @return Units that may be transferred to other shards. The shard retains
  /// its recent peak, up to an even share of the team's limit, so that
  /// a network partition does not leave it without units.
  uint64_t Transferable(const ControlState& state, const TeamId& team) const {
    const uint64_t available = AvailableUnits(state, team);
    auto account = state.accounts.find(team);
    if (account == state.accounts.end() || state.shards.empty()) {
      return 0;
    }
    const uint64_t even_share =
        account->second.upper_limit / state.shards.size();
    const uint64_t retained = std::min(RecentPeak(team), even_share);
    const uint64_t unreserved =
        Allowance(state, team) -
        std::min(Allowance(state, team), ReservedFor(team) + retained);
    return std::min(available, unreserved);
  }

  /// Reserves units for a transfer that is being recorded.
  /// @param move ID of the move record.
  void ReserveTransfer(const std::string& move,
                       const TeamId& team,
                       uint64_t units) {
    transfers_[move] = {team, units};
  }

  /// Releases the reservation: the move is part of the control state, or was
  /// definitely never stored.
  void EndTransfer(const std::string& move) { transfers_.erase(move); }

  /// Sets the most units that may run, for any team, on backend servers whose
  /// lists of running work a new owner has not read yet.
  void SetUnreportedOnRunners(uint64_t units) {
    unreported_on_runners_ = units;
  }
  void SetUnreportedOnWorkers(uint64_t units) {
    unreported_on_workers_ = units;
  }
  uint64_t UnreportedUnits() const {
    return unreported_on_runners_ + unreported_on_workers_;
  }

  /// @return The IDs of the move records of pending transfers.
  std::vector<std::string> PendingTransfers() const {
    std::vector<std::string> out;
    for (const auto& it : transfers_) {
      out.push_back(it.first);
    }
    return out;
  }

  /// @return Running units by team; teams without any are absent.
  const std::map<TeamId, uint64_t>& RunningByTeam() const { return running_; }

 private:
  struct ReservedUnits {
    TeamId team;
    uint64_t units = 0;
  };

  uint64_t ReservedFor(const TeamId& team) const {
    uint64_t sum = 0;
    for (const auto& it : transfers_) {
      sum += it.second.team == team ? it.second.units : 0;
    }
    return sum;
  }

  struct Peak {
    uint64_t units = 0;
    Time at = kNever;
  };
  static constexpr Duration kPeakWindow = milliseconds(5000);

  const ShardId shard_;
  std::map<TeamId, Peak> peaks_;
  uint64_t unreported_on_runners_ = 0;
  uint64_t unreported_on_workers_ = 0;
  std::map<TeamId, uint64_t> running_;
  std::map<std::string, ReservedUnits> transfers_;  ///< By move record ID.
};

}  // namespace bw
