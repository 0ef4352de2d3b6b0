// Monotonic time. Leases, freshness and deadlines use this clock only; wall
// clocks are for people.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace bw {

using Duration = std::chrono::microseconds;
using std::chrono::milliseconds;

/// Clock over CLOCK_BOOTTIME: it counts while the machine or the process is
/// suspended, so a frozen process sees the whole gap. Thread-safe.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;

  /// @return The present time.
  static time_point now() noexcept {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(Duration(ts.tv_sec * 1'000'000LL + ts.tv_nsec / 1000));
  }
};

using Time = BootClock::time_point;

/// A time before every other one: "never happened".
/// Far enough from the ends of the range to add and subtract spans.
inline constexpr Time kNever{Duration(-(int64_t{1} << 60))};

/// @return Microseconds of `t` on this process's clock.
inline uint64_t ToMicros(Time t) {
  return static_cast<uint64_t>(t.time_since_epoch().count());
}

/// @return The age of `t` at `now` in ms, saturated to `kAgeUnknown`.
inline constexpr uint32_t kAgeUnknown = 0xffffffff;
inline uint32_t AgeMs(Time t, Time now) {
  if (t == kNever) {
    return kAgeUnknown;
  }
  auto n = std::chrono::duration_cast<milliseconds>(now - t).count();
  return n < 0 ? 0 : n > kAgeUnknown ? kAgeUnknown : static_cast<uint32_t>(n);
}

}  // namespace bw
