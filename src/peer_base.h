// Which peers have fallen silent.
#pragma once

#include <map>
#include <set>

#include "clock.h"
#include "id_type.h"

namespace bw {

/// Between heartbeats to another zone: they tell a cut from an outage, for
/// which seconds are enough.
inline constexpr Duration kFarHeartbeatEvery = milliseconds(2000);

/// Remembers questions and answers per peer. Not thread-safe: belongs to the
/// core thread.
class PeerHealth {
 public:
  void OnAsked(const InstanceId& peer, Time now) {
    auto [it, added] = unanswered_.try_emplace(peer, now);
    // Give a silent peer another chance from time to time.
    if (!added && now - it->second > kTryAgain) {
      it->second = now;
    }
  }
  void OnAnswered(const InstanceId& peer) { unanswered_.erase(peer); }
  void Clear() { unanswered_.clear(); }

  /// @return Peers that left questions unanswered for a while.
  std::set<InstanceId> Silent(Time now) const {
    std::set<InstanceId> out;
    for (const auto& it : unanswered_) {
      if (now - it.second > kSilentAfter) {
        out.insert(it.first);
      }
    }
    return out;
  }

 private:
  static constexpr Duration kSilentAfter = milliseconds(1000);
  static constexpr Duration kTryAgain = milliseconds(15'000);

  std::map<InstanceId, Time> unanswered_;  ///< Since when.
};

}  // namespace bw
