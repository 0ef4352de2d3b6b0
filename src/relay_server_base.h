// Sends calls to backend servers on behalf of the cell's owner.
#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "evacuation_base.h"
#include "event_loop_base.h"
#include "net/http_client.h"
#include "net/mesh.h"

namespace bw {

/// Sends each call once and reports how it ended; decides nothing, except that
/// starts are held back while this instance knows too little of evacuations,
/// and calls that have expired on this instance's clock: the process may have
/// been paused. Results that come in together go back in one message.
class RelayServer {
 public:
  /// @param evacuations Checked right before a start is sent, as the process
  /// may have been paused since the owner checked.
  /// @param zone Zone of the backend servers that this instance relays for,
  /// which is its own.
  /// @param address Mesh address of this instance.
  /// @pre All outlive this.
  RelayServer(net::HttpClient* http,
              EventLoop* core,
              const EvacuationView* evacuations,
              ZoneId zone,
              std::string address);

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
  proto::Envelope MakeResults() const;
  void Flush(Time now);

  net::HttpClient* const http_;
  EventLoop* const core_;
  const EvacuationView* const evacuations_;
  const ZoneId zone_;
  const std::string address_;
  uint64_t life_ = 0;  ///< Random number of this process.
  net::Mesh* mesh_ = nullptr;
  std::mutex mutex_;  ///< Guards the members below.
  std::map<std::string, std::deque<Outgoing>> outbox_;  ///< By owner.
  bool flush_posted_ = false;
};

}  // namespace bw
