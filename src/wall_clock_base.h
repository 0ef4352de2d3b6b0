// Wall clock that follows jumps of the system clock only after a delay.
#pragma once

#include <chrono>
#include <cstdint>

#include "clock.h"

namespace bw {

/// Follows the system clock. After a jump it continues by the monotonic clock
/// for a while, since the system clock may jump back. Not thread-safe.
class WallClock {
 public:
  /// @return Milliseconds since 1970.
  /// @param system_ms The system clock, in ms since 1970.
  uint64_t Read(Time now, uint64_t system_ms) {
    const auto offset = static_cast<int64_t>(system_ms) - SinceBootMs(now);
    const int64_t deviation = offset - offset_ms_;
    if (!initialized_ || (deviation < kJumpMs && deviation > -kJumpMs)) {
      initialized_ = true;
      offset_ms_ = offset;
      jumped_at_ = kNever;
    } else if (jumped_at_ == kNever) {
      jumped_at_ = now;
    } else if (now - jumped_at_ > kJumpDelay) {
      offset_ms_ = offset;
      jumped_at_ = kNever;
    }
    return static_cast<uint64_t>(SinceBootMs(now) + offset_ms_);
  }

  uint64_t Read(Time now) {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return Read(now,
                static_cast<uint64_t>(
                    std::chrono::duration_cast<milliseconds>(since).count()));
  }

 private:
  static constexpr int64_t kJumpMs = 300;  ///< Smallest step that is a jump.
  /// Delay after which a jump is followed.
  static constexpr milliseconds kJumpDelay{20'000};

  static int64_t SinceBootMs(Time now) {
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
        .count();
  }

  bool initialized_ = false;
  int64_t offset_ms_ = 0;    ///< Wall clock minus monotonic clock.
  Time jumped_at_ = kNever;  ///< When the present jump was first seen.
};

}  // namespace bw
