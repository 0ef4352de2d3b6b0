// Calls to the advice service. Pure functions; thread-safe.
#pragma once

#include <string>
#include <vector>

#include "../cell_type.h"
#include "../net/http_type.h"

namespace bw::platform {

/// The service takes at most this many backend servers in one call.
inline constexpr size_t kMaxServersAdvised = 100;

struct AdviceAnswer {
  bool answered = false;  ///< False: nothing is known.
  bool overloaded = false;
  bool not_sent = false;  ///< The question left nowhere.
  std::vector<Ticket> good;
  uint64_t valid_ms = 0;  ///< 0: as the queue's policy says.

  bool operator==(const AdviceAnswer&) const = default;
};

/// @pre At most kMaxServersAdvised backend servers.
net::HttpCall MakeAdviceCall(const std::string& address,
                             const std::string& step_name,
                             const std::vector<std::string>& backends,
                             milliseconds timeout);
AdviceAnswer ReadAdviceAnswer(const net::HttpResult& result);

}  // namespace bw::platform
