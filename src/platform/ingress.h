// Wire format of client calls through the platform's ingress. Pure functions;
// thread-safe.
#pragma once

#include <optional>
#include <string>

#include "../cell_type.h"
#include "../net/http_type.h"

namespace bw::platform {

enum class IngressKind : uint8_t { kSubmit, kState, kCancel, kOther };

/// A client's call.
struct IngressCall {
  IngressKind kind = IngressKind::kOther;
  std::string host;
  std::string path;
  std::string api_key;
  milliseconds wait{0};  ///< How long the client waits for a response.
  std::string body;
};

/// Why a submitted job is rejected.
enum class SpecError : uint8_t {
  kNone,
  kMalformed,  ///< Malformed, or the number of tasks is out of range.
  kNoSteps,
  kForwardDependency,  ///< A step depends on itself or on a later step.
};

IngressCall ReadIngressCall(const net::HttpRequest& request);

/// @return The queue with this host and the longest matching path prefix, or
/// nullptr if there is none.
const CellQueue* FindRoute(const CellConfig& config,
                           const std::string& host,
                           const std::string& path);

/// @return True if `text` has the form of a job id.
bool IsJobId(const std::string& text);

/// Parses a submitted job.
SpecError ReadBatchSpec(const std::string& body, BatchSpec* spec);

/// Response with the state of a job.
net::HttpResponse MakeStateResponse(const std::string& state);
/// Response with the number of waiting jobs of a queue.
net::HttpResponse MakeCountResponse(uint64_t waiting);

/// Error response. @param retry_after_ms Sent as Retry-After, rounded up to
/// seconds; 0: no such header.
net::HttpResponse MakeErrorResponse(int status,
                                    const std::string& reason,
                                    uint32_t retry_after_ms);

}  // namespace bw::platform
