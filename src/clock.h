// Monotonic clock for leases, freshness checks and deadlines. Wall-clock time
// is used only for display and in stored records.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace bw {

using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;

/// Clock over CLOCK_BOOTTIME. It advances while the machine or the process is
/// suspended, so a resumed process sees how long it was stopped. Thread-safe.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;

  /// @return The current time.
  static time_point now() noexcept {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(Duration(ts.tv_sec * 1'000'000LL + ts.tv_nsec / 1000));
  }
};

using Time = BootClock::time_point;

/// Sentinel for "never happened"; earlier than every other time. Far enough
/// from the limits of the range that adding or subtracting a duration can't
/// overflow.
inline constexpr Time kNever{Duration(-(int64_t{1} << 60))};

/// @return `t` in microseconds on this machine's boot-time clock.
inline uint64_t ToMicros(Time t) {
  return static_cast<uint64_t>(t.time_since_epoch().count());
}

/// Age reported for an event that never happened.
inline constexpr uint32_t kAgeUnknown = 0xffffffff;

/// @return The time from `t` to `now` in ms, clamped to 0..kAgeUnknown.
inline uint32_t AgeMs(Time t, Time now) {
  if (t == kNever) {
    return kAgeUnknown;
  }
  auto n = std::chrono::duration_cast<milliseconds>(now - t).count();
  return n < 0 ? 0 : n > kAgeUnknown ? kAgeUnknown : static_cast<uint32_t>(n);
}

}  // namespace bw
