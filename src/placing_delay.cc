#include "placing_delay_base.h"

#include <algorithm>
#include <utility>

namespace bw {
namespace {

/// Weight of the latest pass in the averages.
constexpr double kRateWeight = 0.2;
/// The newest round trip counts for 1 / this in the moving average.
constexpr int kRoundTripDivisor = 16;
/// Without newer ones the average says nothing after this time, so that work is
/// not refused for ever when none is left.
constexpr milliseconds kRoundTripValidity{1000};
/// Least rate, so that a rate of no steps at all does not last.
constexpr double kMinPerSecond = 1;

}  // namespace

void PlacingDelay::OnPass(size_t placed, Counts waiting, Time now) {
  // While passes examine all steps, the rate is that of the arrivals.
  const bool behind = !waiting_.empty() || !waiting.empty();
  if (behind && last_pass_ != kNever && now > last_pass_) {
    const double seconds =
        std::chrono::duration<double>(now - last_pass_).count();
    const double latest =
        std::max(kMinPerSecond, static_cast<double>(placed) / seconds);
    if (per_second_ > 0) {
      per_second_ += kRateWeight * (latest - per_second_);
      interval_ += std::chrono::duration_cast<Duration>(
          kRateWeight * (now - last_pass_ - interval_));
    } else {
      per_second_ = latest;
      interval_ = now - last_pass_;
    }
  }
  last_pass_ = now;
  waiting_ = std::move(waiting);
}

void PlacingDelay::OnNewStep(uint32_t level) {
  if (!waiting_.empty()) {
    ++waiting_[level];
  }
}

void PlacingDelay::OnRoundTrip(Duration took, Time now) {
  round_trip_ += (took - round_trip_) / kRoundTripDivisor;
  last_round_trip_ = now;
}

Duration PlacingDelay::Expected(uint32_t level,
                                const Need& need,
                                Time now) const {
  Duration out{0};
  if (now - last_round_trip_ < kRoundTripValidity) {
    out += need.round_trips * round_trip_;
  }
  if (waiting_.empty() || per_second_ <= 0) {
    return out;
  }
  size_t ahead = 0;
  for (auto it = waiting_.begin(); it != waiting_.end() && it->first <= level;
       ++it) {
    ahead += it->second;
  }
  return out + need.passes * interval_ +
         std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
             static_cast<double>(ahead) / per_second_));
}

}  // namespace bw
