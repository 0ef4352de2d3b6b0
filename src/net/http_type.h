// Plain types shared by the HTTP server and client.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../clock.h"

namespace bw::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request received by the server.
struct HttpRequest {
  std::string method;                          ///< Upper case.
  std::string path;                            ///< Without the query.
  std::map<std::string, std::string> query;    ///< Percent-decoded.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// @return The header's value; empty if absent. @pre `name` is in lower case.
  std::string Header(const std::string& name) const {
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
  /// @return The query parameter's value; empty if absent.
  std::string Query(const std::string& name) const {
    auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  }
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  Headers headers;
  bool close = false;  ///< Close the connection after this response.
};

/// Sends the response to one request. May be called from any thread; calls
/// after the first are ignored.
using Responder = std::function<void(HttpResponse)>;

/// Handles one request. Called on the server's thread; must not block.
using HttpHandler = std::function<void(const HttpRequest&, Responder)>;

/// A request to another server.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::string body;
  Headers headers;
  milliseconds timeout{5000};  ///< For the whole call, including connecting.
};

/// What is known about a call that has ended.
enum class DeliveryStatus : uint8_t {
  kResponded,  ///< A complete response was received.
  kNotSent,    ///< No byte of the request was sent.
  kUnknown,    ///< The request may have been sent and processed.
};

/// Result of an HttpCall. The other fields are complete only if `delivery` is
/// kResponded.
struct HttpResult {
  DeliveryStatus delivery = DeliveryStatus::kUnknown;
  int status = 0;
  std::string body;
  std::string content_type;

  /// @return True for a complete response with a 2xx status.
  bool Ok() const {
    return delivery == DeliveryStatus::kResponded && status / 100 == 2;
  }
};

}  // namespace bw::net
