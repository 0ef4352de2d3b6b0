// Audits of what must always hold. They read only the stand-ins' own records
// of the truth and what callers were told.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet.h"

namespace bw::test {

/// What one caller sent and was told.
struct CallerRecord {
  std::string body;  ///< Unique in the run.
  std::string team;
  int status = 0;
  std::string answer;
  bool answered = true;  ///< A whole answer came.
};

/// Everything an audit reads.
struct Evidence {
  std::vector<Json> runners;
  std::vector<Json> workers;
  std::vector<CallerRecord> callers;
};

/// Each returns what is wrong; empty if the promise held.
using Findings = std::vector<std::string>;

/// No instance is given more work than it can hold.
Findings AuditOverfull(const Evidence& evidence);

/// No task runs in two places at once.
Findings AuditTwoPlaces(const Evidence& evidence);

/// A request runs at most once; a "not run" is true; a whole answer is the
/// caller's own.
Findings AuditRequests(const Evidence& evidence);

/// No team has more units running than `limit` at any moment.
Findings AuditLimit(const Evidence& evidence,
                    const std::string& team,
                    uint64_t limit);

/// Every caller was answered.
Findings AuditAnswered(const Evidence& evidence);

/// No work of `team` began after `since_ms` (the stand-ins' clock).
Findings AuditNoneAfter(const Evidence& evidence,
                        const std::string& team,
                        uint64_t since_ms);

/// @return All findings of the first three and the last but one.
Findings AuditAll(const Evidence& evidence);

/// @return The stand-ins' clock.
uint64_t TruthNowMs();

std::string Join(const Findings& findings);

}  // namespace bw::test
