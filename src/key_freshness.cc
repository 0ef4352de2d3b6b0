#include <algorithm>

#include "key_freshness_base.h"

namespace bw {

void KeyFreshness::OnPeerReport(const ZoneId& zone,
                                Offset version,
                                Offset my_version,
                                uint32_t log_age_ms,
                                Time requested_at) {
  const Duration age = milliseconds(log_age_ms);
  const bool has_log_age = log_age_ms != kAgeUnknown;
  // Other zones report less often than the log is read. Half the bound lets
  // their loss of the log be known before this process's own bound expires.
  const bool log_readable = has_log_age && age < bound_ / 2;
  ZoneReport& it = zone_reports_[zone];
  if (requested_at >= it.requested_at) {
    it.requested_at = requested_at;
    it.log_readable = log_readable;
  }
  if (has_log_age && version <= my_version) {
    current_at_ = std::max(current_at_, requested_at - age);
  }
}

KeyFreshnessState KeyFreshness::State(const std::vector<ZoneId>& zones,
                                      Time now) const {
  if (current_at_ != kNever && now < current_at_ + bound_) {
    return KeyFreshnessState::kCurrent;
  }
  const bool all_without_log =
      !zones.empty() &&
      std::all_of(zones.begin(), zones.end(), [&](const ZoneId& zone) {
        auto it = zone_reports_.find(zone);
        return it != zone_reports_.end() &&
               now < it->second.requested_at + bound_ &&
               !it->second.log_readable;
      });
  return all_without_log ? KeyFreshnessState::kLogOutage
                         : KeyFreshnessState::kPartitioned;
}

}  // namespace bw
