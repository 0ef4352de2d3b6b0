// Validity that a ticket of the advice service needs when a task is placed.
#pragma once

#include <algorithm>

#include "clock.h"

namespace bw {

/// Derives that validity from the delays of recent starts, so that tickets do
/// not expire on the way of an owner that is short of processor time. Not
/// thread-safe.
class TicketMargin {
 public:
  /// @param delay Time from placing a task to the response to its start.
  void OnResponse(Duration delay) {
    const Duration error =
        delay > average_ ? delay - average_ : average_ - delay;
    average_ += (delay - average_) / kAverageDivisor;
    deviation_ += (error - deviation_) / kAverageDivisor;
  }
  /// @return Minimum remaining validity when a task is placed.
  Duration ForPlacing() const {
    return std::clamp<Duration>(average_ + kDeviations * deviation_, kMin,
                                kMax);
  }
  /// @return Minimum remaining validity when its start is sent.
  Duration ForSending() const { return ForPlacing() / 2; }

 private:
  static constexpr milliseconds kMin{120};
  /// Tickets of which half the usual validity is left are used in any case.
  static constexpr milliseconds kMax{1000};
  static constexpr int kDeviations = 2;
  /// The newest delay counts for 1 / this in the moving averages.
  static constexpr int kAverageDivisor = 16;

  Duration average_{0};
  Duration deviation_{0};
};

}  // namespace bw
