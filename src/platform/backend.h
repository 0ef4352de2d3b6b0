// Wire format of the backend servers: their entries in the store, and the calls
// that start, stop and list runs. Pure functions; thread-safe.
#pragma once

#include <optional>
#include <string>

#include "../cell_type.h"
#include "../net/http_type.h"

namespace bw::platform {

/// Request to start a run of a task.
struct StartOrder {
  RunRef run;
  std::string payload;
  uint64_t lease_end_ms = 0;  ///< On the backend server's clock.
  uint64_t fencing_token = 0;
  std::string checkpoint;  ///< Checkpoint to resume from; empty: none.
  std::string ticket;      ///< From the advice service; empty: not required.

  bool operator==(const StartOrder&) const = default;
};

/// Status poll of a backend server: renews the leases of all its runs,
/// acknowledges ended runs and requests the lists of running and ended runs.
struct PollRequest {
  std::optional<uint64_t> lease_end_ms;  ///< On the backend server's clock;
                                         ///< absent: leases are unchanged.
  uint64_t fencing_token = 0;
  uint64_t acknowledged = 0;  ///< Ended runs up to this may be discarded.
  uint64_t wait_ms = 0;       ///< Long poll: longest wait for a run to end.

  bool operator==(const PollRequest&) const = default;
};

net::HttpCall MakeStartCall(const BackendEntry& backend,
                            const StartOrder& order,
                            milliseconds timeout);
/// @return True if a call with this URL starts a task.
bool IsStartCall(const std::string& url);
net::HttpCall MakeStopCall(const BackendEntry& backend,
                           const RunRef& run,
                           uint64_t fencing_token,
                           milliseconds timeout);
net::HttpCall MakePollCall(const BackendEntry& backend,
                           const PollRequest& request,
                           milliseconds timeout);
/// Sets the speed of a run, in percent.
net::HttpCall MakePaceCall(const BackendEntry& backend,
                           const RunRef& run,
                           uint32_t percent,
                           uint64_t fencing_token,
                           milliseconds timeout);

/// Parses the response to a start, stop or pace call.
OrderResult ParseOrderResult(const net::HttpResult& result);

/// Parses the response to a status poll. Malformed rows are skipped.
BackendReport ParseBackendReport(const net::HttpResult& result);

/// Parses a backend server's entry in the store.
/// @return The entry, or nothing if a required field is missing or malformed.
std::optional<BackendEntry> ReadBackendEntry(const std::string& id,
                                             const std::string& value);

/// @return The name of a step in calls to the advice service.
std::string StepName(const StepRef& step);

/// @return The name of a task in calls to backend servers.
std::string TaskName(const TaskRef& task);
/// Inverse of TaskName().
std::optional<TaskRef> ParseTaskName(const std::string& name);

}  // namespace bw::platform
