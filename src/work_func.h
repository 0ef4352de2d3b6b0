// Parsing and serialization of job specifications, and replay of the jobs
// stream. Pure functions; thread-safe.
#pragma once

#include <optional>
#include <string>

#include "work_type.h"

namespace bw {

/// Parses a submitted job. @return The specification, with `id` and `origin`
/// unset.
leaf::result<JobSpec> ReadJobSpec(const std::string& json);
std::string WriteJobSpec(const JobSpec& spec);

/// Type of a record in the jobs stream. The order is that of kRecordKinds.
enum class JobRecordKind : uint8_t {
  kAccepted,
  kCancelled,
  kStarted,
  kDone,
  kFailed,
  kWriteAhead,        ///< A request is about to be sent to a runner.
  kWriteAheadVoided,  ///< The request of a kWriteAhead did not run; its key is
                      ///< free again.
};

/// One record of the jobs stream.
struct JobEvent {
  JobRecordKind kind = JobRecordKind::kAccepted;
  std::string id;  ///< Unique id, for deduplication of appends.
  uint32_t shard = 0;
  JobId job;
  uint32_t task = 0;
  JobSpec spec;            ///< Set for kAccepted.
  IdempotencyId key;       ///< Set for kWriteAhead and kWriteAheadVoided.
  uint64_t body_hash = 0;  ///< Hash of the request body; set for kWriteAhead.

  bool operator==(const JobEvent&) const = default;
};

std::string WriteJobEvent(const JobEvent& event);
std::optional<JobEvent> ReadJobEvent(const std::string& record);

/// Applies one record. @pre `offset` is `state->version`.
/// @return The parsed record, or nothing if it is malformed; `version` advances
/// in both cases.
std::optional<JobEvent> ApplyJobRecord(JobsState* state,
                                       Offset offset,
                                       const std::string& record);

std::string WriteJobsSnapshot(const std::string& id, const JobsState& state);
/// @return The state in a snapshot record, or nothing if it is none or
/// malformed.
std::optional<JobsState> ReadJobsSnapshot(const std::string& record);

}  // namespace bw
