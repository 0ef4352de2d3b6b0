// Scheduling order, rate limits, placement and advice queries, each test with
// the load pattern that it covers; and the parsing of data from other systems.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

#include "../src/advice_pool_base.h"
#include "../src/fit_func.h"
#include "../src/order_func.h"
#include "../src/overload_notice_base.h"
#include "../src/placing_delay_base.h"
#include "../src/platform/backend.h"
#include "../src/platform/configuration.h"
#include "../src/platform/ingress.h"
#include "../src/ready_steps_base.h"
#include "../src/ticket_margin_base.h"
#include "../src/wall_clock_base.h"

namespace bw::test {
namespace {

constexpr Time kStart{std::chrono::hours(1)};

WaitingStep Waiting(uint32_t priority,
                    int64_t objective_in_ms,
                    int64_t remaining_ms) {
  WaitingStep out;
  out.priority = priority;
  out.objective_in_ms = objective_in_ms;
  out.cutoff_in_ms = objective_in_ms + 10'000;
  out.remaining_ms = remaining_ms;
  return out;
}

std::vector<ServerCandidate> Servers(std::vector<uint64_t> free_cores) {
  std::vector<ServerCandidate> out;
  for (size_t n = 0; n < free_cores.size(); ++n) {
    ServerCandidate server;
    server.total = {8000, 8000, 0};
    server.free = {free_cores[n] * 1000, 8000, 0};
    server.rack = static_cast<uint32_t>(n / 2);
    out.push_back(server);
  }
  return out;
}

StepNeed Need(uint64_t cores, uint32_t count) {
  StepNeed out;
  out.task = {cores * 1000, 100, 0};
  out.count = count;
  return out;
}

}  // namespace

TEST_GROUP(Order){};

// A load above what the owner can place: everything was accepted and nothing
// ran in time.
TEST(Order, NewJobsAreRejectedBeyondABacklogThatGrowsWithTheServers) {
  CHECK(!IsBacklogFull(200, 48, false));
  CHECK(IsBacklogFull(500, 48, false));
  CHECK(!IsBacklogFull(500, 48, true));
  CHECK(IsBacklogFull(50'000, 48, true));
  CHECK(!IsBacklogFull(500, 540, false));
  CHECK(IsBacklogFull(2000, 540, false));
}

// Load: jobs arrive twice as fast as the passes of a small owner examine them.
TEST(Order, NewJobsAreLateOnceTheirSlackIsShorterThanTheirDelay) {
  const Objective objective{3000, 9000};
  constexpr uint64_t kChainMs = 1000;
  const auto after = [&](uint64_t chain_ms, int delay_ms) {
    return DeadlineClassAfter(objective, chain_ms, milliseconds(delay_ms));
  };
  CHECK(after(kChainMs, 1900) == DeadlineClass::kInTime);
  CHECK(after(kChainMs, 2100) == DeadlineClass::kLate);
  CHECK(after(kChainMs, 7900) == DeadlineClass::kLate);
  CHECK(after(kChainMs, 8100) == DeadlineClass::kPastCutoff);
  // No slack at all: a short delay makes no difference.
  CHECK(after(3000, 200) == DeadlineClass::kInTime);
  CHECK(after(3000, 500) == DeadlineClass::kLate);
}

TEST(Order, DelayFollowsFromTheStepsAheadOnceAPassRanOutOfTime) {
  PlacingDelay delay;
  Time now{Duration(0)};
  delay.OnPass(10, {}, 0, now);
  CHECK(delay.Expected(0, {0, 0}, now) == Duration(0));
  // 100 steps a second are placed; 50 of priority 0 and 200 of 2 wait.
  for (int n = 0; n < 5; ++n) {
    now += milliseconds(100);
    delay.OnPass(10, {{0, 50}, {2, 200}}, 400, now);
  }
  CHECK(delay.Expected(0, {0, 0}, now) == milliseconds(500));
  CHECK(delay.Expected(1, {0, 0}, now) == milliseconds(500));
  CHECK(delay.Expected(2, {0, 0}, now) == milliseconds(2500));
  CHECK(delay.Expected(0, {2, 0}, now) == milliseconds(700));
  // Steps that miss their objective come after new ones, but are placed too.
  CHECK(delay.BacklogTime() == milliseconds(4100));
  delay.OnNewStep(0);
  CHECK(delay.Expected(0, {0, 0}, now) == milliseconds(510));
  now += milliseconds(100);
  delay.OnPass(10, {}, 0, now);
  delay.OnNewStep(0);
  CHECK(delay.Expected(2, {2, 0}, now) == Duration(0));
  CHECK(delay.BacklogTime() == Duration(0));
}

// Load: the responses to orders wait for most of a second in the owner's queues
// while passes get to all steps.
TEST(Order, DelayIncludesTheRoundTripsOfRecentOrders) {
  PlacingDelay delay;
  const Time now{Duration(0)};
  for (int n = 0; n < 200; ++n) {
    delay.OnRoundTrip(milliseconds(250), now);
  }
  CHECK(delay.Expected(0, {2, 3}, now) > milliseconds(740));
  CHECK(delay.Expected(0, {2, 3}, now) <= milliseconds(750));
  // Without any order nobody is delayed.
  CHECK(delay.Expected(0, {2, 3}, now + milliseconds(1000)) == Duration(0));
}

// Load: callers press on beyond what the owner places; each refusal cost it as
// much as an acceptance.
TEST(Order, RefusalOfAllNewJobsOfAQueueIsAppliedUntilItEnds) {
  OverloadNotices notices;
  const Time now{Duration(0)};
  const QueueId queue("quick");
  notices.OnRefusal(queue, "account beyond its rate", milliseconds(0), now);
  CHECK(notices.Find(queue, now) == nullptr);
  notices.OnRefusal(queue, "busy", milliseconds(500), now);
  CHECK(notices.Find(queue, now + milliseconds(499)) != nullptr);
  CHECK(notices.Find(QueueId("other"), now) == nullptr);
  CHECK(notices.Find(queue, now + milliseconds(500)) == nullptr);
}

TEST(Order, RefusedCallersDoNotReturnAllAtOnce) {
  constexpr uint32_t kLeastMs = 1000;
  std::set<uint32_t> times;
  for (int n = 0; n < 100; ++n) {
    times.insert(
        SpreadRetryAfterMs(JobId("job" + std::to_string(n)), kLeastMs));
  }
  CHECK(*times.begin() >= kLeastMs);
  CHECK(times.size() > 90);
}

// Load: a burst of short urgent work in a full cell.
TEST(Order, UrgentWorkComesFirst) {
  CHECK(ComesBefore(Waiting(0, 1000, 600), Waiting(1, 1000, 600)));
}

// Load: twice the work that there is room for, all of one kind. By least slack
// alone every step waited until its slack was used up, and as tasks took a
// fifth longer than estimated, nothing but the first ones ended in time.
TEST(Order, HalfOfAnOverloadEndsInTimeAlthoughEstimatesAreShort) {
  constexpr int64_t kEstimateMs = 1000;
  constexpr int64_t kActualMs = 1200;
  constexpr int64_t kObjectiveMs = 4000;
  constexpr int kSlots = 12;  // One job of 1.2 s each 100 ms.
  constexpr int64_t kLastArrivalMs = 40'000;
  std::vector<std::pair<int64_t, WaitingStep>> waiting;
  std::vector<int64_t> busy_until(kSlots, 0);
  int arrived = 0;
  int in_time = 0;
  for (int64_t now = 0; now < kLastArrivalMs; now += 50) {
    WaitingStep fresh;
    fresh.arrival = static_cast<uint64_t>(++arrived);
    fresh.remaining_ms = kEstimateMs;
    waiting.emplace_back(now, fresh);
    for (auto& it : waiting) {
      it.second.objective_in_ms = it.first + kObjectiveMs - now;
      it.second.cutoff_in_ms = it.first + 3 * kObjectiveMs - now;
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
      return ComesBefore(a.second, b.second);
    });
    for (auto& slot : busy_until) {
      if (slot <= now && !waiting.empty()) {
        slot = now + kActualMs;
        in_time += slot <= waiting.front().first + kObjectiveMs ? 1 : 0;
        waiting.erase(waiting.begin());
      }
    }
  }
  CHECK_EQUAL(kLastArrivalMs / 50, arrived);
  CHECK(in_time * 20 >= arrived * 9);
}

// Load: a backlog after a take-over. Work that already missed its objective
// must not delay work that can still meet its own.
TEST(Order, WhatCanBeInTimeComesBeforeWhatIsLate) {
  CHECK(ComesBefore(Waiting(2, 5000, 600), Waiting(0, 100, 600)));
  CHECK(DeadlineClass::kLate == DeadlineClassOf(Waiting(0, 100, 600)));
  CHECK(DeadlineClass::kPastCutoff ==
        DeadlineClassOf(Waiting(0, -20'000, 600)));
}

// Load: one account submits at eight times its usual rate.
TEST(Order, WorkBeyondAnAccountsRateComesAfterAllElse) {
  WaitingStep hot = Waiting(0, 1000, 600);
  hot.rate_limited = true;
  CHECK(ComesBefore(Waiting(2, 100, 600), hot));
}

TEST(Order, LeastSlackComesFirstAmongEqual) {
  CHECK(ComesBefore(Waiting(1, 5000, 3900), Waiting(1, 2000, 600)));
  // With hardly any slack left the one that has more of it comes first, and
  // room that is reserved already is not given up.
  WaitingStep gang = Waiting(1, 5000, 4500);
  CHECK(IsDoubtful(gang));
  CHECK(ComesBefore(Waiting(1, 2000, 600), gang));
  CHECK(ComesBefore(Waiting(1, 5000, 4400), gang));
  CHECK(ComesBefore(gang, Waiting(2, 2000, 600)));
  gang.has_reservation = true;
  CHECK(ComesBefore(gang, Waiting(1, 2000, 600)));
}

TEST(Order, SortIsAStrictOrder) {
  std::vector<WaitingStep> steps;
  for (int n = 0; n < 200; ++n) {
    steps.push_back(Waiting(static_cast<uint32_t>(n % 3),
                            n * 7919 % 9000 - 3000, n * 104729 % 4000));
    steps.back().arrival = static_cast<uint64_t>(n);
  }
  std::sort(steps.begin(), steps.end(), ComesBefore);
  for (size_t n = 1; n < steps.size(); ++n) {
    CHECK(ComesBefore(steps[n - 1], steps[n]));
    CHECK(!ComesBefore(steps[n], steps[n - 1]));
  }
}

TEST(Order, ObjectiveFollowsTheLongestChain) {
  BatchSpec spec;
  spec.steps.resize(3);
  spec.steps[0].estimate_ms = 1000;
  spec.steps[1].estimate_ms = 3000;
  spec.steps[2].estimate_ms = 500;
  spec.steps[2].depends_on = {0, 1};
  CHECK_EQUAL(3500U, LongestChainMs(spec, {}));
  CHECK_EQUAL(500U, LongestChainMs(spec, {false, false, true}));
  CellQueue queue;
  queue.stretch = 2;
  queue.target_latency_ms = 1000;
  CHECK_EQUAL(8000U, ObjectiveOf(queue, 3500).in_time_ms);
  CHECK_EQUAL(24'000U, ObjectiveOf(queue, 3500).cutoff_ms);
}

// Load: one account far over its rate limit next to one within its limit.
TEST(Order, MeterHoldsEachAccountToItsRate) {
  AccountRateLimiter limiter;
  int hot = 0;
  int small = 0;
  for (int n = 0; n < 800; ++n) {  // 83 jobs/s and 5 jobs/s for 9.6 s.
    const Time now = kStart + milliseconds(n * 12);
    hot += limiter.ExceedsRate(TeamId("hot"), 10, now) ? 0 : 1;
    if (n % 16 == 0) {
      small += limiter.ExceedsRate(TeamId("small"), 10, now) ? 0 : 1;
    }
  }
  CHECK(hot >= 96 && hot <= 96 + 21);  // 10 jobs/s for 9.6 s, 2 s of burst.
  CHECK_EQUAL(50, small);
}

TEST(Order, OnlyWorkBeyondItsRateIsTurnedAway) {
  CHECK(!ShouldRejectJob(false, 100'000));
  CHECK(!ShouldRejectJob(true, 0));
  CHECK(ShouldRejectJob(true, 100'000));
}

// Load: one account sends six times its usual; its wide steps beyond its rate
// waited for long, so its short ones were refused with a third of the room free
// and its neighbours by a backlog that was not theirs.
TEST(Order, StepsBeyondTheRateAreCountedByQueueAndNotForTheOthers) {
  ReadySteps ready;
  const QueueId wide("wide");
  const QueueId quick("quick");
  for (uint32_t n = 0; n < 50; ++n) {
    ready.Insert({JobId("w"), 0, n}, wide, true);
    ready.Insert({JobId("w"), 0, n}, wide, true);
    ready.Insert({JobId("q"), 0, n}, quick, false);
  }
  ready.Insert({JobId("h"), 0, 0}, quick, true);
  CHECK_EQUAL(size_t{101}, ready.Size());
  CHECK(ShouldRejectJob(true, ready.CountRateLimited(wide)));
  CHECK(!ShouldRejectJob(true, ready.CountRateLimited(quick)));
  CHECK_EQUAL(size_t{50}, ready.CountWithinRate());
  for (uint32_t n = 0; n < 50; ++n) {
    ready.Erase({JobId("w"), 0, n});
  }
  ready.Erase({JobId("q"), 0, 0});
  CHECK_EQUAL(size_t{0}, ready.CountRateLimited(wide));
  CHECK_EQUAL(size_t{1}, ready.CountRateLimited(quick));
  CHECK_EQUAL(size_t{49}, ready.CountWithinRate());
}

TEST_GROUP(Fit){};

// Load: small tasks are placed before wide tasks that need large free blocks.
TEST(Fit, SmallTasksGoWhereTheyLeaveLargeHoles) {
  const auto servers = Servers({8, 3, 5});
  CHECK_EQUAL(1U, FitStep(servers, Need(2, 1)).front());
}

TEST(Fit, GangIsPlacedWholeOrNotAtAll) {
  const auto servers = Servers({4, 4, 4});
  StepNeed need = Need(4, 4);
  need.gang = true;
  for (uint32_t it : FitStep(servers, need)) {
    CHECK_EQUAL(kNoServer, it);
  }
  need.gang = false;
  const auto fit = FitStep(servers, need);
  CHECK_EQUAL(3, std::count_if(fit.begin(), fit.end(),
                               [](uint32_t it) { return it != kNoServer; }));
}

TEST(Fit, SameRackKeepsAStepInOneRack) {
  const auto servers = Servers({2, 3, 4, 4});
  StepNeed need = Need(4, 2);
  need.same_rack = true;
  const auto fit = FitStep(servers, need);
  CHECK_EQUAL(1U, servers[fit[0]].rack);
  CHECK_EQUAL(1U, servers[fit[1]].rack);
}

TEST(Fit, PerServerLimitCountsWhatRunsThere) {
  auto servers = Servers({8, 8});
  servers[0].step_tasks = 1;
  StepNeed need = Need(1, 4);
  need.per_server = 2;
  const auto fit = FitStep(servers, need);
  CHECK_EQUAL(1, std::count(fit.begin(), fit.end(), 0U));
  CHECK_EQUAL(2, std::count(fit.begin(), fit.end(), 1U));
}

// Load: some servers fail every task.
TEST(Fit, SoundServersComeFirst) {
  auto servers = Servers({2, 8});
  servers[0].penalty = 1;
  CHECK_EQUAL(1U, FitStep(servers, Need(1, 1)).front());
}

// Load: tasks take 0.55 of the time on a quarter of the servers, 1.2 on others.
TEST(Fit, GangsGoToAlikeFastServersAndPatientTasksToSlowOnes) {
  const double speeds[] = {0.83, 1.82, 1.82, 0.83};
  auto servers = Servers({2, 8, 8, 2});
  for (size_t n = 0; n < servers.size(); ++n) {
    servers[n].lag = LagOf(speeds[n], kUsualLag);
  }
  StepNeed gang = Need(2, 6);
  gang.gang = true;
  CHECK_EQUAL(0U, FitStep(servers, gang).front());  // Packed, if not asked.
  gang.speed = SpeedWishOf(true, 5000, 100'000);
  for (uint32_t it : FitStep(servers, gang)) {
    CHECK(it == 1 || it == 2);
  }
  gang.count = 9;  // Without room on the fast ones it starts all the same.
  CHECK(FitStep(servers, gang).back() != kNoServer);
  StepNeed task = Need(1, 1);
  task.speed = SpeedWishOf(false, 700, 1'300);
  CHECK_EQUAL(1U, FitStep(servers, task).front());
  task.speed = SpeedWishOf(false, 2300, 12'000);
  CHECK_EQUAL(0U, FitStep(servers, task).front());
}

// Errors of the measured speeds must not undo the packing of equal servers, nor
// move a server to and fro.
// Patient steps preferred the servers that are in trouble.
TEST(Fit, PatientStepsAvoidServersThatAreFarTooSlow) {
  std::vector<ServerCandidate> servers(3);
  const uint32_t lags[] = {kUsualLag + 3, kUsualLag + 1, kUsualLag};
  for (size_t n = 0; n < servers.size(); ++n) {
    servers[n].free = {8000, 8000, 0};
    servers[n].usable = true;
    servers[n].lag = lags[n];
  }
  StepNeed need;
  need.task = {1000, 100, 0};
  need.count = 1;
  need.speed = SpeedWishOf(false, 2300, 12'000);
  LONGS_EQUAL(1, FitStep(servers, need)[0]);
  servers[1].usable = false;
  LONGS_EQUAL(2, FitStep(servers, need)[0]);
}

// A step that states no run time counted as patient until it was late.
TEST(Fit, StepsOfUnknownRunTimeDoNotPreferSlowServers) {
  CHECK(SpeedWishOf(false, 0, 3'000) == SpeedWish::kAny);
  CHECK(SpeedWishOf(false, 0, -1) == SpeedWish::kAny);
  CHECK(SpeedWishOf(true, 0, 3'000) == SpeedWish::kFast);
}

TEST(Fit, ServersOfNearlyUsualSpeedAreAlike) {
  for (double speed : {0.7, 0.85, 1.0, 1.2, 1.4}) {
    CHECK_EQUAL(kUsualLag, LagOf(speed, kUsualLag));
  }
  CHECK_EQUAL(kUsualLag - 1, LagOf(1.8, kUsualLag));
  CHECK_EQUAL(kUsualLag - 1, LagOf(1.5, kUsualLag - 1));
  CHECK_EQUAL(kUsualLag, LagOf(1.1, kUsualLag - 1));
  CHECK_EQUAL(kUsualLag + 1, LagOf(0.55, kUsualLag));
  CHECK(LagOf(0.2, kUsualLag) > LagOf(0.55, kUsualLag));
}

TEST(Fit, TasksThatLastAreSpread) {
  const auto servers = Servers({8, 8, 8});
  StepNeed need = Need(1, 3);
  need.spread = true;
  auto fit = FitStep(servers, need);
  std::sort(fit.begin(), fit.end());
  CHECK(fit == std::vector<uint32_t>({0, 1, 2}));
}

// Load: random steps on random servers.
TEST(Fit, NeverMoreThanAServerHolds) {
  uint64_t seed = 1;
  const auto draw = [&seed](uint64_t most) {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    return (seed >> 33) % most;
  };
  for (int round = 0; round < 2000; ++round) {
    std::vector<uint64_t> free;
    for (uint64_t n = 0; n < 1 + draw(12); ++n) {
      free.push_back(draw(9));
    }
    const auto servers = Servers(free);
    StepNeed need = Need(1 + draw(5), static_cast<uint32_t>(1 + draw(20)));
    need.gang = draw(2) == 0;
    need.same_rack = draw(4) == 0;
    need.spread = draw(3) == 0;
    std::vector<uint64_t> used(servers.size());
    for (uint32_t it : FitStep(servers, need)) {
      if (it != kNoServer) {
        used[it] += need.task.millicores;
      }
    }
    for (size_t n = 0; n < servers.size(); ++n) {
      CHECK(used[n] <= servers[n].free.millicores);
    }
  }
}

TEST(Fit, ReservationFitsTheGangOrIsNone) {
  const auto servers = Servers({0, 2, 5});
  const auto reserved = ReserveForGang(servers, {}, Need(8, 2)).tasks;
  CHECK_EQUAL(2U, reserved[1] + reserved[2]);
  CHECK(ReserveForGang(servers, {}, Need(8, 4)).tasks.empty());
}

// Load: a nearly full cell of long and short runs. Resources reserved on
// servers with long runs would be idle until those end.
TEST(Fit, ReservationGoesWhereRoomIsCompleteFirst) {
  const auto servers = Servers({4, 0, 0});
  const Resources four{4000, 400, 0};
  const Resources eight{8000, 800, 0};
  const std::vector<std::vector<Release>> releases = {
      {{9000, eight}}, {{500, four}, {700, four}}, {{400, eight}}};
  const GangReservation gang = ReserveForGang(servers, releases, Need(8, 2));
  CHECK_EQUAL(0U, gang.tasks[0]);
  CHECK_EQUAL(1U, gang.tasks[1]);
  CHECK_EQUAL(1U, gang.tasks[2]);
  CHECK_EQUAL(700, gang.start_in_ms);
}

// Load: two gangs wait; resources reserved for the first must not be reserved
// again for the second.
TEST(Fit, ReservationLeavesWhatIsOwedToAnotherGang) {
  auto servers = Servers({0, 0});
  const Resources eight{8000, 800, 0};
  servers[0].over_reserved = eight;
  const std::vector<std::vector<Release>> releases = {
      {{100, eight}, {5000, eight}}, {{1000, eight}}};
  const auto reserved = ReserveForGang(servers, releases, Need(8, 1)).tasks;
  CHECK_EQUAL(0U, reserved[0]);
  CHECK_EQUAL(1U, reserved[1]);
}

// Load: a gang waits for the rest of its reservation while short tasks wait for
// any free resources.
TEST(Fit, TasksThatEndBeforeTheGangStartsMayUseItsReservation) {
  const Resources four{4000, 400, 0};
  const Resources two{2000, 200, 0};
  const std::vector<Reservation> reserved = {{four, 700}, {two, 5000}};
  CHECK(ReservedDuring(reserved, 600) == Resources{});
  CHECK(ReservedDuring(reserved, 800) == four);
  CHECK(ReservedDuring(reserved, 6000) == four + two);
}

TEST_GROUP(Advice){};

// Load: starts that take half a second from placing to the backend server, as
// the owner is short of processor time. Their tickets ran out on the way.
TEST(Advice, TicketsAreNotUsedThatExpireBeforeTheStartArrives) {
  TicketMargin margin;
  CHECK(margin.ForPlacing() == milliseconds(120));
  for (int n = 0; n < 100; ++n) {
    margin.OnResponse(milliseconds(n % 2 == 0 ? 400 : 600));
  }
  CHECK(margin.ForPlacing() > milliseconds(600));
  CHECK(margin.ForPlacing() <= milliseconds(1000));
  for (int n = 0; n < 200; ++n) {
    margin.OnResponse(milliseconds(20));
  }
  CHECK(margin.ForPlacing() == milliseconds(120));
}

// 540 servers, a third of them with room for one task of 9 to 15 cores, and 97
// instances. Wide gangs asked one query after the other for 7 to 28 s, as they
// counted what servers could hold when empty.
TEST(Advice, WideGangInALargeFleetAsksForRoomInSeveralQueriesAtOnce) {
  std::vector<AdviceCandidate> candidates;
  constexpr uint32_t kServers = 540;
  for (uint32_t n = 0; n < kServers; ++n) {
    const bool room = n % 3 == 0;
    candidates.push_back({room ? 1U : 0U, 3, room ? 9000U : 4000U});
  }
  AdviceNeed need;
  need.count = 20;
  need.gang = true;
  need.policy = {390, 5.6, 2000};
  need.admit_ratio = 0.3;
  need.instances = need.idle_instances = 97;
  const auto choice = ChooseServersToQuery(candidates, need);
  size_t with_room = 0;
  for (uint32_t n : choice.servers) {
    with_room += candidates[n].free_slots;
  }
  CHECK(static_cast<double>(with_room) * need.admit_ratio >= need.count);
  CHECK(choice.expected < milliseconds(700));
  CHECK(choice.servers.size() <= choice.per_query * MaxQueriesAtOnce(97));
  need.instances = need.idle_instances = 9;
  CHECK_EQUAL(1U, MaxQueriesAtOnce(9));
  CHECK(ChooseServersToQuery(candidates, need).servers.size() <= 60);
}

// The cell is full: servers that will have room are asked about, but not all.
TEST(Advice, WideGangInAFullFleetAsksAheadForSomeServers) {
  const std::vector<AdviceCandidate> candidates(540, {0, 3, 0});
  AdviceNeed need;
  need.count = 20;
  need.gang = true;
  need.policy = {390, 5.6, 2000};
  need.admit_ratio = 0.3;
  need.instances = need.idle_instances = 97;
  const size_t asked = ChooseServersToQuery(candidates, need).servers.size();
  CHECK(asked * 3 * need.admit_ratio >= need.count);
  CHECK(asked < 200);
}

// Load: a wide gang is next and its tickets expire while room for it is
// collected; a query takes as long as the room that it found stays free.
TEST(Advice, WideGangWithAReservationKeepsItsTickets) {
  const std::vector<AdviceCandidate> full(540, {0, 3, 0, false, true});
  AdviceNeed need;
  need.count = 20;
  need.gang = true;
  need.policy = {390, 5.6, 2000};
  need.instances = need.idle_instances = 97;
  CHECK(ChooseServersToQuery(full, need).servers.empty());
  need.has_reservation = true;
  const size_t renewed = ChooseServersToQuery(full, need).servers.size();
  CHECK(renewed * 3 >= 4UL * need.count);
  CHECK(renewed < full.size() / 2);
  const std::vector<AdviceCandidate> valid(540, {0, 3, 0, true, true});
  CHECK(ChooseServersToQuery(valid, need).servers.empty());
  need.instances = need.idle_instances = 9;
  CHECK(ChooseServersToQuery(full, need).servers.empty());
}

// Load: after a change of owner all steps ask at once. Wide gangs took all
// instances that send long queries, so that other steps could not ask at all
// with half of the cores free.
TEST(Advice, FewIdleInstancesAreNotTakenByOneGang) {
  const std::vector<AdviceCandidate> full(540, {0, 3, 0});
  AdviceNeed need;
  need.count = 20;
  need.gang = true;
  need.policy = {390, 5.6, 2000};
  need.instances = 97;
  need.idle_instances = 7;
  const auto choice = ChooseServersToQuery(full, need);
  CHECK(choice.servers.size() <= choice.per_query);
  CHECK(choice.per_query > 50);
}

// 97 instances kept 33 for short queries, of which three were busy.
TEST(Advice, ALargeFleetReservesASmallerPartForShortQueries) {
  std::vector<AdviceChannel> channels(97);
  CHECK(CountIdleChannels(channels, kStart) >= 80);
  CHECK(CountIdleChannels(channels, kStart) < 97);
  channels.resize(9);
  CHECK_EQUAL(6U, CountIdleChannels(channels, kStart));
  channels[0].busy_until = kStart + milliseconds(500);
  CHECK_EQUAL(5U, CountIdleChannels(channels, kStart));
}

namespace {

AdviceNeed QueryNeed(double query_ms,
                     double query_ms_per_server,
                     uint32_t count) {
  AdviceNeed out;
  out.count = count;
  out.policy = {query_ms, query_ms_per_server, 2000};
  return out;
}

}  // namespace

// Load: many short steps in a nearly full cell. Listing more servers in a query
// costs little, and any of them may have room first.
TEST(Advice, MoreServersAreListedWhileTheyCostLittle) {
  const std::vector<AdviceCandidate> servers(48, {1, 4, 1000, false, false});
  const auto cheap = ChooseServersToQuery(servers, QueryNeed(7.4, 0.11, 2));
  const auto expensive = ChooseServersToQuery(servers, QueryNeed(7.4, 7.4, 2));
  CHECK(cheap.servers.size() > 20);
  CHECK(expensive.servers.size() < 10);
}

// Load: a gang waits for room on servers for which it has tickets.
TEST(Advice, NoQueryIfTicketsSuffice) {
  const std::vector<AdviceCandidate> servers(8, {0, 4, 0, true, true});
  AdviceNeed need = QueryNeed(520, 7.4, 6);
  need.gang = true;
  const auto choice = ChooseServersToQuery(servers, need);
  CHECK(choice.enough);
  CHECK(choice.servers.empty());
}

// Load: some servers become several times slower while the cell is busy.
TEST(Fit, WorkWaitsForOthersThanBadServersForAWhile) {
  std::vector<ServerCandidate> servers(2);
  for (auto& it : servers) {
    it.total = it.free = {4000, 4000, 0};
  }
  servers[0].slow = true;
  StepNeed need;
  need.task = {1000, 1000, 0};
  CHECK_EQUAL(1U, FitStep(servers, need).front());
  servers.resize(1);
  need.avoid_slow = true;
  CHECK_EQUAL(kNoServer, FitStep(servers, need).front());
  need.avoid_slow = false;
  CHECK_EQUAL(0U, FitStep(servers, need).front());
}

// Load: the cell is full after an outage, and tickets expire while steps wait.
TEST(Advice, TicketsAreNotRenewedWithoutRoom) {
  std::vector<AdviceCandidate> servers(8, {0, 4, 0, false, true});
  AdviceNeed gang = QueryNeed(520, 7.4, 6);
  gang.gang = true;
  CHECK(ChooseServersToQuery(servers, gang).servers.empty());
  CHECK(ChooseServersToQuery(servers, QueryNeed(66, 0.94, 6)).servers.empty());
  servers[0].free_slots = 4;
  CHECK(!ChooseServersToQuery(servers, gang).servers.empty());
  CHECK(!ChooseServersToQuery(servers, QueryNeed(66, 0.94, 6)).servers.empty());
}

// Load: the service admits the step on too few of the servers listed so far.
TEST(Advice, MoreServersAreNamedWhereTooFewAreGood) {
  std::vector<AdviceCandidate> servers(8, {0, 4, 0, false, false});
  servers[0].admitted_before = true;
  AdviceNeed gang = QueryNeed(520, 7.4, 6);
  gang.gang = true;
  const auto choice = ChooseServersToQuery(servers, gang);
  CHECK(!choice.servers.empty());
  CHECK(std::find(choice.servers.begin(), choice.servers.end(), 0U) ==
        choice.servers.end());
}

TEST(Advice, KnownGoodServersWithRoomComeFirst) {
  std::vector<AdviceCandidate> servers(6, {0, 4, 0, false, false});
  servers[4] = {2, 4, 2000, false, true};
  servers[5] = {2, 4, 1000, false, false};
  const auto choice = ChooseServersToQuery(servers, QueryNeed(7.4, 7.4, 1));
  CHECK_EQUAL(4U, choice.servers.front());
}

// Load: only three instances are left, and queries of all durations are
// waiting.
TEST(Advice, ShortQueriesGetAnInstanceDespiteLongOnes) {
  std::vector<AdviceChannel> channels(3);
  const auto take = [&](milliseconds expected) {
    const size_t n = ChooseChannel(channels, expected, true, kStart);
    if (n != kNoChannel) {
      channels[n].busy_until = std::max(channels[n].busy_until, kStart) +
                               std::chrono::duration_cast<Duration>(expected);
    }
    return n;
  };
  for (int n = 0; n < 10; ++n) {
    take(milliseconds(700));
    take(milliseconds(90));
  }
  CHECK(take(milliseconds(10)) != kNoChannel);
}

// Load: an owner has taken over and does not know the other instances yet.
TEST(Advice, WithoutInstancesThereIsNoChannel) {
  for (const int ms : {10, 90, 700}) {
    CHECK_EQUAL(kNoChannel, ChooseChannel({}, milliseconds(ms), true, kStart));
  }
}

TEST(Advice, SilentInstancesAreNotAsked) {
  std::vector<AdviceChannel> channels(2);
  channels[1].avoid_until = kStart + milliseconds(10);
  CHECK_EQUAL(0U, ChooseChannel(channels, milliseconds(10), true, kStart));
  channels[0].avoid_until = kStart + milliseconds(10);
  CHECK_EQUAL(kNoChannel,
              ChooseChannel(channels, milliseconds(10), true, kStart));
}

TEST_GROUP(AdvicePool){};

// Load: an instance loses power while 100 short queries per second arrive.
TEST(AdvicePool, SilentInstanceGetsFewQueries) {
  const std::vector<std::string> members = {"a", "b"};
  constexpr milliseconds kQueryTime{10};
  AdvicePool pool;
  int lost = 0;
  std::vector<Time> timeouts;
  for (int ms = 0; ms < 3000; ms += 10) {
    const Time now = kStart + milliseconds(ms);
    while (!timeouts.empty() && timeouts.front() <= now) {
      pool.OnQueryEnd("b", QueryOutcome::kTimedOut, now);
      timeouts.erase(timeouts.begin());
    }
    const std::string to = pool.Acquire(members, kQueryTime, true, now);
    if (to == "b") {
      ++lost;
      timeouts.push_back(now + pool.ResponseTimeout(to, now));
    } else if (to == "a") {
      pool.OnQueryEnd("a", QueryOutcome::kAnswered, now + kQueryTime);
    }
  }
  CHECK(lost > 0);
  CHECK(lost <= 20);
}

// Load: a new owner has a hundred jobs waiting, and one of its instances lost
// power together with the former owner.
TEST(AdvicePool, UntriedInstancesGetOneQueryEach) {
  const std::vector<std::string> members = {"a", "b", "c"};
  constexpr milliseconds kQueryTime{10};
  constexpr int kJobs = 100;
  AdvicePool pool;
  std::map<std::string, int> asked;
  for (int n = 0; n < kJobs; ++n) {
    ++asked[pool.Acquire(members, kQueryTime, true, kStart)];
  }
  for (const auto& it : members) {
    CHECK_EQUAL(1, asked[it]);
  }
  pool.OnQueryEnd("a", QueryOutcome::kAnswered, kStart + kQueryTime);
  pool.OnQueryEnd("b", QueryOutcome::kAnswered, kStart + kQueryTime);
  const Time later = kStart + 2 * kQueryTime;
  for (int n = 0; n < kJobs; ++n) {
    ++asked[pool.Acquire(members, kQueryTime, true, later)];
  }
  CHECK_EQUAL(1, asked["c"]);
  CHECK(asked["a"] > 5);
}

// Load: a new owner has fifty short jobs waiting. Guards against a fault in
// which all queries went to the first instance that had replied, one after the
// other, 20 ms each.
TEST(AdvicePool, QueriesOfABurstAreSpreadOverAllInstances) {
  const std::vector<std::string> members = {"a", "b", "c", "d", "e",
                                            "f", "g", "h", "i"};
  constexpr milliseconds kQueryTime{13};
  constexpr int kJobs = 50;
  AdvicePool pool;
  const std::string first = pool.Acquire(members, kQueryTime, true, kStart);
  pool.OnQueryEnd(first, QueryOutcome::kAnswered, kStart + 2 * kQueryTime);
  std::map<std::string, int> asked;
  for (int n = 0; n < kJobs; ++n) {
    ++asked[pool.Acquire(members, kQueryTime, true, kStart + 2 * kQueryTime)];
  }
  for (const auto& it : members) {
    CHECK(asked[it] >= 1);
  }
  CHECK(asked[first] <= 6);  // Those that it completes within 0.12 s.
}

// Load: an instance's process is killed; queries cannot be sent to it.
TEST(AdvicePool, UnsentQueryGoesToAnotherInstanceAtOnce) {
  const std::vector<std::string> members = {"a", "b"};
  AdvicePool pool;
  const std::string first =
      pool.Acquire(members, milliseconds(10), true, kStart);
  pool.OnQueryEnd(first, QueryOutcome::kNotSent, kStart);
  const std::string second =
      pool.Acquire(members, milliseconds(10), true, kStart);
  CHECK(!second.empty());
  CHECK(first != second);
}

TEST_GROUP(WallClock){};

TEST(WallClock, JumpIsNotFollowedAtOnce) {
  WallClock clock;
  const uint64_t day = 1'700'000'000'000;
  CHECK_EQUAL(day, clock.Read(kStart, day));
  CHECK_EQUAL(day + 100, clock.Read(kStart + milliseconds(100), day + 2100));
  CHECK_EQUAL(day + 200, clock.Read(kStart + milliseconds(200), day + 200));
  CHECK_EQUAL(day + 50'000,
              clock.Read(kStart + milliseconds(50'000), day + 50'000));
}

TEST_GROUP(Reading){};

// Load: malformed backend entries, written by other programs.
TEST(Reading, BadBackendEntriesNameNoServer) {
  const char* const bad[] = {
      "",
      "{",
      "[]",
      R"({"service":"s"})",
      R"({"service":1,"address":"1.1.1.1:1","state":"ready","capacity":{}})",
      R"({"service":"s","address":"x","state":"ready","capacity":{}})",
      R"({"service":"s","address":"1.1.1.1:1","state":"odd","capacity":{}})",
      "\xff\xfe\x00",
  };
  for (const char* it : bad) {
    CHECK(!platform::ReadBackendEntry("b", it));
  }
  const auto good = platform::ReadBackendEntry(
      "b", R"({"service":"s","address":"1.1.1.1:1","state":"draining",)"
           R"("remainingMs":900,"born":7,"new":[{}],"labels":["a","r1",3],)"
           R"("capacity":{"cpu":4000,"memMb":"x"}})");
  CHECK(good.has_value());
  CHECK(good->draining);
  CHECK_EQUAL(7U, good->incarnation);
  CHECK_EQUAL(4000U, good->capacity.millicores);
  CHECK_EQUAL(0U, good->capacity.memory_mb);
  STRCMP_EQUAL("r1", good->rack.c_str());
}

TEST(Reading, BadRowsOfAReportAreLeftOut) {
  net::HttpResult result;
  result.delivery = net::DeliveryStatus::kResponded;
  result.status = 200;
  result.body =
      R"({"clockMs":5,"running":[["a.0.0.1",2,"",100,7],["a.0.1",1],[1,2],7,)"
      R"(["a.0.0.x",1],["a.0.0.2",-1]],)"
      R"("ended":[[1,"a.0.0.3",1,"done",""],[2,"a.0.0.4",1,"odd",""],["x"]]})";
  const auto report = platform::ParseBackendReport(result);
  CHECK_EQUAL(1U, report.running.size());
  CHECK_EQUAL(1U, report.running[0].run.task.index);
  CHECK_EQUAL(1U, report.ended.size());
  CHECK(RunEnd::kDone == report.ended[0].end);
}

// A backend server lists 500 ends at a time.
TEST(Reading, ReportWithAFullListOfEndsTellsOfMore) {
  constexpr int kListed = 500;
  net::HttpResult result;
  result.delivery = net::DeliveryStatus::kResponded;
  result.status = 200;
  std::string rows = R"(["a row that cannot be read"])";
  for (int n = 2; n < kListed; ++n) {
    rows += R"(,[)" + std::to_string(n) + R"(,"a.0.0.1",1,"done",""])";
  }
  result.body = R"({"clockMs":5,"ended":[)" + rows + "]}";
  CHECK(!platform::ParseBackendReport(result).more_ends);
  rows += R"(,[500,"a.0.0.1",1,"done",""])";
  result.body = R"({"clockMs":5,"ended":[)" + rows + "]}";
  CHECK(platform::ParseBackendReport(result).more_ends);
}

TEST(Reading, TaskNamesComeBackAsTheyWere) {
  const TaskRef task{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
  STRCMP_EQUAL("5c0e7a21d94b36f8.3.1.17", platform::TaskName(task).c_str());
  CHECK(platform::ParseTaskName(platform::TaskName(task)) == task);
  CHECK(!platform::ParseTaskName("a.1.2"));
  CHECK(!platform::ParseTaskName("a.1.2.-3"));
  CHECK(!platform::ParseTaskName("a.1.2.99999999999"));
}

TEST(Reading, JobsThatCannotBeReadAreToldApart) {
  const auto error = [](const char* body) {
    BatchSpec spec;
    return platform::ReadBatchSpec(body, &spec);
  };
  CHECK(platform::SpecError::kMalformed == error("{"));
  CHECK(platform::SpecError::kMalformed == error(R"({"steps":[7]})"));
  CHECK(platform::SpecError::kMalformed == error(R"({"steps":[{"count":0}]})"));
  CHECK(platform::SpecError::kNoSteps == error(R"({"spec":"x"})"));
  CHECK(platform::SpecError::kForwardDependency ==
        error(R"({"steps":[{"dependsOn":[0]}]})"));
  CHECK(platform::SpecError::kNone == error(R"({"steps":[{}]})"));
}

TEST(Reading, LongestPrefixOfTheHostWins) {
  const auto config = platform::ReadConfiguration(
      R"({"version":3,"routes":[)"
      R"({"name":"a","host":"h","pathPrefix":"/p/"},)"
      R"({"name":"b","host":"h","pathPrefix":"/p/q/"},)"
      R"({"name":"c","host":"i","pathPrefix":"/p/q/r/"},7],)"
      R"("tenants":[{"name":"t","apiKeys":["k",5]},"x"],"limits":{}})");
  STRCMP_EQUAL("b",
               platform::FindRoute(*config, "h", "/p/q/x")->name.value.c_str());
  STRCMP_EQUAL("a",
               platform::FindRoute(*config, "h", "/p/x")->name.value.c_str());
  CHECK(platform::FindRoute(*config, "h", "/x") == nullptr);
  CHECK_EQUAL(1U, config->teams_by_key.size());
  CHECK(platform::ReadConfiguration(R"({"routes":[]})") == nullptr);
}

TEST(Reading, OrderResultsAreDistinguished) {
  const auto result = [](int status, const char* body) {
    net::HttpResult it;
    it.delivery = net::DeliveryStatus::kResponded;
    it.status = status;
    it.body = body;
    return platform::ParseOrderResult(it);
  };
  CHECK(OrderResult::kDone == result(200, "{}"));
  CHECK(OrderResult::kFenced == result(409, R"({"reason":"fence"})"));
  CHECK(OrderResult::kSuperseded == result(409, R"({"reason":"old"})"));
  CHECK(OrderResult::kNoTicket == result(409, R"({"reason":"ticket"})"));
  CHECK(OrderResult::kInvalid == result(409, R"({"reason":"new"})"));
  CHECK(OrderResult::kUnhealthy == result(503, ""));
  CHECK(OrderResult::kOtherIncarnation == result(421, ""));
  CHECK(OrderResult::kUnknown == platform::ParseOrderResult({}));
}

}  // namespace bw::test
