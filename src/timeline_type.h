// One event of the time line.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bw {

/// What happened. Names are in table/events.h.
enum class EventKind : uint8_t {
  kStarted,
  kStopped,
  kDrainBegan,
  kMemberJoined,
  kMemberEvicted,
  kMemberLeft,
  kAuthorityGained,
  kAuthorityLost,
  kConfigApplied,
  kChangeAccepted,
  kChangeRejected,
  kRequestAccepted,
  kRequestSent,
  kRequestEnded,
  kRequestRefused,
  kJobAccepted,
  kJobEnded,
  kTaskSent,
  kTaskRunning,
  kTaskEnded,
  kTaskUnknown,
  kAllowanceMoved,
  kBackendQuarantined,
  kClockGap,
  kZoneCut,
  kZoneHealed,
  kTaskPreempted,
  kEnd,
};

/// Immutable once written. Ordered by hybrid logical clock.
struct TimelineEvent {
  uint64_t hlc = 0;  ///< Wall ms in the upper 48 bits, counter in the lower 16.
  std::string instance;
  std::string zone;
  std::string process;
  EventKind kind = EventKind::kStarted;
  std::string subject;
  std::string detail;

  auto operator<=>(const TimelineEvent&) const = default;
};

}  // namespace bw
