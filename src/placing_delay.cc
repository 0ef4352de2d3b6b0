#include "placing_delay_base.h"

#include <algorithm>
#include <utility>

namespace bw {
namespace {

/// Passes of about the last second make up the averages.
constexpr milliseconds kAverageOver{1000};
/// The newest round trip counts for 1 / this in the moving average.
constexpr int kRoundTripDivisor = 16;
/// Without newer ones the average says nothing after this time, so that work is
/// not refused for ever when none is left.
constexpr milliseconds kRoundTripValidity{1000};
/// Least rate, so that a rate of no steps at all does not last.
constexpr double kMinPerSecond = 1;

}  // namespace

void PlacingDelay::OnPass(size_t placed,
                          Counts waiting,
                          size_t backlog,
                          Time now) {
  // A pass is followed by a pause that grows with its duration. While passes
  // examine all steps, the rate is that of the arrivals.
  if (backlog_ > 0 && now > last_pass_) {
    const Duration took = now - last_pass_;
    const double latest = std::max(
        kMinPerSecond, static_cast<double>(last_placed_) /
                           std::chrono::duration<double>(took).count());
    const double weight =
        per_second_ > 0
            ? std::chrono::duration<double>(took) / (took + kAverageOver)
            : 1;
    per_second_ += weight * (latest - per_second_);
    interval_ +=
        std::chrono::duration_cast<Duration>(weight * (took - interval_));
  }
  last_placed_ = placed;
  last_pass_ = now;
  waiting_ = std::move(waiting);
  backlog_ = backlog;
}

void PlacingDelay::OnNewStep(uint32_t level) {
  if (backlog_ > 0) {
    ++waiting_[level];
    ++backlog_;
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
  if (backlog_ == 0 || per_second_ <= 0) {
    return out;
  }
  size_t ahead = 0;
  for (auto it = waiting_.begin(); it != waiting_.end() && it->first <= level;
       ++it) {
    ahead += it->second;
  }
  return out + need.passes * interval_ + TimeToPlace(ahead);
}

Duration PlacingDelay::BacklogTime() const {
  if (backlog_ == 0 || per_second_ <= 0) {
    return Duration(0);
  }
  return interval_ + TimeToPlace(backlog_);
}

/// @pre The rate is known.
Duration PlacingDelay::TimeToPlace(size_t steps) const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(steps) / per_second_));
}

}  // namespace bw
