// How backend servers announce themselves and take orders. Pure functions;
// thread-safe.
#pragma once

#include <optional>
#include <string>

#include "../cell_type.h"
#include "../net/http_type.h"

namespace bw::platform {

/// An order to start one task.
struct StartOrder {
  RunRef run;
  std::string payload;
  uint64_t lease_end_ms = 0;  ///< On the backend server's clock.
  uint64_t fencing_token = 0;
  std::string saved;   ///< Checkpoint to go on from; empty: none.
  std::string ticket;  ///< Empty: the queue takes no advice.

  bool operator==(const StartOrder&) const = default;
};

/// Renews all leases on a backend server, acknowledges ends and asks for both
/// lists.
struct HoldOrder {
  std::optional<uint64_t> lease_end_ms;  ///< Nothing: leases stay as they are.
  uint64_t fencing_token = 0;
  uint64_t acknowledged = 0;  ///< Ends up to this number may be forgotten.
  uint64_t wait_ms = 0;       ///< The answer waits this long for an end.

  bool operator==(const HoldOrder&) const = default;
};

net::HttpCall MakeStartCall(const BackendEntry& backend,
                            const StartOrder& order,
                            milliseconds timeout);
net::HttpCall MakeStopCall(const BackendEntry& backend,
                           const RunRef& run,
                           uint64_t fencing_token,
                           milliseconds timeout);
net::HttpCall MakeHoldCall(const BackendEntry& backend,
                           const HoldOrder& order,
                           milliseconds timeout);
net::HttpCall MakePaceCall(const BackendEntry& backend,
                           const RunRef& run,
                           uint32_t percent,
                           uint64_t fencing_token,
                           milliseconds timeout);

/// The answer to a start, a stop or a pace.
OrderVerdict ReadVerdict(const net::HttpResult& result);

/// The answer to a hold. Rows that cannot be read are left out.
BackendReport ReadReport(const net::HttpResult& result);

/// @return The entry, or nothing if it names no backend server to use.
std::optional<BackendEntry> ReadBackendEntry(const std::string& id,
                                             const std::string& value);

/// @return The step's name, as the advice service knows it.
std::string StepName(const StepRef& step);

/// @return The task's name on backend servers.
std::string TaskName(const TaskRef& task);
std::optional<TaskRef> ParseTaskName(const std::string& name);

}  // namespace bw::platform
