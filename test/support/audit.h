// Checks of the system's invariants after a test run. They read only the
// stand-ins' event records and the responses that callers received.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet.h"

namespace bw::test {

/// One call of a load generator and its response.
struct CallerRecord {
  std::string body;  ///< Of the request; unique in the run.
  std::string team;
  int status = 0;
  std::string response;      ///< Body of the response.
  bool got_response = true;  ///< A complete response arrived.
};

/// Input of the audits.
struct Evidence {
  std::vector<Json> runners;  ///< Event record of each runner.
  std::vector<Json> workers;  ///< Event record of each worker.
  std::vector<CallerRecord> callers;
};

/// Violations that an audit found, as sentences; empty if there are none.
using Findings = std::vector<std::string>;

/// No backend server receives more work than it has capacity for.
Findings AuditCapacity(const Evidence& evidence);

/// No two runs of a task overlap in time.
Findings AuditConcurrentRuns(const Evidence& evidence);

/// A request runs at most once, "not run" is reported only for requests that
/// did not run, and each caller receives the response to its own request.
Findings AuditRequests(const Evidence& evidence);

/// At no time has the team more than `limit` units running.
Findings AuditLimit(const Evidence& evidence,
                    const std::string& team,
                    uint64_t limit);

/// Every call got a complete response.
Findings AuditResponses(const Evidence& evidence);

/// No work of the team began after `limit_ms` (on the stand-ins' clock).
Findings AuditNoStartsAfter(const Evidence& evidence,
                            const std::string& team,
                            uint64_t limit_ms);

/// @return The findings of all audits that need no further parameter.
Findings AuditAll(const Evidence& evidence);

/// @return The stand-ins' clock, in ms.
uint64_t StandInNowMs();

/// @return The first findings, one per line, and the number of further ones.
std::string Join(const Findings& findings);

}  // namespace bw::test
