// Estimates how slow each backend server is from the run times of its tasks.
#pragma once

#include <map>

#include "clock.h"
#include "id_type.h"

namespace bw {

/// Compares the run time of each task with its estimate. Statistics are
/// collected by queue, as the quality of estimates differs between queues:
/// samples of a queue with accurate estimates weigh more. Samples decay within
/// seconds, as slow phases of a server are short. Not thread-safe.
class SpeedMeter {
 public:
  /// Records a task that succeeded and whose run time did not depend on other
  /// tasks. @pre `estimate_ms` and `ran_ms` are positive.
  void OnDone(const QueueId& queue,
              const BackendId& backend,
              double estimate_ms,
              double ran_ms,
              Time now);

  /// Records that a task has run for `ran_ms` and is still running.
  void OnRunning(const QueueId& queue,
                 const BackendId& backend,
                 double estimate_ms,
                 double ran_ms,
                 Time now);

  /// Drops the samples of a backend server that has restarted.
  void Reset(const BackendId& backend) { servers_.erase(backend); }

  /// @return Estimated factor on run times; 1: normal speed.
  double SlownessOf(const BackendId& backend, Time now) const;

  /// @return True if the server is so slow that tasks should wait for another
  /// one.
  bool IsSlow(const BackendId& backend, Time now) const;

 private:
  /// Distribution of log(run time / estimate) of a queue's tasks.
  struct QueueStats {
    double mean = 0;
    double variance = 0;
    double samples = 0;
  };
  struct ServerStats {
    double weighted_sum = 0;   ///< Sum of weighted deviations, decayed.
    double weight_sum = 0;     ///< Sum of their weights, decayed.
    Time updated_at = kNever;  ///< Time to which both sums are decayed.
    double overrun = 0;  ///< Largest recent log deviation of a running task.
    Time overrun_at = kNever;  ///< Last report of an overrun.
  };

  std::map<QueueId, QueueStats> queues_;
  std::map<BackendId, ServerStats> servers_;
};

}  // namespace bw
