// Wire format of the runners. A port to runners with another format changes
// only this module. Pure functions; thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "../net/http_type.h"

namespace bw::platform {

/// A client request to be executed by a runner.
struct RunnerRequest {
  std::string id;
  std::string queue;
  std::string body;
  std::string content_type;
  uint64_t start_deadline_ms = 0;  ///< Latest start, by the runner's clock.

  bool operator==(const RunnerRequest&) const = default;
};

/// A runner's list of the requests that it is executing.
struct RunnerReport {
  uint64_t now_ms = 0;            ///< The runner's clock.
  std::set<std::string> running;  ///< Ids of requests.

  bool operator==(const RunnerReport&) const = default;
};

/// @param address "ip:port" of the runner.
net::HttpCall MakeRunCall(const std::string& address,
                          const RunnerRequest& request,
                          milliseconds timeout);
/// Requests the report of a runner.
net::HttpCall MakeRunnerReportCall(const std::string& address);

/// @return The report, or nothing if the response is malformed.
std::optional<RunnerReport> ParseRunnerReport(const net::HttpResult& result);

/// @return True if the runner rejected the request without executing any of it.
bool IsRunnerRefusal(const net::HttpResult& result);

}  // namespace bw::platform
