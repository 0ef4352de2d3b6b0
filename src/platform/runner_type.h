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
  uint64_t not_after_ms = 0;  ///< Expiry, on the runner's clock.

  bool operator==(const RunnerRequest&) const = default;
};

/// A runner's list of the requests that it is executing.
struct RunnerLoad {
  uint64_t now_ms = 0;            ///< The runner's clock.
  std::set<std::string> running;  ///< Ids of requests.

  bool operator==(const RunnerLoad&) const = default;
};

/// @param address "ip:port" of the runner.
net::HttpCall MakeRunCall(const std::string& address,
                          const RunnerRequest& request,
                          milliseconds timeout);
/// Reads the load of a runner.
net::HttpCall MakeLoadCall(const std::string& address);

/// @return The load, or nothing if the response is malformed.
std::optional<RunnerLoad> ReadRunnerLoad(const net::HttpResult& result);

/// @return True if the runner rejected the request without executing any of it.
bool RunnerRefused(const net::HttpResult& result);

}  // namespace bw::platform
