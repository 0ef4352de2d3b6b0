#include <algorithm>

#include "keytrust_base.h"

namespace bw {

void KeyTrust::OnHeard(const ZoneId& zone,
                       Offset version,
                       Offset my_version,
                       uint32_t log_age_ms,
                       Time asked) {
  const Duration age = milliseconds(log_age_ms);
  const bool known = log_age_ms != kAgeUnknown;
  // Zones are heard less often than the log is read, so half the bound must
  // do: when this process's own bound ends, theirs has been told in time.
  const bool readable = known && age < bound_ / 2;
  Heard& it = heard_[zone];
  if (asked >= it.at) {
    it.at = asked;
    it.log_readable = readable;
  }
  if (known && version <= my_version) {
    current_at_ = std::max(current_at_, asked - age);
  }
}

KeyTrustState KeyTrust::State(const std::vector<ZoneId>& zones,
                              Time now) const {
  if (current_at_ != kNever && now < current_at_ + bound_) {
    return KeyTrustState::kCurrent;
  }
  const bool all_without_log =
      !zones.empty() &&
      std::all_of(zones.begin(), zones.end(), [&](const ZoneId& zone) {
        auto it = heard_.find(zone);
        return it != heard_.end() && now < it->second.at + bound_ &&
               !it->second.log_readable;
      });
  return all_without_log ? KeyTrustState::kOutage : KeyTrustState::kCutOff;
}

}  // namespace bw
