// Refusals of the owner that an instance applies to further jobs itself.
#pragma once

#include <map>
#include <string>

#include "cell_type.h"

namespace bw {

/// Remembers for which queues the owner refuses new jobs for now. Not
/// thread-safe.
class OverloadNotices {
 public:
  /// Handles a refusal that applies to all new jobs of the queue for `applies`.
  void OnRefusal(const QueueId& queue,
                 const std::string& reason,
                 milliseconds applies,
                 Time now) {
    if (applies > milliseconds::zero()) {
      notices_[queue] = {reason, now + applies};
    }
  }
  /// @return Why new jobs of the queue are refused, or null if they are not.
  const std::string* Find(const QueueId& queue, Time now) const {
    const auto it = notices_.find(queue);
    return it == notices_.end() || it->second.until <= now ? nullptr
                                                           : &it->second.reason;
  }

 private:
  struct Notice {
    std::string reason;
    Time until = kNever;
  };
  std::map<QueueId, Notice> notices_;
};

}  // namespace bw
