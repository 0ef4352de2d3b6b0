// Run times learned from ended runs.
#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>
#include <string>

#include "../src/run_time_base.h"
#include "../src/speed_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const Time kStart(milliseconds(100'000));

RunClass ClassOf(const char* queue, const char* team = "team") {
  RunClass out;
  out.queue = QueueId(queue);
  out.team = TeamId(team);
  return out;
}

BackendId ServerNo(int n) {
  return BackendId("s" + std::to_string(n));
}

/// Runs of several classes, one each 20 ms.
class Runs {
 public:
  /// @param stated_off, spread Standard deviations of the logarithms.
  void End(const RunClass& run_class,
           int count,
           double median_ms,
           double spread,
           double stated_factor = 1,
           double stated_off = 0.2) {
    for (int n = 0; n < count; ++n) {
      const double ran_ms = Draw(median_ms, spread);
      times_.OnEnd(run_class, Draw(ran_ms * stated_factor, stated_off), ran_ms,
                   Step());
    }
  }
  RunExpectation Expect(const RunClass& run_class, double stated_ms) const {
    return times_.Expect(run_class, stated_ms, now_);
  }
  RunTimes& Times() { return times_; }
  double Draw(double median, double spread) {
    return median * std::exp(spread * normal_(random_));
  }
  Time Step() { return now_ += milliseconds(20); }

 private:
  RunTimes times_;
  Time now_ = kStart;
  std::mt19937_64 random_{7};
  std::normal_distribution<double> normal_;
};

void CheckWithin(double least, double most, double actual) {
  if (actual < least || actual > most) {
    const std::string text = std::to_string(actual) + " is not within " +
                             std::to_string(least) + " and " +
                             std::to_string(most);
    FAIL(text.c_str());
  }
}

const char* const kJob = "00000000000000ff";

/// Runs `count` jobs of one step whose estimate is a tenth of its run time.
void RunUnderestimatedJobs(CellHarness* harness, int count, bool gang) {
  for (int n = 0; n < count; ++n) {
    const std::string job = "0000000000000" + std::to_string(100 + n);
    harness->Submit(job,
                    CellHarness::Tasks(2, 1000, gang ? R"(,"gang":true)" : ""));
    constexpr int kRanMs = 10'000;
    harness->Advance(kRanMs);
    for (uint32_t index = 0; index < 2; ++index) {
      const auto run = harness->Find({JobId(job), 0, 0, index});
      if (run) {
        harness->backends.at(run->first).End(run->second, RunEnd::kDone);
      }
    }
    harness->Advance(100);
  }
}

/// @return True if a task that states 1 s moves from a backend server that may
/// leave after 3 s.
bool MovesFromLeavingServer(CellHarness* harness, bool gang) {
  harness->Submit(kJob,
                  CellHarness::Tasks(2, 1000, gang ? R"(,"gang":true)" : ""));
  const auto run = harness->Find({JobId(kJob), 0, 0, 0});
  auto leaving = harness->backends.at(run->first).entry;
  leaving.draining = true;
  leaving.remaining_ms = 3000;
  harness->cell->SetBackend(leaving, harness->now);
  harness->Advance(600);
  const auto after = harness->Find({JobId(kJob), 0, 0, 0});
  return after && after->first != run->first;
}

}  // namespace

TEST_GROUP(RunTime){};

// Load: tasks run 10 times as long as stated, and servers leave.
TEST(RunTime, CellMovesWorkThatIsLearnedToOutlastALeavingServer) {
  for (const bool gang : {false, true}) {
    for (const bool learns : {false, true}) {
      CellHarness it(2);
      it.learn_run_times = learns;
      it.StartOwner(2);
      RunUnderestimatedJobs(&it, 16, gang);
      CHECK_EQUAL(learns, MovesFromLeavingServer(&it, gang));
    }
  }
}

TEST(RunTime, NothingSeenTheStatedEstimateIsExpectedWithoutConfidence) {
  const RunTimes times;
  const RunExpectation got = times.Expect(ClassOf("q"), 2000, kStart);
  CheckWithin(1950, 2050, got.median_ms);
  CHECK(got.p90_ms > 3000);
  CHECK_EQUAL(0.0, got.confidence);
  // Without an estimate something is expected, too.
  CHECK(times.Expect(ClassOf("q"), 0, kStart).median_ms > 0);
}

// Load: estimates of one queue are a tenth of the run times, others are right.
TEST(RunTime, EstimatesTenTimesOff) {
  Runs runs;
  runs.End(ClassOf("off"), 200, 5000, 0.5, 0.1);
  runs.End(ClassOf("right"), 200, 5000, 0.5);
  CheckWithin(4500, 5600, runs.Expect(ClassOf("off"), 500).median_ms);
  CheckWithin(4500, 5600, runs.Expect(ClassOf("right"), 5000).median_ms);
  CHECK(runs.Expect(ClassOf("off"), 500).confidence > 0.8);
  // Another account's first run in that queue.
  CheckWithin(4200, 6000, runs.Expect(ClassOf("off", "new"), 500).median_ms);
}

// Load: estimates that say little; long ones are mostly too long.
TEST(RunTime, PoorEstimatesCountLess) {
  Runs runs;
  runs.End(ClassOf("q"), 2000, 1000, 0.1, 1, 0.8);
  CheckWithin(850, 1200, runs.Expect(ClassOf("q"), 400).median_ms);
  CheckWithin(850, 1200, runs.Expect(ClassOf("q"), 2500).median_ms);
}

// Load: half of the runs take 1 s, half 10 s, the estimate says 1 s of all.
TEST(RunTime, MixOfTwoModes) {
  Runs runs;
  for (int n = 0; n < 300; ++n) {
    runs.Times().OnEnd(ClassOf("q"), 1000,
                       runs.Draw(n % 2 ? 1000 : 10'000, 0.1), runs.Step());
  }
  const RunExpectation got = runs.Expect(ClassOf("q"), 1000);
  CheckWithin(8500, 13'000, got.p90_ms);
  // A run past the first mode is expected to be of the second one.
  CheckWithin(5500, 9500,
              runs.Times().RemainingMs(ClassOf("q"), 1000, 2500, kStart));
}

// Load: 3% of the runs take 7 times as long.
TEST(RunTime, TailMovesNeitherMedianNorP90) {
  Runs runs;
  for (int n = 0; n < 1000; ++n) {
    const double factor = n % 33 == 0 ? 7 : 1;
    runs.Times().OnEnd(ClassOf("q"), 1000, factor * runs.Draw(1000, 0.1),
                       runs.Step());
  }
  const RunExpectation got = runs.Expect(ClassOf("q"), 1000);
  CheckWithin(900, 1100, got.median_ms);
  CheckWithin(1050, 1500, got.p90_ms);
  CheckWithin(4000, 6500,
              runs.Times().RemainingMs(ClassOf("q"), 1000, 2000, kStart));
}

// Failure: work that is three times as long from noon on.
TEST(RunTime, ForgetsWithinSomeHundredRuns) {
  Runs runs;
  runs.End(ClassOf("q"), 5000, 1000, 0.2);
  for (int n = 0; n < 400; ++n) {
    runs.Times().OnEnd(ClassOf("q"), 1000, runs.Draw(3000, 0.2), runs.Step());
  }
  CheckWithin(2600, 3400, runs.Expect(ClassOf("q"), 1000).median_ms);
}

// Failure: an account says 1 ms to be placed first.
TEST(RunTime, TooSmallEstimateOfOneAccountGainsAndHarmsNothing) {
  Runs runs;
  runs.End(ClassOf("q"), 500, 2000, 0.3);
  // Before its first run has ended.
  CHECK(runs.Expect(ClassOf("q", "liar"), 1).median_ms > 700);
  for (int n = 0; n < 500; ++n) {
    runs.Times().OnEnd(ClassOf("q", "liar"), 1, runs.Draw(2000, 0.3),
                       runs.Step());
  }
  CheckWithin(1700, 2300, runs.Expect(ClassOf("q", "liar"), 1).median_ms);
  CheckWithin(1700, 2300, runs.Expect(ClassOf("q"), 2000).median_ms);
  CheckWithin(800, 4000, runs.Expect(ClassOf("q", "new"), 2000).median_ms);
}

// Failure: half of the runs are stopped after 0 to 3 s, or broken; the runs
// that ended were the shorter ones.
TEST(RunTime, StoppedRunsDoNotBias) {
  Runs runs;
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> stop_ms(0, 3000);
  for (int n = 0; n < 3000; ++n) {
    const double ran_ms = runs.Draw(2000, 0.6);
    const double stopped_ms = n % 2 ? stop_ms(random) : 1e9;
    if (stopped_ms < ran_ms) {
      runs.Times().OnCensored(ClassOf("q"), 2000, stopped_ms, runs.Step());
    } else {
      runs.Times().OnEnd(ClassOf("q"), 2000, ran_ms, runs.Step());
    }
  }
  CheckWithin(1800, 2200, runs.Expect(ClassOf("q"), 2000).median_ms);
}

// Failure: all runs turn long at once; none of them has ended yet.
TEST(RunTime, RunningRunsCountBeforeTheyEnd) {
  Runs runs;
  runs.End(ClassOf("q"), 300, 1000, 0.1);
  for (int n = 0; n < 200; ++n) {
    RunProgress progress;
    runs.Times().OnRunning(ClassOf("q"), 1000, 3000, &progress, runs.Step());
    runs.Times().OnRunning(ClassOf("q"), 1000, 4000, &progress, runs.Step());
  }
  CHECK(runs.Expect(ClassOf("q"), 1000).p90_ms > 3000);
}

// Load: more accounts than can be kept; queues with few runs stay known.
TEST(RunTime, MemoryIsBounded) {
  Runs runs;
  runs.End(ClassOf("steady"), 50, 5000, 0.2, 0.1);
  for (int n = 0; n < 20'000; ++n) {
    const std::string team = "team" + std::to_string(n);
    runs.Times().OnEnd(ClassOf("q", team.c_str()), 1000, 1000, runs.Step());
    if (n % 100 == 0) {
      runs.End(ClassOf("steady"), 1, 5000, 0.2, 0.1);
    }
  }
  CHECK(runs.Times().Size() <= RunTimes::kMaxClasses);
  CheckWithin(4000, 6300, runs.Expect(ClassOf("steady"), 500).median_ms);
}

// Load: a quarter of the servers has less than half of the others' speed, and
// a queue has tasks of two sizes, each estimated right.
TEST(RunTime, ServersOfTwoSpeedsAreToldFromTasksOfTwoSizes) {
  RunTimes times;
  SpeedMeter meter(&times);
  std::mt19937_64 random(5);
  std::normal_distribution<double> normal;
  Time now = kStart;
  for (int n = 0; n < 4000; ++n) {
    const int server = n % 16;
    const double size_ms = (n / 16) % 2 ? 1000 : 8000;
    const double speed = server < 4 ? 0.55 : 1.2;
    now += milliseconds(10);
    meter.OnDone(ClassOf("q"), ServerNo(server), size_ms,
                 size_ms / speed * std::exp(0.25 * normal(random)), now);
  }
  const double slow = meter.RelativeSpeed(ServerNo(0), now);
  const double fast = meter.RelativeSpeed(ServerNo(10), now);
  CheckWithin(0.40, 0.52, slow / fast);
  // A minute later it is still known, although nothing ended there.
  CheckWithin(0.40, 0.60,
              meter.RelativeSpeed(ServerNo(0), now + milliseconds(60'000)) /
                  meter.RelativeSpeed(ServerNo(10), now));
  CheckWithin(0.9, 1.1, meter.RelativeSpeed(ServerNo(99), now));
  // Run times are kept as of a server of usual speed: the sizes stay apart, and
  // the servers do not widen the distribution.
  const RunExpectation small = times.Expect(ClassOf("q"), 1000, now);
  const RunExpectation large = times.Expect(ClassOf("q"), 8000, now);
  CheckWithin(7, 9, large.median_ms / small.median_ms);
  CHECK(small.p90_ms / small.median_ms < 1.75);
}

// Load: gangs, whose run time is that of their slowest member.
TEST(RunTime, WideGangsAreExpectedToTakeLonger) {
  Runs runs;
  RunClass narrow = ClassOf("q");
  narrow.gang = true;
  narrow.width_bucket = WidthBucketOf(4);
  RunClass wide = narrow;
  wide.width_bucket = WidthBucketOf(60);
  for (int n = 0; n < 60; ++n) {
    runs.Times().OnEnd(narrow, 1000, runs.Draw(1300, 0.2), runs.Step());
    runs.Times().OnEnd(wide, 1000, runs.Draw(4000, 0.2), runs.Step());
  }
  CHECK(runs.Expect(wide, 1000).median_ms >
        2 * runs.Expect(narrow, 1000).median_ms);
}

}  // namespace bw::test
