// The HTTP client never sends a request twice, and reports whether a failed
// request may have been processed.
#include "../src/net/http_client.h"

#include <CppUTest/TestHarness.h>

#include <asio.hpp>
#include <atomic>
#include <future>
#include <limits>
#include <thread>

#include "../src/thread_cpu_func.h"
#include "support/process.h"

namespace bw::test {
namespace {

using Tcp = asio::ip::tcp;

/// Responds to the first request of a connection; reads the second one and
/// closes the connection without a response, like a server that restarts.
class FlakyServer {
 public:
  /// @param resets Whether it resets the connection instead of closing it.
  /// @param answered Requests of a connection that get a response.
  /// @param vanishes Whether it stops listening before that, like a server in
  /// a zone that is cut off.
  explicit FlakyServer(int port,
                       bool resets = false,
                       int answered = 1,
                       bool vanishes = false)
      : resets_(resets),
        answered_(answered),
        vanishes_(vanishes),
        endpoint_(asio::ip::make_address("127.0.0.1"),
                  static_cast<uint16_t>(port)),
        acceptor_(io_, endpoint_) {
    thread_ = std::thread([this] {
      for (;;) {
        std::error_code ec;
        Tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (ec || stop_) {
          return;
        }
        Serve(&socket);
        if (vanishes_) {
          return;
        }
      }
    });
  }
  ~FlakyServer() {
    stop_ = true;
    Tcp::socket poke(io_);
    std::error_code ec;
    poke.connect(endpoint_, ec);
    thread_.join();
  }

  int seen() const { return seen_; }

 private:
  void Serve(Tcp::socket* socket) {
    for (int n = 0; n <= answered_; ++n) {
      std::error_code ec;
      std::string text;
      while (text.find("unique-body") == std::string::npos && !ec) {
        char buf[2048];
        text.append(buf, socket->read_some(asio::buffer(buf), ec));
      }
      if (ec) {
        return;
      }
      ++seen_;
      if (n < answered_) {
        asio::write(*socket,
                    asio::buffer(std::string(
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                    ec);
      }
    }
    if (vanishes_) {
      std::error_code ec;
      stop_ = true;
      acceptor_.close(ec);
    }
    if (resets_) {
      std::error_code ec;
      socket->set_option(asio::socket_base::linger(true, 0), ec);
    }
  }

  const bool resets_;
  const int answered_;
  const bool vanishes_;
  const Tcp::endpoint endpoint_;
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::atomic<int> seen_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Responds at once to requests whose path contains "quick" and never to
/// others, like backend servers with a long poll and nothing to report. Listens
/// on all loopback addresses.
class PollServer {
 public:
  explicit PollServer(int port)
      : acceptor_(io_, Tcp::endpoint(Tcp::v4(), static_cast<uint16_t>(port))) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~PollServer() {
    io_.stop();
    thread_.join();
  }

  int Held() const { return held_; }

 private:
  struct Connection {
    explicit Connection(Tcp::socket it) : socket(std::move(it)) {}
    Tcp::socket socket;
    std::string buf;
  };

  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, Tcp::socket socket) {
      if (!ec) {
        Read(std::make_shared<Connection>(std::move(socket)));
      }
      Accept();
    });
  }

  void Read(const std::shared_ptr<Connection>& it) {
    asio::async_read_until(
        it->socket, asio::dynamic_buffer(it->buf), "\r\n\r\n",
        [this, it](std::error_code ec, size_t n) {
          if (ec) {
            return;
          }
          const bool quick =
              it->buf.substr(0, n).find("quick") != std::string::npos;
          it->buf.erase(0, n);
          if (quick) {
            asio::write(it->socket,
                        asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                        ec);
          } else {
            ++held_;
          }
          Read(it);
        });
  }

  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::atomic<int> held_{0};
  std::thread thread_;
};

net::HttpResult SendAndWait(net::HttpClient* client,
                            const net::HttpCall& call,
                            std::function<bool()> may_send = nullptr) {
  std::promise<net::HttpResult> done;
  client->Send(call, std::move(may_send),
               [&](net::HttpResult it) { done.set_value(std::move(it)); });
  return done.get_future().get();
}

/// @param host Number of the backend server.
net::HttpCall CallTo(int host, int port, const std::string& path) {
  constexpr int kHostsPerNet = 250;
  net::HttpCall call;
  call.url = "http://127.0." + std::to_string(host / kHostsPerNet) + "." +
             std::to_string(1 + host % kHostsPerNet) + ":" +
             std::to_string(port) + path;
  call.timeout = milliseconds(60'000);
  return call;
}

/// A client with long polls pending.
class PollingClient {
 public:
  explicit PollingClient(int pending) {
    for (int n = 0; n < pending; ++n) {
      client_->Send(CallTo(n, port_, "/hold"), {},
                    [](const net::HttpResult&) {});
    }
    CHECK(Eventually([&] { return server_.Held() == pending; }));
    SendAndWait(client_.get(), CallTo(0, port_, "/quick"));  // Connects.
  }

  /// @return Processor time of the client for one call, in microseconds.
  double MeasureCallUs() {
    constexpr int kCalls = 100;
    const uint64_t before = ReadThreadCpu()["http_client"];
    for (int n = 0; n < kCalls; ++n) {
      CHECK(SendAndWait(client_.get(), CallTo(0, port_, "/quick")).Ok());
    }
    const uint64_t spent = ReadThreadCpu()["http_client"] - before;
    return static_cast<double>(spent) / kCalls;
  }

 private:
  static constexpr long kConnectionsPerHost = 8;

  const int port_ = FreePorts(1);
  PollServer server_{port_};
  std::unique_ptr<net::HttpClient> client_ =
      net::MakeHttpClient(kConnectionsPerHost);
};

}  // namespace

TEST_GROUP(HttpClient){};

// With one long poll for each backend server, a cost that grows with the polls
// makes the owner's load grow with the square of the fleet.
TEST(HttpClient, CostOfACallDoesNotGrowWithPendingCalls) {
  // The least of several rounds in turn, as other processes disturb some.
  constexpr int kRounds = 16;
  PollingClient few_polls(20);
  PollingClient many_polls(700);
  double few = std::numeric_limits<double>::max();
  double many = few;
  for (int round = 0; round < kRounds; ++round) {
    few = std::min(few, few_polls.MeasureCallUs());
    many = std::min(many, many_polls.MeasureCallUs());
  }
  constexpr double kMaxGrowth = 2;
  CHECK_TEXT(many < kMaxGrowth * few,
             ("us per call: " + std::to_string(few) + " with 20 pending, " +
              std::to_string(many) + " with 700")
                 .c_str());
}

TEST(HttpClient, ReusedConnectionThatDiesIsNotSentAgain) {
  const int port = FreePorts(1);
  FlakyServer server(port);
  auto client = net::MakeHttpClient(1);
  net::HttpCall call;
  call.method = "POST";
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/run";
  call.body = "unique-body";
  CHECK(SendAndWait(client.get(), call).delivery ==
        net::DeliveryStatus::kResponded);
  CHECK(SendAndWait(client.get(), call).delivery ==
        net::DeliveryStatus::kUnknown);
  LONGS_EQUAL(2, server.seen());
}

// A zone is cut off with resets while a backend server executes an order.
TEST(HttpClient, ResetAfterTheRequestIsNeverNotSent) {
  constexpr int kRounds = 50;
  for (int answered = 0; answered < 2; ++answered) {
    const int port = FreePorts(1);
    FlakyServer server(port, true, answered);
    auto client = net::MakeHttpClient(1);
    net::HttpCall call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(port) + "/run";
    call.body = "unique-body";
    for (int n = 0; n < kRounds; ++n) {
      if (answered == 1) {
        CHECK(SendAndWait(client.get(), call).Ok());
      }
      CHECK(SendAndWait(client.get(), call).delivery ==
            net::DeliveryStatus::kUnknown);
    }
    LONGS_EQUAL((answered + 1) * kRounds, server.seen());
  }
}

// TWICE: a zone was cut off with resets while a backend server executed an
// order. The connection was a reused one and no new one could be established.
TEST(HttpClient, LostServerAfterTheRequestIsNeverNotSent) {
  constexpr int kRounds = 30;
  for (int n = 0; n < kRounds; ++n) {
    for (const bool resets : {true, false}) {
      const int port = FreePorts(1);
      constexpr int kAnswered = 1;
      FlakyServer server(port, resets, kAnswered, true);
      auto client = net::MakeHttpClient(1);
      net::HttpCall call;
      call.method = "POST";
      call.url = "http://127.0.0.1:" + std::to_string(port) + "/run";
      call.body = "unique-body";
      CHECK(SendAndWait(client.get(), call).Ok());
      CHECK(SendAndWait(client.get(), call).delivery ==
            net::DeliveryStatus::kUnknown);
      LONGS_EQUAL(kAnswered + 1, server.seen());
    }
  }
}

TEST(HttpClient, NobodyListensMeansNotSent) {
  auto client = net::MakeHttpClient(1);
  net::HttpCall call;
  call.method = "POST";
  call.url = "http://127.0.0.1:" + std::to_string(FreePorts(1)) + "/run";
  call.body = "x";
  CHECK(SendAndWait(client.get(), call).delivery ==
        net::DeliveryStatus::kNotSent);
}

TEST(HttpClient, TheFenceStopsACallBeforeItsFirstByte) {
  const int port = FreePorts(1);
  FlakyServer server(port);
  auto client = net::MakeHttpClient(1);
  net::HttpCall call;
  call.method = "POST";
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/run";
  call.body = "unique-body";
  CHECK(SendAndWait(client.get(), call, [] { return false; }).delivery ==
        net::DeliveryStatus::kNotSent);
  LONGS_EQUAL(0, server.seen());
}

}  // namespace bw::test
