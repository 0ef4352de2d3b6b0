// What the load tool hands in and what it learns.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/http_type.h"

namespace bw {

/// A team as the load tool plays it.
struct LoadTeam {
  std::string name;
  std::string key;
  uint64_t share = 1;
  uint64_t weight = 1;
};

/// One planned arrival: all of them are drawn before the run begins.
struct Arrival {
  double at_s = 0;  ///< After the start of the run.
  size_t team = 0;
  bool is_job = false;
  bool is_gang = false;
  uint64_t run_ms = 0;
  uint64_t millicores = 0;
  uint32_t tasks = 0;
  std::string name;  ///< Unique; travels in the body.
};

/// What became of it.
struct LoadResult {
  const Arrival* arrival = nullptr;
  uint64_t intended_ms = 0;  ///< On the stand-ins' clock: what waits longer
                             ///< because the tool is late counts as waiting.
  double took_ms = 0;        ///< From the intended moment to the answer.
  int status = 0;
  std::string code;  ///< Of a refusal; "lost" without an answer.
  std::string job;
};

/// A time at which units of a team ran, from the stand-ins' records.
struct UnitSpan {
  std::string team;
  uint64_t begin_ms = 0;
  uint64_t end_ms = 0;
  uint64_t units = 1;  ///< Millicores for tasks, 1 for requests.
  size_t backend = 0;
};

}  // namespace bw
