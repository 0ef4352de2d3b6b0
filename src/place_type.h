// Plain types of the choice of a worker for a task.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>

#include "id_type.h"

namespace bw {

/// Resources that a task needs or that a worker has.
struct Resources {
  uint64_t millicores = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;

  bool Fits(const Resources& room) const {
    return millicores <= room.millicores && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
  Resources operator+(const Resources& it) const {
    return {millicores + it.millicores, memory_mb + it.memory_mb,
            accelerators + it.accelerators};
  }
  /// @pre `it` fits into this.
  Resources operator-(const Resources& it) const {
    return {millicores - it.millicores, memory_mb - it.memory_mb,
            accelerators - it.accelerators};
  }
  /// @return The difference, with 0 where `it` is larger.
  Resources Without(const Resources& it) const {
    return {millicores - std::min(millicores, it.millicores),
            memory_mb - std::min(memory_mb, it.memory_mb),
            accelerators - std::min(accelerators, it.accelerators)};
  }
  Resources Times(uint64_t n) const {
    return {millicores * n, memory_mb * n, accelerators * n};
  }
};

/// State of one worker, as input of the choice.
struct WorkerCandidate {
  Resources total;
  Resources free;
  uint32_t rack = 0;       ///< Index of the rack.
  uint32_t same_job = 0;   ///< Tasks of the same job on this worker.
  uint32_t same_rack = 0;  ///< Tasks of the same job in the rack.
  bool usable = true;      ///< Live, not draining, not quarantined.
};

/// Scores a worker for a task that fits; the lowest score wins.
using ScoreFunc = double (*)(const WorkerCandidate& room,
                             const Resources& need);

/// A placement strategy that a queue can select.
struct Strategy {
  const char* name;
  ScoreFunc score;
  const char* help;  ///< Description for operators.
};

}  // namespace bw
