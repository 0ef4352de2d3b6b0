// The HTTP server ends while handlers still hold calls.
#include "../src/net/http_server.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

#include <asio.hpp>
#include <cerrno>
#include <mutex>
#include <string>
#include <thread>
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

/// Reads until the other side closes the connection or 2 s pass without a byte.
std::string ReadToEnd(Tcp::socket* socket) {
  const timeval timeout{2, 0};
  setsockopt(socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  std::string out;
  char buf[4096];
  ssize_t n = 0;
  while ((n = recv(socket->native_handle(), buf, sizeof(buf), 0)) > 0) {
    out.append(buf, static_cast<size_t>(n));
  }
  return out;
}

int CountResponses(const std::string& text) {
  int out = 0;
  for (size_t at = 0; (at = text.find("HTTP/1.1 200", at)) != std::string::npos;
       ++at) {
    ++out;
  }
  return out;
}

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/// Longer than the server takes to read what was sent.
constexpr milliseconds kReadPause{200};

/// Responds to one held call after the other, as they come, until `count`.
void RespondToAll(CallKeeper* keeper, int count, bool close) {
  int done = 0;
  Eventually(
      [&] {
        for (const auto& it : keeper->Take()) {
          net::HttpResponse response;
          response.close = close;
          it(response);
          ++done;
        }
        return done >= count;
      },
      milliseconds(2000));
}

}  // namespace

TEST_GROUP(HttpServer){};

TEST(HttpServer, AConnectionClosesAfterTheLastOfThePipelinedRequests) {
  const int port = FreePorts(1);
  CallKeeper keeper;
  net::HttpServerOptions options;
  options.listen = "127.0.0.1:" + std::to_string(port);
  const net::HttpServer server(
      options, [&](const net::HttpRequest&, net::Responder respond) {
        keeper.Keep(std::move(respond));
      });
  asio::io_context io;
  for (const int requests : {1, 2, 3, 4, 5, 9}) {
    auto socket = Connect(&io, port);
    std::string bytes;
    for (int n = 0; n < requests; ++n) {
      bytes += kRequest;
    }
    asio::write(socket, asio::buffer(bytes));
    std::this_thread::sleep_for(kReadPause);
    RespondToAll(&keeper, requests, /*close=*/true);
    socket.shutdown(Tcp::socket::shutdown_send);
    LONGS_EQUAL(requests, CountResponses(ReadToEnd(&socket)));
  }
}

TEST(HttpServer, PipelinedRequestsAreHandledInTurn) {
  const int port = FreePorts(1);
  CallKeeper keeper;
  net::HttpServerOptions options;
  options.listen = "127.0.0.1:" + std::to_string(port);
  const net::HttpServer server(
      options, [&](const net::HttpRequest&, net::Responder respond) {
        keeper.Keep(std::move(respond));
      });
  asio::io_context io;
  auto socket = Connect(&io, port);
  constexpr int kRequests = 3;
  for (int n = 0; n < kRequests; ++n) {
    asio::write(socket, asio::buffer(std::string(kRequest)));
  }
  for (int n = 0; n < kRequests; ++n) {
    std::this_thread::sleep_for(kReadPause);
    LONGS_EQUAL(1, keeper.size());
    RespondToAll(&keeper, 1, /*close=*/false);
  }
}

TEST(HttpServer, ACallerThatEndsItsSideGetsTheResponses) {
  const int port = FreePorts(1);
  CallKeeper keeper;
  net::HttpServerOptions options;
  options.listen = "127.0.0.1:" + std::to_string(port);
  const net::HttpServer server(
      options, [&](const net::HttpRequest&, net::Responder respond) {
        keeper.Keep(std::move(respond));
      });
  asio::io_context io;
  for (const int requests : {1, 3, 6}) {
    auto socket = Connect(&io, port);
    std::string bytes;
    for (int n = 0; n < requests; ++n) {
      bytes += kRequest;
    }
    asio::write(socket, asio::buffer(bytes));
    socket.shutdown(Tcp::socket::shutdown_send);
    std::this_thread::sleep_for(kReadPause);
    RespondToAll(&keeper, requests, /*close=*/false);
    const Time began = BootClock::now();
    LONGS_EQUAL(requests, CountResponses(ReadToEnd(&socket)));
    // The server ends its side, too.
    CHECK(BootClock::now() - began < milliseconds(1000));
  }
}

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
