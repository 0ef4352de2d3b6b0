// The front: accepts callers' HTTP requests, checks their API keys, forwards
// them to the cell's owner and sends each caller one response.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "config_watch_base.h"
#include "event_loop_base.h"
#include "membership_base.h"
#include "metric_base.h"
#include "net/http_type.h"
#include "net/mesh.h"
#include "overload_notice_base.h"
#include "owner_base.h"
#include "platform/ingress.h"

namespace bw {

struct FrontOptions {
  /// Time within which a revoked API key stops working.
  milliseconds revoke{5000};
};

/// The components that a front uses.
struct FrontParts {
  EventLoop* core = nullptr;
  Membership* membership = nullptr;
  ConfigWatch* config = nullptr;
  Owner* owner = nullptr;
  Metrics* metrics = nullptr;
};

/// Belongs to the core thread, except where said otherwise.
class Front {
 public:
  /// @pre All parts outlive the front.
  Front(FrontOptions options, FrontParts parts);

  void SetMesh(net::Mesh* mesh) { mesh_ = mesh; }
  void SetOptions(const FrontOptions& options) { options_ = options; }

  /// Handles one caller's HTTP request. Thread-safe.
  void Serve(const net::HttpRequest& request, net::Responder responder);

  void Tick(Time now);

  /// Closes connections after their next response and reports not ready. Calls
  /// are served until `refuse_at` and refused immediately after. Thread-safe.
  void Drain(Time refuse_at) {
    refuse_at_us_ = ToMicros(refuse_at);
    draining_ = true;
  }
  /// @return Number of calls without a response. Thread-safe.
  size_t OpenCalls() const { return open_; }
  /// @return True if callers can be served. Thread-safe.
  bool IsReady() const { return ready_ && !draining_; }

 private:
  struct Call {
    platform::IngressCall ingress;
    proto::CellCall message;
    net::Responder responder;
    Time received;
    Time give_up;  ///< Latest time of the response.
    Time retry_at = kNever;
    std::string sent_to;  ///< Owner that the newest send was for.
    uint32_t sends = 0;   ///< Number of sends so far.
    /// Sends without a known outcome; an owner may have executed the call.
    uint32_t unknown_sends = 0;
    bool done = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  void Accept(const CallPtr& call);
  bool BuildMessage(const CallPtr& call);
  bool RefuseIfOverloaded(const CallPtr& call, Time now);
  void Send(const CallPtr& call);
  void SendOverMesh(const CallPtr& call, const std::string& owner);
  static milliseconds ReplyTimeout(const Call& call);
  void OnOutcome(const CallPtr& call, const CellOutcome& outcome);
  void RetryLater(const CallPtr& call, const char* why);
  void GiveUp(const CallPtr& call, const char* why);
  void Respond(const CallPtr& call,
               net::HttpResponse response,
               const char* why);
  void Refuse(const CallPtr& call, int status, const char* why);
  bool IsClosing(Time now) const { return ToMicros(now) >= refuse_at_us_; }

  FrontOptions options_;
  const FrontParts parts_;
  net::Mesh* mesh_ = nullptr;
  OverloadNotices overload_;
  std::map<uint64_t, CallPtr> open_calls_;
  uint64_t last_number_ = 0;
  std::atomic<size_t> open_{0};
  std::atomic<bool> ready_{false};
  std::atomic<bool> draining_{false};
  std::atomic<uint64_t> refuse_at_us_{~uint64_t{0}};
};

}  // namespace bw
