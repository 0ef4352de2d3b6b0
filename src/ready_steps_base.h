// The steps of a cell that have waiting tasks.
#pragma once

#include <map>

#include "cell_type.h"

namespace bw {

/// Ordered by job; counts the steps of rate-limited jobs. Not thread-safe.
class ReadySteps {
 public:
  /// Properties of a step that do not change while it waits.
  struct Entry {
    bool rate_limited = false;  ///< Its account exceeded its rate limit.
  };
  using Steps = std::map<StepRef, Entry>;

  void Insert(const StepRef& step, bool rate_limited) {
    if (steps_.try_emplace(step, Entry{rate_limited}).second) {
      rate_limited_ += rate_limited ? 1 : 0;
    }
  }
  void Erase(const StepRef& step) {
    if (auto it = steps_.find(step); it != steps_.end()) {
      Erase(it);
    }
  }
  /// @return The step after the erased one.
  Steps::iterator Erase(Steps::iterator it) {
    rate_limited_ -= it->second.rate_limited ? 1 : 0;
    return steps_.erase(it);
  }

  Steps& All() { return steps_; }
  const Steps& All() const { return steps_; }
  size_t Size() const { return steps_.size(); }
  /// @return Number of steps of rate-limited jobs.
  size_t CountRateLimited() const { return rate_limited_; }

 private:
  Steps steps_;
  size_t rate_limited_ = 0;
};

}  // namespace bw
