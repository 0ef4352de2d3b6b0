// The time of day, steadied: jumps of the system's clock are not followed at
// once.
#pragma once

#include <chrono>
#include <cstdint>

#include "clock.h"

namespace bw {

/// Follows the system's clock, but goes on by the monotonic clock for a while
/// after a jump, since the clock may jump back. Not thread-safe.
class WallClock {
 public:
  /// @return Milliseconds since 1970. @param system_ms The system's clock.
  uint64_t Read(Time now, uint64_t system_ms) {
    const auto offset = static_cast<int64_t>(system_ms) - SinceBootMs(now);
    const int64_t off_by = offset - offset_;
    if (!set_ || (off_by < kJumpMs && off_by > -kJumpMs)) {
      set_ = true;
      offset_ = offset;
      jumped_at_ = kNever;
    } else if (jumped_at_ == kNever) {
      jumped_at_ = now;
    } else if (now - jumped_at_ > kTrustAfter) {
      offset_ = offset;
      jumped_at_ = kNever;
    }
    return static_cast<uint64_t>(SinceBootMs(now) + offset_);
  }

  uint64_t Read(Time now) {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return Read(now,
                static_cast<uint64_t>(
                    std::chrono::duration_cast<milliseconds>(since).count()));
  }

 private:
  static constexpr int64_t kJumpMs = 300;  ///< Larger steps are jumps.
  static constexpr milliseconds kTrustAfter{20'000};  ///< Then it is believed.

  static int64_t SinceBootMs(Time now) {
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
        .count();
  }

  bool set_ = false;
  int64_t offset_ = 0;
  Time jumped_at_ = kNever;
};

}  // namespace bw
