// The cell against simulated backend servers: at most once, within limits, and
// a true state, over owners, crashes and lost answers.
#include "../src/cell_base.h"

#include <CppUTest/TestHarness.h>

#include "support/cell_bench.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";
const char* const kOther = "00000000000000a2";

TaskRef First(const char* job, uint32_t index = 0, uint32_t step = 0) {
  return {JobId(job), 0, step, index};
}

/// Gives one server a label of its own. @return The part of a step's text that
/// asks for it.
std::string LabelFirstServer(CellBench* bench) {
  FakeBackend& rare = bench->backends.at(BackendId("b0"));
  rare.entry.labels.emplace_back("rare");
  bench->cell->SetBackend(rare.entry, bench->now);
  return R"(,"requires":"rare")";
}

}  // namespace

TEST_GROUP(Cell){};

TEST(Cell, JobIsAcceptedOnlyOnceItIsStored) {
  CellBench it(1);
  it.stores = false;
  CHECK(!it.Submit(kJob, CellBench::Tasks(1, 1000)));
  CHECK(!it.Find(First(kJob)));
  it.stores = true;
  it.Pass(100);
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  CHECK(it.Find(First(kJob)).has_value());
}

TEST(Cell, EndIsAcknowledgedOnlyOnceItIsStored) {
  CellBench it(1);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.stores = false;
  it.backends.at(run->first).End(run->second, RunEnd::kDone);
  it.Pass(400);
  CHECK_EQUAL(1U, it.backends.at(run->first).ended.size());
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  it.stores = true;
  it.Submit(kOther, CellBench::Tasks(1, 1000));
  it.Pass(400);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  CHECK_EQUAL(0U, it.backends.at(run->first).ended.size());
}

TEST(Cell, SameJobTwiceIsOneJob) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto again = it.Submit(kJob, CellBench::Tasks(1, 1000));
  CHECK(again && again->verdict == CellVerdict::kOk);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

TEST(Cell, StepsRunInOrder) {
  CellBench it(2);
  it.Submit(kJob,
            R"({"spec":"x","steps":[{"count":2,"cpu":1000,"estimateMs":500},)"
            R"({"cpu":1000,"estimateMs":500,"dependsOn":[0]}]})");
  const auto first = it.Find(First(kJob, 0));
  it.backends.at(first->first).End(first->second, RunEnd::kDone);
  it.Pass(200);
  CHECK(!it.Find(First(kJob, 0, 1)));
  const auto second = it.Find(First(kJob, 1));
  it.backends.at(second->first).End(second->second, RunEnd::kDone);
  it.Pass(200);
  CHECK(it.Find(First(kJob, 0, 1)).has_value());
}

// Load: an owner dies; the next one finds the run and hears nothing new of it
// for a while. Its lease was granted by the former owner.
TEST(Cell, FormerOwnersRunIsNotTakenAsLapsed) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.Open(2);
  it.port.holds.clear();
  it.now += milliseconds(300);
  it.cell->Tick(it.now, it.wall_ms);
  it.cell->Run(it.now);
  CHECK(it.port.starts.empty());
  it.Settle();
  it.Pass(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->second == run->second);
}

TEST(Cell, NewOwnerWaitsForABackendServerThatDoesNotAnswer) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).reachable = false;
  it.Open(2);
  it.Pass(6000);
  CHECK_EQUAL(1, it.Running(First(kJob)));  // Until its lease lapses.
  it.Pass(6000);
  CHECK_EQUAL(1, it.Running(First(kJob)));  // Elsewhere.
  CHECK(it.Find(First(kJob))->first != run->first);
}

// Load: a backend server leaves for good with work on it and is never heard
// again. Looks at it go on meanwhile.
TEST(Cell, LostBackendServersTasksStartElsewhereAfterTheirLease) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  FakeBackend& lost = it.backends.at(run->first);
  lost.reachable = false;
  it.cell->DropBackend(run->first);
  it.Pass(5000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  it.Pass(3000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->first != run->first);
}

TEST(Cell, NewOwnersRunsHaveHigherNumbers) {
  CellBench it(1);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).Reborn();
  it.Open(2);
  it.Pass(200);
  CHECK(it.Find(First(kJob))->second.number > run->second.number);
}

// Load: failures that one owner counted and did not acknowledge, read by the
// next owner in another order.
TEST(Cell, FailuresAreCountedOnceAcrossOwners) {
  CellBench it(3);
  it.config->queues[0].max_attempts = 3;
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  for (int n = 0; n < 2; ++n) {
    const auto run = it.Find(First(kJob));
    const auto ends = it.backends.at(run->first).ended;
    it.backends.at(run->first).End(run->second, RunEnd::kFailed);
    const auto kept = it.backends.at(run->first).ended;
    it.Pass(200);
    it.backends.at(run->first).ended = kept;  // Not acknowledged in time.
  }
  it.Open(2);
  it.Pass(200);
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  const auto run = it.Find(First(kJob));
  CHECK(run.has_value());
  it.backends.at(run->first).End(run->second, RunEnd::kFailed);
  it.Pass(200);
  STRCMP_EQUAL("failed", it.State(kJob).c_str());
}

TEST(Cell, FailuresUnseenByAnOwnerAreCountedByTheNext) {
  CellBench it(3);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto first = it.Find(First(kJob));
  it.backends.at(first->first).End(first->second, RunEnd::kFailed);
  const auto first_ends = it.backends.at(first->first).ended;
  it.Pass(200);
  it.stores = false;  // The owner dies before it can keep the next failure.
  const auto second = it.Find(First(kJob));
  it.backends.at(second->first).End(second->second, RunEnd::kFailed);
  it.backends.at(first->first).ended = first_ends;
  it.stores = true;
  it.Open(2);
  it.Pass(300);
  STRCMP_EQUAL("failed", it.State(kJob).c_str());
}

// Load: the owner dies while the store is away. What it decided and could not
// keep must not have been ordered.
TEST(Cell, NothingStartsWithoutARecordOfWhere) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.stores = false;
  it.backends.at(run->first).End(run->second, RunEnd::kFailed);
  it.Pass(500);
  CHECK_EQUAL(1U, it.log.size());
  it.stores = true;
  it.Pass(100);
  CHECK_EQUAL(2U, it.log.size());
}

// Load: a zone is cut off as the owner changes. Only the tasks that were sent
// there wait for their leases.
TEST(Cell, OnlyTasksSentToSilentBackendServersWaitForTheNextOwner) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 8000));
  it.Submit(kOther, CellBench::Tasks(2, 8000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).reachable = false;
  const auto other = it.Find(First(kOther));
  it.backends.at(other->first).End(other->second, RunEnd::kDone);
  it.Open(2);
  it.Pass(500);
  CHECK_EQUAL(1, it.Running(First(kOther, 1 - other->second.task.index)));
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->second == run->second);
}

TEST(Cell, StartWithoutAnswerIsRuledOutBeforeAnother) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).End(run->second, RunEnd::kStopped);
  for (auto& backend : it.backends) {
    backend.second.reachable = false;
  }
  it.Pass(200);
  for (auto& backend : it.backends) {
    backend.second.reachable = true;
  }
  it.Pass(2000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  for (const auto& order : it.late) {  // Carried out seconds late.
    it.backends.at(order.backend).Start(order.order);
  }
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

TEST(Cell, CrashedBackendServerLosesItsRunsAtOnce) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).Reborn();
  it.cell->SetBackend(it.backends.at(run->first).entry, it.now);
  it.Pass(200);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

TEST(Cell, NoBackendServerGetsMoreThanItHolds) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(9, 3000));
  it.Pass(200);
  for (const auto& backend : it.backends) {
    CHECK_EQUAL(2U, backend.second.running.size());
  }
}

TEST(Cell, AccountStaysBelowItsMaximum) {
  CellBench it(4);
  it.config->accounts[0].maximum = {5000, 0, 0};
  it.Submit(kJob, CellBench::Tasks(9, 2000));
  it.Pass(200);
  size_t running = 0;
  for (const auto& backend : it.backends) {
    running += backend.second.running.size();
  }
  CHECK_EQUAL(2U, running);
}

TEST(Cell, CancelStopsTasksAndIsAnsweredOnceStored) {
  CellBench it(1);
  it.Submit(kJob, CellBench::Tasks(2, 1000));
  it.stores = false;
  std::optional<CellOutcome> outcome;
  it.cell->Cancel(JobId(kJob), TeamId("t0"), it.now,
                  [&](const CellOutcome& got) { outcome = got; });
  it.Settle();
  CHECK(!outcome);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  it.stores = true;
  it.Settle();
  CHECK(outcome && outcome->verdict == CellVerdict::kOk);
  STRCMP_EQUAL("cancelled", it.State(kJob).c_str());
}

TEST(Cell, StoreAwayRefusesWhatDidNotLeave) {
  CellBench it(1);
  it.stores = false;
  std::optional<CellOutcome> outcome;
  it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                  CellBench::Tasks(1, 1000), it.now,
                  [&](const CellOutcome& got) { outcome = got; });
  it.port.store_well = false;
  it.Pass(1000);
  CHECK(outcome && outcome->verdict == CellVerdict::kStoreAway);
  it.port.store_well = true;
  it.stores = true;
  it.Pass(500);
  CHECK_EQUAL(0, it.Running(First(kJob)));
}

// Load: many jobs that nothing can ever run; they wait, and are first in order.
TEST(Cell, JobsThatNothingCanRunDoNotHoldOthersUp) {
  CellBench it(1);
  constexpr int kHopeless = 200;
  for (int n = 0; n < kHopeless; ++n) {
    const bool label = n % 2 == 0;
    it.cell->Submit(JobId("hopeless" + std::to_string(n)), TeamId("t0"),
                    QueueId("q"),
                    label ? CellBench::Tasks(1, 10, R"(,"requires":"none")")
                          : CellBench::Tasks(1, 10'000'000),
                    it.now, [](const CellOutcome&) {});
  }
  CHECK(it.Submit(kJob, CellBench::Tasks(1, 1000)).has_value());
  it.Pass(1000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

// Load: few servers have a label that hundreds of steps wait for, and all
// others are nearly empty. Steps that come after those were never looked at.
TEST(Cell, ManyStepsWithoutRoomDoNotHideTheOthers) {
  CellBench it(2);
  const std::string needs_rare = LabelFirstServer(&it);
  it.Submit(kOther, CellBench::Tasks(1, 8000, needs_rare));
  constexpr int kMany = 400;
  for (int n = 0; n < kMany; ++n) {
    it.cell->Submit(JobId("waits" + std::to_string(n)), TeamId("t0"),
                    QueueId("q"), CellBench::Tasks(1, 8000, needs_rare), it.now,
                    [](const CellOutcome&) {});
  }
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  it.Pass(1000);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

// Load: records are not kept for seconds; jobs that were taken before wait.
TEST(Cell, NothingIsPlacedWhileRecordsAreNotKept) {
  CellBench it(1);
  it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                  CellBench::Tasks(1, 1000), it.now, [](const CellOutcome&) {});
  it.port.StoreAll();
  it.port.store_well = false;
  it.Pass(3000);
  CHECK_EQUAL(0U, it.cell->Count().runs);
  it.port.store_well = true;
  it.Pass(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
}

// Load: the store is away; a job is placed and then refused, and its caller
// hands it in again.
TEST(Cell, RefusedJobHandedInAgainRunsOnce) {
  CellBench it(4);
  it.stores = false;
  const auto submit = [&it] {
    it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                    CellBench::Tasks(2, 5000), it.now,
                    [](const CellOutcome&) {});
  };
  submit();
  it.Pass(100);
  it.port.store_well = false;
  it.Pass(1000);
  it.port.store_well = true;
  submit();
  it.Pass(100);
  it.stores = true;
  it.Pass(300);
  CHECK_EQUAL(2U, it.log.size());
  CHECK_EQUAL(1, it.Running(First(kJob, 0)));
  CHECK_EQUAL(1, it.Running(First(kJob, 1)));
  for (const auto& backend : it.backends) {
    CHECK(backend.second.running.size() <= 1);
  }
}

TEST(Cell, GangStartsWhole) {
  CellBench it(2);
  it.Submit(kOther, CellBench::Tasks(1, 8000));
  it.Submit(kJob, CellBench::Tasks(4, 4000, R"(,"gang":true)"));
  it.Pass(500);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  const auto run = it.Find(First(kOther));
  it.backends.at(run->first).End(run->second, RunEnd::kDone);
  it.Pass(200);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, it.Running(First(kJob, n)));
    CHECK_EQUAL(it.Find(First(kJob))->second.number,
                it.Find(First(kJob, n))->second.number);
  }
}

// Load: small tasks keep coming while a gang waits for half the cell.
TEST(Cell, GangIsNotStarvedBySmallTasks) {
  CellBench it(2);
  const auto small = [](int n) {
    constexpr size_t kLength = 17;
    char name[kLength];
    snprintf(name, sizeof(name), "%016x", 0x100 + n);
    return std::string(name);
  };
  constexpr int kFull = 16;
  constexpr int kMore = 40;
  for (int n = 0; n < kFull; ++n) {
    it.Submit(small(n), CellBench::Tasks(1, 1000));
  }
  it.Submit(kJob, R"({"spec":"x","steps":[{"count":2,"cpu":8000,"memMb":100,)"
                  R"("estimateMs":4000,"gang":true}]})");
  for (int n = 0; n < kMore; ++n) {
    it.Submit(small(kFull + n), CellBench::Tasks(1, 1000));
    const auto run = it.Find(First(small(n).c_str()));
    if (run) {
      it.backends.at(run->first).End(run->second, RunEnd::kDone);
    }
    it.Pass(100);
  }
  CHECK_EQUAL(1, it.Running(First(kJob, 0)));
  CHECK_EQUAL(1, it.Running(First(kJob, 1)));
}

// Load: few servers have a label that many steps need, and gangs wait there one
// after the other. The room kept for them lay idle while short work waited.
TEST(Cell, ShortTasksUseRoomThatAGangStillWaitsFor) {
  CellBench it(1);
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
  it.Pass(200);
  CHECK_EQUAL(1, it.Running(First(short_job)));
  CHECK_EQUAL(0, it.Running(First(long_job)));
}

// Load: as before, in a cell that is nearly empty but for those few servers;
// the estimates say again and again that the gang is about to start.
TEST(Cell, GangsDoNotHoldOthersUpForLongInANearlyEmptyCell) {
  CellBench it(4);
  const std::string needs_rare = LabelFirstServer(&it);
  it.Submit(kOther, CellBench::Tasks(1, 6000, needs_rare));
  it.Submit(kJob, CellBench::Tasks(1, 8000, needs_rare + R"(,"gang":true)"));
  const char* const small = "00000000000000a3";
  it.Submit(small, CellBench::Tasks(1, 1000, needs_rare));
  it.Pass(1000);
  CHECK_EQUAL(0, it.Running(First(small)));
  it.Pass(1000);
  CHECK_EQUAL(1, it.Running(First(small)));
}

TEST(Cell, BrokenGangStartsAnewWithAHigherRun) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(4, 4000, R"(,"gang":true)"));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).End(run->second, RunEnd::kFailed);
  it.Pass(500);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, it.Running(First(kJob, n)));
    CHECK(it.Find(First(kJob, n))->second.number > run->second.number);
  }
}

// Load: the owner dies between the starts of a gang.
TEST(Cell, HalfAGangOfAFormerOwnerIsStoppedAndStartsAnew) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(4, 4000, R"(,"gang":true)"));
  const auto lost = it.Find(First(kJob, 3));
  it.backends.at(lost->first).running.erase(lost->second);
  it.Open(2);
  it.Pass(600);
  for (uint32_t n = 0; n < 4; ++n) {
    CHECK_EQUAL(1, it.Running(First(kJob, n)));
    CHECK_EQUAL(it.Find(First(kJob))->second.number,
                it.Find(First(kJob, n))->second.number);
  }
}

// Load: orders to one backend server get no answer while a gang starts.
TEST(Cell, GangWithAnUnansweredStartIsTakenApartAtOnce) {
  CellBench it(2);
  it.backends.begin()->second.reachable = false;
  it.Submit(kJob, CellBench::Tasks(4, 4000, R"(,"gang":true)"));
  for (const auto& backend : it.backends) {
    CHECK_EQUAL(0U, backend.second.running.size());
  }
}

// Load: members of a gang end at different times and wait for the last one.
TEST(Cell, GangMemberThatIsDoneIsNotTakenAsStandingStill) {
  CellBench it(1);
  it.Submit(kJob, R"({"spec":"x","steps":[{"count":2,"cpu":1000,"memMb":100,)"
                  R"("estimateMs":6000,"gang":true}]})");
  it.Pass(4000);
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).idle_runs.insert(run->second);
  it.Pass(4000);
  CHECK(it.stop_log.empty());
}

TEST(Cell, TaskThatStandsStillStartsElsewhere) {
  CellBench it(2);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).idle_runs.insert(run->second);
  it.Pass(4500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->first != run->first);
}

// Load: the advice service is overloaded and says so at once.
TEST(Cell, AdviceGivenAtOnceIsNotWaitedFor) {
  CellBench it(2);
  it.config->queues[0].advice = AdvicePolicy{10, 1, 2000};
  it.cell->SetConfig(it.config);
  bool overloaded = true;
  it.port.on_question = [&](const FakeCellPort::Question& question) {
    platform::AdviceAnswer answer;
    answer.answered = !overloaded;
    answer.overloaded = overloaded;
    if (!overloaded) {
      for (const auto& id : question.backends) {
        answer.good.push_back({id, "ticket"});
      }
    }
    it.cell->OnAdvice(question.step, question.backends, answer, it.now);
  };
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  it.Pass(300);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  overloaded = false;
  it.Pass(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  STRCMP_EQUAL("ticket", it.log.back().order.ticket.c_str());
}

TEST(Cell, LeavingBackendServerGetsNothingNew) {
  CellBench it(2);
  auto leaving = it.backends.begin()->second.entry;
  leaving.draining = true;
  it.cell->SetBackend(leaving, it.now);
  it.Submit(kJob, CellBench::Tasks(4, 1000));
  it.Pass(200);
  CHECK_EQUAL(0U, it.backends.begin()->second.running.size());
}

TEST(Cell, WorkThatWouldOutlastALeavingBackendServerMoves) {
  CellBench it(2);
  it.Submit(kJob, R"({"spec":"x","steps":[{"cpu":1000,"estimateMs":6000}]})");
  it.Submit(kOther, R"({"spec":"x","steps":[{"cpu":1000,"estimateMs":900}]})");
  const auto run = it.Find(First(kJob));
  auto leaving = it.backends.at(run->first).entry;
  leaving.draining = true;
  leaving.remaining_ms = 2000;
  it.cell->SetBackend(leaving, it.now);
  it.Pass(500);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK(it.Find(First(kJob))->first != run->first);
  CHECK_EQUAL(1U, it.Find(First(kOther))->second.number);
}

TEST(Cell, EndedJobIsKnownToTheNextOwner) {
  CellBench it(1);
  it.Submit(kJob, CellBench::Tasks(1, 1000));
  const auto run = it.Find(First(kJob));
  it.backends.at(run->first).End(run->second, RunEnd::kDone);
  it.Pass(300);
  it.Open(2);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  it.Pass(300);
  CHECK_EQUAL(0, it.Running(First(kJob)));
}

TEST(Cell, OccurrencesStartAtTheirTimes) {
  CellBench it(2);
  const std::string body = R"({"spec":"x","startAtMs":)" +
                           std::to_string(it.wall_ms + 500) +
                           R"(,"repeatCount":2,"intervalMs":1000,)"
                           R"("steps":[{"cpu":1000,"estimateMs":100}]})";
  it.Submit(kJob, body);
  it.Pass(400);
  CHECK_EQUAL(0, it.Running(First(kJob)));
  it.Pass(200);
  CHECK_EQUAL(1, it.Running(First(kJob)));
  CHECK_EQUAL(0, it.Running({JobId(kJob), 1, 0, 0}));
  it.Pass(1000);
  CHECK_EQUAL(1, it.Running({JobId(kJob), 1, 0, 0}));
}

}  // namespace bw::test
