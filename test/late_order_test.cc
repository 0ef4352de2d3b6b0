// Orders that reach a backend server late: after it has restarted under its id,
// so that it knows nothing of what its former incarnation was told.
#include <CppUTest/TestHarness.h>

#include "../src/cell_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";

/// A task whose start was held up and repeated; it runs.
struct RepeatedStart {
  explicit RepeatedStart(const std::string& steps = CellHarness::Tasks(1, 1000))
      : it(2) {
    for (auto& backend : it.backends) {
      backend.second.held_up = 1;
    }
    it.Submit(kJob, steps);
    it.Advance(200);
    for (auto& backend : it.backends) {
      backend.second.held_up = 0;
    }
  }

  FakeBackend& Server() {
    return it.backends.at(it.unanswered_starts.at(0).backend);
  }

  /// Carries out the starts that were held up.
  void CarryOutLate() {
    for (const auto& of : it.unanswered_starts) {
      it.backends.at(of.backend).Start(of.order);
    }
  }

  int Running() const { return it.Running(task); }

  CellHarness it;
  const TaskRef task{JobId(kJob), 0, 0, 0};
};

}  // namespace

TEST_GROUP(LateOrder){};

// A frozen relay carried out starts that the owner had repeated by itself; the
// backend servers had restarted meanwhile. The tasks, which ran elsewhere by
// then, were done twice.
TEST(LateOrder, StartIsRefusedAfterARestart) {
  RepeatedStart s;
  CHECK_EQUAL(1, s.Running());
  CHECK_EQUAL(1U, s.it.unanswered_starts.size());
  s.Server().Restart();
  s.it.cell->SetBackend(s.Server().entry, s.it.now);
  s.it.Advance(300);
  CHECK_EQUAL(1, s.Running());
  s.CarryOutLate();
  CHECK_EQUAL(1, s.Running());
  s.it.Advance(3000);
  CHECK_EQUAL(1, s.Running());
  CHECK(!s.it.port.fenced);
}

// As above; the start is carried out before the owner knows of the restart.
TEST(LateOrder, StartThatTheNewIncarnationHasExecutedIsNotRepeatedElsewhere) {
  RepeatedStart s;
  s.Server().Restart();
  s.CarryOutLate();
  CHECK_EQUAL(1, s.Running());
  s.it.cell->SetBackend(s.Server().entry, s.it.now);
  for (int n = 0; n < 20; ++n) {
    s.it.Advance(20);
    CHECK_EQUAL(1, s.Running());
  }
  CHECK_EQUAL(2U, s.it.start_log.size());
}

// The owner learns of the restart from the answer to a poll that it had sent
// before: that answer rules out no later start.
TEST(LateOrder, PollSentBeforeTheRestartWasKnownRulesNothingOut) {
  RepeatedStart s;
  s.Server().Restart();
  s.it.now += milliseconds(20);
  s.it.DeliverAll();
  s.CarryOutLate();
  for (int n = 0; n < 20; ++n) {
    s.it.Advance(20);
    CHECK_EQUAL(1, s.Running());
  }
}

TEST(LateOrder, EndedTaskDoesNotStartAgain) {
  RepeatedStart s;
  const RunRef run = s.Server().running.begin()->first;
  s.Server().End(run, RunEnd::kDone);
  s.it.Advance(500);
  STRCMP_EQUAL("completed", s.it.State(kJob).c_str());
  s.Server().Restart();
  s.it.cell->SetBackend(s.Server().entry, s.it.now);
  s.it.Advance(100);
  s.CarryOutLate();
  CHECK_EQUAL(0, s.Running());
}

TEST(LateOrder, GangMemberDoesNotStartBesideItsNextRun) {
  RepeatedStart s(CellHarness::Tasks(4, 4000, R"(,"gang":true)"));
  CHECK_EQUAL(1, s.Running());
  s.Server().Restart();
  s.it.cell->SetBackend(s.Server().entry, s.it.now);
  s.it.Advance(1000);
  s.CarryOutLate();
  s.it.Advance(100);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, s.it.Running({JobId(kJob), 0, 0, n}));
  }
}

// A poll of the former incarnation's time must acknowledge none of the new
// one's ends, and renew none of its leases.
TEST(LateOrder, PollIsRefusedAfterARestart) {
  RepeatedStart s;
  platform::PollRequest late;
  late.fencing_token = s.Server().token;
  late.acknowledged = 100;
  s.Server().Restart();
  s.it.cell->SetBackend(s.Server().entry, s.it.now);
  s.it.Advance(100);
  CHECK(s.Server().Poll(late).result == OrderResult::kFenced);
  CHECK(s.Server().Stop({s.task, 9}, late.fencing_token) ==
        OrderResult::kFenced);
}

// An order that was under way at the restart is refused for its token. That is
// no sign of another owner.
TEST(LateOrder, RefusalOfAnOlderTokenDoesNotDeposeTheOwner) {
  RepeatedStart s;
  const RunRef run = s.Server().running.begin()->first;
  const BackendId id = s.Server().entry.id;
  s.Server().Restart();
  s.it.cell->SetBackend(s.Server().entry, s.it.now);
  s.it.cell->OnStartResponse(id, run, OrderResult::kFenced, s.it.now, s.it.now);
  s.it.cell->OnStopResponse(id, run, OrderResult::kFenced, s.it.now);
  s.it.Advance(300);
  CHECK(!s.it.port.fenced);
  CHECK_EQUAL(1, s.Running());
  // That of the newest token is.
  s.Server().token += 1'000'000;
  s.it.cell->OnStartResponse(id, run, OrderResult::kFenced, s.it.now, s.it.now);
  s.it.Advance(300);
  CHECK(s.it.port.fenced);
}

// Each owner's tokens are above those of all former owners, however many
// restarts those have seen.
TEST(LateOrder, NextOwnersTokensAreHigher) {
  CellHarness it(1);
  FakeBackend& backend = it.backends.at(BackendId("b0"));
  constexpr int kManyRestarts = 1100;
  for (int n = 0; n < kManyRestarts; ++n) {
    backend.Restart();
    it.cell->SetBackend(backend.entry, it.now);
  }
  it.Advance(100);
  const uint64_t last = backend.token;
  CHECK(last > 0);
  it.StartOwner(2);
  it.Advance(100);
  CHECK(backend.token > last);
  CHECK(!it.port.fenced);
}

}  // namespace bw::test
