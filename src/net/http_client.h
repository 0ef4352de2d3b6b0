// HTTP client over libcurl; runs concurrent calls on one thread.
#pragma once

#include <functional>
#include <memory>

#include "http_type.h"

namespace bw::net {

/// Sends HTTP requests, each at most once: no automatic retries. An interface,
/// so that tests can replace it.
class HttpClient {
 public:
  /// Completion callback.
  using Done = std::function<void(HttpResult)>;

  virtual ~HttpClient() = default;

  /// Starts a call. Thread-safe.
  /// @param may_send Called on the client's thread right before the request is
  /// sent; if it returns false, the call ends with kNotSent. May be empty.
  /// @param done Called once, on the client's thread; must not block. If the
  /// queue of calls is full, it runs on the calling thread, with kNotSent. Not
  /// called for calls still open when the client is destroyed.
  virtual void Send(HttpCall call,
                    std::function<bool()> may_send,
                    Done done) = 0;
};

/// Creates a libcurl client.
/// @param connections_per_host Maximum number of open connections per server.
/// @param cached_connections Maximum number of connections kept open for reuse;
/// with fewer than are in use at a time, calls pay for new connections.
std::unique_ptr<HttpClient> MakeHttpClient(long connections_per_host,
                                           long cached_connections = 1024);

/// @return `text` with all characters escaped that have a meaning in the query
/// of a URL. Thread-safe.
std::string EscapeQuery(const std::string& text);

/// Sends one call on the calling thread and blocks until it ends. Thread-safe.
HttpResult CallAndWait(const HttpCall& call);

}  // namespace bw::net
