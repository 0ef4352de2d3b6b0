// Wire format of the workers. A port to workers with another format changes
// only this module. Pure functions; thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "../net/http_type.h"

namespace bw::platform {

/// A task in a worker's report.
struct WorkerTask {
  std::string id;  ///< "job/index"
  bool ended = false;
  bool ok = false;               ///< Whether an ended task succeeded.
  uint64_t used_millicores = 0;  ///< Reported with a lag; 0: not reported yet.
  uint64_t used_memory_mb = 0;   ///< Reported with a lag; 0: not reported yet.

  bool operator==(const WorkerTask&) const = default;
};

/// All tasks of a worker. Ended tasks stay listed until acknowledged.
struct WorkerReport {
  uint64_t now_ms = 0;  ///< The worker's clock.
  std::vector<WorkerTask> tasks;

  bool operator==(const WorkerReport&) const = default;
};

/// @return The report, or nothing if `json` is malformed.
std::optional<WorkerReport> ReadWorkerReport(const std::string& json);

/// Renews the leases of all tasks on a worker, in one request.
struct WorkerRenewal {
  uint64_t lease_ms = 0;
  uint64_t not_after_ms = 0;  ///< Expiry of the request, on the worker's clock.
  std::vector<std::string> renew;        ///< Tasks whose leases are renewed.
  std::vector<std::string> stop;         ///< Tasks to stop.
  std::vector<std::string> acknowledge;  ///< Ended tasks to remove.

  bool operator==(const WorkerRenewal&) const = default;
};
net::HttpCall MakeRenewCall(const std::string& address,
                            const WorkerRenewal& renewal);

/// Request to start a task.
struct WorkerStart {
  std::string id;
  std::string team;
  uint64_t millicores = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;
  uint64_t lease_ms = 0;
  uint64_t start_deadline_ms = 0;  ///< Latest start, by the worker's clock.
  uint64_t run_ms = 0;
  std::string command;

  bool operator==(const WorkerStart&) const = default;
};
net::HttpCall MakeStartCall(const std::string& address,
                            const WorkerStart& start);

/// Reads a worker's report without side effects.
net::HttpCall MakeListCall(const std::string& address);

/// Requests a checkpoint of a task.
net::HttpCall MakeCheckpointCall(const std::string& address,
                                 const std::string& task);

}  // namespace bw::platform
