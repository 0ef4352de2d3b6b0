// Requests of one team's queue that wait on one shard.
#pragma once

#include <deque>
#include <vector>

#include "work_type.h"

namespace bw {

/// First in, first out, with a view of its own pace. Not thread-safe: belongs
/// to the core thread.
class RequestQueue {
 public:
  size_t size() const { return items_.size(); }
  bool IsEmpty() const { return items_.empty(); }
  const RequestWork& Front() const { return items_.front(); }

  void Push(RequestWork work, Time now) {
    if (items_.empty()) {
      backlog_since_ = now;
      window_began_ = now;
      left_in_window_ = 0;
      per_second_ = 0;
    }
    items_.push_back(std::move(work));
  }

  /// @pre The queue is not empty.
  RequestWork Pop() {
    RequestWork out = std::move(items_.front());
    items_.pop_front();
    ++left_in_window_;
    return out;
  }

  /// Takes out everything whose deadline has passed.
  std::vector<RequestWork> TakeExpired(Time now) {
    std::vector<RequestWork> out;
    for (auto it = items_.begin(); it != items_.end();) {
      if (now < it->valid_until) {
        ++it;
        continue;
      }
      out.push_back(std::move(*it));
      it = items_.erase(it);
    }
    return out;
  }

  /// Measures the pace. Call often.
  void Tick(Time now) {
    const auto length = now - window_began_;
    if (length < kWindow) {
      return;
    }
    const double rate = static_cast<double>(left_in_window_) *
                        kMicrosPerSecond / static_cast<double>(length.count());
    per_second_ = per_second_ == 0 ? rate : (per_second_ + rate) / 2;
    window_began_ = now;
    left_in_window_ = 0;
  }

  /// @return How long a request that comes now will wait; zero while nothing
  /// is known, as the queue was not full for long enough.
  Duration ExpectedWait(Time now) const {
    if (items_.empty() || now - backlog_since_ < kWindow * 2 ||
        per_second_ <= 0) {
      return Duration::zero();
    }
    return Duration(static_cast<int64_t>(static_cast<double>(items_.size()) /
                                         per_second_ * kMicrosPerSecond));
  }

 private:
  static constexpr Duration kWindow = milliseconds(500);
  static constexpr double kMicrosPerSecond = 1e6;

  std::deque<RequestWork> items_;
  Time backlog_since_ = kNever;  ///< Since when it was never empty.
  Time window_began_ = kNever;
  uint64_t left_in_window_ = 0;
  double per_second_ = 0;  ///< Requests that left, averaged over windows.
};

}  // namespace bw
