// Mesh: request/response messaging between the system's own processes, with
// protobuf messages over ZeroMQ.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "../clock.h"
#include "../proto/bw.pb.h"
#include "../timeline_base.h"

namespace bw::net {

/// Sends requests to peers and handles theirs. An interface, so that tests can
/// replace it.
class Mesh {
 public:
  /// Called with the response, or with nullptr if none arrived in time or the
  /// request could not be sent.
  using Done = std::function<void(const proto::Envelope*)>;
  /// Sends the response to one request.
  using Reply = std::function<void(proto::Envelope)>;
  /// Handles one request. Runs on the mesh's thread and must not block. The
  /// Reply may be called later and from any thread.
  using Handler = std::function<void(const proto::Envelope&, Reply)>;

  virtual ~Mesh() = default;

  /// @return Total size in bytes of the messages sent and received.
  /// Thread-safe.
  virtual uint64_t BytesTransferred() const { return 0; }

  /// Sends `request` to `address`. Thread-safe. One of the callbacks runs,
  /// once: on the mesh's thread, or on the calling thread if the send queue is
  /// full. None runs for requests still pending when the mesh is destroyed.
  /// @param timeout Time to wait for the response.
  /// @param done See Done. May be empty.
  /// @param on_not_sent Called instead of `done` if no connection accepted the
  /// request, so that it was certainly not sent. May be empty.
  virtual void SendRequest(const std::string& address,
                           proto::Envelope request,
                           milliseconds timeout,
                           Done done,
                           std::function<void()> on_not_sent) = 0;
};

struct MeshOptions {
  std::string listen;    ///< "ip:port"; empty: sends requests only.
  std::string instance;  ///< Sender name in every message.
};

/// Creates a ZeroMQ mesh and starts its thread.
/// @pre `clock` outlives the mesh.
/// @throws zmq::error_t if the address cannot be bound.
std::unique_ptr<Mesh> MakeMesh(MeshOptions options,
                               HybridClock* clock,
                               Mesh::Handler handler);

}  // namespace bw::net
