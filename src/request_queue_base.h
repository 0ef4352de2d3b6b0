// Requests of one team's queue that wait on one shard, with an estimate of the
// time a new request has to wait.
#pragma once

#include <deque>
#include <vector>

#include "work_type.h"

namespace bw {

/// FIFO queue that measures its own dequeue rate. Not thread-safe: belongs to
/// the core thread.
class RequestQueue {
 public:
  size_t size() const { return items_.size(); }
  bool IsEmpty() const { return items_.empty(); }
  const RequestWork& Front() const { return items_.front(); }

  void Push(RequestWork work, Time now) {
    if (items_.empty()) {
      nonempty_since_ = now;
      window_start_ = now;
      dequeued_in_window_ = 0;
      dequeue_rate_ = 0;
    }
    items_.push_back(std::move(work));
  }

  /// @pre The queue is not empty.
  RequestWork Pop() {
    RequestWork out = std::move(items_.front());
    items_.pop_front();
    ++dequeued_in_window_;
    return out;
  }

  /// Removes and returns all requests whose deadline has passed.
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

  /// Updates the dequeue rate. Call at least once per rate window.
  void UpdateRate(Time now) {
    const auto length = now - window_start_;
    if (length < kWindow) {
      return;
    }
    const double rate = static_cast<double>(dequeued_in_window_) *
                        kMicrosPerSecond / static_cast<double>(length.count());
    dequeue_rate_ = dequeue_rate_ == 0 ? rate : (dequeue_rate_ + rate) / 2;
    window_start_ = now;
    dequeued_in_window_ = 0;
  }

  /// @return Estimated wait of a request enqueued now; zero if the queue has
  /// not been non-empty for two rate windows, as there is no estimate yet.
  Duration ExpectedWait(Time now) const {
    if (items_.empty() || now - nonempty_since_ < kWindow * 2 ||
        dequeue_rate_ <= 0) {
      return Duration::zero();
    }
    return Duration(static_cast<int64_t>(static_cast<double>(items_.size()) /
                                         dequeue_rate_ * kMicrosPerSecond));
  }

 private:
  /// Interval over which the dequeue rate is measured.
  static constexpr Duration kWindow = milliseconds(500);
  static constexpr double kMicrosPerSecond = 1e6;

  std::deque<RequestWork> items_;
  Time nonempty_since_ = kNever;  ///< Start of the current backlog.
  Time window_start_ = kNever;
  uint64_t dequeued_in_window_ = 0;
  double dequeue_rate_ = 0;  ///< Requests per second, smoothed over windows.
};

}  // namespace bw
