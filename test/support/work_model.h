// Random jobs of all kinds, what callers have seen of them, and a check of the
// runs against both.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bw::test {

using Json = nlohmann::json;
using Random = std::mt19937_64;

inline int64_t Between(Random* random, int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(*random);
}

struct WorkStep {
  uint32_t count = 1;
  uint32_t cpu = 1000;
  uint32_t ms = 100;        ///< 0: runs until stopped.
  uint32_t dies_ms = 0;     ///< Runs of a perpetual task fail after this time.
  uint32_t failures = 0;    ///< So many runs of a task fail first.
  uint32_t per_server = 0;  ///< 0: no limit.
  std::vector<uint32_t> depends_on;
  bool gang = false;
  bool same_rack = false;
  bool checkpoint = false;
  bool speculative = false;
  bool perpetual = false;
  std::string label;
  std::string rack;
};

struct WorkJob {
  std::string id;
  std::string queue;  ///< Path after the first prefix: "q/", "n/" or "x/".
  int account = 0;
  std::vector<WorkStep> steps;
  uint64_t start_at_ms = 0;  ///< Since 1970; 0: at once.
  uint32_t repeat_count = 0;
  uint32_t interval_ms = 0;

  bool IsPerpetual() const { return steps[0].perpetual; }
  bool IsTimed() const { return start_at_ms > 0 || repeat_count > 0; }
  /// @return True if it cannot be done within kMaxAttempts.
  bool IsHopeless() const;
  uint32_t Occurrences() const { return repeat_count == 0 ? 1 : repeat_count; }
  std::string Spec() const;
  std::string Body() const;
};

inline constexpr uint32_t kMaxAttempts = 3;

/// @param wall_ms The time since 1970.
WorkJob RandomJob(Random* random, const std::string& id, uint64_t wall_ms);

/// What callers have seen of a job. Times are those of the stand-ins; 0: never.
struct WorkRecord {
  WorkJob job;
  uint64_t accepted_ms = 0;
  bool refused = false;  ///< Every attempt to hand it in was refused.
  uint64_t cancel_sent_ms = 0;
  uint64_t cancelled_ms = 0;
  uint64_t completed_ms = 0;  ///< First shown as completed.
};

/// A span without disruption.
struct CalmSpan {
  uint64_t from_ms = 0;
  uint64_t to_ms = 0;
};

struct WorkAudit {
  explicit WorkAudit(Json all_runs) : runs(std::move(all_runs)) {}
  WorkAudit(const WorkAudit&) = delete;
  WorkAudit& operator=(const WorkAudit&) = delete;

  Json runs;  ///< From the stand-in of the platform.
  std::map<std::string, WorkRecord> records;
  std::vector<CalmSpan> calm;
  uint64_t wall_offset_ms = 0;  ///< Time since 1970 less the runs' clock.
  uint64_t total_cpu = 0;
  uint64_t now_ms = 0;
};

/// @return All faults that were found, one a line.
std::string AuditWork(const WorkAudit& audit);

}  // namespace bw::test
