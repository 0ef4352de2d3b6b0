// Choice of a worker for a task. Pure functions; thread-safe.
#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "place_type.h"

namespace bw {

/// @return The strategy called `name`, or nullptr.
const Strategy* FindStrategy(std::string_view name);

/// Chooses a worker for one task.
/// @return Index into `workers`, or nothing if no usable worker has room.
std::optional<size_t> PickWorker(std::span<const WorkerCandidate> workers,
                                 const Resources& need,
                                 const Strategy& strategy);

/// @return The largest used fraction over all resources.
double DominantShare(const Resources& used, const Resources& total);

}  // namespace bw
