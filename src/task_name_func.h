// Task names used in calls to workers: "job/index". All functions are
// thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "id_type.h"

namespace bw {

/// @return The name of task number `task` of `job`.
std::string TaskName(const JobId& job, uint32_t task);

/// @return The job and the task's index, or nothing if `name` is malformed.
std::optional<std::pair<JobId, uint32_t>> ParseTaskName(
    const std::string& name);

}  // namespace bw
