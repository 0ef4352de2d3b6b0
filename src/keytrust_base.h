// Tells a zone that is cut off from an outage of the log. Decides whether the
// keys a process knows are current enough to accept keyed work.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "clock.h"
#include "id_type.h"

namespace bw {

enum class KeyTrustState : uint8_t {
  kCurrent,  ///< The keys were current within the bound.
  kOutage,   ///< Every zone is heard and none can read the log: no operator
             ///< can withdraw a key, so serving on is safe.
  kCutOff,   ///< Nobody can tell; keyed work is refused.
};

/// Pure state machine. Not thread-safe.
class KeyTrust {
 public:
  /// @param bound Age of the newest check up to which keys count as current.
  /// @param serve_in_outage False: an outage is treated like a cut.
  KeyTrust(Duration bound, bool serve_in_outage)
      : bound_(bound), serve_in_outage_(serve_in_outage) {}

  /// This process, at `version`, read the log's tail; asked for at `asked`.
  void OnTailRead(Time asked) { current_at_ = std::max(current_at_, asked); }

  /// A member of `zone` answered a question asked at `asked`: it is at
  /// `version` and knew the tail `log_age` before.
  /// @param my_version Offset up to which this process has the fold.
  void OnHeard(const ZoneId& zone,
               Offset version,
               Offset my_version,
               uint32_t log_age_ms,
               Time asked);

  /// The process found a gap in its clock.
  void OnClockGap() {
    current_at_ = kNever;
    heard_.clear();
  }

  KeyTrustState State(const std::vector<ZoneId>& zones, Time now) const;

  bool MayAcceptKeyed(const std::vector<ZoneId>& zones, Time now) const {
    const auto state = State(zones, now);
    return state == KeyTrustState::kCurrent ||
           (state == KeyTrustState::kOutage && serve_in_outage_);
  }

  /// @return When the keys were last known to be current.
  Time current_at() const { return current_at_; }

 private:
  struct Heard {
    Time at = kNever;
    bool log_readable = false;
  };

  const Duration bound_;
  const bool serve_in_outage_;
  Time current_at_ = kNever;
  std::map<ZoneId, Heard> heard_;  ///< Newest word of each zone.
};

}  // namespace bw
