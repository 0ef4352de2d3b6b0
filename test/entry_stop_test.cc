// An instance stops while its peers go on sending it messages.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

#include "../src/entry_base.h"
#include "support/process.h"

namespace bw::test {
namespace {

std::string Local(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// Sends calls for backend servers to an instance, as an owner does to a relay.
class CallsToRelay {
 public:
  CallsToRelay(const std::string& relay, const std::string& backend)
      : relay_(relay), backend_(backend) {}

  /// Sends until `stop`.
  void Run(const std::atomic<bool>& stop) {
    const auto mesh = net::MakeMesh({{}, "owner"}, &clock_, {});
    while (!stop) {
      mesh->SendRequest(relay_, MakeRequest(), milliseconds(100), {}, [] {});
      ++sent_;
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  }

  int Sent() const { return sent_; }

 private:
  proto::Envelope MakeRequest() const {
    constexpr int kCalls = 4;
    proto::Envelope out;
    for (int n = 0; n < kCalls; ++n) {
      auto* call = out.mutable_relay_request()->add_calls();
      call->set_number(static_cast<uint64_t>(n));
      call->set_method("GET");
      call->set_url("http://" + backend_ + "/");
      call->set_timeout_ms(1000);
    }
    out.mutable_relay_request()->set_reply_to(relay_);
    return out;
  }

  const std::string relay_;
  const std::string backend_;
  HybridClock clock_;
  std::atomic<int> sent_{0};
};

}  // namespace

TEST_GROUP(EntryStop){};

TEST(EntryStop, CallsToARelayThatStopsDoNotEndItsProcess) {
  constexpr int kStops = 30;
  const int port = FreePorts(4);
  EntryOptions options;
  options.listen_front = Local(port);
  options.listen_ready = Local(port + 1);
  options.membership.address = Local(port + 2);
  options.membership.name = "relay";
  options.store = Local(port + 3);  // Nobody listens there.
  std::atomic<bool> stop{false};
  CallsToRelay calls(options.membership.address, options.store);
  std::thread thread([&] { calls.Run(stop); });
  for (int n = 0; n < kStops; ++n) {
    Kernel kernel;
    Entry entry(options);
    entry.Start(kernel);
    const int before = calls.Sent();
    CHECK(Eventually([&] { return calls.Sent() > before + 100; }));
    entry.Drain();
    entry.Close();
    entry.Stop();
  }
  stop = true;
  thread.join();
}

}  // namespace bw::test
