// Tests of what the cell concludes from the reports of backend servers.
#include <CppUTest/TestHarness.h>

#include "../src/cell_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";
constexpr int kTasks = 5;

/// Ends all runs on a backend server.
void EndAll(FakeBackend* backend, RunEnd how) {
  while (!backend->running.empty()) {
    const RunRef run = backend->running.begin()->first;
    backend->End(run, how);
  }
}

/// A cell with one backend server, whose reports list two ends at most.
struct ShortLists {
  ShortLists() : it(1), backend(it.backends.begin()->second) {
    backend.max_listed_ends = 2;
    it.Submit(kJob, CellHarness::Tasks(kTasks, 1000));
  }

  CellHarness it;
  FakeBackend& backend;
};

/// A perpetual task in its second run. The end of its first one, as done, on
/// another backend server was not acknowledged.
struct PerpetualTask {
  PerpetualTask()
      : it(2), task{JobId(kJob), 0, 0, 0}, first(FirstServer(&it, task)) {
    const RunRef run = first.running.begin()->first;
    it.cell->DropBackend(first.entry.id);  // The task runs elsewhere next.
    first.End(run, RunEnd::kDone);
    const auto ends = first.ended;
    it.Advance(1000);
    first.ended = ends;
    it.cell->SetBackend(first.entry, it.now);
  }

  static FakeBackend& FirstServer(CellHarness* it, const TaskRef& task) {
    it->Submit(kJob, CellHarness::Tasks(1, 1000, R"(,"perpetual":true)"));
    return it->backends.at(it->Find(task)->first);
  }

  CellHarness it;
  TaskRef task;
  FakeBackend& first;
};

/// The first of two steps of a job runs, on a queue with advice that is removed
/// from the configuration.
struct RemovedQueue {
  explicit RemovedQueue(bool advice_when_accepted) : it(1) {
    it.port.on_advice_query = [this](const FakeCellPort::AdviceQuery& query) {
      platform::AdviceResponse response;
      response.answered = true;
      for (const auto& id : query.backends) {
        response.recommended.push_back({id, "ticket"});
      }
      it.cell->OnAdviceResponse(query.step, query.backends, response, it.now);
    };
    if (advice_when_accepted) {
      it.config->queues[0].advice = AdvicePolicy{10, 1, 2000};
    }
    it.cell->SetConfig(it.config);
    it.Submit(kJob, R"({"spec":"x","steps":[{"cpu":1000,"estimateMs":500},)"
                    R"({"cpu":1000,"estimateMs":500,"dependsOn":[0]}]})");
    Backend().needs_ticket = true;
    it.config->queues.clear();
    it.cell->SetConfig(it.config);
    it.StartOwner(2);
    it.Advance(200);
    EndAll(&Backend(), RunEnd::kDone);
    it.Advance(1000);
  }

  FakeBackend& Backend() { return it.backends.begin()->second; }

  CellHarness it;
};

}  // namespace

TEST_GROUP(CellReport){};

// A backend server ends more runs than it lists at once while no owner acts.
// The next owner started the tasks again whose ends were not listed yet.
TEST(CellReport, EndsBeyondTheListAreNotRunAgainByTheNextOwner) {
  ShortLists s;
  EndAll(&s.backend, RunEnd::kDone);
  s.it.StartOwner(2);
  s.it.Advance(1000);
  CHECK_EQUAL(static_cast<size_t>(kTasks), s.it.start_log.size());
  STRCMP_EQUAL("completed", s.it.State(kJob).c_str());
}

// As above with an owner that stays.
TEST(CellReport, EndsBeyondTheListAreNotRunAgain) {
  ShortLists s;
  s.it.Advance(100);
  EndAll(&s.backend, RunEnd::kDone);
  s.it.Advance(1000);
  CHECK_EQUAL(static_cast<size_t>(kTasks), s.it.start_log.size());
  STRCMP_EQUAL("completed", s.it.State(kJob).c_str());
}

// Runs that last are renewed while the ends of others are still being listed.
TEST(CellReport, LeasesAreRenewedWhileEndsAreBeingListed) {
  ShortLists s;
  const RunRef lasting = s.backend.running.begin()->first;
  while (s.backend.running.size() > 1) {
    const RunRef run = s.backend.running.rbegin()->first;
    s.backend.End(run, RunEnd::kDone);
  }
  s.it.StartOwner(2);
  s.it.store_enabled = false;  // No end is acknowledged.
  s.it.Advance(12'000);
  CHECK(s.backend.running.contains(lasting));
}

// The backend server is lost before it has listed all ends. Tasks whose fate
// stays unknown were never started again.
TEST(CellReport, TasksOfAServerLostWhileItListsItsEndsStartElsewhere) {
  ShortLists s;
  s.it.AddBackend(1);
  EndAll(&s.backend, RunEnd::kDone);
  s.it.StartOwner(2);
  s.backend.reachable = false;
  s.it.cell->DropBackend(s.backend.entry.id);
  s.it.Advance(13'000);
  CHECK(s.it.start_log.size() > kTasks);
  EndAll(&s.it.backends.at(BackendId("b1")), RunEnd::kDone);
  s.it.Advance(500);
  STRCMP_EQUAL("completed", s.it.State(kJob).c_str());
}

// A perpetual task ended as done, was started again, and its first end was not
// acknowledged. Each owner that read the end again started a further run.
TEST(CellReport, FormerEndOfAPerpetualTaskDoesNotStartItBesideItsRun) {
  PerpetualTask s;
  s.first.reachable = false;  // Its report comes last.
  s.it.StartOwner(2);
  s.it.Advance(100);
  s.first.reachable = true;
  s.it.Advance(1000);
  CHECK_EQUAL(1, s.it.Running(s.task));
  CHECK_EQUAL(2U, s.it.start_log.size());
}

// As above; the owner stays and the backend server's entry comes back.
TEST(CellReport, FormerEndOfAPerpetualTaskThatIsListedAgainChangesNothing) {
  PerpetualTask s;
  s.it.cell->DropBackend(s.first.entry.id);
  s.it.Advance(100);
  s.it.cell->SetBackend(s.first.entry, s.it.now);
  s.it.Advance(1000);
  CHECK_EQUAL(1, s.it.Running(s.task));
  CHECK_EQUAL(2U, s.it.start_log.size());
}

TEST(CellReport, PerpetualTaskThatEndsWhileNoOwnerActsIsStartedAgain) {
  PerpetualTask s;
  const auto run = s.it.Find(s.task);
  s.it.backends.at(run->first).End(run->second, RunEnd::kDone);
  s.it.StartOwner(2);
  s.it.Advance(1000);
  CHECK_EQUAL(1, s.it.Running(s.task));
  STRCMP_EQUAL("running", s.it.State(kJob).c_str());
}

// A backend server is lost, and polls of it time out. The end of its leases was
// noticed only after the poll that was pending then, up to 0.7 s later (rule
// LOST: at most 7 s without a run).
TEST(CellReport, TasksOfALostServerStartElsewhereAsSoonAsItsLeasesHaveLapsed) {
  constexpr milliseconds kPollTimeout{700};
  // A lease of 6.5 s on a clock that is 2 % slow, 0.1 s of margin, and a tick.
  constexpr milliseconds kLapsed{6'760};
  for (int n = 0; n < 10; ++n) {
    CellHarness it(2);
    it.Submit(kJob, CellHarness::Tasks(1, 1000));
    const TaskRef task{JobId(kJob), 0, 0, 0};
    it.Advance(2000);
    // The first one may have been waiting for a run to end for 1 s.
    milliseconds timeout = kPollTimeout + milliseconds(n * 100);
    FakeBackend& lost = it.backends.at(it.Find(task)->first);
    const Time lost_at = it.now;
    lost.reachable = false;
    lost.holds_polls = true;
    it.cell->DropBackend(lost.entry.id);
    while (it.start_log.size() < 2 && it.now < lost_at + 2 * kLapsed) {
      it.Advance(20);
      while (!it.held_since.empty() &&
             it.now >= it.held_since.front() + timeout) {
        timeout = kPollTimeout;
        const auto report = it.held_reports.front();
        it.held_reports.erase(it.held_reports.begin());
        it.held_since.erase(it.held_since.begin());
        it.cell->OnPollResponse(report.first, report.second, it.now, it.now);
      }
    }
    CHECK(it.now <= lost_at + kLapsed);
  }
}

// A backend server hangs. Jobs placed there were not counted as waiting, though
// none of their tasks had started.
TEST(CellReport, JobsThatNoServerHasStartedAreWaiting) {
  CellHarness it(1);
  it.backends.begin()->second.reachable = false;
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.Advance(2000);
  CHECK(!it.start_log.empty());
  CHECK_EQUAL(1U, it.cell->CountWaiting(QueueId("q")));
  STRCMP_EQUAL("queued", it.State(kJob).c_str());
  it.StartOwner(2);
  it.Advance(500);
  CHECK_EQUAL(1U, it.cell->CountWaiting(QueueId("q")));
  it.backends.begin()->second.reachable = true;
  it.Advance(12'000);
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, 0}));
  CHECK_EQUAL(0U, it.cell->CountWaiting(QueueId("q")));
  STRCMP_EQUAL("running", it.State(kJob).c_str());
}

// The first sign of a run may be its end: its start was not answered.
TEST(CellReport, JobIsNotWaitingOnceARunHasEnded) {
  CellHarness it(1);
  FakeBackend& backend = it.backends.begin()->second;
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const RunRef run = backend.running.begin()->first;
  backend.End(run, RunEnd::kFailed);
  it.port.may_act = false;  // The task is not started again.
  it.StartOwner(2);
  it.Advance(500);
  CHECK_EQUAL(1U, it.start_log.size());
  CHECK_EQUAL(0U, it.cell->CountWaiting(QueueId("q")));
}

TEST(CellReport, AdoptedRunsJobIsNotWaiting) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  CHECK_EQUAL(0U, it.cell->CountWaiting(QueueId("q")));
  it.StartOwner(2);
  it.Advance(200);
  CHECK_EQUAL(1U, it.start_log.size());
  CHECK_EQUAL(0U, it.cell->CountWaiting(QueueId("q")));
  STRCMP_EQUAL("running", it.State(kJob).c_str());
}

// After the removal of a queue with advice and a change of owner, the next step
// of an accepted job was started without a ticket, again and again.
TEST(CellReport, JobOfARemovedQueueKeepsItsAdvice) {
  RemovedQueue s(/*advice_when_accepted=*/true);
  CHECK_EQUAL(1, s.it.Running({JobId(kJob), 0, 1, 0}));
  CHECK_EQUAL(2U, s.it.start_log.size());
}

// As above; the queue got its advice after the job was accepted.
TEST(CellReport, RejectionForWantOfATicketLeadsToAQueryForAdvice) {
  RemovedQueue s(/*advice_when_accepted=*/false);
  CHECK_EQUAL(1, s.it.Running({JobId(kJob), 0, 1, 0}));
  CHECK(s.it.start_log.size() <= 4);
}

// A job's progress exceeded the largest record of the store. The refusal of the
// append deposed each owner in turn, and the cell stood still.
TEST(CellReport, LargeJobsAreStoredInSeveralRecords) {
  constexpr int kServers = 8;
  constexpr int kManyTasks = 60;
  CellHarness it(kServers);
  it.max_record_bytes = 1024;
  it.StartOwner(2);
  const std::string payload(2000, 'x');
  it.Submit(kJob, R"({"spec":")" + payload + R"(","steps":[{"count":)" +
                      std::to_string(kManyTasks) +
                      R"(,"cpu":1000,"memMb":100,"estimateMs":1000}]})");
  it.Advance(200);
  CHECK_EQUAL(static_cast<size_t>(kManyTasks), it.start_log.size());
  CHECK(it.port.largest_record <= it.max_record_bytes);
  it.StartOwner(3);
  it.Advance(500);
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  CHECK_EQUAL(static_cast<size_t>(kManyTasks), it.start_log.size());
  CHECK(it.start_log.back().order.payload == payload);
  for (auto& backend : it.backends) {
    EndAll(&backend.second, RunEnd::kDone);
  }
  it.Advance(500);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  CHECK(it.port.largest_record <= it.max_record_bytes);
  // The further records are removed with the job.
  for (const auto& record : it.port.stored) {
    CHECK(record.first.find('/') == std::string::npos);
  }
}

}  // namespace bw::test
