// The system's invariants under load, with real processes: single runs, limits,
// keys and uninterrupted service while processes are killed or replaced.
#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <thread>

#include "../src/text_func.h"
#include "support/audit.h"
#include "support/load.h"

namespace bw::test {
namespace {

/// Time within which a published configuration must be in force everywhere.
constexpr milliseconds kInForceLimit{9000};
/// Time after which a leaving backend server must get no new work.
constexpr milliseconds kLeavingGrace{5000};

void Sleep(milliseconds it) {
  std::this_thread::sleep_for(it);
}

void CheckNoFindings(const Evidence& evidence) {
  STRCMP_EQUAL("", Join(AuditAll(evidence)).c_str());
}

}  // namespace

TEST_GROUP(Invariant){};

TEST(Invariant, OwnerKilledUnderLoad) {
  Fleet fleet({.instances = {2, 2}});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 40});
  CHECK(load.WaitForSuccesses(200));
  const int owner = fleet.OwnerOf("a");
  fleet.placer(owner).Kill();
  CHECK(Eventually([&] {
    const int next = fleet.OwnerOf("a");
    return next >= 0 && next != owner;
  }));
  CHECK(load.WaitForSuccesses(200));
  fleet.StartPlacer(owner);
  CHECK(load.WaitForSuccesses(100));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Invariant, GateKilledUnderLoad) {
  Fleet fleet({.instances = {2, 1}});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 20});
  for (int n = 0; n < 3; ++n) {
    CHECK(load.WaitForSuccesses(100));
    fleet.gate(n).Kill();
    fleet.StartGate(n);
  }
  CHECK(load.WaitForSuccesses(100));
  load.Stop();
  const auto evidence = Collect(fleet, {&load});
  // The callers of a killed gate get no response, so AuditResponses is left
  // out.
  STRCMP_EQUAL("", Join(AuditCapacity(evidence)).c_str());
  STRCMP_EQUAL("", Join(AuditRequests(evidence)).c_str());
}

TEST(Invariant, OwnerFrozenLongerThanEveryLease) {
  Fleet fleet(
      {.instances = {2, 2}, .placer_settings = {"timing.lease_ms=4000"}});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 40});
  const auto service = fleet.Post(
      0, "/v1/jobs?queue=batch",
      R"({"kind":"service","tasks":4,"millicores":1000})", "tayside");
  LONGS_EQUAL(202, service.status);
  CHECK(load.WaitForSuccesses(200));
  const int owner = fleet.OwnerOf("a");
  fleet.placer(owner).Signal(SIGSTOP);
  CHECK(Eventually([&] {
    for (int n = 0; n < 2; ++n) {
      const Json status = n == owner
                              ? Json()
                              : Json::parse(fleet.StatusOf(n, false, "/status"),
                                            nullptr, false);
      if (status.is_object() && status.contains("shards") &&
          status["shards"][0]["acting"] == true) {
        return true;
      }
    }
    return false;
  }));
  Sleep(milliseconds(5000));
  fleet.placer(owner).Signal(SIGCONT);
  CHECK(load.WaitForSuccesses(300));
  load.Stop();
  CheckNoFindings(Collect(fleet, {&load}));
}

TEST(Invariant, LimitHoldsAcrossTheFleet) {
  Fleet fleet({.instances = {2, 1, 1},
               .templates = DefaultTemplates({"a", "b", "c"}, 7)});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 40, .run_ms = 60});
  CHECK(load.WaitForSuccesses(150));
  fleet.placer(fleet.OwnerOf("a")).Kill();
  CHECK(load.WaitForSuccesses(150));
  load.Stop();
  const auto evidence = Collect(fleet, {&load});
  CheckNoFindings(evidence);
  STRCMP_EQUAL("", Join(AuditLimit(evidence, "perchas", 7)).c_str());
}

TEST(Invariant, AllowanceMovesToWhereItIsNeeded) {
  Fleet fleet({.instances = {1, 1, 1},
               .templates = DefaultTemplates({"a", "b", "c"}, 9)});
  CHECK(fleet.Start());
  // One zone places all nine tasks of a job, but its initial allowance is three
  // units.
  const auto job = fleet.Post(
      0, "/v1/jobs?queue=batch",
      R"({"kind":"service","tasks":9,"millicores":1000})", "perchas");
  LONGS_EQUAL(202, job.status);
  const std::string id = Json::parse(job.body)["job"];
  CHECK(Eventually([&] {
    const auto status = fleet.Get(1, "/v1/jobs/" + id, "perchas");
    const Json in = Json::parse(status.body, nullptr, false);
    return status.status == 200 && in["tasks"].value("running", 0) == 9;
  }));
  const auto evidence = Collect(fleet, {});
  STRCMP_EQUAL("", Join(AuditLimit(evidence, "perchas", 9)).c_str());
}

TEST(Invariant, KeysAreChecked) {
  Fleet fleet({.instances = {1}, .workers = 0});
  CHECK(fleet.Start());
  const auto code = [](const net::HttpResult& it) {
    return Json::parse(it.body, nullptr, false).value("code", "");
  };
  const std::string now = "/v1/requests?queue=now";
  STRCMP_EQUAL("unknown_key", code(fleet.Post(0, now, "x", "")).c_str());
  STRCMP_EQUAL("unknown_key", code(fleet.Post(0, now, "x", "nobody")).c_str());
  STRCMP_EQUAL(
      "key_of_other_team",
      code(fleet.Post(0, now + "&team=tayside", "x", "perchas")).c_str());
  STRCMP_EQUAL(
      "unknown_queue",
      code(fleet.Post(0, "/v1/requests?queue=no", "x", "perchas")).c_str());
  // Team and queue names that callers invent must not become metric labels.
  CHECK(fleet.Post(0, "/v1/requests?queue=q&team=made%22up", "x", "").status ==
        404);
  const std::string metrics = fleet.StatusOf(0, true, "/metrics");
  CHECK(metrics.find("bw_gate_calls_total") != std::string::npos);
  CHECK(metrics.find("made") == std::string::npos);
  CHECK(metrics.find("key-of-") == std::string::npos);
  for (const auto& it :
       std::filesystem::directory_iterator(fleet.directory())) {
    std::stringstream text;
    text << std::ifstream(it.path()).rdbuf();
    CHECK_TEXT(text.str().find("key-of-") == std::string::npos,
               it.path().c_str());
  }
  CHECK(fleet.StatusOf(0, true, "/status").find("key") == std::string::npos);
  CHECK(fleet.StatusOf(0, false, "/status").find("key") == std::string::npos);
  CHECK(fleet.LogRecords("control").dump().find("key-of-") ==
        std::string::npos);
  const auto open =
      fleet.Post(0, "/v1/requests?queue=open&team=tayside", "x", "");
  LONGS_EQUAL(200, open.status);
}

TEST(Invariant, WithdrawnKeyStopsWorking) {
  Fleet fleet({.instances = {2, 1}});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 12, .team = "tayside"});
  CHECK(load.WaitForSuccesses(100));
  LONGS_EQUAL(0, fleet.Ctl({"set", "account/tayside", "keys="}));
  const uint64_t published = StandInNowMs();
  Sleep(kInForceLimit + milliseconds(1000));
  load.Stop();
  const auto evidence = Collect(fleet, {&load});
  CheckNoFindings(evidence);
  STRCMP_EQUAL("", Join(AuditNoStartsAfter(evidence, "tayside",
                                           published + kInForceLimit.count()))
                       .c_str());
}

TEST(Invariant, LeavingRunnerGetsNothingNew) {
  Fleet fleet({.instances = {1}, .runners = 2, .workers = 0});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 8});
  CHECK(load.WaitForSuccesses(100));
  fleet.SetLeaving("r0", true);
  const uint64_t since = StandInNowMs() + kLeavingGrace.count();
  Sleep(kLeavingGrace);
  CHECK(load.WaitForSuccesses(100));
  load.Stop();
  const auto evidence = Collect(fleet, {&load});
  CheckNoFindings(evidence);
  Evidence leaving;
  leaving.runners = {evidence.runners[0]};
  STRCMP_EQUAL("", Join(AuditNoStartsAfter(leaving, "perchas", since)).c_str());
}

TEST(Invariant, GracefulReplacementOfEveryInstanceCutsNobodyOff) {
  Fleet fleet({.instances = {2, 2}});
  CHECK(fleet.Start());
  Load load(&fleet, {.callers = 16, .run_ms = 100});
  CHECK(load.WaitForSuccesses(50));
  for (int n = 0; n < fleet.InstanceCount(); ++n) {
    fleet.gate(n).Signal(SIGTERM);
    LONGS_EQUAL(0, fleet.gate(n).Wait(milliseconds(60'000)));
    fleet.placer(n).Signal(SIGTERM);
    LONGS_EQUAL(0, fleet.placer(n).Wait(milliseconds(60'000)));
    fleet.StartPlacer(n);
    fleet.StartGate(n);
    CHECK(load.WaitForSuccesses(50));
  }
  load.Stop();
  const auto evidence = Collect(fleet, {&load});
  CheckNoFindings(evidence);
  for (const auto& it : evidence.callers) {
    CHECK(it.response.find("outcome_unknown") == std::string::npos);
  }
}

TEST(Invariant, RacingOperatorsGetOneResultAndNothingReverts) {
  Fleet fleet({.instances = {2, 1}, .workers = 0});
  CHECK(fleet.Start());
  std::string shown;
  for (int round = 0; round < 5; ++round) {
    int codes[2] = {-1, -1};
    std::thread other([&] {
      codes[0] = fleet.Ctl(
          {"set", "account/perchas", "limit=" + std::to_string(100 + round)});
    });
    codes[1] = fleet.Ctl(
        {"set", "account/perchas", "limit=" + std::to_string(200 + round)});
    other.join();
    CHECK(codes[0] == 0 || codes[1] == 0);
    CHECK((codes[0] == 0 || codes[0] == 4) && (codes[1] == 0 || codes[1] == 4));
    shown.clear();
    LONGS_EQUAL(0, fleet.Ctl({"show"}, &shown));
    const uint64_t version = Json::parse(shown)["version"];
    CHECK(Eventually(
        [&] {
          for (int n = 0; n < fleet.InstanceCount(); ++n) {
            for (const bool gate : {true, false}) {
              const Json status = Json::parse(
                  fleet.StatusOf(n, gate, "/status"), nullptr, false);
              if (!status.is_object() || status["version"] < version) {
                return false;
              }
            }
          }
          return true;
        },
        kInForceLimit));
  }
}

TEST(Invariant, IdempotencyKeyRunsOnceWhereverItComesBack) {
  Fleet fleet({.instances = {2, 2}});
  CHECK(fleet.Start());
  const std::string path = "/v1/requests?queue=now";
  std::vector<CallerRecord> callers;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(12);
  for (int key = 0; key < 12; ++key) {
    threads.emplace_back([&, key] {
      const std::string body = "k" + std::to_string(key) + " ms=300";
      for (int n = 0; n < 6; ++n) {
        const auto it = fleet.Post((key + n) % 4, path, body, "perchas",
                                   {{"Idempotency-Key", std::to_string(key)}},
                                   milliseconds(n == 0 ? 150 : 30'000));
        if (it.delivery == net::DeliveryStatus::kResponded) {
          std::lock_guard lock(mutex);
          callers.push_back({body, "perchas", it.status, it.body, true});
        }
      }
    });
  }
  Sleep(milliseconds(200));
  fleet.placer(fleet.OwnerOf("a")).Kill();
  for (auto& it : threads) {
    it.join();
  }
  auto evidence = Collect(fleet, {});
  int good = 0;
  for (auto& it : callers) {
    good += it.status == 200 ? 1 : 0;
    // "Not run" is a statement about one call; a later call with the same key
    // may have run the request.
    if (it.status != 200) {
      it.response.clear();
    }
  }
  evidence.callers = callers;
  CHECK(good > 20);
  CheckNoFindings(evidence);
}

}  // namespace bw::test
