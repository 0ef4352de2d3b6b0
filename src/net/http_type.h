// Plain types of the HTTP server and client.
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

/// One request as the server read it.
struct HttpRequest {
  std::string method;                          ///< Upper case.
  std::string path;                            ///< Without the query.
  std::map<std::string, std::string> query;    ///< Decoded.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  /// @return The header's value, or an empty text. @pre `name` in lower case.
  std::string Header(const std::string& name) const {
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
  }
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
  bool close = false;  ///< The connection ends after this answer.
};

/// Answers one request, at most once; may be called from any thread.
using Responder = std::function<void(HttpResponse)>;

/// Called on the server's thread; must not block.
using HttpHandler = std::function<void(const HttpRequest&, Responder)>;

/// One call to another server.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::string body;
  Headers headers;
  milliseconds timeout{5000};
};

/// What is known about a call that ended.
enum class CallFate : uint8_t {
  kAnswered,  ///< A whole answer came.
  kNotSent,   ///< No byte of the request left.
  kUnknown,   ///< Bytes may have left; the other side may have acted.
};

struct HttpResult {
  CallFate fate = CallFate::kUnknown;
  int status = 0;
  std::string body;
  std::string content_type;

  bool Ok() const { return fate == CallFate::kAnswered && status / 100 == 2; }
};

}  // namespace bw::net
