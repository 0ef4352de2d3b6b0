// HTTP client over libcurl: many calls at once on one thread.
#pragma once

#include <functional>
#include <memory>

#include "http_type.h"

namespace bw::net {

/// Sends calls; never sends a body twice. Interface, so that tests can stand
/// in for it.
class HttpClient {
 public:
  using Done = std::function<void(HttpResult)>;
  virtual ~HttpClient() = default;

  /// Starts a call. `may_send` is asked on the client's thread right before
  /// the call; if it says no, the call ends as kNotSent. `done` runs on the
  /// client's thread and must not block. Thread-safe.
  virtual void Send(HttpCall call,
                    std::function<bool()> may_send,
                    Done done) = 0;
};

/// The real client. `connections_per_host` bounds the open connections to one
/// server.
std::unique_ptr<HttpClient> MakeHttpClient(long connections_per_host);

/// One call on the calling thread; blocks until it ends. Thread-safe.
HttpResult CallAndWait(const HttpCall& call);

}  // namespace bw::net
