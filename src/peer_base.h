// Detects peers that have stopped responding.
#pragma once

#include <map>

#include "clock.h"
#include "id_type.h"

namespace bw {

/// Interval of heartbeats to other zones. They only serve to tell a partition
/// from an outage of the log, for which a few seconds are enough.
inline constexpr Duration kCrossZoneHeartbeatInterval = milliseconds(2000);

/// Tracks requests without a response per peer. Not thread-safe: belongs to the
/// core thread.
class PeerHealth {
 public:
  void OnRequestSent(const InstanceId& peer, Time now) {
    auto [it, added] = pending_.try_emplace(peer, Pending{now, now});
    // Periodically counts an unresponsive peer as responsive again, so that it
    // is retried.
    if (!added && now - it->second.since > kRetryInterval) {
      it->second.since = now;
    }
    it->second.last_request_at = now;
  }
  void OnResponse(const InstanceId& peer) { pending_.erase(peer); }
  void Clear() { pending_.clear(); }

  /// @return The unresponsive peers and when the latest request to each was
  /// sent; the older it is, the less it says about the peer now.
  std::map<InstanceId, Time> UnresponsivePeers(Time now) const {
    std::map<InstanceId, Time> out;
    for (const auto& [peer, it] : pending_) {
      if (now - it.since > kUnresponsiveAfter) {
        out.emplace(peer, it.last_request_at);
      }
    }
    return out;
  }

 private:
  static constexpr Duration kUnresponsiveAfter = milliseconds(1000);
  static constexpr Duration kRetryInterval = milliseconds(15'000);

  struct Pending {
    Time since = kNever;  ///< First request without a response, or last retry.
    Time last_request_at = kNever;  ///< Latest request.
  };
  std::map<InstanceId, Pending> pending_;
};

}  // namespace bw
