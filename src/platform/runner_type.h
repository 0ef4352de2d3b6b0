// The runners' wire format: all that another platform's runners would change.
// Thread-safe: pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "../net/http_type.h"

namespace bw::platform {

/// A request to run one piece of work.
struct RunnerRequest {
  std::string id;
  std::string queue;
  std::string body;
  std::string content_type;
  uint64_t not_after_ms = 0;  ///< Runner's clock: void after this.

  bool operator==(const RunnerRequest&) const = default;
};

/// A runner's list of what it runs.
struct RunnerLoad {
  uint64_t now_ms = 0;  ///< The runner's clock.
  std::set<std::string> running;

  bool operator==(const RunnerLoad&) const = default;
};

/// @param address "ip:port" of the runner.
net::HttpCall MakeRunCall(const std::string& address,
                          const RunnerRequest& request,
                          milliseconds timeout);
net::HttpCall MakeLoadCall(const std::string& address);

/// @return The load, or nothing if the answer cannot be read.
std::optional<RunnerLoad> ReadRunnerLoad(const net::HttpResult& result);

/// @return True if the runner says that it refused before running anything.
bool RunnerRefused(const net::HttpResult& result);

}  // namespace bw::platform
