// Names of tasks as workers know them: "job/index". Thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "id_type.h"

namespace bw {

/// @return The worker's name for one task of a job.
std::string TaskName(const JobId& job, uint32_t task);

/// @return The job and the index, or nothing if the text is no such name.
std::optional<std::pair<JobId, uint32_t>> ParseTaskName(
    const std::string& name);

}  // namespace bw
