#include "mesh.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <thread>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

#include "../guard_func.h"
#include "../log_func.h"
#include "../ring.h"
#include "../thread_cpu_func.h"

namespace bw::net {
namespace {

constexpr int kHighWaterMark = 1000;  ///< Messages queued for one peer.
constexpr size_t kRingSize = 16'384;  ///< Messages queued for the thread.
constexpr int kHeartbeatMs = 1000;
constexpr int kHeartbeatTimeoutMs = 3000;
/// A connection that is not set up in this time is replaced by a new one.
constexpr int kHandshakeTimeoutMs = 1000;
constexpr int kReconnectMs = 100;
constexpr int64_t kMaxMessageBytes = 32LL << 20;
/// Interval at which pending requests are checked for timeouts.
constexpr milliseconds kExpiryInterval{50};
/// Longest wait without pending requests; messages end it earlier.
constexpr milliseconds kIdlePollTimeout{1000};

/// A message queued for the mesh's thread.
struct Outgoing {
  std::string address;   ///< Peer's address; empty for a response.
  std::string identity;  ///< Requester's connection; used for a response only.
  proto::Envelope envelope;
  milliseconds timeout{0};
  Mesh::Done done;
  std::function<void()> on_not_sent;
};

/// A request that waits for its response.
struct Pending {
  Time deadline;
  Mesh::Done done;
};

class ZmqMesh : public Mesh {
 public:
  ZmqMesh(MeshOptions options, HybridClock* clock, Handler handler)
      : options_(std::move(options)),
        clock_(clock),
        handler_(std::move(handler)),
        ring_(std::make_shared<Ring<Outgoing>>(kRingSize)),
        wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    router_ = zmq::socket_t(context_, zmq::socket_type::router);
    SetCommon(router_);
    if (!options_.listen.empty()) {
      try {
        router_.bind("tcp://" + options_.listen);
      } catch (const zmq::error_t&) {
        close(wake_fd_);
        throw;
      }
    }
    thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
  }

  ~ZmqMesh() override {
    thread_.request_stop();
    ring_->Close();
    Wake();
    thread_.join();
    close(wake_fd_);
  }

  uint64_t BytesTransferred() const override { return bytes_transferred_; }

  void SendRequest(const std::string& address,
                   proto::Envelope request,
                   milliseconds timeout,
                   Done done,
                   std::function<void()> on_not_sent) override {
    Outgoing out{address,
                 {},
                 std::move(request),
                 timeout,
                 std::move(done),
                 std::move(on_not_sent)};
    if (ring_->Push(out)) {
      Wake();
    } else if (out.on_not_sent) {
      out.on_not_sent();
    } else if (out.done) {
      out.done(nullptr);
    }
  }

 private:
  static void SetCommon(zmq::socket_t& socket) {
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
    socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
  }

  zmq::socket_t& PeerSocket(const std::string& address) {
    auto it = peers_.find(address);
    if (it == peers_.end()) {
      zmq::socket_t socket(context_, zmq::socket_type::dealer);
      SetCommon(socket);
      socket.set(zmq::sockopt::immediate, 1);
      socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
      socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMs * 5);
      socket.connect("tcp://" + address);
      it = peers_.emplace(address, std::move(socket)).first;
    }
    return it->second;
  }

  /// Wakes the mesh's thread from its poll.
  void Wake() const {
    const uint64_t one = 1;
    [[maybe_unused]] auto n = write(wake_fd_, &one, sizeof(one));
  }

  void Run(const std::stop_token& stop) {
    const ScopedThreadCpu cpu("mesh");
    while (!stop.stop_requested()) {
      // ZeroMQ throws if a call fails, also when a signal interrupts it.
      RunGuarded(Part::kMesh, "mesh", [this] { RunOnce(); });
    }
  }

  /// Waits for messages and handles them.
  void RunOnce() {
    std::vector<zmq::pollitem_t> items = {{nullptr, wake_fd_, ZMQ_POLLIN, 0},
                                          {router_.handle(), 0, ZMQ_POLLIN, 0}};
    std::vector<zmq::socket_t*> sockets;
    for (auto& it : peers_) {
      items.push_back({it.second.handle(), 0, ZMQ_POLLIN, 0});
      sockets.push_back(&it.second);
    }
    zmq::poll(items, pending_.empty() ? kIdlePollTimeout : kExpiryInterval);
    uint64_t drained = 0;
    [[maybe_unused]] auto n = read(wake_fd_, &drained, sizeof(drained));
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      ReceiveRequests();
    }
    for (size_t i = 0; i < sockets.size(); ++i) {
      if ((items[i + 2].revents & ZMQ_POLLIN) != 0) {
        ReceiveResponses(*sockets[i]);
      }
    }
    SendQueued();
    ExpirePending();
  }

  void SendQueued() {
    while (auto out = ring_->TryPop()) {
      out->envelope.set_from(options_.instance);
      out->envelope.set_hlc(clock_->Tick());
      if (out->address.empty()) {
        TransmitResponse(*out);
      } else {
        TransmitRequest(std::move(*out));
      }
    }
  }

  void TransmitResponse(const Outgoing& out) {
    router_.send(zmq::buffer(out.identity),
                 zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    const std::string payload = out.envelope.SerializeAsString();
    bytes_transferred_ += payload.size();
    router_.send(zmq::buffer(payload), zmq::send_flags::dontwait);
  }

  void TransmitRequest(Outgoing out) {
    out.envelope.set_seq(++last_seq_);
    const std::string payload = out.envelope.SerializeAsString();
    bytes_transferred_ += payload.size();
    bool sent = false;
    try {
      sent = PeerSocket(out.address)
                 .send(zmq::buffer(payload), zmq::send_flags::dontwait)
                 .has_value();
    } catch (const zmq::error_t& e) {
      Log(Part::kMesh, LogLevel::kWarn, "Cannot send a message to {}: {}.",
          out.address, e.what());
    }
    if (sent) {
      pending_[last_seq_] = {BootClock::now() + out.timeout,
                             std::move(out.done)};
    } else if (out.on_not_sent) {
      out.on_not_sent();
    } else if (out.done) {
      out.done(nullptr);
    }
  }

  void ReceiveRequests() {
    zmq::message_t identity;
    zmq::message_t payload;
    while (router_.recv(identity, zmq::recv_flags::dontwait)) {
      if (!identity.more()) {
        continue;
      }
      if (!router_.recv(payload, zmq::recv_flags::dontwait)) {
        return;
      }
      bytes_transferred_ += payload.size();
      proto::Envelope request;
      if (payload.more() ||
          !request.ParseFromArray(payload.data(),
                                  static_cast<int>(payload.size()))) {
        Log(Part::kMesh, LogLevel::kWarn, "Dropped a malformed message.");
        SkipRemainingParts();
        continue;
      }
      clock_->Observe(request.hlc());
      const uint64_t seq = request.seq();
      RunGuarded(Part::kMesh, "mesh_request", [&] {
        handler_(request, MakeReply(identity.to_string(), seq));
      });
    }
  }

  /// Discards the remaining parts of the current multipart message.
  void SkipRemainingParts() {
    zmq::message_t part;
    while (router_.get(zmq::sockopt::rcvmore) != 0 &&
           router_.recv(part, zmq::recv_flags::dontwait)) {
    }
  }

  Reply MakeReply(std::string identity, uint64_t seq) {
    // The callback may outlive the mesh, so it shares the ring and does not
    // refer to the mesh.
    return [ring = ring_, wake_fd = wake_fd_, identity = std::move(identity),
            seq](proto::Envelope response) {
      response.set_seq(seq);
      Outgoing out{{}, identity, std::move(response), {}, {}, {}};
      if (ring->Push(out) && !ring->closed()) {
        const uint64_t one = 1;
        [[maybe_unused]] auto n = write(wake_fd, &one, sizeof(one));
      }
    };
  }

  void ReceiveResponses(zmq::socket_t& socket) {
    zmq::message_t payload;
    while (socket.recv(payload, zmq::recv_flags::dontwait)) {
      bytes_transferred_ += payload.size();
      proto::Envelope response;
      if (!response.ParseFromArray(payload.data(),
                                   static_cast<int>(payload.size()))) {
        continue;
      }
      clock_->Observe(response.hlc());
      auto node = pending_.extract(response.seq());
      if (!node.empty() && node.mapped().done) {
        RunGuarded(Part::kMesh, "mesh_response",
                   [&] { node.mapped().done(&response); });
      }
    }
  }

  void ExpirePending() {
    const Time now = BootClock::now();
    if (now < next_expiry_) {
      return;
    }
    next_expiry_ = now + kExpiryInterval;
    for (auto it = pending_.begin(); it != pending_.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      auto done = std::move(it->second.done);
      it = pending_.erase(it);
      if (done) {
        done(nullptr);
      }
    }
  }

  const MeshOptions options_;
  HybridClock* const clock_;
  const Handler handler_;
  std::shared_ptr<Ring<Outgoing>> ring_;
  const int wake_fd_;
  zmq::context_t context_{1};
  zmq::socket_t router_;
  std::map<std::string, zmq::socket_t> peers_;     ///< By address.
  std::unordered_map<uint64_t, Pending> pending_;  ///< By sequence number.
  uint64_t last_seq_ = 0;  ///< Sequence number of the last request sent.
  std::atomic<uint64_t> bytes_transferred_{0};
  Time next_expiry_ = kNever;
  std::jthread thread_;
};

}  // namespace

std::unique_ptr<Mesh> MakeMesh(MeshOptions options,
                               HybridClock* clock,
                               Mesh::Handler handler) {
  return std::make_unique<ZmqMesh>(std::move(options), clock,
                                   std::move(handler));
}

}  // namespace bw::net
