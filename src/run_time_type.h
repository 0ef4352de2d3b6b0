// Plain types of learned run times.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "id_type.h"

namespace bw {

/// Runs that are expected to take similar multiples of their stated estimates.
struct RunClass {
  QueueId queue;
  std::string image;
  TeamId team;
  bool gang = false;          ///< A whole step, from its start to its end.
  uint32_t width_bucket = 0;  ///< Of a gang, see WidthBucketOf; else 0.

  auto operator<=>(const RunClass&) const = default;
};

/// Distribution of a run time on a server of usual speed.
struct RunExpectation {
  double median_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double deviation = 0;  ///< Standard deviation of the logarithm.
  /// Share of the answer that comes from runs; 0: all of it is the stated
  /// estimate.
  double confidence = 0;

  auto operator<=>(const RunExpectation&) const = default;
};

/// How far a run that has not ended was counted, and how much it counts.
struct RunProgress {
  int bins = 0;  ///< Bins of the distribution that it has passed.
  /// Tasks of one step share their estimate's error, so all of them together
  /// count as one run.
  double weight = 1;
};

}  // namespace bw
