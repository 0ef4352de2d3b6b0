// An event of the time line, the record of what the processes did.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bw {

/// Kind of an event. Names are in table/events.h, in the same order.
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

/// One event. Immutable once written; ordered by hybrid logical clock.
struct TimelineEvent {
  uint64_t hlc = 0;  ///< Wall ms in the upper 48 bits, counter in the lower 16.
  std::string instance;  ///< Instance that wrote the event.
  std::string zone;
  std::string process;  ///< Program name.
  EventKind kind = EventKind::kStarted;
  std::string subject;  ///< What the event is about, such as a job id.
  std::string detail;

  auto operator<=>(const TimelineEvent&) const = default;
};

}  // namespace bw
