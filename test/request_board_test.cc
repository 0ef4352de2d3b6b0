// Outcomes of requests on one shard, with stand-ins at the interface.
#include "../src/request_board_base.h"

#include <CppUTest/TestHarness.h>

#include "support/fake_port.h"

namespace bw::test {
namespace {

constexpr ShardId kShard{0};
constexpr const char* kIdle = R"({"now_ms":1000,"running":[]})";

/// A board with one runner of two slots, whose list has been read.
struct Bench {
  FakePort port;
  TeamUsage usage{kShard};
  RequestBoard board{kShard, &port, &usage};
  std::vector<WorkOutcome> outcomes;

  explicit Bench(uint64_t limit = 100, uint64_t max_waiting = 1000) {
    port.Publish(3, limit, max_waiting);
    board.OnGained(false);
    board.OnInstances({MakeRunner("r0", 2)});
    port.Answer("/load", Answered(200, kIdle));
  }

  void Submit(const std::string& id, int team, const std::string& key = {}) {
    RequestWork work;
    work.id = "t" + std::to_string(team) + ":test:" + id;
    work.origin = port.Origin(team, key);
    work.body = "body";
    work.valid_until = port.now + milliseconds(5000);
    work.max_run = milliseconds(30'000);
    work.reply = [this](WorkOutcome it) { outcomes.push_back(std::move(it)); };
    board.Submit(std::move(work));
  }
  void Pass(int ms) {
    port.now += milliseconds(ms);
    board.Tick();
  }
};

}  // namespace

TEST_GROUP(RequestBoard){};

TEST(RequestBoard, NeverMoreThanTheSlots) {
  Bench bench;
  for (int n = 0; n < 5; ++n) {
    bench.Submit(std::to_string(n), 0);
  }
  LONGS_EQUAL(2, bench.port.Waiting("/run"));
  bench.port.Answer("/run", Answered(200, "ok"));
  LONGS_EQUAL(2, bench.port.Waiting("/run"));
  LONGS_EQUAL(1, bench.outcomes.size());
}

TEST(RequestBoard, UnknownKeepsItsSlotUntilTheRunnersListClearsIt) {
  Bench bench;
  bench.Submit("1", 0);
  bench.port.Answer("/run", {net::CallFate::kUnknown, 0, "", ""});
  CHECK(bench.outcomes[0].error == ErrorCode::kOutcomeUnknown);
  LONGS_EQUAL(1, bench.usage.Running(TeamId("t0")));
  bench.port.now += milliseconds(10);
  bench.port.Answer(
      "/load", Answered(200, R"({"now_ms":1500,"running":["t0:test:1"]})"));
  LONGS_EQUAL(1, bench.usage.Running(TeamId("t0")));
  // It is not listed, but could still start by the runner's clock.
  bench.Pass(300);
  bench.port.Answer("/load", Answered(200, R"({"now_ms":1600,"running":[]})"));
  LONGS_EQUAL(1, bench.usage.Running(TeamId("t0")));
  bench.Pass(3000);
  bench.port.Answer("/load", Answered(200, R"({"now_ms":9000,"running":[]})"));
  LONGS_EQUAL(0, bench.usage.Running(TeamId("t0")));
}

TEST(RequestBoard, NotSentGoesToAnotherRunnerOrIsRefusedTruly) {
  Bench bench;
  bench.Submit("1", 0);
  bench.port.Answer("/run", {net::CallFate::kNotSent, 0, "", ""});
  LONGS_EQUAL(1, bench.port.Waiting("/run"));
  bench.port.now += milliseconds(6000);
  bench.port.Answer("/run", {net::CallFate::kNotSent, 0, "", ""});
  CHECK(bench.outcomes[0].error == ErrorCode::kExpired);
}

TEST(RequestBoard, TeamAtItsLimitHoldsNobodyUp) {
  Bench bench(1);
  bench.Submit("1", 0);
  bench.Submit("2", 0);
  bench.Submit("3", 1);
  LONGS_EQUAL(2, bench.port.Waiting("/run"));
  LONGS_EQUAL(1, bench.usage.Running(TeamId("t0")));
  LONGS_EQUAL(1, bench.usage.Running(TeamId("t1")));
  bench.Pass(6000);
  CHECK(bench.outcomes.at(0).error == ErrorCode::kOverLimit);
}

TEST(RequestBoard, KeyWithdrawnWhileWaitingIsNotSent) {
  Bench bench;
  for (int n = 0; n < 3; ++n) {
    bench.Submit(std::to_string(n), 0);
  }
  bench.port.state.teams_by_key.clear();
  bench.port.Answer("/run", Answered(200, "ok"));
  CHECK(bench.outcomes.at(0).error == ErrorCode::kUnknownKey ||
        bench.outcomes.at(1).error == ErrorCode::kUnknownKey);
  LONGS_EQUAL(1, bench.port.Waiting("/run"));
}

TEST(RequestBoard, FullQueueRefusesAtOnce) {
  Bench bench(100, 3);
  for (int n = 0; n < 6; ++n) {
    bench.Submit(std::to_string(n), 0);
  }
  LONGS_EQUAL(1, bench.outcomes.size());
  CHECK(bench.outcomes[0].error == ErrorCode::kQueueFull);
  CHECK(bench.outcomes[0].retry_after_ms > 0);
}

TEST(RequestBoard, WaitingInVainIsRefusedAtOnce) {
  Bench bench;
  for (int n = 0; n < 60; ++n) {
    bench.Submit(std::to_string(n), 0);
  }
  LONGS_EQUAL(0, bench.outcomes.size());
  // Two requests leave in each half second: 50 more would take 12 s.
  for (int n = 0; n < 4; ++n) {
    for (int i = 0; i < 2; ++i) {
      bench.port.Answer("/run", Answered(200, "ok"));
    }
    bench.Pass(500);
  }
  LONGS_EQUAL(8, bench.outcomes.size());
  bench.Submit("late", 0);
  LONGS_EQUAL(9, bench.outcomes.size());
  CHECK(bench.outcomes[8].error == ErrorCode::kQueueFull);
  CHECK(bench.outcomes[8].retry_after_ms > 5000);
  bench.Submit("other team", 1);  // It waits behind nobody of its own.
  LONGS_EQUAL(9, bench.outcomes.size());
}

TEST(RequestBoard, IdempotencyKeyGivesTheFirstAnswerAgain) {
  Bench bench;
  bench.Submit("1", 0, "key");
  bench.Submit("2", 0, "key");
  LONGS_EQUAL(1, bench.port.Waiting("/run"));
  bench.port.Answer("/run", Answered(200, "ok"));
  bench.Submit("3", 0, "key");
  LONGS_EQUAL(3, bench.outcomes.size());
  for (const auto& it : bench.outcomes) {
    STRCMP_EQUAL("ok", it.body.c_str());
  }
  LONGS_EQUAL(0, bench.port.Waiting("/run"));
}

TEST(RequestBoard, NewOwnerDoesNotRunWhatTheFormerOneMayHaveSent) {
  Bench bench;
  bench.Submit("1", 0, "key");
  Bench next;
  next.port.jobs = bench.port.jobs;
  next.Submit("2", 0, "key");
  CHECK(next.outcomes.at(0).error == ErrorCode::kOutcomeUnknown);
  LONGS_EQUAL(0, next.port.Waiting("/run"));
}

TEST(RequestBoard, RefusedIdempotencyKeyMayBeUsedAgain) {
  Bench bench;
  bench.port.append_fate = platform::AppendFate::kNotSent;
  bench.Submit("1", 0, "key");
  CHECK(bench.outcomes.at(0).error == ErrorCode::kLogUnavailable);
  bench.port.append_fate = platform::AppendFate::kStored;
  bench.Submit("2", 0, "key");
  LONGS_EQUAL(1, bench.port.Waiting("/run"));
}

TEST(RequestBoard, InheritedRunnersCountAsFullUntilTheyAreKnown) {
  FakePort port;
  port.Publish(1, 2);
  TeamUsage usage(kShard);
  RequestBoard board(kShard, &port, &usage);
  board.OnGained(true);
  board.OnInstances({MakeRunner("r0", 2)});
  LONGS_EQUAL(0, usage.Room(port.state, TeamId("t0")));
  port.Answer("/load", Answered(200, R"({"now_ms":5,"running":["t0:old:7"]})"));
  LONGS_EQUAL(1, usage.Running(TeamId("t0")));
  LONGS_EQUAL(1, usage.Room(port.state, TeamId("t0")));
}

}  // namespace bw::test
