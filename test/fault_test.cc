// Link faults and platform outages between real processes.
#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <thread>

#include "support/audit.h"
#include "support/load.h"

namespace bw::test {
namespace {

/// Time within which a published configuration must be in force everywhere.
constexpr milliseconds kInForceLimit{9000};
/// The default of timing.key_bound_ms.
constexpr milliseconds kKeyBound{5000};
constexpr const char* kNow = "/v1/requests?queue=now";
constexpr const char* kOpen = "/v1/requests?queue=open&team=tayside";
constexpr const char* kService =
    R"({"kind":"service","tasks":2,"millicores":1000})";

void Sleep(milliseconds it) {
  std::this_thread::sleep_for(it);
}

/// @return The error code of a response, or "".
std::string CodeOf(const net::HttpResult& it) {
  const Json in = Json::parse(it.body, nullptr, false);
  return in.is_object() ? in.value("code", "") : "";
}

void CheckNoFindings(const Evidence& evidence) {
  STRCMP_EQUAL("", Join(AuditAll(evidence)).c_str());
}

/// @return The number of tasks that run now on all workers.
int CountRunningTasks(const Fleet& fleet) {
  int out = 0;
  for (const auto& worker : fleet.WorkerRecords()) {
    for (const auto& it : worker["tasks"]) {
      out += it["end_ms"] == 0 ? 1 : 0;
    }
  }
  return out;
}

/// @return The number of task runs that ended because their lease expired.
int CountLapsedTasks(const Fleet& fleet) {
  int out = 0;
  for (const auto& worker : fleet.WorkerRecords()) {
    for (const auto& it : worker["tasks"]) {
      out += it["how"] == "lapsed" ? 1 : 0;
    }
  }
  return out;
}

/// Waits until every process has applied a version of the configuration.
bool WaitUntilInForce(const Fleet& fleet, uint64_t version) {
  return Eventually(
      [&] {
        for (int n = 0; n < fleet.InstanceCount(); ++n) {
          for (const bool gate : {true, false}) {
            const Json status =
                Json::parse(fleet.StatusOf(n, gate, "/status"), nullptr, false);
            if (!status.is_object() || status["version"] < version) {
              return false;
            }
          }
        }
        return true;
      },
      kInForceLimit);
}

uint64_t PublishedVersion(const Fleet& fleet) {
  std::string shown;
  LONGS_EQUAL(0, fleet.Ctl({"show"}, &shown));
  return Json::parse(shown)["version"];
}

}  // namespace

TEST_GROUP(Fault){};

TEST(Fault, ZonesCutFromEachOtherServeOnWithinTheLimit) {
  Fleet fleet({.instances = {2, 2},
               .proxied = true,
               .templates = DefaultTemplates({"a", "b"}, 9)});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 30, .run_ms = 40});
  CHECK(load.WaitForSuccesses(100));
  fleet.SetZoneLinkMode("a", "drop");
  Sleep(kKeyBound + milliseconds(1000));
  CHECK(load.WaitForSuccesses(100));
  fleet.SetZoneLinkMode("a", "pass");
  CHECK(load.WaitForSuccesses(100));
  load.Stop();
  const auto evidence = Collect(fleet, {&load});
  CheckNoFindings(evidence);
  STRCMP_EQUAL("", Join(AuditLimit(evidence, "perchas", 9)).c_str());
}

TEST(Fault, ZoneCutFromTheLogLearnsFromItsPeers) {
  Fleet fleet({.instances = {2, 2}, .proxied = true});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 12});
  fleet.SetLogLinkMode("a", "drop");
  Sleep(kKeyBound);
  LONGS_EQUAL(0, fleet.Ctl({"set", "account/tayside", "limit=17"}));
  CHECK(WaitUntilInForce(fleet, PublishedVersion(fleet)));
  LONGS_EQUAL(200, fleet.Post(0, kNow, "after ms=5", "tayside").status);
  fleet.SetLogLinkMode("a", "pass");
  CHECK(load.WaitForSuccesses(100));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Fault, ZoneCutFromBothRefusesKeyedWorkAndServesTheRest) {
  Fleet fleet({.instances = {2, 2},
               .proxied = true,
               .placer_settings = {"timing.lease_ms=4000"}});
  CHECK(fleet.Start());
  LONGS_EQUAL(
      202, fleet.Post(0, "/v1/jobs?queue=batch", kService, "tayside").status);
  CHECK(Eventually([&] { return CountRunningTasks(fleet) == 2; }));
  Load load(&fleet, {.callers = 12});
  CHECK(load.WaitForSuccesses(50));
  fleet.SetLogLinkMode("a", "drop");
  fleet.SetZoneLinkMode("a", "drop");
  Sleep(kKeyBound + milliseconds(2000));
  STRCMP_EQUAL("zone_cut_off",
               CodeOf(fleet.Post(0, kNow, "cut ms=5", "perchas")).c_str());
  LONGS_EQUAL(200, fleet.Post(0, kOpen, "open ms=5", "").status);
  LONGS_EQUAL(200, fleet.Post(2, kNow, "other ms=5", "perchas").status);
  LONGS_EQUAL(0, CountLapsedTasks(fleet));
  fleet.SetLogLinkMode("a", "pass");
  fleet.SetZoneLinkMode("a", "pass");
  CHECK(Eventually([&] {
    return fleet.Post(0, kNow, "healed ms=5", "perchas").status == 200;
  }));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Fault, LogOutageIsNotACut) {
  Fleet fleet(
      {.instances = {2, 2}, .placer_settings = {"timing.lease_ms=4000"}});
  CHECK(fleet.Start());
  LONGS_EQUAL(
      202, fleet.Post(0, "/v1/jobs?queue=batch", kService, "tayside").status);
  CHECK(Eventually([&] { return CountRunningTasks(fleet) == 2; }));
  Load load(&fleet, {.callers = 12});
  CHECK(load.WaitForSuccesses(50));
  fleet.ControlLog({{"down", true}});
  Sleep(kKeyBound + milliseconds(3000));
  CHECK(load.WaitForSuccesses(200));
  STRCMP_EQUAL("log_unavailable", CodeOf(fleet.Post(0, "/v1/jobs?queue=batch",
                                                    kService, "tayside"))
                                      .c_str());
  STRCMP_EQUAL("log_unavailable",
               CodeOf(fleet.Post(0, kNow, "keyed ms=5", "perchas",
                                 {{"Idempotency-Key", "k"}}))
                   .c_str());
  LONGS_EQUAL(0, CountLapsedTasks(fleet));
  fleet.ControlLog({{"down", false}});
  CHECK(Eventually([&] {
    return fleet.Post(0, "/v1/jobs?queue=batch", kService, "tayside").status ==
           202;
  }));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Fault, SlowAndHangingLog) {
  Fleet fleet({.instances = {2, 2}});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 12});
  fleet.ControlLog({{"slow_ms", 1500}});
  Sleep(milliseconds(3000));
  CHECK(load.WaitForSuccesses(100));
  LONGS_EQUAL(0, fleet.Ctl({"set", "account/tayside", "limit=17"}));
  CHECK(WaitUntilInForce(fleet, PublishedVersion(fleet)));
  fleet.ControlLog({{"slow_ms", 0}, {"hang", true}});
  Sleep(milliseconds(6000));
  CHECK(load.WaitForSuccesses(100));
  fleet.ControlLog({{"hang", false}});
  CHECK(load.WaitForSuccesses(100));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Fault, LostAnswersOfTheLog) {
  Fleet fleet({.instances = {2}});
  CHECK(fleet.Start());
  fleet.ControlLog({{"lose", 1}});
  LONGS_EQUAL(0, fleet.Ctl({"set", "account/perchas", "limit=33"}));
  fleet.ControlLog({{"lose", 1}});
  const auto job = fleet.Post(0, "/v1/jobs?queue=batch", kService, "perchas");
  // The job is accepted once its record is read back, or its outcome is
  // unknown; it must never be refused as not run.
  CHECK(job.status == 202 || CodeOf(job) == "outcome_unknown");
  CHECK(Eventually([&] { return CountRunningTasks(fleet) == 2; }));
  Sleep(milliseconds(1000));
  LONGS_EQUAL(2, CountRunningTasks(fleet));
}

TEST(Fault, ReaderThatTheRetentionPassedCatchesUp) {
  Fleet fleet({.instances = {2, 1}});
  CHECK(fleet.Start());
  fleet.gate(0).Signal(SIGSTOP);
  for (int n = 0; n < 5; ++n) {
    LONGS_EQUAL(0, fleet.Ctl({"set", "account/perchas",
                              "limit=" + std::to_string(50 + n)}));
  }
  const uint64_t version = PublishedVersion(fleet);
  fleet.ControlLog({{"trim", "control"}, {"keep", 0}});
  fleet.gate(0).Signal(SIGCONT);
  CHECK(WaitUntilInForce(fleet, version));
  // A snapshot written after the trim lets new readers start.
  CHECK(Eventually([&] {
    return fleet.LogRecords("control").dump().find("snapshot") !=
           std::string::npos;
  }));
  CHECK(Eventually([&] { return fleet.Ctl({"show"}) == 0; }));
}

TEST(Fault, OutageThatOutlastsTheRetention) {
  Fleet fleet({.instances = {2, 2}});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 12});
  CHECK(load.WaitForSuccesses(50));
  fleet.ControlLog({{"down", true}, {"trim", "control"}, {"keep", 0}});
  // A gate that starts during the outage can learn the state only from peers.
  fleet.gate(0).Signal(SIGTERM);
  LONGS_EQUAL(0, fleet.gate(0).Wait(milliseconds(60'000)));
  fleet.StartGate(0);
  CHECK(Eventually([&] {
    return fleet.Post(0, kNow, "new ms=5", "perchas").status == 200;
  }));
  fleet.ControlLog({{"down", false}});
  CHECK(load.WaitForSuccesses(100));
  CHECK(Eventually([&] { return fleet.Ctl({"show"}) == 0; }));
  LONGS_EQUAL(0, fleet.Ctl({"set", "account/perchas", "limit=40"}));
  CHECK(WaitUntilInForce(fleet, PublishedVersion(fleet)));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Fault, HeldMessagesThatArriveLateRunNothing) {
  Fleet fleet({.instances = {1, 1}, .workers = 0, .proxied = true});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 8});
  CHECK(load.WaitForSuccesses(50));
  fleet.SetLinkModes({"g0>*", "g1>*"}, "hold", "pass");
  Sleep(milliseconds(13'000));  // Longer than the queue's max_wait_ms.
  fleet.SetLinkModes({"g0>*", "g1>*"}, "pass", "pass");
  CHECK(load.WaitForSuccesses(50, milliseconds(60'000)));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Fault, AnswersLostAfterTheAction) {
  Fleet fleet({.instances = {2, 1}, .workers = 0, .proxied = true});
  CHECK(fleet.Start());
  for (const auto& it : fleet.runner_addresses()) {
    net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + it + "/control";
    call.body = R"({"drop_answers":2})";
    CHECK(net::CallAndWait(call).Ok());
  }
  Load load(&fleet, {.callers = 12});
  CHECK(load.WaitForSuccesses(100));
  fleet.SetLinkModes({"g0>*"}, "pass", "drop");
  Sleep(milliseconds(3000));
  fleet.SetLinkModes({"g0>*"}, "pass", "pass");
  CHECK(load.WaitForSuccesses(100));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

/// Kills an owner during a log outage. Its zone gets no new owner until the log
/// is back, as membership changes are records of the log; the other zone keeps
/// serving.
void TestOwnerLossDuringLogOutage(const FleetOptions& options) {
  Fleet fleet(options);
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 12});
  CHECK(load.WaitForSuccesses(50));
  fleet.ControlLog({{"down", true}});
  fleet.placer(fleet.OwnerOf("a")).Kill();
  Sleep(milliseconds(6000));
  LONGS_EQUAL(-1, fleet.OwnerOf("a"));
  CHECK(load.WaitForSuccesses(50));  // From the other zone.
  fleet.ControlLog({{"down", false}});
  CHECK(Eventually([&] { return fleet.OwnerOf("a") >= 0; }));
  CHECK(load.WaitForSuccesses(50));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Fault, OwnerLostWhileTheLogIsDown) {
  TestOwnerLossDuringLogOutage({.instances = {2, 2}});
}

TEST(Fault, OwnerLostWhileTheLogIsDownAfterALateMember) {
  TestOwnerLossDuringLogOutage(
      {.instances = {2, 2}, .late_placer = 1, .late_by = milliseconds(4000)});
}

}  // namespace bw::test
