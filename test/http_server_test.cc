// The HTTP server ends while handlers still hold calls.
#include "../src/net/http_server.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

#include <asio.hpp>
#include <cerrno>
#include <mutex>
#include <vector>

#include "support/process.h"

namespace bw::test {
namespace {

using Tcp = asio::ip::tcp;

/// Keeps the responders of all calls.
class CallKeeper {
 public:
  void Keep(net::Responder respond) {
    std::lock_guard lock(mutex_);
    responders_.push_back(std::move(respond));
  }
  size_t size() {
    std::lock_guard lock(mutex_);
    return responders_.size();
  }
  std::vector<net::Responder> Take() {
    std::lock_guard lock(mutex_);
    return std::move(responders_);
  }

 private:
  std::mutex mutex_;
  std::vector<net::Responder> responders_;
};

Tcp::socket Connect(asio::io_context* io, int port) {
  Tcp::socket out(*io);
  out.connect(
      {asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)});
  return out;
}

/// @return True if the other side closes the connection in time.
bool HasEnded(Tcp::socket* socket) {
  const timeval timeout{2, 0};
  setsockopt(socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  char buf[1];
  const auto n = recv(socket->native_handle(), buf, sizeof(buf), 0);
  return n == 0 || (n < 0 && errno == ECONNRESET);
}

}  // namespace

TEST_GROUP(HttpServer){};

TEST(HttpServer, CallsMayBeAnsweredAfterTheServerHasEnded) {
  constexpr size_t kCalls = 8;
  const int port = FreePorts(1);
  CallKeeper keeper;
  asio::io_context io;
  std::vector<Tcp::socket> sockets;
  auto server = std::make_unique<net::HttpServer>(
      net::HttpServerOptions{.listen = "127.0.0.1:" + std::to_string(port)},
      [&](const net::HttpRequest&, net::Responder respond) {
        keeper.Keep(std::move(respond));
      });
  for (size_t n = 0; n < kCalls; ++n) {
    sockets.push_back(Connect(&io, port));
    asio::write(sockets.back(),
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  CHECK(Eventually([&] { return keeper.size() == kCalls; }));
  server.reset();
  for (auto& it : sockets) {
    CHECK(HasEnded(&it));
  }
  auto responders = keeper.Take();
  for (size_t n = 0; n < kCalls; n += 2) {
    responders[n](net::HttpResponse{});
  }
  responders.clear();  // The others are never answered.
}

}  // namespace bw::test
