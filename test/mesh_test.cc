// The mesh over connections that fail without a reset.
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

#include "../src/net/mesh.h"
#include "support/process.h"

namespace bw::test {
namespace {

/// Bilberrywing's users count an instance as in touch with the others once its
/// links have been sound for this long: contactMs.
constexpr milliseconds kContact{3000};

/// Listens like a peer, but the link behind it carries nothing.
class SilentListener {
 public:
  explicit SilentListener(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    is_bound_ = bind(fd_, reinterpret_cast<sockaddr*>(&address),
                     sizeof(address)) == 0 &&
                listen(fd_, 1) == 0;
  }
  ~SilentListener() {
    close(fd_);
    close(connection_);
  }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  /// Accepts one connection, which stays open, and closes the listener.
  void AcceptOne() {
    connection_ = accept(fd_, nullptr, nullptr);
    close(fd_);
    fd_ = -1;
  }
  bool IsBound() const { return is_bound_; }

 private:
  int fd_;
  int connection_ = -1;
  bool is_bound_ = false;
};

}  // namespace

TEST_GROUP(Mesh){};

// A connection that goes silent while it is being set up must not keep later
// ones from being made: a peer would stay out of reach long after its link
// works again.
TEST(Mesh, PeerIsReachedAfterConnectionFellSilentDuringHandshake) {
  const int port = FreePorts(1);
  const std::string address = "127.0.0.1:" + std::to_string(port);
  HybridClock clock;
  SilentListener silent(port);
  CHECK(silent.IsBound());
  std::atomic<bool> answered{false};
  const auto client = net::MakeMesh({"", "client"}, &clock,
                                    [](const proto::Envelope&, auto) {});
  const auto call = [&] {
    proto::Envelope request;
    request.mutable_cell_offer();
    client->SendRequest(address, request, milliseconds(500),
                        [&](const proto::Envelope* reply) {
                          answered = answered || reply != nullptr;
                        },
                        {});
  };
  call();
  silent.AcceptOne();
  const auto server = net::MakeMesh(
      {address, "server"}, &clock,
      [](const proto::Envelope&, const net::Mesh::Reply& reply) { reply({}); });
  CHECK(Eventually(
      [&] {
        call();
        usleep(20'000);
        return answered.load();
      },
      kContact));
}

}  // namespace bw::test
