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
  /// Share of the answer that comes from runs; 0: all of it is the stated
  /// estimate.
  double confidence = 0;

  auto operator<=>(const RunExpectation&) const = default;
};

/// How far a run that has not ended was counted.
struct RunProgress {
  int bins = 0;  ///< Bins of the distribution that it has passed.
};

}  // namespace bw
