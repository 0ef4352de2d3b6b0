// What callers send and get at the platform's ingress. Pure functions;
// thread-safe.
#pragma once

#include <optional>
#include <string>

#include "../cell_type.h"
#include "../net/http_type.h"

namespace bw::platform {

enum class IngressKind : uint8_t { kSubmit, kState, kCancel, kOther };

/// One call of a client.
struct IngressCall {
  IngressKind kind = IngressKind::kOther;
  std::string host;
  std::string path;
  std::string api_key;
  milliseconds wait{0};  ///< How long the caller waits for an answer.
  std::string body;
};

/// Whether a job that was read can be taken in.
enum class SpecFault : uint8_t { kNone, kNotReadable, kNoSteps, kBadOrder };

IngressCall ReadIngressCall(const net::HttpRequest& request);

/// @return The queue of a call, by host and longest prefix, or nullptr.
const CellQueue* FindRoute(const CellConfig& config,
                           const std::string& host,
                           const std::string& path);

/// @return True if `text` can name a job.
bool IsJobName(const std::string& text);

/// Reads a job as handed in.
SpecFault ReadBatchSpec(const std::string& body, BatchSpec* spec);

net::HttpResponse StateAnswer(const std::string& state);
net::HttpResponse CountAnswer(uint64_t waiting);

/// A refusal or an error. @param retry_after_ms 0: no advice.
net::HttpResponse ErrorAnswer(int status,
                              const std::string& reason,
                              uint32_t retry_after_ms);

}  // namespace bw::platform
