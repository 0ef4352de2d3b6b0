// Which peers have fallen silent.
#pragma once

#include <map>

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
    auto [it, added] = unanswered_.try_emplace(peer, Unanswered{now, now});
    // Give a silent peer another chance from time to time.
    if (!added && now - it->second.since > kTryAgain) {
      it->second.since = now;
    }
    it->second.asked = now;
  }
  void OnAnswered(const InstanceId& peer) { unanswered_.erase(peer); }
  void Clear() { unanswered_.clear(); }

  /// @return Peers that left questions unanswered for a while, and when each
  /// was asked last: a silence found long ago says little.
  std::map<InstanceId, Time> Silent(Time now) const {
    std::map<InstanceId, Time> out;
    for (const auto& [peer, it] : unanswered_) {
      if (now - it.since > kSilentAfter) {
        out.emplace(peer, it.asked);
      }
    }
    return out;
  }

 private:
  static constexpr Duration kSilentAfter = milliseconds(1000);
  static constexpr Duration kTryAgain = milliseconds(15'000);

  struct Unanswered {
    Time since = kNever;
    Time asked = kNever;  ///< Last question.
  };
  std::map<InstanceId, Unanswered> unanswered_;
};

}  // namespace bw
