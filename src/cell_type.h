// Plain types of the cell: what the operator configured, what callers handed
// in, and the backend servers.
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

/// A queue whose policy allows only some backend servers to run a step. The
/// advice service knows which.
struct AdvicePolicy {
  double base_ms = 0;        ///< Time of one question.
  double per_server_ms = 0;  ///< More for each backend server named.
  uint64_t valid_ms = 0;     ///< Life of a ticket.

  auto operator<=>(const AdvicePolicy&) const = default;
};

/// One queue, as the operator configured it.
struct CellQueue {
  QueueId name;
  std::string host;
  std::string path_prefix;
  std::string service;    ///< Backend servers that run its tasks.
  uint32_t priority = 0;  ///< 0 comes first.
  uint32_t max_attempts = 1;
  double stretch = 1;  ///< Objective, in lengths of the longest chain.
  uint64_t target_latency_ms = 0;  ///< Added to the objective.
  bool anonymous = false;          ///< Open to callers without a key.
  std::optional<AdvicePolicy> advice;

  auto operator<=>(const CellQueue&) const = default;
};

/// One client account, as the operator configured it.
struct AccountPolicy {
  TeamId name;
  std::vector<std::string> keys;
  double weight = 1;
  Resources maximum;  ///< 0: no limit.

  auto operator<=>(const AccountPolicy&) const = default;
};

/// One version of the operator's configuration. Immutable.
struct CellConfig {
  uint64_t version = 0;
  std::vector<CellQueue> queues;
  std::vector<AccountPolicy> accounts;
  std::unordered_map<std::string, TeamId> teams_by_key;  ///< By key hash.
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
  uint32_t count = 1;  ///< Tasks.
  Resources need;      ///< Of each task.
  uint64_t estimate_ms = 0;
  std::vector<uint32_t> after;  ///< Steps that must be done first.
  bool gang = false;            ///< The tasks work only all together.
  bool same_rack = false;       ///< Far slower on more than one rack.
  bool checkpoint = false;
  bool speculative = false;  ///< Copies may run in parallel.
  bool perpetual = false;    ///< Runs until cancelled.
  bool fills = false;        ///< Takes only processor time left over.
  std::string label;         ///< Backend servers must have it; empty: any.
  std::string rack;          ///< Far slower on any other rack; empty: none.
  uint32_t per_server = 0;   ///< Most tasks on one backend server; 0: any.
  std::string image;
  uint64_t target_ms = 0;  ///< Bound of the tail of a serving task's answers.
  std::optional<uint32_t> may_miss;  ///< Tasks that may be away at once.

  bool operator==(const StepSpec&) const = default;
};

/// A job as handed in. Immutable after acceptance.
struct BatchSpec {
  std::string payload;  ///< Handed to the backend servers as it is.
  std::vector<StepSpec> steps;
  uint64_t start_at_ms = 0;   ///< Wall clock; 0: at once.
  uint64_t repeat_count = 0;  ///< 0: once, without occurrences.
  uint64_t interval_ms = 0;

  bool operator==(const BatchSpec&) const = default;
};

/// Where a task stands in its job. Ordered by job first.
struct TaskRef {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskRef&) const = default;
};

/// One start of a task.
struct RunRef {
  TaskRef task;
  uint64_t number = 0;

  auto operator<=>(const RunRef&) const = default;
};

/// A step of one occurrence of a job.
struct StepRef {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;

  auto operator<=>(const StepRef&) const = default;
};

/// What a backend server says of itself in the store.
struct BackendEntry {
  BackendId id;
  std::string service;
  std::string address;
  ZoneId zone;
  uint64_t incarnation = 0;  ///< Wall clock of its start, in ms.
  bool draining = false;
  std::optional<uint64_t> remaining_ms;  ///< Least time left while draining.
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
  kLapsed,  ///< Its lease ran out.
  kBroken,  ///< Another member of its gang ended.
  kAlone,   ///< The other members of its gang did not come.
};

struct ListedRun {
  RunRef run;
  std::string saved;     ///< Newest checkpoint; empty: none.
  uint32_t percent = 0;  ///< Pace.
  uint64_t figure = 0;   ///< Millicores in use, or the tail in ms if serving.

  bool operator==(const ListedRun&) const = default;
};

struct ListedEnd {
  uint64_t number = 0;  ///< Position in the backend server's list of ends.
  RunRef run;
  RunEnd end = RunEnd::kDone;
  std::string saved;

  bool operator==(const ListedEnd&) const = default;
};

/// What became of an order to a backend server.
enum class OrderVerdict : uint8_t {
  kDone,
  kFenced,            ///< A higher fencing token was seen.
  kSuperseded,        ///< That run or a higher one was stopped or ended.
  kExpired,           ///< The lease it would start with is over.
  kNoRoom,            ///< The backend server has no room.
  kNoTicket,          ///< The ticket is not valid any more.
  kUnhealthy,         ///< The backend server did nothing.
  kInvalid,           ///< The order is not accepted.
  kOtherIncarnation,  ///< Another life of the backend server answered.
  kUnknown,           ///< No answer: it may be executed, now or later.
  kNotSent,           ///< No byte of the order left.
};

const char* VerdictName(OrderVerdict verdict);

/// A backend server's own lists.
struct BackendReport {
  OrderVerdict verdict = OrderVerdict::kUnknown;
  uint64_t clock_ms = 0;  ///< The backend server's steady clock.
  uint64_t incarnation = 0;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

/// Admits a step's starts on one backend server.
struct Ticket {
  BackendId backend;
  std::string text;

  auto operator<=>(const Ticket&) const = default;
};

}  // namespace bw
