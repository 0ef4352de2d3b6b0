// The workers' wire format: all that another platform's workers would change.
// Thread-safe: pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "../net/http_type.h"

namespace bw::platform {

/// One task as the worker sees it.
struct WorkerTask {
  std::string id;  ///< "job/index"
  bool ended = false;
  bool ok = false;               ///< Of an ended task.
  uint64_t used_millicores = 0;  ///< Reported with a lag; 0: not yet.
  uint64_t used_memory_mb = 0;

  bool operator==(const WorkerTask&) const = default;
};

/// A worker's whole list. Ended tasks stay on it until acknowledged.
struct WorkerReport {
  uint64_t now_ms = 0;  ///< The worker's clock.
  std::vector<WorkerTask> tasks;

  bool operator==(const WorkerReport&) const = default;
};

/// @return The report, or nothing if the text cannot be read.
std::optional<WorkerReport> ReadWorkerReport(const std::string& json);

/// Renewal of all leases on one worker, in one message.
struct WorkerRenewal {
  uint64_t lease_ms = 0;
  uint64_t not_after_ms = 0;  ///< Worker's clock: void after this.
  std::vector<std::string> renew;
  std::vector<std::string> stop;
  std::vector<std::string> acknowledge;

  bool operator==(const WorkerRenewal&) const = default;
};
net::HttpCall MakeRenewCall(const std::string& address,
                            const WorkerRenewal& renewal);

/// A request to start one task.
struct WorkerStart {
  std::string id;
  std::string team;
  uint64_t millicores = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;
  uint64_t lease_ms = 0;
  uint64_t not_after_ms = 0;  ///< Worker's clock: void after this.
  uint64_t run_ms = 0;
  std::string command;

  bool operator==(const WorkerStart&) const = default;
};
net::HttpCall MakeStartCall(const std::string& address,
                            const WorkerStart& start);

/// Reads a worker's list; changes nothing there.
net::HttpCall MakeListCall(const std::string& address);

/// Asks for a checkpoint of one task.
net::HttpCall MakeCheckpointCall(const std::string& address,
                                 const std::string& task);

}  // namespace bw::platform
