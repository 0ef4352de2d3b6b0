// Sends the owner's calls to backend servers, through other instances where the
// cell is large: the calls of hundreds of servers take more processor time than
// one instance has.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell_type.h"
#include "event_loop_base.h"
#include "net/http_client.h"
#include "net/mesh.h"
#include "relay_func.h"

namespace bw {

/// Relays decide nothing. Orders carry the owner's fencing token and lease ends
/// on the backend server's clock, so an order that a relay holds up is refused
/// by the server like one that the network holds up. A server that has
/// restarted knows neither, so calls also expire on the relay's clock: one that
/// was paused does not send them. Belongs to the core thread, except where said
/// otherwise.
class RelayClient {
 public:
  /// @param direct Sends the calls that no relay sends. @pre Outlives this.
  explicit RelayClient(net::HttpClient* direct);

  void SetMesh(net::Mesh* mesh) { mesh_ = mesh; }
  /// Sets the relays and this instance's mesh address.
  void SetRelays(RelaysByZone relays, const std::string& reply_to);

  /// Sends a call to a backend server. Parameters as of net::HttpClient::Send;
  /// `may_send` is called on the core thread right before the call is handed to
  /// a relay.
  void Send(const BackendEntry& to,
            net::HttpCall call,
            std::function<bool()> may_send,
            net::HttpClient::Done done);
  /// Hands all queued calls to their relays.
  void Flush();
  /// Ends calls whose relay does not reply as "unknown", and avoids the relay.
  /// Asks relays for their clocks.
  void Tick(Time now);

  /// Ends calls with the results that a relay sent. Thread-safe.
  void OnResults(const proto::RelayResults& results);

 private:
  struct Pending {
    std::string relay;
    Time deadline;
    net::HttpCall call;
    std::function<bool()> may_send;
    net::HttpClient::Done done;
  };
  /// The boot clock of a relay, as far as it is known.
  struct RelayClock {
    uint64_t life = 0;      ///< Number of the relay's process.
    uint64_t ahead_us = 0;  ///< Lower bound of its clock less this one's,
                            ///< modulo 2^64.
  };
  /// Calls that wait for Flush, by relay.
  using Outbox = std::map<std::string, std::vector<uint64_t>>;

  std::string ChooseRelay(const BackendEntry& to, Time now);
  void AskForClocks(Time now);
  void OnClock(const proto::RelayResults& results, Time now);
  void FlushTo(const std::string& relay, const std::vector<uint64_t>& numbers);
  void SendDirectly(const std::string& relay,
                    const std::vector<uint64_t>& numbers);
  void SendHeldBack(uint64_t number);
  void Avoid(const std::string& relay, const char* why, Duration duration);
  std::vector<Pending> Extract(const std::vector<uint64_t>& numbers);

  net::HttpClient* const direct_;
  net::Mesh* mesh_ = nullptr;
  RelaysByZone relays_;
  std::string reply_to_;
  Outbox outbox_;
  uint64_t last_number_ = 0;  ///< Of a call; starts at random.
  Time next_expiry_ = kNever;
  Time next_question_ = kNever;  ///< For the clocks of relays.
  std::mutex mutex_;             ///< Guards the members below.
  std::unordered_map<uint64_t, Pending> pending_;
  std::map<std::string, Time> avoid_until_;   ///< By relay.
  std::map<std::string, RelayClock> clocks_;  ///< By relay.
};

}  // namespace bw
