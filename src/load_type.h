// Types of the load tool: teams, planned arrivals and their results.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/http_type.h"

namespace bw {

/// A team on whose behalf the load tool submits work.
struct LoadTeam {
  std::string name;
  std::string key;      ///< API key.
  uint64_t share = 1;   ///< Configured share of the cell.
  uint64_t weight = 1;  ///< Relative part of the arrivals.
};

/// One planned request or job. All are drawn before the run begins.
struct Arrival {
  double at_s = 0;  ///< Offset from the start of the run, in seconds.
  size_t team = 0;  ///< Index into the list of teams.
  bool is_job = false;
  bool is_gang = false;
  uint64_t run_ms = 0;      ///< Of the request or of each task.
  uint64_t millicores = 0;  ///< Of each task; 0 for requests.
  uint32_t tasks = 0;       ///< Number of tasks; 0 for requests.
  std::string name;         ///< Unique; the body of a request begins with it.
};

/// Outcome of one arrival.
struct LoadResult {
  const Arrival* arrival = nullptr;
  /// Planned time, on the stand-ins' clock. Delay caused by a tool that sends
  /// late counts as waiting time.
  uint64_t intended_ms = 0;
  double latency_ms = 0;  ///< From the planned time to the response.
  int status = 0;         ///< HTTP status.
  std::string code;       ///< Error code; "lost" without a response.
  std::string job;        ///< Id of an accepted job.
};

/// Period in which a team's work ran on a backend server, from the stand-ins'
/// event records.
struct UnitSpan {
  std::string team;
  uint64_t begin_ms = 0;
  uint64_t end_ms = 0;  ///< 0: still running.
  uint64_t units = 1;   ///< Millicores for tasks, 1 for requests.
  size_t backend = 0;   ///< Number of the backend server.
};

}  // namespace bw
