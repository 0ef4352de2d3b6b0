// Jobs of one shard, with stand-ins at the interface.
#include "../src/job_board_base.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include "support/fake_port.h"

namespace bw::test {
namespace {

using Json = nlohmann::json;

constexpr ShardId kShard{0};
constexpr Duration kLease = milliseconds(10'000);

/// A board with one known worker of eight cores. Team "t0" has the queue "q"
/// (priority 5); "urgent" is added with priority 9.
struct Bench {
  FakePort port;
  TeamUsage usage{kShard};
  JobBoard board{kShard, &port, &usage, kLease};
  std::vector<WorkOutcome> outcomes;
  uint64_t clock_ms = 1;

  Bench() {
    port.Publish(1, 1000);
    auto& queues = port.state.accounts.at(TeamId("t0")).queues;
    queues[QueueId("urgent")].priority = 9;
    queues[QueueId("urgent")].strategy = "best_fit";
    board.OnGained(false);
    board.OnInstances({MakeWorker("w0", 8000, 0)});
    board.Tick();
    Report(Json::array());
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

  /// Answers the oldest question for the worker's list.
  bool Report(const Json& tasks) {
    const auto answer =
        Answered(200, Json{{"now_ms", clock_ms}, {"tasks", tasks}}.dump());
    return port.Answer("/renew", answer) || port.Answer("/tasks", answer);
  }

  static Json Task(const std::string& id, bool ended, bool ok) {
    return {{"id", id}, {"ended", ended}, {"ok", ok}};
  }

  void StartAll() {
    while (port.Answer("/tasks", Answered(200, "{}"))) {
    }
  }

  void Pass(int ms) {
    port.now += milliseconds(ms);
    clock_ms += static_cast<uint64_t>(ms);
    board.Tick();
  }
};

}  // namespace

TEST_GROUP(JobBoard){};

TEST(JobBoard, NeverMoreThanTheWorkerHolds) {
  Bench bench;
  bench.Submit("j0.a", "q", JobKind::kBatch, 5, 2000);
  LONGS_EQUAL(4, bench.port.Waiting("/tasks"));
  LONGS_EQUAL(1, bench.board.Waiting());
}

TEST(JobBoard, UrgentWorkMakesBatchTasksGiveWay) {
  Bench bench;
  bench.Submit("j0.batch", "q", JobKind::kBatch, 4, 2000);
  bench.StartAll();
  bench.Submit("j0.now", "urgent", JobKind::kBatch, 1, 3000);
  LONGS_EQUAL(2, bench.port.Waiting("/checkpoint"));
  bench.port.Answer("/checkpoint", Answered(200, "{}"));
  bench.port.Answer("/checkpoint", Answered(200, "{}"));
  LONGS_EQUAL(1, bench.port.Waiting("/renew"));
  bench.Report(Json::array({Bench::Task("j0.batch/0", false, false),
                            Bench::Task("j0.batch/1", false, false),
                            Bench::Task("j0.batch/2", true, false),
                            Bench::Task("j0.batch/3", true, false)}));
  // The second stop may still be on its way; nothing more gives way for it.
  LONGS_EQUAL(0, bench.port.Waiting("/checkpoint"));
  LONGS_EQUAL(1, bench.port.Waiting("/tasks"));
  STRCMP_CONTAINS("j0.now/0", bench.port.calls.back().call.body.c_str());
}

TEST(JobBoard, StopThatMissedTheListIsAskedForAgain) {
  Bench bench;
  bench.Submit("j0.batch", "q", JobKind::kBatch, 4, 2000);
  bench.StartAll();
  bench.Pass(2500);  // A renewal is on its way when room is needed.
  LONGS_EQUAL(1, bench.port.Waiting("/renew"));
  bench.Submit("j0.now", "urgent", JobKind::kBatch, 1, 2000);
  bench.port.Answer("/checkpoint", Answered(200, "{}"));
  Json all = Json::array();
  for (int n = 0; n < 4; ++n) {
    all.push_back(Bench::Task("j0.batch/" + std::to_string(n), false, false));
  }
  bench.Report(all);
  bench.Pass(300);
  LONGS_EQUAL(1, bench.port.Waiting("/renew"));
  const Json asked = Json::parse(bench.port.calls.back().call.body);
  CHECK(!asked["stop"].empty());
}

TEST(JobBoard, TaskStartsAgainOnlyWhereItsEndIsForgotten) {
  Bench bench;
  bench.Submit("j0.a", "q", JobKind::kBatch, 1, 1000);
  bench.StartAll();
  bench.Pass(2500);
  bench.Report(Json::array({Bench::Task("j0.a/0", true, false)}));
  LONGS_EQUAL(0, bench.port.Waiting("/tasks"));
  bench.Pass(300);
  bench.Report(Json::array());
  // That worker failed it, so it is not chosen again, but for another job.
  bench.Submit("j0.b", "q", JobKind::kBatch, 1, 1000);
  LONGS_EQUAL(1, bench.port.Waiting("/tasks"));
}

TEST(JobBoard, ServicesAndRunOnceTasksDoNotGiveWay) {
  Bench bench;
  bench.Submit("j0.service", "q", JobKind::kService, 2, 2000);
  bench.Submit("j0.once", "q", JobKind::kBatch, 2, 2000, 0, false);
  for (size_t n = 0; n < bench.port.appended.size(); ++n) {
    if (bench.port.appended[n].kind == JobRecordKind::kStarted) {
      bench.board.OnEvent(bench.port.appended[n]);
    }
  }
  bench.StartAll();
  bench.Submit("j0.now", "urgent", JobKind::kBatch, 1, 3000);
  LONGS_EQUAL(0, bench.port.Waiting("/checkpoint"));
}

TEST(JobBoard, GangGetsAReservationThatEndsAndShortWorkFillsIn) {
  Bench bench;
  bench.Submit("j0.long", "q", JobKind::kBatch, 1, 4000);
  bench.StartAll();
  bench.Submit("j0.gang", "q", JobKind::kGang, 2, 4000);
  LONGS_EQUAL(0, bench.port.Waiting("/tasks"));
  bench.Pass(1600);
  bench.Submit("j0.late", "q", JobKind::kBatch, 1, 1000, 60'000);
  LONGS_EQUAL(0, bench.port.Waiting("/tasks"));
  bench.Submit("j0.short", "q", JobKind::kBatch, 1, 1000, 500);
  LONGS_EQUAL(1, bench.port.Waiting("/tasks"));
  bench.Pass(7000);
  bench.Report(Json::array({Bench::Task("j0.long/0", false, false)}));
  CHECK(bench.port.Waiting("/tasks") >= 2);  // The reservation has ended.
}

TEST(JobBoard, UnansweredStartIsSettledByTheWorkersClockAndList) {
  Bench bench;
  bench.Submit("j0.a", "q", JobKind::kBatch, 1, 1000);
  bench.port.Answer("/tasks", {net::CallFate::kUnknown, 0, "", ""});
  bench.Pass(300);
  bench.Report(Json::array());  // Its deadline has not passed over there.
  LONGS_EQUAL(1, bench.usage.Running(TeamId("t0")));
  bench.Pass(3000);
  bench.Report(Json::array());
  LONGS_EQUAL(1, bench.port.Waiting("/tasks"));  // Started anew.
}

TEST(JobBoard, RunOnceTaskOfAFormerOwnerIsUnknownUnlessItIsSeen) {
  Bench former;
  former.Submit("j0.once", "q", JobKind::kBatch, 2, 1000, 0, false);
  Bench next;
  next.port.jobs = former.port.jobs;
  next.board.OnGained(true);
  next.board.OnInstances({MakeWorker("w0", 8000, 0)});
  next.Pass(300);
  next.Report(Json::array({Bench::Task("j0.once/1", false, false)}));
  next.Pass(300);
  const auto status = next.board.Query(JobId("j0.once"), TeamId("t0"), false);
  const Json tasks = Json::parse(status.body)["tasks"];
  LONGS_EQUAL(1, tasks["unknown"].get<int>());
  LONGS_EQUAL(1, tasks["running"].get<int>());
}

TEST(JobBoard, AcceptedOnlyWhenTheRecordIsStored) {
  Bench bench;
  bench.port.append_fate = platform::AppendFate::kNotSent;
  bench.Submit("j0.a", "q", JobKind::kBatch, 1, 1000);
  CHECK(bench.outcomes.at(0).error == ErrorCode::kLogUnavailable);
  bench.port.append_fate = platform::AppendFate::kUnknown;
  bench.Submit("j0.b", "q", JobKind::kBatch, 1, 1000);
  CHECK(bench.outcomes.at(1).error == ErrorCode::kOutcomeUnknown);
  bench.port.append_fate = platform::AppendFate::kStored;
  bench.Submit("j0.c", "q", JobKind::kBatch, 1, 1000);
  LONGS_EQUAL(202, bench.outcomes.at(2).status);
}

}  // namespace bw::test
