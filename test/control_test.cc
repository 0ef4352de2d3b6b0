// State machine of the control stream: every reader reaches the same state and
// the same results.
#include "../src/control_func.h"

#include <CppUTest/TestHarness.h>

#include <numeric>
#include <random>

#include "../src/text_func.h"

namespace bw::test {
namespace {

constexpr const char* kFleet = R"({"zones":"a,b","shards_per_zone":1})";
constexpr const char* kTemplate =
    R"({"keys":"$keys","upper_limit":"$limit","queue.q.priority":"5"})";

std::string AccountBody(int limit, const std::string& key) {
  return R"({"template":"t","limit":")" + std::to_string(limit) +
         R"(","keys":")" + HashApiKey(key) + R"("})";
}

void Apply(ControlState* state, const std::string& record) {
  ApplyRecord(state, state->version, record);
}

ControlState PublishedState(int limit) {
  ControlState state;
  Apply(&state, ChangeRecord("c1", "op",
                             {{"fleet/fleet", 0, kFleet},
                              {"template/t", 0, kTemplate},
                              {"account/team", 0, AccountBody(limit, "k")}}));
  return state;
}

Member MakeMember(const std::string& name,
                  uint64_t incarnation,
                  const std::string& zone) {
  return {InstanceId(name), incarnation, ZoneId(zone), "127.0.0.1:1", 0};
}

uint64_t Sum(const std::vector<uint64_t>& parts) {
  return std::accumulate(parts.begin(), parts.end(), uint64_t{0});
}

}  // namespace

TEST_GROUP(Control){};

TEST(Control, RacingChangesGetOneWinnerAtEveryReader) {
  ControlState state = PublishedState(10);
  const Offset base = state.objects.at("account/team").version;
  const auto first = ApplyRecord(
      &state, state.version,
      ChangeRecord("x", "op1", {{"account/team", base, AccountBody(5, "k")}}));
  const auto second = ApplyRecord(
      &state, state.version,
      ChangeRecord("y", "op2", {{"account/team", base, AccountBody(9, "k")}}));
  CHECK(first->error == ErrorCode::kNone);
  CHECK(second->error == ErrorCode::kConflict);
  CHECK_EQUAL(5, state.accounts.at(TeamId("team")).upper_limit);
}

TEST(Control, RepeatedAppendChangesNothing) {
  ControlState state = PublishedState(10);
  const Offset base = state.objects.at("account/team").version;
  const std::string record =
      ChangeRecord("x", "op", {{"account/team", base, AccountBody(5, "k")}});
  Apply(&state, record);
  const auto accounts = state.accounts;
  CHECK(!ApplyRecord(&state, state.version, record).has_value());
  CHECK(accounts == state.accounts);
}

TEST(Control, InvalidChangeIsRejectedAndLosesNothing) {
  ControlState state = PublishedState(10);
  const auto before = state.accounts;
  const auto result = ApplyRecord(
      &state, state.version,
      ChangeRecord("x", "op", {{"account/other", 0, AccountBody(-5, "k2")}}));
  CHECK(result->error == ErrorCode::kInvalidConfig);
  CHECK(before == state.accounts);
  const auto same_key = ApplyRecord(
      &state, state.version,
      ChangeRecord("y", "op", {{"account/other", 0, AccountBody(5, "k")}}));
  CHECK(same_key->error == ErrorCode::kInvalidConfig);
}

TEST(Control, UnreadableRecordsOnlyMoveTheVersion) {
  ControlState state = PublishedState(10);
  for (const char* it : {"", "null", "[]", "{\"id\":7}", "{\"id\":\"q\"}",
                         R"({"id":"r","kind":"change","changes":[5]})",
                         R"({"id":"s","kind":"move","units":-3})"}) {
    const auto accounts = state.accounts;
    const Offset version = state.version;
    Apply(&state, it);
    CHECK(accounts == state.accounts);
    CHECK_EQUAL(version + 1, state.version);
  }
}

TEST(Control, MoveIsFencedByTheGiversEpoch) {
  ControlState state = PublishedState(10);
  Apply(&state, JoinRecord("j", MakeMember("e0", 1, "a")));
  const Offset epoch = state.shards[0].epoch;
  const AllowanceMove move{TeamId("team"), ShardId{0}, ShardId{1}, 3, epoch};
  Apply(&state, JoinRecord("j2", MakeMember("e0", 2, "a")));
  Apply(&state, MoveRecord("late", move));
  CHECK_EQUAL(5, state.allowances.at(TeamId("team"))[0]);
  Apply(&state, MoveRecord("good", {TeamId("team"), ShardId{0}, ShardId{1}, 3,
                                    state.shards[0].epoch}));
  CHECK_EQUAL(2, state.allowances.at(TeamId("team"))[0]);
  CHECK_EQUAL(8, state.allowances.at(TeamId("team"))[1]);
}

TEST(Control, EvictionNeedsAMemberOfTheSameZone) {
  ControlState state = PublishedState(10);
  const Member a = MakeMember("e0", 1, "a");
  const Member b = MakeMember("e1", 1, "b");
  const Member a2 = MakeMember("e2", 1, "a");
  Apply(&state, JoinRecord("j0", a));
  Apply(&state, JoinRecord("j1", b));
  Apply(&state, EvictRecord("v0", a, b));
  CHECK(state.members.contains(a.id));
  Apply(&state, EvictRecord("v1", a, a2));
  CHECK(state.members.contains(a.id));
  Apply(&state, JoinRecord("j2", a2));
  Apply(&state, EvictRecord("v2", a, a2));
  CHECK(!state.members.contains(a.id));
  CHECK(state.shards[0].owner == a2.id);
  CHECK(state.shards[0].origin == ShardOrigin::kEvicted);
}

TEST(Control, RescaleNeverLetsReadersExceedTheLargerLimit) {
  std::mt19937 random(7);  // NOLINT: a fixed seed is wanted.
  std::vector<uint64_t> parts = SplitEvenly(20, 5);
  for (int n = 0; n < 2000; ++n) {
    const uint64_t limit = random() % 60;
    const auto before = parts;
    parts = Rescale(parts, limit);
    CHECK_EQUAL(limit, Sum(parts));
    for (size_t i = 0; i < parts.size(); ++i) {
      CHECK(limit >= Sum(before) ? parts[i] >= before[i]
                                 : parts[i] <= before[i]);
    }
    if (parts[n % 5] > 0) {
      --parts[n % 5];
      ++parts[(n + 1) % 5];
    }
  }
}

TEST(Control, SnapshotAndTailGiveTheSameStateAsTheWholeStream) {
  std::mt19937 random(11);  // NOLINT
  ControlState whole = PublishedState(12);
  ControlState late;
  const size_t snapshot_at = 100;
  for (size_t n = 0; n < 200; ++n) {
    std::string record;
    const std::string id = "r" + std::to_string(n);
    const std::string name = "e" + std::to_string(random() % 3);
    switch (random() % 4) {
      case 0:
        record = JoinRecord(id, MakeMember(name, n, random() % 2 ? "a" : "b"));
        break;
      case 1:
        record = ChangeRecord(
            id, "op",
            {{"account/team", whole.objects.at("account/team").version,
              AccountBody(static_cast<int>(random() % 50), "k")}});
        break;
      case 2:
        record = MoveRecord(id, {TeamId("team"), ShardId{0}, ShardId{1},
                                 random() % 4, whole.shards[0].epoch});
        break;
      default:
        record = whole.members.empty()
                     ? "junk"
                     : LeaveRecord(id, whole.members.begin()->second);
    }
    Apply(&whole, record);
    if (n == snapshot_at) {
      late = *ParseSnapshotRecord(SnapshotRecord("s", whole));
    } else if (n > snapshot_at) {
      Apply(&late, record);
    }
  }
  CHECK(whole == late);
}

}  // namespace bw::test
