// Estimates how slow each backend server is from the run times of its tasks.
#pragma once

#include <map>

#include "clock.h"
#include "id_type.h"
#include "run_time_base.h"

namespace bw {

/// Compares the run time of each task with the one that its class makes expect,
/// and hands run times to RunTimes as of a server of usual speed. Samples of
/// classes with narrow distributions weigh more. There are two terms: slow
/// phases of a server last seconds, differences between kinds of machines last.
/// Not thread-safe.
class SpeedMeter {
 public:
  /// @param run_times Outlives the meter.
  explicit SpeedMeter(RunTimes* run_times) : run_times_(run_times) {}

  /// Records a task that succeeded and whose run time did not depend on other
  /// tasks. @pre `ran_ms` is positive. @param stated_ms Its stated estimate; 0:
  /// none. @param progress As OnRunning has left it.
  void OnDone(const RunClass& run_class,
              const BackendId& backend,
              double stated_ms,
              double ran_ms,
              Time now,
              RunProgress progress = {});

  /// Records that a task has run for `ran_ms` and is still running.
  /// @param expected Of its class, for a server of usual speed.
  void OnRunning(const BackendId& backend,
                 const RunExpectation& expected,
                 double ran_ms,
                 Time now);

  /// Drops the samples of a backend server that has restarted.
  void Reset(const BackendId& backend) { servers_.erase(backend); }

  /// @return Estimated factor on run times; 1: normal speed.
  double SlownessOf(const BackendId& backend, Time now) const;

  /// @return Speed relative to the mean of the fleet, over minutes; 1: unknown
  /// or usual.
  double RelativeSpeed(const BackendId& backend, Time now) const;

  /// @return `ran_ms` as it would be on a server of usual speed.
  double NormalMs(const BackendId& backend, double ran_ms, Time now) const;

  /// @return True if the server is so slow that tasks should wait for another
  /// one.
  bool IsSlow(const BackendId& backend, Time now) const;

 private:
  /// Mean of log deviations that decays over time.
  struct DecayedMean {
    double weighted_sum = 0;
    double weight_sum = 0;
    Time updated_at = kNever;  ///< Time to which both sums are decayed.

    void Add(double deviation, double weight, double decay_s, Time now);
    double DecayAt(double decay_s, Time now) const;
  };
  struct ServerStats {
    DecayedMean recent;
    DecayedMean lasting;
    double overrun = 0;  ///< Largest recent log deviation of a running task.
    Time overrun_at = kNever;  ///< Last report of an overrun.
  };

  RunTimes* const run_times_;
  DecayedMean fleet_;
  std::map<BackendId, ServerStats> servers_;
};

}  // namespace bw
