#include <algorithm>

#include "evacuation_base.h"

namespace bw {
namespace {

/// Time between the last check of a start and its arrival at the server.
constexpr milliseconds kSendMargin{1000};

}  // namespace

void EvacuationView::SetBound(milliseconds bound) {
  std::lock_guard lock(mutex_);
  max_age_ = std::max(bound - kSendMargin, bound / 2);
}

bool EvacuationView::Apply(const ZoneId& zone, bool evacuated, Offset offset) {
  std::lock_guard lock(mutex_);
  const auto [it, added] = zones_.try_emplace(zone, Known{evacuated, offset});
  if (added) {
    return evacuated;
  }
  Known& known = it->second;
  if (offset < known.offset) {
    return false;
  }
  const bool changed = known.evacuated != evacuated;
  known = {evacuated, offset};
  return changed;
}

std::vector<ZoneId> EvacuationView::Retain(const std::set<ZoneId>& listed,
                                           Offset end) {
  std::vector<ZoneId> out;
  std::lock_guard lock(mutex_);
  for (auto& [zone, known] : zones_) {
    if (known.evacuated && !listed.contains(zone) && known.offset < end) {
      known.evacuated = false;
      out.push_back(zone);
    }
  }
  return out;
}

void EvacuationView::OnCurrent(Time read_sent) {
  std::lock_guard lock(mutex_);
  current_at_ = std::max(current_at_, read_sent);
}

bool EvacuationView::IsCurrentLocked(Time now) const {
  return max_age_ == Duration::zero() ||
         (current_at_ != kNever && now - current_at_ < max_age_);
}

StartPermission EvacuationView::CheckStart(const ZoneId& zone, Time now) const {
  std::lock_guard lock(mutex_);
  const auto it = zones_.find(zone);
  if (it != zones_.end() && it->second.evacuated) {
    return StartPermission::kEvacuated;
  }
  return IsCurrentLocked(now) ? StartPermission::kAllowed
                              : StartPermission::kViewTooOld;
}

bool EvacuationView::IsCurrent(Time now) const {
  std::lock_guard lock(mutex_);
  return IsCurrentLocked(now);
}

std::vector<ZoneId> EvacuationView::Zones() const {
  std::vector<ZoneId> out;
  std::lock_guard lock(mutex_);
  for (const auto& it : zones_) {
    if (it.second.evacuated) {
      out.push_back(it.first);
    }
  }
  return out;
}

}  // namespace bw
