// HTTP server over RESTinio. Only http_server.cc includes that library.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "http_type.h"

namespace bw::net {

struct HttpServerOptions {
  std::string listen;               ///< "ip:port"; port 0 is not allowed.
  size_t max_body_bytes = 1 << 20;  ///< A larger body closes the connection.
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
