// Estimation of how slow backend servers are.
#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>
#include <string>

#include "../src/speed_base.h"

namespace bw::test {
namespace {

const Time kStart(milliseconds(100'000));
const QueueId kAccurate("good-estimates");
const QueueId kInaccurate("rough-estimates");

BackendId ServerNo(int n) {
  return BackendId("s" + std::to_string(n));
}

RunClass ClassOf(const QueueId& queue) {
  RunClass out;
  out.queue = queue;
  return out;
}

/// Simulates the runs of two queues on 12 servers. Each server has a factor on
/// run times.
class Load {
 public:
  void SetFactor(int server, double factor) { factors_[server] = factor; }
  SpeedMeter& Meter() { return meter_; }
  Time Now() const { return now_; }

  /// Simulates `seconds`, in each of which every server completes one run of
  /// each queue.
  void Pass(int seconds) {
    std::normal_distribution<double> good(0, 0.25);
    std::normal_distribution<double> rough(0, 0.9);
    for (int second = 0; second < seconds; ++second) {
      now_ += milliseconds(1000);
      for (int n = 0; n < kServers; ++n) {
        meter_.OnDone(ClassOf(kAccurate), ServerNo(n), 2000,
                      2000 * factors_[n] * std::exp(good(random_)), now_);
        meter_.OnDone(ClassOf(kInaccurate), ServerNo(n), 600,
                      600 * factors_[n] * std::exp(rough(random_)), now_);
      }
    }
  }

  /// Reports that a run of kAccurate has run for `ran_ms`.
  void StillRuns(const BackendId& server, double ran_ms) {
    meter_.OnRunning(server, run_times_.Expect(ClassOf(kAccurate), 2000, now_),
                     ran_ms, now_);
  }

  int CountBad() const {
    int out = 0;
    for (int n = 0; n < kServers; ++n) {
      out += meter_.IsSlow(ServerNo(n), now_) ? 1 : 0;
    }
    return out;
  }

  static constexpr int kServers = 12;

 private:
  RunTimes run_times_;
  SpeedMeter meter_{&run_times_};
  Time now_ = kStart;
  std::mt19937_64 random_{7};
  double factors_[kServers] = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
};

}  // namespace

TEST_GROUP(Speed){};

TEST(Speed, UnknownServersAreUsual) {
  RunTimes run_times;
  const SpeedMeter meter(&run_times);
  CHECK(!meter.IsSlow(ServerNo(0), kStart));
}

// Load: a third of the machines are of a type that takes 1.3 times as long, and
// the estimates of one queue are inaccurate.
TEST(Speed, KindsOfMachinesAreNotTakenForTrouble) {
  Load load;
  for (int n = 0; n < 4; ++n) {
    load.SetFactor(n, 1.3);
  }
  for (int n = 0; n < 30; ++n) {
    load.Pass(1);
    LONGS_EQUAL(0, load.CountBad());
  }
}

// Load: a server becomes seven times slower for some seconds.
TEST(Speed, BadServerIsDetectedDuringItsRunAndRecovers) {
  Load load;
  load.Pass(20);
  const BackendId slow = ServerNo(0);
  load.StillRuns(slow, 2500);
  CHECK(!load.Meter().IsSlow(slow, load.Now()));
  load.StillRuns(slow, 6000);
  CHECK(load.Meter().IsSlow(slow, load.Now()));
  load.SetFactor(0, 7);
  load.Pass(2);
  CHECK(load.Meter().IsSlow(slow, load.Now()));
  load.SetFactor(0, 1);
  load.Pass(15);
  CHECK(!load.Meter().IsSlow(slow, load.Now()));
}

TEST(Speed, NewIncarnationIsNotBad) {
  Load load;
  load.SetFactor(0, 7);
  load.Pass(20);
  load.Meter().Reset(ServerNo(0));
  CHECK(!load.Meter().IsSlow(ServerNo(0), load.Now()));
}

}  // namespace bw::test
