// Wire format of the advice service. Pure functions; thread-safe.
#pragma once

#include <string>
#include <vector>

#include "../cell_type.h"
#include "../net/http_type.h"

namespace bw::platform {

/// Most backend servers that the advice service accepts in one call.
inline constexpr size_t kMaxBackendsPerAdviceCall = 100;

/// Response of the advice service.
struct AdviceResponse {
  bool answered = false;    ///< False: no usable response was received.
  bool overloaded = false;  ///< The service rejected the call: HTTP 429.
  bool not_sent = false;    ///< The query was not sent.
  /// Recommended backend servers, with tickets.
  std::vector<Ticket> recommended;
  uint64_t valid_ms = 0;  ///< Ticket lifetime; 0: use the queue's policy.

  bool operator==(const AdviceResponse&) const = default;
};

/// Asks which of `backends` are suitable for a step.
/// @pre `backends` has at most kMaxBackendsPerAdviceCall elements.
net::HttpCall MakeAdviceCall(const std::string& address,
                             const std::string& step_name,
                             const std::vector<std::string>& backends,
                             milliseconds timeout);
AdviceResponse ParseAdviceResponse(const net::HttpResult& result);

}  // namespace bw::platform
