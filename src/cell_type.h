// Plain types of the cell: configuration, job specifications, and what backend
// servers report.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "id_type.h"
#include "place_type.h"

namespace bw {

/// Externally visible state of a job. The values are persisted: only append.
enum class JobState : uint32_t {
  kActive = 0,
  kCompleted = 1,
  kFailed = 2,
  kCancelled = 3,
};

/// @return The name of a state as callers know it.
const char* StateName(JobState state);

/// Advice settings of a queue whose steps need a ticket from the advice service
/// for each backend server they run on.
struct AdvicePolicy {
  double query_ms = 0;  ///< Expected duration of a query, without the servers.
  /// Added to it for each backend server named.
  double query_ms_per_server = 0;
  uint64_t valid_ms = 0;  ///< Validity of a ticket.

  auto operator<=>(const AdvicePolicy&) const = default;
};

/// Configuration of one queue.
struct CellQueue {
  QueueId name;
  std::string host;
  std::string path_prefix;
  std::string service;    ///< Service of the backend servers for its tasks.
  uint32_t priority = 0;  ///< 0 is the highest priority.
  uint32_t max_attempts = 1;
  double stretch = 1;  ///< Latency objective / length of the critical path.
  uint64_t target_latency_ms = 0;  ///< Added to the latency objective.
  bool anonymous = false;          ///< Accepts callers without an API key.
  std::optional<AdvicePolicy> advice;

  auto operator<=>(const CellQueue&) const = default;
};

/// Configuration of one client account.
struct AccountPolicy {
  TeamId name;
  std::vector<std::string> keys;
  double weight = 1;  ///< Rate limit in jobs per second; 0: unlimited.
  Resources maximum;  ///< Quota of resources in use; 0: unlimited.

  auto operator<=>(const AccountPolicy&) const = default;
};

/// One version of the configuration. Immutable.
struct CellConfig {
  uint64_t version = 0;
  std::vector<CellQueue> queues;
  std::vector<AccountPolicy> accounts;
  /// Keyed by the hash of the API key.
  std::unordered_map<std::string, TeamId> teams_by_key;
  uint64_t max_body_bytes = 256 << 10;

  const CellQueue* FindQueue(const QueueId& name) const {
    for (const auto& it : queues) {
      if (it.name == name) {
        return &it;
      }
    }
    return nullptr;
  }
  const AccountPolicy* FindAccount(const TeamId& name) const {
    for (const auto& it : accounts) {
      if (it.name == name) {
        return &it;
      }
    }
    return nullptr;
  }
};

/// One step of a job.
struct StepSpec {
  uint32_t count = 1;  ///< Number of tasks.
  Resources need;      ///< Resource request of each task.
  /// Run time of a task, or of the step if `gang`: as stated or as learned.
  uint64_t estimate_ms = 0;
  uint64_t stated_ms = 0;            ///< As stated; 0: nothing is stated.
  uint64_t upper_ms = 0;             ///< 90% quantile, if learned; 0: unknown.
  std::vector<uint32_t> depends_on;  ///< Indices of the steps it depends on.
  bool gang = false;         ///< Gang-scheduled: all tasks run at once or none.
  bool same_rack = false;    ///< Far slower if spread over several racks.
  bool checkpoint = false;   ///< Its tasks can resume from a checkpoint.
  bool speculative = false;  ///< Several runs of a task may be active at once.
  bool perpetual = false;    ///< Service step: runs until the job is cancelled.
  bool best_effort = false;  ///< Uses only idle processor time.
  std::string label;  ///< Label required of the backend server; empty: any.
  std::string rack;   ///< Rack of its data, far slower elsewhere; empty: none.
  uint32_t per_server = 0;  ///< Maximum tasks per backend server; 0: unlimited.
  std::string image;
  uint64_t target_ms = 0;  ///< Objective for a service's tail latency; 0: none.
  /// Tasks that may be unavailable at once.
  std::optional<uint32_t> max_unavailable;

  bool operator==(const StepSpec&) const = default;
};

/// A job as submitted. Immutable after acceptance.
struct BatchSpec {
  std::string payload;  ///< Passed to the backend servers unchanged.
  std::vector<StepSpec> steps;
  uint64_t start_at_ms = 0;   ///< Wall-clock start time; 0: immediately.
  uint64_t repeat_count = 0;  ///< Number of occurrences; 0: runs once.
  uint64_t interval_ms = 0;   ///< Time between the starts of occurrences.

  bool operator==(const BatchSpec&) const = default;
};

/// Identifies a task. Sorts by job first.
struct TaskRef {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskRef&) const = default;
};

/// Identifies a run, one attempt of a task. Later runs have higher numbers.
struct RunRef {
  TaskRef task;
  uint64_t number = 0;

  auto operator<=>(const RunRef&) const = default;
};

/// Identifies a step of one occurrence of a job.
struct StepRef {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;

  auto operator<=>(const StepRef&) const = default;
};

/// A backend server's own entry in the store.
struct BackendEntry {
  BackendId id;
  std::string service;
  std::string address;
  ZoneId zone;
  uint64_t incarnation = 0;  ///< Wall-clock start time in ms; 0: not known.
  bool draining = false;
  std::optional<uint64_t> remaining_ms;  ///< Minimum drain time left.
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;

  auto operator<=>(const BackendEntry&) const = default;
};

/// How a run ended.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,           ///< Its lease expired.
  kGangMemberEnded,  ///< Another member of its gang ended.
  kGangIncomplete,   ///< Other members of its gang did not start.
};

/// A running task in a backend server's report.
struct ListedRun {
  RunRef run;
  std::string checkpoint;  ///< Latest checkpoint; empty: none.
  uint32_t percent = 0;    ///< Throttle setting, in percent of full speed.
  /// Millicores used; a service's tail latency in ms.
  uint64_t load_metric = 0;

  bool operator==(const ListedRun&) const = default;
};

/// An ended run in a backend server's report.
struct ListedEnd {
  uint64_t number = 0;  ///< Sequence number in the server's list of ends.
  RunRef run;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;  ///< Latest checkpoint; empty: none.

  bool operator==(const ListedEnd&) const = default;
};

/// Result of an order to a backend server.
enum class OrderResult : uint8_t {
  kDone,
  kFenced,            ///< The server has seen a higher fencing token.
  kSuperseded,        ///< This run or a later one was stopped or ended.
  kExpired,           ///< The lease in the order has already expired.
  kNoRoom,            ///< Not enough free resources.
  kNoTicket,          ///< The ticket is missing or has expired.
  kUnhealthy,         ///< The server is unhealthy and did not execute it.
  kInvalid,           ///< The server rejected the order as invalid.
  kOtherIncarnation,  ///< The server has restarted since.
  kUnknown,           ///< No response: it may be executed now or later.
  kNotSent,           ///< Nothing of the order was sent.
};

/// @return The result's name in log events.
const char* OrderResultName(OrderResult result);

/// Response to a poll: a backend server's running tasks and ended runs.
struct BackendReport {
  OrderResult result = OrderResult::kUnknown;
  uint64_t clock_ms = 0;     ///< The backend server's steady clock.
  uint64_t incarnation = 0;  ///< 0: not reported.
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;  ///< The oldest that were not acknowledged.
  /// There may be later ends than those listed: a run that is on neither list
  /// may have ended.
  bool more_ends = false;
};

/// Admits a step's tasks on one backend server.
struct Ticket {
  BackendId backend;
  std::string text;

  auto operator<=>(const Ticket&) const = default;
};

/// A task of an ended job; a run that a former owner started may be active.
struct EndedTask {
  TaskRef task;
  TeamId team;
  Resources need;  ///< Counts against its account's maximum.
  Resources room;  ///< Taken from its server's capacity.
};

}  // namespace bw
