// Sends calls to backend servers on behalf of the cell's owner.
#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "event_loop_base.h"
#include "net/http_client.h"
#include "net/mesh.h"

namespace bw {

/// Decides nothing: sends each call once and reports how it ended. Results that
/// come in together go back in one message.
class RelayServer {
 public:
  /// @pre `http` and `core` outlive this.
  RelayServer(net::HttpClient* http, EventLoop* core)
      : http_(http), core_(core) {}

  void SetMesh(net::Mesh* mesh) { mesh_ = mesh; }

  /// Sends the calls of a request. Thread-safe.
  void OnRequest(const proto::RelayRequest& request);
  /// Sends results again that could not be sent. Core thread.
  void Tick(Time now) { Flush(now); }

 private:
  /// A result on its way to the owner.
  struct Outgoing {
    proto::RelayResult result;
    Time until;  ///< The owner does not wait for it any longer.
  };

  void OnResult(const std::string& reply_to, Outgoing out);
  void Flush(Time now);

  net::HttpClient* const http_;
  EventLoop* const core_;
  net::Mesh* mesh_ = nullptr;
  std::mutex mutex_;  ///< Guards the members below.
  std::map<std::string, std::deque<Outgoing>> outbox_;  ///< By owner.
  bool flush_posted_ = false;
};

}  // namespace bw
