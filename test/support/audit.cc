#include "audit.h"

#include <algorithm>

#include "../../src/fake/timer_thread.h"

namespace bw::test {
namespace {

/// Period in which a request or task ran.
struct Span {
  std::string id;
  uint64_t begin_ms = 0;
  uint64_t end_ms = 0;  ///< UINT64_MAX: still running.
  uint64_t units = 1;   ///< Cores for tasks, rounded up; 1 for requests.
};

/// @return The team in a request id, "team:instance:number".
std::string TeamOf(const Json& run) {
  const std::string id = run.value("id", "");
  return id.substr(0, id.find(':'));
}

uint64_t EndMs(const Json& in) {
  const uint64_t end = in.value("end_ms", uint64_t{0});
  return end == 0 ? UINT64_MAX : end;
}

std::vector<Span> SpansOf(const Evidence& evidence, const std::string& team) {
  constexpr uint64_t kMillicoresPerUnit = 1000;
  std::vector<Span> out;
  for (const auto& runner : evidence.runners) {
    for (const auto& it : runner["runs"]) {
      if (TeamOf(it) == team) {
        out.push_back({it["id"], it["begin_ms"], EndMs(it), 1});
      }
    }
  }
  for (const auto& worker : evidence.workers) {
    for (const auto& it : worker["tasks"]) {
      if (it["team"] == team) {
        const uint64_t units =
            (it["millicores"].get<uint64_t>() + kMillicoresPerUnit - 1) /
            kMillicoresPerUnit;
        out.push_back({it["id"], it["begin_ms"], EndMs(it), units});
      }
    }
  }
  return out;
}

bool IsReportedNotRun(const CallerRecord& caller) {
  return caller.got_response &&
         caller.response.find(R"("work":"not_run")") != std::string::npos;
}

}  // namespace

uint64_t StandInNowMs() {
  return fake::NowMs();
}

Findings AuditCapacity(const Evidence& evidence) {
  Findings out;
  for (const auto* kind : {&evidence.runners, &evidence.workers}) {
    for (const auto& it : *kind) {
      if (it.value("overfull", 0) > 0) {
        out.push_back("a backend server received work beyond its capacity " +
                      it["overfull"].dump() + " times");
      }
    }
  }
  return out;
}

Findings AuditConcurrentRuns(const Evidence& evidence) {
  std::map<std::string, std::vector<Span>> spans;
  for (const auto& worker : evidence.workers) {
    for (const auto& it : worker["tasks"]) {
      spans[it["id"]].push_back({it["id"], it["begin_ms"], EndMs(it), 1});
    }
  }
  Findings out;
  for (auto& [id, list] : spans) {
    std::sort(list.begin(), list.end(), [](const Span& a, const Span& b) {
      return a.begin_ms < b.begin_ms;
    });
    for (size_t n = 1; n < list.size(); ++n) {
      if (list[n].begin_ms < list[n - 1].end_ms) {
        out.push_back("task " + id + " had two runs at the same time");
      }
    }
  }
  return out;
}

Findings AuditRequests(const Evidence& evidence) {
  std::map<std::string, int> runs;
  for (const auto& runner : evidence.runners) {
    for (const auto& it : runner["runs"]) {
      ++runs[it["body"]];
    }
  }
  Findings out;
  for (const auto& it : runs) {
    if (it.second > 1) {
      out.push_back("request '" + it.first + "' ran " +
                    std::to_string(it.second) + " times");
    }
  }
  for (const auto& it : evidence.callers) {
    if (IsReportedNotRun(it) && runs.contains(it.body)) {
      out.push_back("'" + it.body + "' ran but was reported as not run");
    }
    if (it.got_response && it.status == 200 &&
        it.response != "done " + it.body) {
      out.push_back("'" + it.body + "' got the wrong response: " + it.response);
    }
  }
  return out;
}

Findings AuditLimit(const Evidence& evidence,
                    const std::string& team,
                    uint64_t limit) {
  std::vector<std::pair<uint64_t, int64_t>> changes;  // Time, units.
  for (const auto& it : SpansOf(evidence, team)) {
    changes.emplace_back(it.begin_ms, static_cast<int64_t>(it.units));
    if (it.end_ms != UINT64_MAX) {
      changes.emplace_back(it.end_ms, -static_cast<int64_t>(it.units));
    }
  }
  // Sorts ends before begins of the same millisecond, as they are negative.
  std::sort(changes.begin(), changes.end());
  int64_t running = 0;
  int64_t max_running = 0;
  for (const auto& it : changes) {
    running += it.second;
    max_running = std::max(max_running, running);
  }
  if (max_running > static_cast<int64_t>(limit)) {
    return {team + " had " + std::to_string(max_running) +
            " units running, limit " + std::to_string(limit)};
  }
  return {};
}

Findings AuditResponses(const Evidence& evidence) {
  Findings out;
  for (const auto& it : evidence.callers) {
    if (!it.got_response) {
      out.push_back("'" + it.body + "' got no complete response");
    }
  }
  return out;
}

Findings AuditNoStartsAfter(const Evidence& evidence,
                            const std::string& team,
                            uint64_t limit_ms) {
  Findings out;
  for (const auto& it : SpansOf(evidence, team)) {
    if (it.begin_ms > limit_ms) {
      out.push_back(it.id + " began " + std::to_string(it.begin_ms - limit_ms) +
                    " ms too late");
    }
  }
  return out;
}

Findings AuditAll(const Evidence& evidence) {
  Findings out;
  for (auto audit :
       {AuditCapacity, AuditConcurrentRuns, AuditRequests, AuditResponses}) {
    const Findings more = audit(evidence);
    out.insert(out.end(), more.begin(), more.end());
  }
  return out;
}

std::string Join(const Findings& findings) {
  constexpr size_t kMaxShown = 10;
  std::string out;
  for (size_t n = 0; n < std::min(findings.size(), kMaxShown); ++n) {
    out += findings[n] + "\n";
  }
  if (findings.size() > kMaxShown) {
    out += "and " + std::to_string(findings.size() - kMaxShown) + " more\n";
  }
  return out;
}

}  // namespace bw::test
