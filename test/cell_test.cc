// Tests of the cell with simulated backend servers: at-most-once execution,
// limits and reported states across owner changes, crashes and lost responses.
#include "../src/cell_base.h"

#include <CppUTest/TestHarness.h>

#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";
const char* const kOther = "00000000000000a2";

TaskRef First(const char* job, uint32_t index = 0, uint32_t step = 0) {
  return {JobId(job), 0, step, index};
}

/// Gives one server a label that no other has.
/// @return The JSON of a step's requirement for it.
std::string LabelFirstServer(CellHarness* harness) {
  FakeBackend& rare = harness->backends.at(BackendId("b0"));
  rare.entry.labels.emplace_back("rare");
  harness->cell->SetBackend(rare.entry, harness->now);
  return R"(,"requires":"rare")";
}

}  // namespace

TEST_GROUP(Cell){};

TEST(Cell, JobIsAcceptedOnlyOnceItIsStored) {
  CellHarness it(1);
  it.store_enabled = false;
  CHECK(!it.Submit(kJob, CellHarness::Tasks(1, 1000)));
  CHECK(!it.Find(First(kJob)));
  it.store_enabled = true;
  it.Advance(100);
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  CHECK(it.Find(First(kJob)).has_value());
}

TEST(Cell, EndIsAcknowledgedOnlyOnceItIsStored) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.store_enabled = false;
  it.backends.at(run->first).End(run->second, RunEnd::kDone);
  it.Advance(400);
  CHECK_EQUAL(1U, it.backends.at(run->first).ended.size());
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  it.store_enabled = true;
  it.Submit(kOther, CellHarness::Tasks(1, 1000));
  it.Advance(400);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  CHECK_EQUAL(0U, it.backends.at(run->first).ended.size());
}

TEST(Cell, SameJobTwiceIsOneJob) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto again = it.Submit(kJob, CellHarness::Tasks(1, 1000));
  CHECK(again && again->status == CellStatus::kOk);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

TEST(Cell, StepsRunInOrder) {
  CellHarness it(2);
  it.Submit(kJob,
            R"({"spec":"x","steps":[{"count":2,"cpu":1000,"estimateMs":500},)"
            R"({"cpu":1000,"estimateMs":500,"dependsOn":[0]}]})");
  const auto first = it.Find(First(kJob, 0));
  it.backends.at(first->first).End(first->second, RunEnd::kDone);
  it.Advance(200);
  CHECK(!it.Find(First(kJob, 0, 1)));
  const auto second = it.Find(First(kJob, 1));
  it.backends.at(second->first).End(second->second, RunEnd::kDone);
  it.Advance(200);
  CHECK(it.Find(First(kJob, 0, 1)).has_value());
}

// After an owner dies, the next one gets no report on its run for a while. The
// former owner granted the lease, so the run must not count as lapsed.
TEST(Cell, FormerOwnersRunIsNotTakenAsLapsed) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.StartOwner(2);
  it.port.polls.clear();
  it.now += milliseconds(300);
  it.cell->Tick(it.now, it.wall_ms);
  it.cell->Run(it.now);
  CHECK(it.port.starts.empty());
  it.DeliverAll();
  it.Advance(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->second == run->second);
}

TEST(Cell, NewOwnerWaitsForABackendServerThatDoesNotAnswer) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).reachable = false;
  it.StartOwner(2);
  it.Advance(6000);
  CHECK_EQUAL(1, it.Running(First(kJob)));  // There, until its lease lapses.
  it.Advance(6000);
  CHECK_EQUAL(1, it.Running(First(kJob)));  // Elsewhere.
  CHECK(it.Find(First(kJob))->first != run->first);
}

// A backend server with running tasks goes silent and its entry is removed.
// Polls to it must not renew its leases.
TEST(Cell, LostBackendServersTasksStartElsewhereAfterTheirLease) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  FakeBackend& lost = it.backends.at(run->first);
  lost.reachable = false;
  it.cell->DropBackend(run->first);
  it.Advance(5000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  it.Advance(3000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->first != run->first);
}

TEST(Cell, NewOwnersRunsHaveHigherNumbers) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).Restart();
  it.StartOwner(2);
  it.Advance(200);
  CHECK(it.Find(First(kJob))->second.number > run->second.number);
}

// Failures that one owner counted but did not acknowledge are reported again to
// the next owner, in another order.
TEST(Cell, FailuresAreCountedOnceAcrossOwners) {
  CellHarness it(3);
  it.config->queues[0].max_attempts = 3;
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  for (int n = 0; n < 2; ++n) {
    const auto run = it.Find(First(kJob));
    const auto ends = it.backends.at(run->first).ended;
    it.backends.at(run->first).End(run->second, RunEnd::kFailed);
    const auto unacknowledged = it.backends.at(run->first).ended;
    it.Advance(200);
    // The end is not acknowledged in time.
    it.backends.at(run->first).ended = unacknowledged;
  }
  it.StartOwner(2);
  it.Advance(200);
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  const auto run = it.Find(First(kJob));
  CHECK(run.has_value());
  it.backends.at(run->first).End(run->second, RunEnd::kFailed);
  it.Advance(200);
  STRCMP_EQUAL("failed", it.State(kJob).c_str());
}

TEST(Cell, FailuresUnseenByAnOwnerAreCountedByTheNext) {
  CellHarness it(3);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto first = it.Find(First(kJob));
  it.backends.at(first->first).End(first->second, RunEnd::kFailed);
  const auto first_ends = it.backends.at(first->first).ended;
  it.Advance(200);
  // The owner dies before it stores the next failure.
  it.store_enabled = false;
  const auto second = it.Find(First(kJob));
  it.backends.at(second->first).End(second->second, RunEnd::kFailed);
  it.backends.at(first->first).ended = first_ends;
  it.store_enabled = true;
  it.StartOwner(2);
  it.Advance(300);
  STRCMP_EQUAL("failed", it.State(kJob).c_str());
}

// The owner dies while the store is unavailable. Placements whose records were
// not stored must not have been sent.
TEST(Cell, NothingStartsWithoutARecordOfWhere) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.store_enabled = false;
  it.backends.at(run->first).End(run->second, RunEnd::kFailed);
  it.Advance(500);
  CHECK_EQUAL(1U, it.start_log.size());
  it.store_enabled = true;
  it.Advance(100);
  CHECK_EQUAL(2U, it.start_log.size());
}

// A zone is cut off while the owner changes. Only tasks that were started there
// must wait for their leases to expire.
TEST(Cell, OnlyTasksSentToSilentBackendServersWaitForTheNextOwner) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 8000));
  it.Submit(kOther, CellHarness::Tasks(2, 8000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).reachable = false;
  const auto other = it.Find(First(kOther));
  it.backends.at(other->first).End(other->second, RunEnd::kDone);
  it.StartOwner(2);
  it.Advance(500);
  CHECK_EQUAL(1, it.Running(First(kOther, 1 - other->second.task.index)));
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->second == run->second);
}

TEST(Cell, StartWithoutAnswerIsRuledOutBeforeAnother) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).End(run->second, RunEnd::kStopped);
  for (auto& backend : it.backends) {
    backend.second.reachable = false;
  }
  it.Advance(200);
  for (auto& backend : it.backends) {
    backend.second.reachable = true;
  }
  it.Advance(2000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  for (const auto& order : it.unanswered_starts) {  // Executed seconds late.
    it.backends.at(order.backend).Start(order.order);
  }
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

// A backend server starts a gang's member, but its answer is lost. The gang was
// stopped and started again from the beginning.
TEST(Cell, StartWhoseAnswerIsLostIsNeitherStoppedNorRunAgain) {
  CellHarness it(2);
  it.backends.begin()->second.lost_answers = 1;
  it.Submit(kJob, CellHarness::Tasks(4, 4000, R"(,"gang":true)"));
  it.Advance(1000);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, it.Running(First(kJob, n)));
    CHECK_EQUAL(1U, it.Find(First(kJob, n))->second.number);
  }
  CHECK(it.stop_log.empty());
  CHECK_EQUAL(5U, it.start_log.size());
}

// The task ends before the order without an answer is repeated.
TEST(Cell, RunThatEndsBeforeItsStartIsConfirmedIsNotRunAgain) {
  CellHarness it(1);
  FakeBackend& backend = it.backends.begin()->second;
  it.port.on_start = [&](const FakeCellPort::SentStart& sent) {
    if (backend.running.contains(sent.order.run)) {
      backend.End(sent.order.run, RunEnd::kDone);
    }
  };
  backend.lost_answers = 1;
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.Advance(500);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  for (const auto& sent : it.start_log) {
    CHECK_EQUAL(1U, sent.order.run.number);
  }
}

// The owner is so busy that a report waits in its queues for longer than the
// leases last. The run it tells of was started again.
TEST(Cell, ReportThatIsProcessedLateIsNotTakenForSilence) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  FakeBackend& backend = it.backends.at(run->first);
  backend.holds_polls = true;
  it.Advance(200);
  backend.End(run->second, RunEnd::kDone);
  it.Advance(9000);
  CHECK_EQUAL(1U, it.start_log.size());
  backend.holds_polls = false;
  const auto held = it.held_reports;
  CHECK(!held.empty());
  for (const auto& report : held) {
    it.cell->OnPollResponse(report.first, report.second, it.now, it.now);
  }
  it.Advance(500);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  CHECK_EQUAL(1U, it.start_log.size());
}

// An idle backend server restarts under its name. Its entry in the store is
// older than the next start order.
TEST(Cell, RunStartedSinceAnUnnoticedRestartIsNotStartedAgain) {
  CellHarness it(2);
  it.Submit(kOther, CellHarness::Tasks(2, 8000));
  for (auto& backend : it.backends) {
    const RunRef run = backend.second.running.begin()->first;
    backend.second.End(run, RunEnd::kDone);
  }
  it.Advance(3000);
  for (auto& backend : it.backends) {
    backend.second.Restart();
  }
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.Advance(1000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK_EQUAL(1U, it.Find(First(kJob))->second.number);
}

// As above; the run ends before the new incarnation is polled. The former one's
// ends had higher numbers.
TEST(Cell, EndSinceAnUnnoticedRestartIsNotAcknowledgedUnseen) {
  CellHarness it(1);
  it.Submit(kOther, CellHarness::Tasks(4, 1000));
  FakeBackend& backend = it.backends.begin()->second;
  while (!backend.running.empty()) {
    const RunRef run = backend.running.begin()->first;
    backend.End(run, RunEnd::kDone);
  }
  it.Advance(3000);
  backend.Restart();
  it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                  CellHarness::Tasks(1, 1000), it.now,
                  [](const CellOutcome&) {});
  it.now += milliseconds(20);  // Time of the next pass.
  it.DeliverAll();
  CHECK_EQUAL(1U, backend.running.size());
  const RunRef run = backend.running.begin()->first;
  backend.End(run, RunEnd::kDone);
  it.Advance(1000);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  CHECK_EQUAL(1U, it.start_log.back().order.run.number);
}

TEST(Cell, CrashedBackendServerLosesItsRunsAtOnce) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).Restart();
  it.cell->SetBackend(it.backends.at(run->first).entry, it.now);
  it.Advance(200);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

TEST(Cell, NoBackendServerGetsMoreThanItHolds) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(9, 3000));
  it.Advance(200);
  for (const auto& backend : it.backends) {
    CHECK_EQUAL(2U, backend.second.running.size());
  }
}

TEST(Cell, AccountStaysBelowItsMaximum) {
  CellHarness it(4);
  it.config->accounts[0].maximum = {5000, 0, 0};
  it.Submit(kJob, CellHarness::Tasks(9, 2000));
  it.Advance(200);
  size_t running = 0;
  for (const auto& backend : it.backends) {
    running += backend.second.running.size();
  }
  CHECK_EQUAL(2U, running);
}

TEST(Cell, CancelStopsTasksAndIsAnsweredOnceStored) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(2, 1000));
  it.store_enabled = false;
  std::optional<CellOutcome> outcome;
  it.cell->Cancel(JobId(kJob), TeamId("t0"), it.now,
                  [&](const CellOutcome& got) { outcome = got; });
  it.DeliverAll();
  CHECK(!outcome);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  it.store_enabled = true;
  it.DeliverAll();
  CHECK(outcome && outcome->status == CellStatus::kOk);
  STRCMP_EQUAL("cancelled", it.State(kJob).c_str());
}

TEST(Cell, UnsentJobIsRefusedWhileStoreIsUnavailable) {
  CellHarness it(1);
  it.store_enabled = false;
  std::optional<CellOutcome> outcome;
  it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                  CellHarness::Tasks(1, 1000), it.now,
                  [&](const CellOutcome& got) { outcome = got; });
  it.port.store_available = false;
  it.Advance(1000);
  CHECK(outcome && outcome->status == CellStatus::kStoreUnavailable);
  it.port.store_available = true;
  it.store_enabled = true;
  it.Advance(500);
  CHECK_EQUAL(0, it.Running(First(kJob)));
}

// Many jobs that no server can run are ranked first. They must not keep the
// placing pass from examining others.
TEST(Cell, JobsThatNothingCanRunDoNotHoldOthersUp) {
  CellHarness it(1);
  constexpr int kImpossibleJobs = 200;
  for (int n = 0; n < kImpossibleJobs; ++n) {
    const bool label = n % 2 == 0;
    it.cell->Submit(JobId("hopeless" + std::to_string(n)), TeamId("t0"),
                    QueueId("q"),
                    label ? CellHarness::Tasks(1, 10, R"(,"requires":"none")")
                          : CellHarness::Tasks(1, 10'000'000),
                    it.now, [](const CellOutcome&) {});
  }
  CHECK(it.Submit(kJob, CellHarness::Tasks(1, 1000)).has_value());
  it.Advance(1000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

// Hundreds of steps wait for the few servers with a label while all others are
// nearly empty. Lower-ranked steps were never examined.
TEST(Cell, ManyStepsWithoutRoomDoNotStarveOthers) {
  CellHarness it(2);
  const std::string needs_rare = LabelFirstServer(&it);
  it.Submit(kOther, CellHarness::Tasks(1, 8000, needs_rare));
  constexpr int kMany = 400;
  for (int n = 0; n < kMany; ++n) {
    it.cell->Submit(JobId("waits" + std::to_string(n)), TeamId("t0"),
                    QueueId("q"), CellHarness::Tasks(1, 8000, needs_rare),
                    it.now, [](const CellOutcome&) {});
  }
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.Advance(1000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

// The time to rank a long backlog used up each pass of an owner short of
// processor time: nothing was placed any more, also after the load had ended.
TEST(Cell, PassesOfASlowOwnerPlaceWhatIsWaiting) {
  constexpr int kServers = 30;
  CellHarness it(kServers);
  it.port.clock_step = milliseconds(50);
  for (int n = 0; n < kServers; ++n) {
    it.cell->Submit(JobId("job" + std::to_string(n)), TeamId("t0"),
                    QueueId("q"), CellHarness::Tasks(1, 8000), it.now,
                    [](const CellOutcome&) {});
  }
  it.Advance(15'000);
  CHECK_EQUAL(0U, it.cell->Count().waiting_steps);
}

// Everything was accepted, as most of the servers were free.
TEST(Cell, SlowOwnerAcceptsNoMoreThanItPlacesInTime) {
  CellHarness it(100);
  it.port.clock_step = milliseconds(20);
  size_t accepted = 0;
  size_t rejected = 0;
  std::set<uint32_t> retry_after_ms;
  constexpr int kSeconds = 10;
  for (int n = 0; n < kSeconds * 50; ++n) {
    it.cell->Submit(JobId("job" + std::to_string(n)), TeamId("t0"),
                    QueueId("q"), CellHarness::Tasks(1, 100), it.now,
                    [&](const CellOutcome& outcome) {
                      if (outcome.status == CellStatus::kOk) {
                        ++accepted;
                        return;
                      }
                      CHECK(outcome.status == CellStatus::kOverloaded);
                      ++rejected;
                      retry_after_ms.insert(outcome.retry_after_ms);
                    });
    it.Advance(20);
  }
  CHECK(rejected > 0);
  CHECK(retry_after_ms.size() > rejected / 2);
  constexpr int kRecoveryMs = 5000;  // Stated target.
  it.Advance(kRecoveryMs);
  CHECK_EQUAL(0U, it.cell->Count().waiting_steps);
  CHECK_EQUAL(accepted, it.cell->Count().jobs);
  const auto outcome = it.Submit(kJob, CellHarness::Tasks(1, 100));
  CHECK(outcome && outcome->status == CellStatus::kOk);
}

// After a take-over calls are slow for a second. Jobs that would be late for it
// were refused, although they still ran soon enough to be of use.
TEST(Cell, JobsAreRefusedForBeingLateOnlyOnceTheDelayLasts) {
  CellHarness it(30);
  it.config->queues[0].target_latency_ms = 0;  // Slack: 1 s, 5 s if late.
  const auto submit = [&](const std::string& name) {
    return it.Submit(name, CellHarness::Tasks(1, 100));
  };
  const auto slow_response = [&](int took_ms) {
    const auto& start = it.start_log.back();
    it.cell->OnStartResponse(start.backend, start.order.run, OrderResult::kDone,
                             it.now - milliseconds(took_ms), it.now);
  };
  submit("first");
  slow_response(20'000);  // Recent round trips: 1.25 s in the mean.
  const auto late = submit("late");
  CHECK(late && late->status == CellStatus::kOk);
  constexpr int kSteps = 4;
  for (int n = 0; n < kSteps; ++n) {
    it.Advance(500);
    slow_response(1250);
  }
  const auto later = submit("later");
  CHECK(later && later->status == CellStatus::kOverloaded);
  it.Advance(1000);
  const auto after = submit("after");
  CHECK(after && after->status == CellStatus::kOk);
  // Refusals bring the delay down for a moment only.
  slow_response(20'000);
  const auto again = submit("again");
  CHECK(again && again->status == CellStatus::kOverloaded);
  it.Advance(6000);
  slow_response(1250);
  const auto next = submit("next");
  CHECK(next && next->status == CellStatus::kOk);
}

// Jobs with much time left were accepted until their backlog took an owner
// short of processor time longer than callers are to wait after a burst.
TEST(Cell, SlowOwnerRecoversFromABurstOfPatientJobs) {
  CellHarness it(100);
  it.config->queues[0].stretch = 30;
  it.port.clock_step = milliseconds(50);
  size_t accepted = 0;
  constexpr int kBurst = 500;
  for (int n = 0; n < kBurst; ++n) {
    it.cell->Submit(JobId("job" + std::to_string(n)), TeamId("t0"),
                    QueueId("q"), CellHarness::Tasks(1, 100), it.now,
                    [&](const CellOutcome& outcome) {
                      accepted += outcome.status == CellStatus::kOk ? 1 : 0;
                    });
    it.Advance(20);
  }
  CHECK(accepted < kBurst);
  constexpr int kRecoveryMs = 5000;  // Stated target.
  it.Advance(kRecoveryMs);
  CHECK_EQUAL(0U, it.cell->Count().waiting_steps);
}

// Jobs accepted before a store outage of several seconds must not occupy
// resources during it.
TEST(Cell, NothingIsPlacedWhileRecordsAreNotStored) {
  CellHarness it(1);
  it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                  CellHarness::Tasks(1, 1000), it.now,
                  [](const CellOutcome&) {});
  it.port.StorePending();
  it.port.store_available = false;
  it.Advance(3000);
  CHECK_EQUAL(0U, it.cell->Count().runs);
  it.port.store_available = true;
  it.Advance(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

// While the store is unavailable, a job is placed, then refused, and submitted
// again by its caller.
TEST(Cell, RefusedJobHandedInAgainRunsOnce) {
  CellHarness it(4);
  it.store_enabled = false;
  const auto submit = [&it] {
    it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                    CellHarness::Tasks(2, 5000), it.now,
                    [](const CellOutcome&) {});
  };
  submit();
  it.Advance(100);
  it.port.store_available = false;
  it.Advance(1000);
  it.port.store_available = true;
  submit();
  it.Advance(100);
  it.store_enabled = true;
  it.Advance(300);
  CHECK_EQUAL(2U, it.start_log.size());
  CHECK_EQUAL(1, it.Running(First(kJob, 0)));
  CHECK_EQUAL(1, it.Running(First(kJob, 1)));
  for (const auto& backend : it.backends) {
    CHECK(backend.second.running.size() <= 1);
  }
}

TEST(Cell, GangStartsWhole) {
  CellHarness it(2);
  it.Submit(kOther, CellHarness::Tasks(1, 8000));
  it.Submit(kJob, CellHarness::Tasks(4, 4000, R"(,"gang":true)"));
  it.Advance(500);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  const auto run = it.Find(First(kOther));
  it.backends.at(run->first).End(run->second, RunEnd::kDone);
  it.Advance(200);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, it.Running(First(kJob, n)));
    CHECK_EQUAL(it.Find(First(kJob))->second.number,
                it.Find(First(kJob, n))->second.number);
  }
}

// Small tasks keep arriving while a gang waits for whole servers.
TEST(Cell, GangIsNotStarvedBySmallTasks) {
  CellHarness it(2);
  const auto small = [](int n) {
    constexpr size_t kLength = 17;
    char name[kLength];
    snprintf(name, sizeof(name), "%016x", 0x100 + n);
    return std::string(name);
  };
  constexpr int kFull = 16;
  constexpr int kMore = 40;
  for (int n = 0; n < kFull; ++n) {
    it.Submit(small(n), CellHarness::Tasks(1, 1000));
  }
  it.Submit(kJob, R"({"spec":"x","steps":[{"count":2,"cpu":8000,"memMb":100,)"
                  R"("estimateMs":4000,"gang":true}]})");
  for (int n = 0; n < kMore; ++n) {
    it.Submit(small(kFull + n), CellHarness::Tasks(1, 1000));
    const auto run = it.Find(First(small(n).c_str()));
    if (run) {
      it.backends.at(run->first).End(run->second, RunEnd::kDone);
    }
    it.Advance(100);
  }
  CHECK_EQUAL(1, it.Running(First(kJob, 0)));
  CHECK_EQUAL(1, it.Running(First(kJob, 1)));
}

// Gangs wait one after the other for the few servers with a label. The room
// reserved for them stayed idle while short tasks waited.
TEST(Cell, ShortTasksUseRoomThatAGangStillWaitsFor) {
  CellHarness it(1);
  CellQueue first = it.config->queues[0];
  first.name = QueueId("first");
  first.priority = 0;
  it.config->queues.push_back(first);
  it.Submit(kOther, R"({"spec":"x","steps":[{"cpu":6000,"memMb":100,)"
                    R"("estimateMs":4000}]})");
  it.Submit(kJob,
            R"({"spec":"x","steps":[{"count":2,"cpu":4000,"memMb":100,)"
            R"("estimateMs":4000,"gang":true}]})",
            "first");
  const char* const short_job = "00000000000000a3";
  const char* const long_job = "00000000000000a4";
  it.Submit(long_job, R"({"spec":"x","steps":[{"cpu":1000,"memMb":100,)"
                      R"("estimateMs":9000}]})");
  it.Submit(short_job, R"({"spec":"x","steps":[{"cpu":1000,"memMb":100,)"
                       R"("estimateMs":500}]})");
  it.Advance(200);
  CHECK_EQUAL(1, it.Running(First(short_job)));
  CHECK_EQUAL(0, it.Running(First(long_job)));
}

// As above, in an otherwise nearly empty cell: estimates keep predicting that
// the gang is about to start.
TEST(Cell, GangsDoNotHoldOthersUpForLongInANearlyEmptyCell) {
  CellHarness it(4);
  const std::string needs_rare = LabelFirstServer(&it);
  it.Submit(kOther, CellHarness::Tasks(1, 6000, needs_rare));
  it.Submit(kJob, CellHarness::Tasks(1, 8000, needs_rare + R"(,"gang":true)"));
  const char* const small = "00000000000000a3";
  it.Submit(small, CellHarness::Tasks(1, 1000, needs_rare));
  it.Advance(1000);
  CHECK_EQUAL(0, it.Running(First(small)));
  it.Advance(1000);
  CHECK_EQUAL(1, it.Running(First(small)));
}

TEST(Cell, GangRestartsWithAHigherRunAfterAFailure) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(4, 4000, R"(,"gang":true)"));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).End(run->second, RunEnd::kFailed);
  it.Advance(500);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, it.Running(First(kJob, n)));
    CHECK(it.Find(First(kJob, n))->second.number > run->second.number);
  }
}

// The owner dies after starting only part of a gang.
TEST(Cell, HalfAGangOfAFormerOwnerIsStoppedAndStartsAnew) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(4, 4000, R"(,"gang":true)"));
  const auto lost = it.Find(First(kJob, 3));
  it.backends.at(lost->first).running.erase(lost->second);
  it.StartOwner(2);
  it.Advance(600);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, it.Running(First(kJob, n)));
    CHECK_EQUAL(it.Find(First(kJob))->second.number,
                it.Find(First(kJob, n))->second.number);
  }
}

// One backend server does not respond while a gang starts. The other members
// must not wait for the missing ones.
TEST(Cell, GangWithAnUnansweredStartIsTornDownAtOnce) {
  CellHarness it(2);
  it.backends.begin()->second.reachable = false;
  it.Submit(kJob, CellHarness::Tasks(4, 4000, R"(,"gang":true)"));
  for (const auto& backend : it.backends) {
    CHECK_EQUAL(0U, backend.second.running.size());
  }
}

// Gang members finish their work at different times and idle until the last one
// is done.
TEST(Cell, IdleGangMemberThatIsDoneIsNotStopped) {
  CellHarness it(1);
  it.Submit(kJob, R"({"spec":"x","steps":[{"count":2,"cpu":1000,"memMb":100,)"
                  R"("estimateMs":6000,"gang":true}]})");
  it.Advance(4000);
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).idle_runs.insert(run->second);
  it.Advance(4000);
  CHECK(it.stop_log.empty());
}

// A member stands still after its mates have finished their part: the gang ends
// no more. It is started anew, away from that member's server.
TEST(Cell, GangOfWhichNoMemberWorksIsRestarted) {
  CellHarness it(2);
  it.Submit(kJob, R"({"spec":"x","steps":[{"count":2,"cpu":5000,"memMb":100,)"
                  R"("estimateMs":500,"gang":true}]})");
  it.Advance(4000);
  const auto first = it.Find(First(kJob));
  const auto second = it.Find(First(kJob, 1));
  it.backends.at(first->first).idle_runs.insert(first->second);
  it.Advance(6000);
  CHECK(it.stop_log.empty());
  it.backends.at(second->first).idle_runs.insert(second->second);
  it.Advance(3000);
  CHECK(!it.stop_log.empty());
  CHECK(it.stop_log.front().second == first->second);
}

TEST(Cell, IdleTaskIsRestartedElsewhere) {
  CellHarness it(2);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).idle_runs.insert(run->second);
  it.Advance(4500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->first != run->first);
}

// The advice service refuses queries immediately when it is overloaded, so
// responses may arrive within the call that sends the query.
TEST(Cell, AdviceGivenAtOnceIsNotWaitedFor) {
  CellHarness it(2);
  it.config->queues[0].advice = AdvicePolicy{10, 1, 2000};
  it.cell->SetConfig(it.config);
  bool overloaded = true;
  it.port.on_advice_query = [&](const FakeCellPort::AdviceQuery& query) {
    platform::AdviceResponse response;
    response.answered = !overloaded;
    response.overloaded = overloaded;
    if (!overloaded) {
      for (const auto& id : query.backends) {
        response.recommended.push_back({id, "ticket"});
      }
    }
    it.cell->OnAdviceResponse(query.step, query.backends, response, it.now);
  };
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.Advance(300);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  overloaded = false;
  it.Advance(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  STRCMP_EQUAL("ticket", it.start_log.back().order.ticket.c_str());
}

TEST(Cell, LeavingBackendServerGetsNothingNew) {
  CellHarness it(2);
  auto draining_entry = it.backends.begin()->second.entry;
  draining_entry.draining = true;
  it.cell->SetBackend(draining_entry, it.now);
  it.Submit(kJob, CellHarness::Tasks(4, 1000));
  it.Advance(200);
  CHECK_EQUAL(0U, it.backends.begin()->second.running.size());
}

TEST(Cell, WorkThatWouldOutlastALeavingBackendServerMoves) {
  CellHarness it(2);
  it.Submit(kJob, R"({"spec":"x","steps":[{"cpu":1000,"estimateMs":6000}]})");
  it.Submit(kOther, R"({"spec":"x","steps":[{"cpu":1000,"estimateMs":900}]})");
  const auto run = it.Find(First(kJob));
  auto draining_entry = it.backends.at(run->first).entry;
  draining_entry.draining = true;
  draining_entry.remaining_ms = 2000;
  it.cell->SetBackend(draining_entry, it.now);
  it.Advance(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->first != run->first);
  CHECK_EQUAL(1U, it.Find(First(kOther))->second.number);
}

TEST(Cell, EndedJobIsKnownToTheNextOwner) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).End(run->second, RunEnd::kDone);
  it.Advance(300);
  it.StartOwner(2);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  it.Advance(300);
  CHECK_EQUAL(0, it.Running(First(kJob)));
}

TEST(Cell, OccurrencesStartAtTheirTimes) {
  CellHarness it(2);
  const std::string body = R"({"spec":"x","startAtMs":)" +
                           std::to_string(it.wall_ms + 500) +
                           R"(,"repeatCount":2,"intervalMs":1000,)"
                           R"("steps":[{"cpu":1000,"estimateMs":100}]})";
  it.Submit(kJob, body);
  it.Advance(400);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  it.Advance(200);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK_EQUAL(0, it.Running({JobId(kJob), 1, 0, 0}));
  it.Advance(1000);
  CHECK_EQUAL(1, it.Running({JobId(kJob), 1, 0, 0}));
}

}  // namespace bw::test
