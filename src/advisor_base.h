// Sends queries to the advice service, one at a time, as the service accepts
// only one call at a time from each instance.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "event_loop_base.h"
#include "net/http_client.h"
#include "platform/advice.h"

namespace bw {

/// Belongs to the core thread.
class Advisor {
 public:
  using Done = std::function<void(const platform::AdviceResponse&)>;

  /// @param address "ip:port" of the service; empty: no service.
  /// @pre `http` and `core` outlive the advisor.
  Advisor(std::string address, net::HttpClient* http, EventLoop* core)
      : address_(std::move(address)), http_(http), core_(core) {}

  /// Queues a query. `done` is posted to the core thread.
  /// @param timeout Time-out, which includes the time in the queue.
  void Query(std::string step_name,
             std::vector<std::string> backends,
             milliseconds timeout,
             Done done);

 private:
  struct PendingQuery {
    std::string step_name;
    std::vector<std::string> backends;
    Time timeout_at;
    Done done;
  };
  void SendNext();

  const std::string address_;
  net::HttpClient* const http_;
  EventLoop* const core_;
  std::deque<PendingQuery> waiting_;
  bool query_pending_ = false;
};

}  // namespace bw
