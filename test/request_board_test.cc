// Tests of RequestBoard with a fake ShardPort.
#include "../src/request_board_base.h"

#include <CppUTest/TestHarness.h>

#include "support/fake_port.h"

namespace bw::test {
namespace {

constexpr ShardId kShard{0};
constexpr const char* kIdle = R"({"now_ms":1000,"running":[]})";

/// A board with one runner of two slots that has been polled.
struct Fixture {
  FakePort port;
  TeamUsage usage{kShard};
  RequestBoard board{kShard, &port, &usage};
  std::vector<WorkOutcome> outcomes;

  explicit Fixture(uint64_t limit = 100, uint64_t max_waiting = 1000) {
    port.Publish(3, limit, max_waiting);
    board.OnOwnershipGained(false);
    board.OnInstances({MakeRunner("r0", 2)});
    port.Respond("/load", MakeResponse(200, kIdle));
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
  void Advance(int ms) {
    port.now += milliseconds(ms);
    board.Tick();
  }
};

}  // namespace

TEST_GROUP(RequestBoard){};

TEST(RequestBoard, NeverMoreThanTheSlots) {
  Fixture fixture;
  for (int n = 0; n < 5; ++n) {
    fixture.Submit(std::to_string(n), 0);
  }
  LONGS_EQUAL(2, fixture.port.CountPending("/run"));
  fixture.port.Respond("/run", MakeResponse(200, "ok"));
  LONGS_EQUAL(2, fixture.port.CountPending("/run"));
  LONGS_EQUAL(1, fixture.outcomes.size());
}

TEST(RequestBoard, UnknownKeepsItsSlotUntilTheRunnersListClearsIt) {
  Fixture fixture;
  fixture.Submit("1", 0);
  fixture.port.Respond("/run", {net::DeliveryStatus::kUnknown, 0, "", ""});
  CHECK(fixture.outcomes[0].error == ErrorCode::kOutcomeUnknown);
  LONGS_EQUAL(1, fixture.usage.Running(TeamId("t0")));
  fixture.port.now += milliseconds(10);
  fixture.port.Respond(
      "/load", MakeResponse(200, R"({"now_ms":1500,"running":["t0:test:1"]})"));
  LONGS_EQUAL(1, fixture.usage.Running(TeamId("t0")));
  // Not listed, but the runner's clock is still before the latest start time.
  fixture.Advance(300);
  fixture.port.Respond("/load",
                       MakeResponse(200, R"({"now_ms":1600,"running":[]})"));
  LONGS_EQUAL(1, fixture.usage.Running(TeamId("t0")));
  fixture.Advance(3000);
  fixture.port.Respond("/load",
                       MakeResponse(200, R"({"now_ms":9000,"running":[]})"));
  LONGS_EQUAL(0, fixture.usage.Running(TeamId("t0")));
}

TEST(RequestBoard, NotSentGoesToAnotherRunnerOrIsRefused) {
  Fixture fixture;
  fixture.Submit("1", 0);
  fixture.port.Respond("/run", {net::DeliveryStatus::kNotSent, 0, "", ""});
  LONGS_EQUAL(1, fixture.port.CountPending("/run"));
  fixture.port.now += milliseconds(6000);
  fixture.port.Respond("/run", {net::DeliveryStatus::kNotSent, 0, "", ""});
  CHECK(fixture.outcomes[0].error == ErrorCode::kExpired);
}

TEST(RequestBoard, TeamAtItsLimitDoesNotBlockOthers) {
  Fixture fixture(1);
  fixture.Submit("1", 0);
  fixture.Submit("2", 0);
  fixture.Submit("3", 1);
  LONGS_EQUAL(2, fixture.port.CountPending("/run"));
  LONGS_EQUAL(1, fixture.usage.Running(TeamId("t0")));
  LONGS_EQUAL(1, fixture.usage.Running(TeamId("t1")));
  fixture.Advance(6000);
  CHECK(fixture.outcomes.at(0).error == ErrorCode::kOverLimit);
}

TEST(RequestBoard, KeyWithdrawnWhileWaitingIsNotSent) {
  Fixture fixture;
  for (int n = 0; n < 3; ++n) {
    fixture.Submit(std::to_string(n), 0);
  }
  fixture.port.state.teams_by_key.clear();
  fixture.port.Respond("/run", MakeResponse(200, "ok"));
  CHECK(fixture.outcomes.at(0).error == ErrorCode::kUnknownKey ||
        fixture.outcomes.at(1).error == ErrorCode::kUnknownKey);
  LONGS_EQUAL(1, fixture.port.CountPending("/run"));
}

TEST(RequestBoard, FullQueueRefusesAtOnce) {
  Fixture fixture(100, 3);
  for (int n = 0; n < 6; ++n) {
    fixture.Submit(std::to_string(n), 0);
  }
  LONGS_EQUAL(1, fixture.outcomes.size());
  CHECK(fixture.outcomes[0].error == ErrorCode::kQueueFull);
  CHECK(fixture.outcomes[0].retry_after_ms > 0);
}

TEST(RequestBoard, RequestThatWouldExpireIsRefusedAtOnce) {
  Fixture fixture;
  for (int n = 0; n < 60; ++n) {
    fixture.Submit(std::to_string(n), 0);
  }
  LONGS_EQUAL(0, fixture.outcomes.size());
  // Two requests leave the queue every 500 ms: 50 more would take 12 s.
  for (int n = 0; n < 4; ++n) {
    for (int i = 0; i < 2; ++i) {
      fixture.port.Respond("/run", MakeResponse(200, "ok"));
    }
    fixture.Advance(500);
  }
  LONGS_EQUAL(8, fixture.outcomes.size());
  fixture.Submit("late", 0);
  LONGS_EQUAL(9, fixture.outcomes.size());
  CHECK(fixture.outcomes[8].error == ErrorCode::kQueueFull);
  CHECK(fixture.outcomes[8].retry_after_ms > 5000);
  fixture.Submit("other team", 1);  // Its own queue is empty.
  LONGS_EQUAL(9, fixture.outcomes.size());
}

TEST(RequestBoard, IdempotencyKeyGivesTheFirstAnswerAgain) {
  Fixture fixture;
  fixture.Submit("1", 0, "key");
  fixture.Submit("2", 0, "key");
  LONGS_EQUAL(1, fixture.port.CountPending("/run"));
  fixture.port.Respond("/run", MakeResponse(200, "ok"));
  fixture.Submit("3", 0, "key");
  LONGS_EQUAL(3, fixture.outcomes.size());
  for (const auto& it : fixture.outcomes) {
    STRCMP_EQUAL("ok", it.body.c_str());
  }
  LONGS_EQUAL(0, fixture.port.CountPending("/run"));
}

TEST(RequestBoard, NewOwnerDoesNotRunWhatTheFormerOneMayHaveSent) {
  Fixture fixture;
  fixture.Submit("1", 0, "key");
  Fixture next;
  next.port.jobs = fixture.port.jobs;
  next.Submit("2", 0, "key");
  CHECK(next.outcomes.at(0).error == ErrorCode::kOutcomeUnknown);
  LONGS_EQUAL(0, next.port.CountPending("/run"));
}

TEST(RequestBoard, RefusedIdempotencyKeyMayBeUsedAgain) {
  Fixture fixture;
  fixture.port.append_status = platform::AppendStatus::kNotStored;
  fixture.Submit("1", 0, "key");
  CHECK(fixture.outcomes.at(0).error == ErrorCode::kLogUnavailable);
  fixture.port.append_status = platform::AppendStatus::kStored;
  fixture.Submit("2", 0, "key");
  LONGS_EQUAL(1, fixture.port.CountPending("/run"));
}

TEST(RequestBoard, InheritedRunnersCountAsFullUntilTheyAreKnown) {
  FakePort port;
  port.Publish(1, 2);
  TeamUsage usage(kShard);
  RequestBoard board(kShard, &port, &usage);
  board.OnOwnershipGained(true);
  board.OnInstances({MakeRunner("r0", 2)});
  LONGS_EQUAL(0, usage.AvailableUnits(port.state, TeamId("t0")));
  port.Respond("/load",
               MakeResponse(200, R"({"now_ms":5,"running":["t0:old:7"]})"));
  LONGS_EQUAL(1, usage.Running(TeamId("t0")));
  LONGS_EQUAL(1, usage.AvailableUnits(port.state, TeamId("t0")));
}

}  // namespace bw::test
