// The steps of a cell that have waiting tasks.
#pragma once

#include <map>

#include "cell_type.h"

namespace bw {

/// Ordered by job; counts the steps of rate-limited jobs by queue. Not
/// thread-safe.
class ReadySteps {
 public:
  /// Properties of a step that do not change while it waits.
  struct Entry {
    QueueId queue;
    bool rate_limited = false;  ///< Its account exceeded its rate limit.
  };
  using Steps = std::map<StepRef, Entry>;

  void Insert(const StepRef& step, const QueueId& queue, bool rate_limited) {
    if (steps_.try_emplace(step, Entry{queue, rate_limited}).second &&
        rate_limited) {
      ++rate_limited_[queue];
      ++all_rate_limited_;
    }
  }
  void Erase(const StepRef& step) {
    if (auto it = steps_.find(step); it != steps_.end()) {
      Erase(it);
    }
  }
  /// @return The step after the erased one.
  Steps::iterator Erase(Steps::iterator it) {
    if (it->second.rate_limited) {
      --rate_limited_[it->second.queue];
      --all_rate_limited_;
    }
    return steps_.erase(it);
  }

  Steps& All() { return steps_; }
  const Steps& All() const { return steps_; }
  size_t Size() const { return steps_.size(); }
  /// @return Number of steps of rate-limited jobs of the queue.
  size_t CountRateLimited(const QueueId& queue) const {
    const auto it = rate_limited_.find(queue);
    return it == rate_limited_.end() ? 0 : it->second;
  }
  /// @return Number of steps of jobs within their account's rate limit.
  size_t CountWithinRate() const { return steps_.size() - all_rate_limited_; }

 private:
  Steps steps_;
  std::map<QueueId, size_t> rate_limited_;
  size_t all_rate_limited_ = 0;
};

}  // namespace bw
