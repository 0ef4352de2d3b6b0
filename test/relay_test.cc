// Tests of calls to backend servers that other instances send for the owner.
#include <CppUTest/TestHarness.h>

#include <deque>

#include "../src/relay_client_base.h"
#include "../src/relay_server_base.h"
#include "support/process.h"

namespace bw::test {
namespace {

/// Records requests; a test decides whether they are sent.
class FakeMesh : public net::Mesh {
 public:
  struct Sent {
    std::string address;
    proto::Envelope envelope;
  };
  void SendRequest(const std::string& address,
                   proto::Envelope request,
                   milliseconds,
                   Done,
                   std::function<void()> on_not_sent) override {
    if (!connected) {
      on_not_sent();
      return;
    }
    sent.push_back({address, std::move(request)});
  }
  bool connected = true;
  std::vector<Sent> sent;
};

class FakeHttp : public net::HttpClient {
 public:
  void Send(net::HttpCall call,
            std::function<bool()> may_send,
            Done done) override {
    if (may_send && !may_send()) {
      done({net::DeliveryStatus::kNotSent, 0, {}, {}});
      return;
    }
    calls.push_back(std::move(call));
    pending.push_back(std::move(done));
  }
  std::vector<net::HttpCall> calls;
  std::deque<Done> pending;
};

BackendEntry ServerIn(const std::string& zone, int n) {
  BackendEntry out;
  out.id = BackendId("i-" + std::to_string(n));
  out.zone = ZoneId(zone);
  return out;
}

net::HttpCall MakeCall() {
  net::HttpCall out;
  out.method = "POST";
  out.url = "http://10.0.0.1:80/v1/run-start";
  out.headers = {{"a", "b"}};
  out.body = "body";
  out.timeout = milliseconds(100);
  return out;
}

struct Fixture {
  static constexpr uint64_t kLife = 7;
  static constexpr uint64_t kClockUs = 1'000'000'000'000;

  FakeHttp http;
  FakeMesh mesh;
  RelayClient client{&http};
  std::vector<net::DeliveryStatus> ended;

  Fixture() {
    client.SetMesh(&mesh);
    client.SetRelays({{ZoneId("a"), {"r1:1", "r2:1"}}}, "owner:1");
    CHECK_EQUAL(2U, mesh.sent.size());  // The relays' clocks are asked for.
    mesh.sent.clear();
    TellClock("r1:1", kClockUs);
    TellClock("r2:1", kClockUs);
  }
  void TellClock(const std::string& relay, uint64_t clock_us) {
    proto::RelayResults results;
    results.set_relay(relay);
    results.set_life(kLife);
    results.set_clock_us(clock_us);
    client.OnResults(results);
  }
  void Send(const BackendEntry& to, bool may_send = true) {
    client.Send(
        to, MakeCall(), [may_send] { return may_send; },
        [this](const net::HttpResult& it) { ended.push_back(it.delivery); });
  }
};

/// @return A request without calls that expires in a second on the clock of a
/// relay.
proto::RelayRequest RequestTo(RelayServer* server, FakeMesh* mesh) {
  proto::RelayRequest request;
  request.set_reply_to("owner:1");
  server->OnRequest(request);
  const auto clock = mesh->sent.back().envelope.relay_results();
  mesh->sent.clear();
  constexpr uint64_t kSecondUs = 1'000'000;
  request.set_life(clock.life());
  request.set_expires_us(clock.clock_us() + kSecondUs);
  return request;
}

std::vector<FleetMember> Members(int per_zone) {
  std::vector<FleetMember> out;
  for (const char* zone : {"a", "b"}) {
    for (int n = 0; n < per_zone; ++n) {
      const std::string name = zone + std::to_string(n);
      out.push_back({name, name + ":1", n == 0 ? 500U : 120U, ZoneId(zone)});
    }
  }
  return out;
}

}  // namespace

TEST_GROUP(Relay){};

TEST(Relay, SmallCellsNeedNone) {
  const auto members = Members(4);
  CHECK(ChooseRelays(members, members[0], {{ZoneId("a"), 48}}).empty());
}

TEST(Relay, EachZoneUsesItsOwnInstancesTheLargestFirst) {
  const auto members = Members(6);
  const auto relays = ChooseRelays(members, members[1],
                                   {{ZoneId("a"), 100}, {ZoneId("b"), 70}});
  CHECK_EQUAL(3U, relays.at(ZoneId("a")).size());
  CHECK_EQUAL(2U, relays.at(ZoneId("b")).size());
  STRCMP_EQUAL("a0:1", relays.at(ZoneId("a"))[0].c_str());
  for (const auto& it : relays.at(ZoneId("a"))) {
    CHECK(it != members[1].address);
  }
}

TEST(Relay, ServersKeepTheirRelayWhenAnotherOneGoes) {
  const std::vector<std::string> before = {"r1:1", "r2:1", "r3:1"};
  const std::vector<std::string> after = {"r1:1", "r3:1"};
  for (int n = 0; n < 100; ++n) {
    const std::string backend = "i-" + std::to_string(n);
    const std::string relay = RelayOf(before, backend);
    if (relay != "r2:1") {
      STRCMP_EQUAL(relay.c_str(), RelayOf(after, backend).c_str());
    }
  }
}

TEST(Relay, CallsGoOutTogetherAndEndOneByOne) {
  Fixture it;
  it.Send(ServerIn("a", 1));
  it.Send(ServerIn("a", 1));
  it.Send(ServerIn("elsewhere", 2));
  CHECK_EQUAL(1U, it.http.calls.size());  // No relay in that zone.
  CHECK(it.mesh.sent.empty());
  it.client.Flush();
  CHECK_EQUAL(1U, it.mesh.sent.size());
  const auto& request = it.mesh.sent[0].envelope.relay_request();
  LONGS_EQUAL(2, request.calls_size());
  STRCMP_EQUAL("owner:1", request.reply_to().c_str());
  proto::RelayResults results;
  auto* result = results.add_results();
  result->set_number(request.calls(1).number());
  result->set_status(200);
  it.client.OnResults(results);
  CHECK_EQUAL(1U, it.ended.size());
  it.client.OnResults(results);  // A repeated result changes nothing.
  CHECK_EQUAL(1U, it.ended.size());
}

// The permission to act ran out while the call was queued.
TEST(Relay, CallIsCheckedRightBeforeItIsHandedOver) {
  Fixture it;
  it.Send(ServerIn("a", 1), false);
  it.client.Flush();
  CHECK(it.mesh.sent.empty());
  CHECK(it.ended.at(0) == net::DeliveryStatus::kNotSent);
}

TEST(Relay, WithoutAConnectionTheOwnerSendsTheCallItself) {
  Fixture it;
  it.mesh.connected = false;
  it.Send(ServerIn("a", 1));
  it.client.Flush();
  CHECK_EQUAL(1U, it.http.calls.size());
  CHECK(it.ended.empty());
}

// A relay is killed or frozen with calls: they may have been sent.
TEST(Relay, SilentRelayMeansUnknownAndIsAvoided) {
  Fixture it;
  it.Send(ServerIn("a", 1));
  it.client.Flush();
  const std::string silent = it.mesh.sent[0].address;
  it.client.Tick(BootClock::now() + milliseconds(90));
  CHECK(it.ended.empty());
  it.client.Tick(BootClock::now() + milliseconds(400));
  CHECK(it.ended.at(0) == net::DeliveryStatus::kUnknown);
  it.Send(ServerIn("a", 1));
  it.client.Flush();
  CHECK(it.mesh.sent.at(1).address != silent);
  // The late result of the first call changes nothing.
  proto::RelayResults results;
  results.add_results()->set_number(
      it.mesh.sent[0].envelope.relay_request().calls(0).number());
  it.client.OnResults(results);
  CHECK_EQUAL(1U, it.ended.size());
}

TEST(Relay, RelayReportsHowItsCallsEnded) {
  FakeHttp http;
  FakeMesh mesh;
  EventLoop core{milliseconds(5), milliseconds(5000), [] {}, [] {}};
  const EvacuationView evacuations{milliseconds(0)};
  RelayServer server(&http, &core, &evacuations, ZoneId("a"), "r1:1");
  server.SetMesh(&mesh);
  proto::RelayRequest request = RequestTo(&server, &mesh);
  for (uint64_t n = 1; n <= 2; ++n) {
    auto* call = request.add_calls();
    call->set_number(n);
    call->set_method("POST");
    call->set_url("http://10.0.0.1:80/v1/hold");
    call->add_headers("a");
    call->add_headers("b");
    call->set_timeout_ms(500);
  }
  server.OnRequest(request);
  CHECK_EQUAL(2U, http.calls.size());
  STRCMP_EQUAL("b", http.calls[0].headers[0].second.c_str());
  http.pending[0]({net::DeliveryStatus::kResponded, 200, "x", {}});
  http.pending[1]({net::DeliveryStatus::kUnknown, 0, {}, {}});
  mesh.connected = false;  // The owner's connection is not there yet.
  server.Tick(BootClock::now());
  mesh.connected = true;
  server.Tick(BootClock::now());
  CHECK_EQUAL(1U, mesh.sent.size());
  const auto& results = mesh.sent[0].envelope.relay_results();
  LONGS_EQUAL(2, results.results_size());
  STRCMP_EQUAL("x", results.results(0).body().c_str());
  LONGS_EQUAL(static_cast<long>(net::DeliveryStatus::kUnknown),
              static_cast<long>(results.results(1).delivery()));
  server.Tick(BootClock::now());
  CHECK_EQUAL(1U, mesh.sent.size());
}

// Load: starts on their way through an instance that was paused, or is cut from
// the store, while the operator evacuates its zone.
TEST(Relay, RelayChecksEvacuationsRightBeforeAStartLeaves) {
  FakeHttp http;
  FakeMesh mesh;
  EventLoop core{milliseconds(5), milliseconds(5000), [] {}, [] {}};
  EvacuationView evacuations{milliseconds(5000)};
  RelayServer server(&http, &core, &evacuations, ZoneId("a"), "r1:1");
  server.SetMesh(&mesh);
  proto::RelayRequest request = RequestTo(&server, &mesh);
  auto* call = request.add_calls();
  call->set_method("POST");
  call->set_timeout_ms(500);
  const auto relay = [&](const char* url) {
    call->set_url(url);
    server.OnRequest(request);
    server.Tick(BootClock::now());
    return http.calls.size();
  };
  const char* start = "http://10.0.0.1:80/v1/run-start";
  CHECK_EQUAL(0U, relay(start));  // It has read no records yet.
  LONGS_EQUAL(kHeldBackByRelay,
              mesh.sent[0].envelope.relay_results().results(0).status());
  CHECK_EQUAL(1U, relay("http://10.0.0.1:80/v1/hold"));
  evacuations.OnCurrent(BootClock::now());
  CHECK_EQUAL(2U, relay(start));
  evacuations.Apply(ZoneId("a"), true, 1);
  CHECK_EQUAL(2U, relay(start));
  LONGS_EQUAL(0, mesh.sent.back().envelope.relay_results().results(0).status());
  evacuations.Apply(ZoneId("a"), false, 2);
  evacuations.OnCurrent(BootClock::now());
  CHECK_EQUAL(3U, relay(start));
}

// Load: a relay that alone cannot read the operator's records.
TEST(Relay, StartThatARelayHeldBackIsSentDirectly) {
  Fixture it;
  it.Send(ServerIn("a", 1));
  it.client.Flush();
  CHECK_EQUAL(1U, it.mesh.sent.size());
  proto::RelayResults results;
  auto* result = results.add_results();
  result->set_number(
      it.mesh.sent[0].envelope.relay_request().calls(0).number());
  result->set_delivery(static_cast<uint32_t>(net::DeliveryStatus::kNotSent));
  result->set_status(kHeldBackByRelay);
  it.client.OnResults(results);
  CHECK_EQUAL(1U, it.http.calls.size());
  CHECK_TRUE(it.ended.empty());
}

// A relay was paused and sent calls of seconds before. The servers they were
// for had restarted meanwhile.
TEST(Relay, CallsThatArePastTheirTimeAreNotSent) {
  FakeHttp http;
  FakeMesh mesh;
  EventLoop core{milliseconds(5), milliseconds(5000), [] {}, [] {}};
  EvacuationView evacuations{milliseconds(0)};
  RelayServer server(&http, &core, &evacuations, ZoneId("a"), "r1:1");
  server.SetMesh(&mesh);
  proto::RelayRequest request = RequestTo(&server, &mesh);
  auto* call = request.add_calls();
  call->set_method("POST");
  call->set_url("http://10.0.0.1:80/v1/hold");
  call->set_timeout_ms(500);
  const auto relay = [&] {
    server.OnRequest(request);
    server.Tick(BootClock::now());
    return http.calls.size();
  };
  CHECK_EQUAL(1U, relay());
  const uint64_t now_us = ToMicros(BootClock::now());
  request.set_expires_us(now_us - 1);
  CHECK_EQUAL(1U, relay());
  LONGS_EQUAL(kHeldBackByRelay,
              mesh.sent.back().envelope.relay_results().results(0).status());
  // Sent for the former process at this address.
  constexpr uint64_t kSecondUs = 1'000'000;
  request.set_expires_us(now_us + kSecondUs);
  request.set_life(request.life() + 1);
  CHECK_EQUAL(1U, relay());
}

// The owner estimates the relay's clock from what the relay last said. A
// delayed reading makes calls expire early, never late.
TEST(Relay, CallsExpireOnTheRelaysClock) {
  Fixture it;
  const auto expires_after = [&it] {
    it.Send(ServerIn("a", 1));
    it.client.Flush();
    const auto& request = it.mesh.sent.back().envelope.relay_request();
    LONGS_EQUAL(Fixture::kLife, request.life());
    return static_cast<int64_t>(request.expires_us() - Fixture::kClockUs);
  };
  constexpr int64_t kTimeoutUs = 600'000;  // Of the call, and what is allowed.
  constexpr int64_t kSlackUs = 100'000;
  const int64_t first = expires_after();
  CHECK(first >= kTimeoutUs && first < kTimeoutUs + kSlackUs);
  it.TellClock("r1:1", Fixture::kClockUs - 5'000'000);
  it.TellClock("r2:1", Fixture::kClockUs - 5'000'000);
  CHECK(expires_after() >= first - kSlackUs);
  it.TellClock("r1:1", Fixture::kClockUs + 5'000'000);
  it.TellClock("r2:1", Fixture::kClockUs + 5'000'000);
  CHECK(expires_after() >= first + 5'000'000 - kSlackUs);
}

// Until a relay has told its clock, the owner sends the calls itself.
TEST(Relay, RelayOfUnknownClockIsAskedAndNotUsed) {
  FakeHttp http;
  FakeMesh mesh;
  RelayClient client(&http);
  client.SetMesh(&mesh);
  mesh.connected = false;
  client.SetRelays({{ZoneId("a"), {"r1:1"}}}, "owner:1");
  client.Send(ServerIn("a", 1), MakeCall(), {}, [](const net::HttpResult&) {});
  client.Flush();
  CHECK_EQUAL(1U, http.calls.size());
  mesh.connected = true;
  client.Tick(BootClock::now() + milliseconds(200));
  CHECK_EQUAL(1U, mesh.sent.size());
  LONGS_EQUAL(0, mesh.sent[0].envelope.relay_request().calls_size());
}

}  // namespace bw::test
