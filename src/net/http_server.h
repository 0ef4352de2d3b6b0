// HTTP server over RESTinio. Only http_server.cc includes that library.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "caller_budget.h"
#include "http_type.h"

namespace bw::net {

struct HttpServerOptions {
  std::string listen;  ///< "ip:port"; port 0 is not allowed.
  /// A larger body is refused while it is being read.
  size_t max_body_bytes = 1 << 20;
  /// Replaces `max_body_bytes` if set. Called on the server's thread.
  std::function<size_t()> max_body_bytes_now = {};
  /// Share of the connections that the process's descriptors allow, more than 0
  /// and at most 1. Those of all servers of a process must not exceed 1.
  double connection_share = 1;
  /// Memory that callers' requests and responses may use; may be empty.
  std::shared_ptr<CallerBudget> budget = {};
  milliseconds handle_timeout{120'000};  ///< Until the handler responds.
  milliseconds read_timeout{10'000};  ///< Per request read or response write.
};

/// Serves requests until destroyed. All methods are thread-safe. Calls without
/// a response are then given up: their responders may still be called, and do
/// nothing.
class HttpServer {
 public:
  /// Binds the address and starts the server's thread.
  /// @throws std::system_error if the address cannot be bound.
  HttpServer(HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bw::net
