// Tests of JobBoard with a fake ShardPort.
#include "../src/job_board_base.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "support/fake_port.h"

namespace bw::test {
namespace {

using Json = nlohmann::json;

constexpr ShardId kShard{0};
constexpr Duration kLease = milliseconds(10'000);

/// A board with one worker of eight cores that has reported. Team "t0" has the
/// queues "q" (priority 5) and "urgent" (priority 9).
struct Fixture {
  FakePort port;
  TeamUsage usage{kShard};
  JobBoard board{kShard, &port, &usage, kLease};
  std::vector<WorkOutcome> outcomes;
  uint64_t clock_ms = 1;

  Fixture() {
    port.Publish(1, 1000);
    auto& queues = port.state.accounts.at(TeamId("t0")).queues;
    queues[QueueId("urgent")].priority = 9;
    queues[QueueId("urgent")].strategy = "best_fit";
    board.OnOwnershipGained(false);
    board.OnInstances({MakeWorker("w0", 8000, 0)});
    board.Tick();
    SendReport(Json::array());
  }

  void Submit(const std::string& id,
              const std::string& queue,
              JobKind kind,
              uint32_t tasks,
              uint64_t millicores,
              uint64_t run_ms = 0,
              bool restart = true) {
    JobSpec spec;
    spec.id = JobId(id);
    spec.origin = port.Origin(0);
    spec.origin.queue = QueueId(queue);
    spec.kind = kind;
    spec.tasks = tasks;
    spec.need = {millicores, 0, 0};
    spec.run_ms = run_ms;
    spec.restart = restart;
    const size_t before = port.appended.size();
    board.Submit(spec, port.now + milliseconds(1000),
                 [this](WorkOutcome it) { outcomes.push_back(std::move(it)); });
    if (port.appended.size() > before) {
      board.OnEvent(port.appended[before]);
    }
  }

  /// Responds to the oldest poll of the worker. @return False if there is none.
  bool SendReport(const Json& tasks) {
    const auto response =
        MakeResponse(200, Json{{"now_ms", clock_ms}, {"tasks", tasks}}.dump());
    return port.Respond("/renew", response) || port.Respond("/tasks", response);
  }

  static Json Task(const std::string& id, bool ended, bool ok) {
    return {{"id", id}, {"ended", ended}, {"ok", ok}};
  }

  /// Responds to all pending calls to "/tasks".
  void ConfirmAllStarts() {
    while (port.Respond("/tasks", MakeResponse(200, "{}"))) {
    }
  }

  void Advance(int ms) {
    port.now += milliseconds(ms);
    clock_ms += static_cast<uint64_t>(ms);
    board.Tick();
  }
};

}  // namespace

TEST_GROUP(JobBoard){};

// The record of a cancellation is read back later than the last task ends.
TEST(JobBoard, CancelledJobIsNeverShownAsEnded) {
  Fixture f;
  f.Submit("j1", "q", JobKind::kService, 1, 1000);
  f.ConfirmAllStarts();
  f.port.append_status = platform::AppendStatus::kUnknown;
  const auto state = [&](bool cancel) {
    const auto outcome = f.board.Query(JobId("j1"), TeamId("t0"), cancel);
    return Json::parse(outcome.body).value("state", "");
  };
  STRCMP_EQUAL("cancelled", state(true).c_str());
  f.Advance(3000);
  CHECK(f.SendReport(Json::array({Fixture::Task("j1/0", true, false)})));
  STRCMP_EQUAL("cancelled", state(false).c_str());
  f.port.append_status = platform::AppendStatus::kStored;
  JobEvent event;
  event.kind = JobRecordKind::kCancelled;
  event.job = JobId("j1");
  ApplyJobRecord(&f.port.jobs, f.port.jobs.version, WriteJobEvent(event));
  f.board.OnEvent(event);
  STRCMP_EQUAL("cancelled", state(false).c_str());
}

TEST(JobBoard, NeverMoreThanTheWorkerHolds) {
  Fixture fixture;
  fixture.Submit("j0.a", "q", JobKind::kBatch, 5, 2000);
  LONGS_EQUAL(4, fixture.port.CountPending("/tasks"));
  LONGS_EQUAL(1, fixture.board.Waiting());
}

TEST(JobBoard, UrgentWorkPreemptsBatchTasks) {
  Fixture fixture;
  fixture.Submit("j0.batch", "q", JobKind::kBatch, 4, 2000);
  fixture.ConfirmAllStarts();
  fixture.Submit("j0.now", "urgent", JobKind::kBatch, 1, 3000);
  LONGS_EQUAL(2, fixture.port.CountPending("/checkpoint"));
  fixture.port.Respond("/checkpoint", MakeResponse(200, "{}"));
  fixture.port.Respond("/checkpoint", MakeResponse(200, "{}"));
  LONGS_EQUAL(1, fixture.port.CountPending("/renew"));
  fixture.SendReport(Json::array({Fixture::Task("j0.batch/0", false, false),
                                  Fixture::Task("j0.batch/1", false, false),
                                  Fixture::Task("j0.batch/2", true, false),
                                  Fixture::Task("j0.batch/3", true, false)}));
  // The second stop may not have been sent yet; that causes no further
  // preemption.
  LONGS_EQUAL(0, fixture.port.CountPending("/checkpoint"));
  LONGS_EQUAL(1, fixture.port.CountPending("/tasks"));
  STRCMP_CONTAINS("j0.now/0", fixture.port.calls.back().call.body.c_str());
}

TEST(JobBoard, StopAddedDuringARenewalGoesWithTheNextOne) {
  Fixture fixture;
  fixture.Submit("j0.batch", "q", JobKind::kBatch, 4, 2000);
  fixture.ConfirmAllStarts();
  fixture.Advance(2500);  // A renewal is in flight before the preemption.
  LONGS_EQUAL(1, fixture.port.CountPending("/renew"));
  fixture.Submit("j0.now", "urgent", JobKind::kBatch, 1, 2000);
  fixture.port.Respond("/checkpoint", MakeResponse(200, "{}"));
  Json all = Json::array();
  for (int n = 0; n < 4; ++n) {
    all.push_back(Fixture::Task("j0.batch/" + std::to_string(n), false, false));
  }
  fixture.SendReport(all);
  fixture.Advance(300);
  LONGS_EQUAL(1, fixture.port.CountPending("/renew"));
  const Json renewal = Json::parse(fixture.port.calls.back().call.body);
  CHECK(!renewal["stop"].empty());
}

TEST(JobBoard, TaskRestartsOnlyWhereItsEndIsAcknowledged) {
  Fixture fixture;
  fixture.Submit("j0.a", "q", JobKind::kBatch, 1, 1000);
  fixture.ConfirmAllStarts();
  fixture.Advance(2500);
  fixture.SendReport(Json::array({Fixture::Task("j0.a/0", true, false)}));
  LONGS_EQUAL(0, fixture.port.CountPending("/tasks"));
  fixture.Advance(300);
  fixture.SendReport(Json::array());
  // The worker failed the task, so it is excluded for this job, but not for
  // another one.
  fixture.Submit("j0.b", "q", JobKind::kBatch, 1, 1000);
  LONGS_EQUAL(1, fixture.port.CountPending("/tasks"));
}

TEST(JobBoard, ServicesAndRunOnceTasksAreNotPreempted) {
  Fixture fixture;
  fixture.Submit("j0.service", "q", JobKind::kService, 2, 2000);
  fixture.Submit("j0.once", "q", JobKind::kBatch, 2, 2000, 0, false);
  for (size_t n = 0; n < fixture.port.appended.size(); ++n) {
    if (fixture.port.appended[n].kind == JobRecordKind::kStarted) {
      fixture.board.OnEvent(fixture.port.appended[n]);
    }
  }
  fixture.ConfirmAllStarts();
  fixture.Submit("j0.now", "urgent", JobKind::kBatch, 1, 3000);
  LONGS_EQUAL(0, fixture.port.CountPending("/checkpoint"));
}

TEST(JobBoard, GangGetsAReservationThatEndsAndShortWorkFillsIn) {
  Fixture fixture;
  fixture.Submit("j0.long", "q", JobKind::kBatch, 1, 4000);
  fixture.ConfirmAllStarts();
  fixture.Submit("j0.gang", "q", JobKind::kGang, 2, 4000);
  LONGS_EQUAL(0, fixture.port.CountPending("/tasks"));
  fixture.Advance(1600);
  fixture.Submit("j0.late", "q", JobKind::kBatch, 1, 1000, 60'000);
  LONGS_EQUAL(0, fixture.port.CountPending("/tasks"));
  fixture.Submit("j0.short", "q", JobKind::kBatch, 1, 1000, 500);
  LONGS_EQUAL(1, fixture.port.CountPending("/tasks"));
  fixture.Advance(7000);
  fixture.SendReport(Json::array({Fixture::Task("j0.long/0", false, false)}));
  // The reservation has expired.
  CHECK(fixture.port.CountPending("/tasks") >= 2);
}

TEST(JobBoard, UnansweredStartIsSettledByTheWorkersClockAndList) {
  Fixture fixture;
  fixture.Submit("j0.a", "q", JobKind::kBatch, 1, 1000);
  fixture.port.Respond("/tasks", {net::DeliveryStatus::kUnknown, 0, "", ""});
  fixture.Advance(300);
  // The start deadline has not passed by the worker's clock.
  fixture.SendReport(Json::array());
  LONGS_EQUAL(1, fixture.usage.Running(TeamId("t0")));
  fixture.Advance(3000);
  fixture.SendReport(Json::array());
  LONGS_EQUAL(1, fixture.port.CountPending("/tasks"));  // Started again.
}

TEST(JobBoard, RunOnceTaskOfAFormerOwnerIsUnknownUnlessItIsSeen) {
  Fixture former;
  former.Submit("j0.once", "q", JobKind::kBatch, 2, 1000, 0, false);
  Fixture next;
  next.port.jobs = former.port.jobs;
  next.board.OnOwnershipGained(true);
  next.board.OnInstances({MakeWorker("w0", 8000, 0)});
  next.Advance(300);
  next.SendReport(Json::array({Fixture::Task("j0.once/1", false, false)}));
  next.Advance(300);
  const auto status = next.board.Query(JobId("j0.once"), TeamId("t0"), false);
  const Json tasks = Json::parse(status.body)["tasks"];
  LONGS_EQUAL(1, tasks["unknown"].get<int>());
  LONGS_EQUAL(1, tasks["running"].get<int>());
}

TEST(JobBoard, AcceptedOnlyWhenTheRecordIsStored) {
  Fixture fixture;
  fixture.port.append_status = platform::AppendStatus::kNotStored;
  fixture.Submit("j0.a", "q", JobKind::kBatch, 1, 1000);
  CHECK(fixture.outcomes.at(0).error == ErrorCode::kLogUnavailable);
  fixture.port.append_status = platform::AppendStatus::kUnknown;
  fixture.Submit("j0.b", "q", JobKind::kBatch, 1, 1000);
  CHECK(fixture.outcomes.at(1).error == ErrorCode::kOutcomeUnknown);
  fixture.port.append_status = platform::AppendStatus::kStored;
  fixture.Submit("j0.c", "q", JobKind::kBatch, 1, 1000);
  LONGS_EQUAL(202, fixture.outcomes.at(2).status);
}

}  // namespace bw::test
