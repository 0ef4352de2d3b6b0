// Calls to a server whose open connections have fallen silent.
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "../src/net/http_client.h"
#include "support/process.h"

namespace bw::test {
namespace {

constexpr int kConnections = 6;
constexpr milliseconds kTimeout{300};

/// An HTTP server with one thread for each connection. Its first calls are
/// answered once kConnections of them are open; after Silence(), connections
/// that are open by then never answer.
class Server {
 public:
  explicit Server(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;  // Connections of a former run may still end.
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    is_bound_ = bind(fd_, reinterpret_cast<sockaddr*>(&address),
                     sizeof(address)) == 0 &&
                listen(fd_, kConnections) == 0;
    accepting_ = std::thread([this] { Accept(); });
  }
  ~Server() {
    shutdown(fd_, SHUT_RDWR);
    accepting_.join();
    for (const int it : connections_) {
      shutdown(it, SHUT_RDWR);
    }
    threads_.clear();
    for (const int it : connections_) {
      close(it);
    }
    close(fd_);
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void Silence() { silent_up_to_ = accepted_.load(); }
  int Accepted() const { return accepted_; }
  bool IsBound() const { return is_bound_; }

 private:
  void Accept() {
    for (int it = accept(fd_, nullptr, nullptr); it >= 0;
         it = accept(fd_, nullptr, nullptr)) {
      connections_.push_back(it);
      threads_.emplace_back(
          [this, it, number = ++accepted_] { Serve(it, number); });
    }
  }

  void Serve(int connection, int number) {
    static const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::string buffer(4096, '\0');
    while (read(connection, buffer.data(), buffer.size()) > 0) {
      Eventually([&] { return accepted_ >= kConnections; });
      if (number > silent_up_to_ && send(connection, response.data(),
                                         response.size(), MSG_NOSIGNAL) < 0) {
        return;
      }
    }
  }

  const int fd_;
  bool is_bound_ = false;
  std::atomic<int> accepted_{0};
  std::atomic<int> silent_up_to_{0};
  std::vector<int> connections_;
  std::vector<std::jthread> threads_;
  std::thread accepting_;
};

}  // namespace

TEST_GROUP(SilentConnection){};

// Open connections may fall silent for good, without a reset, while new ones
// work. Only the first call may find out: with one time-out for each connection
// in the cache, a backend server stays out of reach until its leases lapse.
TEST(SilentConnection, OneTimeoutIsEnoughToUseNewConnections) {
  const int port = FreePorts(1);
  Server server(port);
  CHECK(server.IsBound());
  std::atomic<int> ended{0};
  std::atomic<int> answered{0};
  const auto client = net::MakeHttpClient(kConnections);
  const auto call = [&] {
    net::HttpCall it;
    it.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    it.timeout = kTimeout;
    client->Send(it, {}, [&](const net::HttpResult& result) {
      answered += result.Ok() ? 1 : 0;
      ++ended;
    });
  };
  for (int n = 0; n < kConnections; ++n) {
    call();
  }
  CHECK(Eventually([&] { return ended == kConnections; }));
  LONGS_EQUAL(kConnections, answered);
  LONGS_EQUAL(kConnections, server.Accepted());
  server.Silence();
  call();
  CHECK(Eventually([&] { return ended == kConnections + 1; }));
  LONGS_EQUAL(kConnections, answered);
  // Calls right after the time-out, and some seconds later.
  constexpr int kCalls = 15;
  for (int n = 1; n <= kCalls; ++n) {
    call();
    CHECK(Eventually([&] { return ended == kConnections + 1 + n; }));
    LONGS_EQUAL(kConnections + n, answered);
    usleep(200'000);
  }
}

}  // namespace bw::test
