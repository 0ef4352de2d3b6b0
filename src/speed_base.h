// How slow each backend server is, learned from the runs that end there.
#pragma once

#include <map>

#include "clock.h"
#include "id_type.h"

namespace bw {

/// Compares run times with the estimates of their queue, as estimates differ in
/// quality, and weighs each by how well its queue's estimates hold. What was
/// seen is forgotten within seconds, as troubles pass. Not thread-safe.
class SpeedMeter {
 public:
  /// A task that was alone responsible for its time ended well. Both times in
  /// milliseconds. @pre `estimate_ms` and `ran_ms` are positive.
  void OnDone(const QueueId& queue,
              const BackendId& backend,
              double estimate_ms,
              double ran_ms,
              Time now);

  /// A task has run for `ran_ms` and goes on.
  void OnRunning(const QueueId& queue,
                 const BackendId& backend,
                 double estimate_ms,
                 double ran_ms,
                 Time now);

  /// The backend server is another one now.
  void Forget(const BackendId& backend) { servers_.erase(backend); }

  /// @return Estimated factor on run times; 1 is usual.
  double SlownessOf(const BackendId& backend, Time now) const;

  /// @return True if work should rather wait for another server.
  bool IsBad(const BackendId& backend, Time now) const;

 private:
  /// Natural logarithm of run time over estimate.
  struct QueueStats {
    double mean = 0;
    double variance = 0;
    double samples = 0;
  };
  struct ServerStats {
    double weighted = 0;  ///< Sum of deviations by their weights.
    double weight = 0;    ///< Sum of weights.
    Time at = kNever;     ///< Of both sums.
    double overrun = 0;   ///< Of a run that goes on.
    Time overrun_at = kNever;
  };

  std::map<QueueId, QueueStats> queues_;
  std::map<BackendId, ServerStats> servers_;
};

}  // namespace bw
