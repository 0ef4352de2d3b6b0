// Tells a network partition from an outage of the log, and decides whether the
// API keys known to a process are current enough to accept work with a key.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "clock.h"
#include "id_type.h"

namespace bw {

enum class KeyFreshnessState : uint8_t {
  kCurrent,      ///< The keys were current within the bound.
  kLogOutage,    ///< All zones report and none can read the log. No operator
                 ///< can revoke a key meanwhile, so the known keys stay valid.
  kPartitioned,  ///< Neither can be established; work with a key is rejected.
};

/// A pure state machine. Not thread-safe.
class KeyFreshness {
 public:
  /// @param bound How long after the latest check the keys count as current.
  /// @param serve_in_outage False to treat an outage of the log like a
  /// partition.
  KeyFreshness(Duration bound, bool serve_in_outage)
      : bound_(bound), serve_in_outage_(serve_in_outage) {}

  /// This process read the log's tail, by a read requested at `requested_at`.
  void OnTailRead(Time requested_at) {
    current_at_ = std::max(current_at_, requested_at);
  }

  /// Processes the reply of a member of `zone` to a request sent at
  /// `requested_at`.
  /// @param version Version of the member's control state.
  /// @param my_version Version of this process's control state.
  /// @param log_age_ms Time since the member's latest read of the log's tail;
  /// `kAgeUnknown` if it has none.
  void OnPeerReport(const ZoneId& zone,
                    Offset version,
                    Offset my_version,
                    uint32_t log_age_ms,
                    Time requested_at);

  /// Drops all information after a gap in the process's clock.
  void OnClockGap() {
    current_at_ = kNever;
    zone_reports_.clear();
  }

  KeyFreshnessState State(const std::vector<ZoneId>& zones, Time now) const;

  bool MayAcceptKeyed(const std::vector<ZoneId>& zones, Time now) const {
    const auto state = State(zones, now);
    return state == KeyFreshnessState::kCurrent ||
           (state == KeyFreshnessState::kLogOutage && serve_in_outage_);
  }

  /// @return When the keys were last known to be current.
  Time current_at() const { return current_at_; }

 private:
  struct ZoneReport {
    Time requested_at = kNever;
    bool log_readable = false;
  };

  const Duration bound_;
  const bool serve_in_outage_;
  Time current_at_ = kNever;
  std::map<ZoneId, ZoneReport> zone_reports_;  ///< Latest report of each zone.
};

}  // namespace bw
