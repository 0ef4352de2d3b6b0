// Callers' unfinished requests stay within one budget, and a request within the
// limits is served however it is sent.
#include "../src/net/caller_budget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "../src/net/http_server.h"
#include "support/process.h"
#include "support/raw_caller.h"

namespace bw::test {
namespace {

constexpr size_t kMaxBody = 100'000;
constexpr size_t kBudget = 400'000;

/// A server that responds 200 if the body consists of the letter "x".
class Server {
 public:
  Server() : address_("127.0.0.1:" + std::to_string(FreePorts(1))) {
    net::HttpServerOptions options;
    options.listen = address_;
    options.max_body_bytes_now = [] { return kMaxBody; };
    options.budget = budget_;
    server_ = std::make_unique<net::HttpServer>(
        options,
        [](const net::HttpRequest& request, const net::Responder& respond) {
          net::HttpResponse out;
          const auto n =
              std::count(request.body.begin(), request.body.end(), 'x');
          constexpr int kWrongBody = 500;
          out.status =
              static_cast<size_t>(n) == request.body.size() ? 200 : kWrongBody;
          out.body = std::to_string(n);
          respond(out);
        });
  }
  const std::string& Address() const { return address_; }
  const net::CallerBudget& Budget() const { return *budget_; }

 private:
  const std::string address_;
  const std::shared_ptr<net::CallerBudget> budget_ =
      std::make_shared<net::CallerBudget>(kBudget);
  std::unique_ptr<net::HttpServer> server_;
};

std::string WithLength(size_t announced, size_t sent) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
}

std::string InChunksOfOneByte(size_t size) {
  std::string out =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (size_t n = 0; n < size; ++n) {
    out += "1\r\nx\r\n";
  }
  return out + "0\r\nt: x\r\n\r\n";
}

int StatusOf(RawConnection* connection) {
  const auto all = connection->Read(1, BootClock::now() + milliseconds(5000));
  return all.empty() ? 0 : all[0];
}

}  // namespace

TEST_GROUP(CallerBudget){};

TEST(CallerBudget, TheLargestAreClosedFirst) {
  using Indices = std::vector<size_t>;
  CHECK((net::SelectToClose({1, 50, 0, 70}, 60) == Indices{3}));
  CHECK((net::SelectToClose({1, 50, 0, 70}, 71) == Indices{3, 1}));
  CHECK((net::SelectToClose({1, 50, 0, 70}, 1000) == Indices{3, 1, 0}));
  CHECK(net::SelectToClose({1, 2}, 0).empty());
}

TEST(CallerBudget, ASmallRequestOutlivesLargeOnes) {
  const auto budget = std::make_shared<net::CallerBudget>(1000);
  int small_closed = 0;
  int large_closed = 0;
  const auto small = budget->Open([&] { ++small_closed; });
  const auto large = budget->Open([&] { ++large_closed; });
  budget->SetUnfinished(small, 10);
  budget->SetUnfinished(large, 991);
  CHECK_EQUAL(1, large_closed);
  // It still counts, but nothing else is closed for it.
  CHECK_EQUAL(1001, budget->Used());
  budget->SetUnfinished(small, 900);
  CHECK_EQUAL(0, small_closed);
  budget->Close(large);
  CHECK_EQUAL(900, budget->Used());
  // Requests in process cannot be closed, only refused.
  const net::CallerBudget::Charge charge(budget, nullptr, 600);
  CHECK(budget->MakeRoom(100));
  CHECK_EQUAL(1, small_closed);
  CHECK(!budget->MakeRoom(500));
  budget->Close(small);
  CHECK_EQUAL(600, budget->Used());
}

TEST(CallerBudget, ABodyWithinTheLimitIsServedHoweverItIsSent) {
  const Server server;
  for (const std::string& it :
       {InChunksOfOneByte(kMaxBody), WithLength(kMaxBody, kMaxBody),
        InChunksOfOneByte(0), InChunksOfOneByte(kMaxBody)}) {
    RawConnection connection;
    connection.Open(server.Address());
    for (int n = 0; n < 3; ++n) {
      CHECK(connection.Send(it));
      LONGS_EQUAL(200, StatusOf(&connection));
    }
  }
  CHECK(Eventually([&] { return server.Budget().Used() == 0; }));
}

// Requests that had ended went on counting while their connection was open.
TEST(CallerBudget, AConnectionThatServesOnHoldsNothingBetweenRequests) {
  const Server server;
  RawConnection connection;
  connection.Open(server.Address());
  constexpr int kRequests = 2000;
  for (int n = 0; n < kRequests; ++n) {
    CHECK(connection.Send(WithLength(5, 5)));
    LONGS_EQUAL(200, StatusOf(&connection));
  }
  CHECK(Eventually([&] { return server.Budget().Used() == 0; }));
  LONGS_EQUAL(0, server.Budget().Count().closed);
  // It is still open.
  CHECK(connection.Send(WithLength(5, 5)));
  LONGS_EQUAL(200, StatusOf(&connection));
}

TEST(CallerBudget, ABodyOverTheLimitIsRefusedWhileItIsRead) {
  const Server server;
  // Announced, and just sent.
  for (const std::string& it :
       {WithLength(kMaxBody + 1, 0), WithLength(900'000'000, 300'000),
        InChunksOfOneByte(kMaxBody + 5000)}) {
    RawConnection connection;
    connection.Open(server.Address());
    CHECK(connection.Send(it));
    LONGS_EQUAL(413, StatusOf(&connection));
    CHECK(connection.IsClosing());
  }
  CHECK(Eventually([&] { return server.Budget().Used() == 0; }));
  CHECK_EQUAL(3, server.Budget().Count().too_large);
}

TEST(CallerBudget, AnEarlierRequestOfARefusedCallerIsAnswered) {
  const Server server;
  RawConnection connection;
  connection.Open(server.Address());
  CHECK(connection.Send(WithLength(5, 5) + WithLength(900'000'000, 10)));
  LONGS_EQUAL(200, StatusOf(&connection));
  connection.AwaitEnd(BootClock::now() + milliseconds(5000));
  CHECK(connection.HowEnded() != RawConnection::End::kTimeout);
}

TEST(CallerBudget, UnfinishedRequestsMakeRoomForOthers) {
  const Server server;
  std::vector<std::unique_ptr<RawConnection>> all;
  constexpr int kConnections = 12;
  for (int n = 0; n < kConnections; ++n) {
    all.push_back(std::make_unique<RawConnection>());
    all.back()->Open(server.Address());
    all.back()->Send(WithLength(kMaxBody, kMaxBody - 1));
    CHECK(server.Budget().Used() < 2 * kBudget);
  }
  RawConnection connection;
  connection.Open(server.Address());
  CHECK(connection.Send(WithLength(5, 5)));
  LONGS_EQUAL(200, StatusOf(&connection));
  CHECK(Eventually([&] { return server.Budget().Used() <= kBudget; }));
  CHECK(server.Budget().Count().closed > 0);
}

}  // namespace bw::test
