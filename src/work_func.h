// Reading of job specifications and the fold of the jobs stream. Pure
// functions; thread-safe.
#pragma once

#include <optional>
#include <string>

#include "work_type.h"

namespace bw {

/// Reads a caller's job. @return The specification without id and origin.
leaf::result<JobSpec> ReadJobSpec(const std::string& json);
std::string WriteJobSpec(const JobSpec& spec);

/// What one record of the jobs stream is about.
enum class JobRecordKind : uint8_t {
  kAccepted,
  kCancelled,
  kStarted,
  kDone,
  kFailed,
  kIntent,
  kVoid,
};

struct JobEvent {
  JobRecordKind kind = JobRecordKind::kAccepted;
  std::string id;  ///< Makes the record idempotent.
  uint32_t shard = 0;
  JobId job;
  uint32_t task = 0;
  JobSpec spec;       ///< Of kAccepted.
  IdempotencyId key;  ///< Of kIntent and kVoid.
  uint64_t body_hash = 0;

  bool operator==(const JobEvent&) const = default;
};

std::string WriteJobEvent(const JobEvent& event);
std::optional<JobEvent> ReadJobEvent(const std::string& record);

/// Applies one record. @pre `offset` is `state->version`.
/// @return What it was about, or nothing if it cannot be read.
std::optional<JobEvent> ApplyJobRecord(JobsState* state,
                                       Offset offset,
                                       const std::string& record);

std::string WriteJobsSnapshot(const std::string& id, const JobsState& state);
std::optional<JobsState> JobsSnapshotIn(const std::string& record);

}  // namespace bw
