// Tests of the core thread's event loop and of the time-outs that depend on its
// load.
#include "../src/event_loop_base.h"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

#include "../src/order_timeout_base.h"
#include "support/process.h"

namespace bw::test {
namespace {

std::unique_ptr<EventLoop> MakeLoop() {
  return std::make_unique<EventLoop>(
      milliseconds(5), milliseconds(5000), [] {}, [] {});
}

}  // namespace

TEST_GROUP(EventLoop){};

// New work must not be handled before the reports that were queued after it.
TEST(EventLoop, DeferrableCallbacksRunAfterTheOthers) {
  auto loop = MakeLoop();
  std::string order;
  std::atomic<int> ran{0};
  loop->PostDeferrable([&](Duration) {
    order += 'n';
    ++ran;
  });
  for (int n = 0; n < 3; ++n) {
    loop->Post([&] {
      order += 'r';
      ++ran;
    });
  }
  loop->Start();
  CHECK(Eventually([&] { return ran == 4; }));
  loop->Stop();
  STRCMP_EQUAL("rrrn", order.c_str());
}

// Reports arrive faster than they are handled. Placing and new work go on, and
// new work learns how long it waited.
TEST(EventLoop, NeitherPlacingNorNewWorkStarves) {
  auto loop = MakeLoop();
  std::atomic<int> idle{0};
  std::atomic<int64_t> waited_ms{-1};
  std::atomic<bool> flood{true};
  loop->SetIdleCallback([&] { ++idle; });
  std::function<void()> report = [&] {
    std::this_thread::sleep_for(milliseconds(1));
    if (flood) {
      loop->Post(report);
      loop->Post([] {});
    }
  };
  loop->Post(report);
  loop->Post([] {});
  loop->PostDeferrable([&](Duration queued) {
    waited_ms = std::chrono::duration_cast<milliseconds>(queued).count();
  });
  loop->Start();
  CHECK(Eventually([&] { return waited_ms >= 0 && idle > 3; }));
  flood = false;
  loop->Stop();
  CHECK(waited_ms >= 1);
}

TEST(EventLoop, ExceptionCostsOneCallback) {
  auto loop = MakeLoop();
  std::atomic<int> errors{0};
  std::atomic<int> ran{0};
  loop->SetErrorCallback([&] { ++errors; });
  loop->Post([] { throw std::runtime_error("seeded"); });
  loop->Post([&] { ++ran; });
  loop->Start();
  CHECK(Eventually([&] { return ran == 1; }));
  loop->Stop();
  LONGS_EQUAL(1, errors);
}

TEST_GROUP(OrderTimeout){};

TEST(OrderTimeout, IsShortForAFirstOrderAndGrowsWithTheLatency) {
  OrderTimeout it;
  constexpr int kOrders = 200;
  for (int n = 0; n < kOrders; ++n) {
    it.OnResponse(milliseconds(5));
  }
  CHECK(it.First() < milliseconds(300));
  CHECK(it.Final() >= milliseconds(700));
  for (int n = 0; n < kOrders; ++n) {
    it.OnResponse(milliseconds(200));
  }
  CHECK(it.First() > milliseconds(1200));
  CHECK(it.Final() >= it.First());
  CHECK(it.Final() < milliseconds(5000));
}

}  // namespace bw::test
