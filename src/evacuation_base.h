// Which availability zones the operator has evacuated, and whether tasks may
// start in a zone now.
#pragma once

#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "clock.h"
#include "id_type.h"

namespace bw {

/// Whether a task may start in an availability zone.
enum class StartPermission : uint8_t {
  kAllowed,
  kEvacuated,   ///< The operator has evacuated the zone.
  kViewTooOld,  ///< The operator may have evacuated it since the last read.
};

/// The evacuated zones as last read, and the age of that. A start may leave
/// only while the view is younger than the time in which an evacuation takes
/// effect, so new and paused owners need no rule of their own. Thread-safe.
class EvacuationView {
 public:
  /// @param bound Time from the confirmation of an evacuation until nothing may
  /// start in the zone; 0: no limit is promised, a view of any age will do.
  explicit EvacuationView(milliseconds bound) { SetBound(bound); }

  void SetBound(milliseconds bound);

  /// Applies a record of the operator. One that is older than what is known of
  /// its zone changes nothing.
  /// @param offset Offset of the record.
  /// @return True if the zone is evacuated now and was not before, or vice
  /// versa.
  bool Apply(const ZoneId& zone, bool evacuated, Offset offset);

  /// Takes back the zones without a record in a complete listing.
  /// @param end The end of the operator's records when the listing began.
  /// @return The zones that were evacuated.
  std::vector<ZoneId> Retain(const std::set<ZoneId>& listed, Offset end);

  /// Notes that all records were applied that existed at `read_sent`.
  void OnCurrent(Time read_sent);

  /// @param now By BootClock, so that time in which the process was suspended
  /// counts.
  StartPermission CheckStart(const ZoneId& zone, Time now) const;
  bool MayStartIn(const ZoneId& zone, Time now) const {
    return CheckStart(zone, now) == StartPermission::kAllowed;
  }
  /// @return True unless starts are held back because the view is too old.
  bool IsCurrent(Time now) const;
  /// @return The evacuated zones, sorted.
  std::vector<ZoneId> Zones() const;

 private:
  struct Known {
    bool evacuated = false;
    Offset offset = 0;  ///< Of the zone's newest record.
  };
  bool IsCurrentLocked(Time now) const;

  mutable std::mutex mutex_;  ///< Guards the members below.
  Duration max_age_{0};       ///< 0: any age.
  Time current_at_ = kNever;  ///< When the newest proof was requested.
  std::map<ZoneId, Known> zones_;
};

}  // namespace bw
