// Time-outs of orders to backend servers.
#pragma once

#include <algorithm>

#include "clock.h"

namespace bw {

/// Derives time-outs from the response times of recent orders, so that an owner
/// that is short of processor time does not take late responses for lost ones.
/// Not thread-safe.
class OrderTimeout {
 public:
  /// @param latency Time from an order to its response.
  void OnResponse(Duration latency) {
    average_ += (latency - average_) / kAverageDivisor;
  }
  /// @return Time-out of an order that is sent again without a response.
  milliseconds First() const { return Limited(kMinFirst); }
  /// @return Time-out of all other orders.
  milliseconds Final() const { return Limited(kMinFinal); }

 private:
  /// Backend servers reply within a few milliseconds.
  static constexpr milliseconds kMinFirst{250};
  static constexpr milliseconds kMinFinal{700};
  static constexpr milliseconds kMax{2500};
  /// Time-out as a multiple of the average latency.
  static constexpr int kFactor = 8;
  /// The newest latency counts for 1 / this in the moving average.
  static constexpr int kAverageDivisor = 16;

  milliseconds Limited(milliseconds least) const {
    return std::clamp(
        std::chrono::duration_cast<milliseconds>(average_ * kFactor), least,
        kMax);
  }

  /// A new owner knows no latency and is busy with the take-over.
  Duration average_ = milliseconds(50);
};

}  // namespace bw
