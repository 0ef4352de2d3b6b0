// Messages between the system's own processes: ZeroMQ with protobuf.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "../clock.h"
#include "../proto/bw.pb.h"
#include "../timeline_base.h"

namespace bw::net {

/// Sends questions and answers those of others. Interface, so that tests can
/// stand in for it.
class Mesh {
 public:
  /// Ends a question: the answer, or nullptr when none came in time.
  using Done = std::function<void(const proto::Envelope*)>;
  using Reply = std::function<void(proto::Envelope)>;
  /// Answers a question, at once or later, from any thread; runs on the
  /// mesh's thread and must not block.
  using Handler = std::function<void(const proto::Envelope&, Reply)>;

  virtual ~Mesh() = default;

  /// @return Bytes of all messages sent and received so far. Thread-safe.
  virtual uint64_t BytesMoved() const { return 0; }

  /// Sends `question` to `address`. `done` runs on the mesh's thread, once.
  /// A question that could not be handed to a live connection ends through
  /// `refused` (if given) and was surely not sent. Thread-safe.
  virtual void Ask(const std::string& address,
                   proto::Envelope question,
                   milliseconds timeout,
                   Done done,
                   std::function<void()> refused) = 0;
};

struct MeshOptions {
  std::string listen;    ///< "ip:port"; empty: asks only.
  std::string instance;  ///< Name written into every message.
};

/// @pre `clock` outlives the mesh.
/// @throws zmq::error_t if the address cannot be bound.
std::unique_ptr<Mesh> MakeMesh(MeshOptions options,
                               HybridClock* clock,
                               Mesh::Handler handler);

}  // namespace bw::net
