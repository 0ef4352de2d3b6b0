// Run times to expect, learned from ended and running runs.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <map>
#include <memory>

#include "clock.h"
#include "run_time_type.h"

namespace bw {

/// Run time assumed of a task that states none, in ms.
inline constexpr double kDefaultEstimateMs = 3000;

/// @return Octave of a gang's number of tasks.
uint32_t WidthBucketOf(uint32_t tasks);

/// Distributions of run time / stated estimate by class, each a correction of a
/// coarser class; see docs/design/run-times.md. All run times are in ms on a
/// server of usual speed and positive; a stated estimate of 0 means none. Not
/// thread-safe.
class RunTimes {
 public:
  /// Maximum number of classes, those of all levels together.
  static constexpr size_t kMaxClasses = 4096;

  RunTimes();
  ~RunTimes();
  RunTimes(const RunTimes&) = delete;
  RunTimes& operator=(const RunTimes&) = delete;

  /// Records a run that succeeded. @param progress As OnRunning has left it.
  void OnEnd(const RunClass& run_class,
             double stated_ms,
             double ran_ms,
             Time now,
             RunProgress progress = {});

  /// Records a run that was stopped, failed or was lost after `ran_ms`: it
  /// would have taken longer.
  void OnCensored(const RunClass& run_class,
                  double stated_ms,
                  double ran_ms,
                  Time now,
                  RunProgress progress = {});

  /// Records that a run has taken `ran_ms` and is still running.
  void OnRunning(const RunClass& run_class,
                 double stated_ms,
                 double ran_ms,
                 RunProgress* progress,
                 Time now);

  /// @return The expected run time.
  RunExpectation Expect(const RunClass& run_class,
                        double stated_ms,
                        Time now) const;

  /// @return Median of the time that a run takes which has taken `ran_ms` and
  /// is still running, in ms.
  double RemainingMs(const RunClass& run_class,
                     double stated_ms,
                     double ran_ms,
                     Time now) const;

  /// @return Number of classes kept.
  size_t Size() const { return nodes_.size(); }

 private:
  static constexpr int kBinsPerOctave = 4;
  static constexpr int kBins = 80;
  static constexpr size_t kLevels = 3;

  struct Node;
  /// A class of one level. Coarser levels leave fields empty.
  struct Key {
    size_t level = 0;  ///< 0 is the coarsest.
    RunClass run_class;
    int stated_bucket = 0;  ///< Half octaves.

    auto operator<=>(const Key&) const = default;
  };
  using Nodes = std::map<Key, std::unique_ptr<Node>>;
  /// Probability to end in each bin for runs that come to it.
  using Hazards = std::array<double, kBins>;
  struct Distribution {
    Hazards hazards{};
    double confidence = 0;
  };

  static Key KeyOf(const RunClass& run_class, double stated_ms, size_t level);
  static int BinOf(double stated_ms, double ran_ms);
  static Hazards StatedHazards();
  static double QuantileOf(const Hazards& hazards, double share_left);
  static void Correct(const Node& node, Time now, Distribution* out);
  static void ShiftIntoRange(const Node& queue,
                             double stated_ms,
                             Hazards* hazards);
  Node* Touch(const Key& key);
  Distribution DistributionOf(const RunClass& run_class,
                              double stated_ms,
                              Time now) const;

  Nodes nodes_;
  std::list<Nodes::iterator> by_use_;  ///< Least recently used first.
};

}  // namespace bw
