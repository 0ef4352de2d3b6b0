// The processor time of the cell's events does not grow with the number of
// jobs. Compares sizes on the same machine, so no absolute time matters.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <limits>

#include "../src/thread_cpu_func.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

constexpr int kFewJobs = 50;
constexpr int kManyJobs = 2000;
/// Caches hold less of a larger cell.
constexpr double kMaxGrowth = 3;

JobId NameOf(int n) {
  char out[17];
  std::snprintf(out, sizeof(out), "%016x", n);
  return JobId(out);
}

/// Submits a job that waits, as no backend server has room for it.
void SubmitWaiting(CellHarness* harness, int n) {
  harness->cell->Submit(NameOf(n), TeamId("t0"), QueueId("q"),
                        CellHarness::Tasks(20, 8000), harness->now,
                        [](const CellOutcome&) {});
}

/// @return A cell of four full backend servers with `jobs` waiting jobs.
std::unique_ptr<CellHarness> FullCell(int jobs) {
  constexpr int kServers = 4;
  constexpr int kCores = 8;
  auto out = std::make_unique<CellHarness>(kServers);
  constexpr double kNoRateLimit = 1e6;
  out->config->accounts.front().weight = kNoRateLimit;
  out->Submit("ffffffffffffffff", CellHarness::Tasks(kServers * kCores, 1000));
  out->Advance(200);
  for (int n = 0; n < jobs; ++n) {
    SubmitWaiting(out.get(), n);
  }
  out->Advance(200);
  return out;
}

/// @return Processor time of `work`, in microseconds.
double CostUs(const std::function<void()>& work) {
  const ScopedThreadCpu cpu("test");
  const uint64_t before = ReadThreadCpu()["test"];
  work();
  return static_cast<double>(ReadThreadCpu()["test"] - before);
}

/// @return The least of several measurements, as other processes disturb some
/// of them.
double LeastCost(const std::function<double(int)>& cost, int size) {
  constexpr int kRounds = 3;
  double out = std::numeric_limits<double>::max();
  for (int round = 0; round < kRounds; ++round) {
    out = std::min(out, cost(size));
  }
  return out;
}

void CheckGrowth(const std::function<double(int)>& cost) {
  const double few = LeastCost(cost, kFewJobs);
  const double many = LeastCost(cost, kManyJobs);
  CHECK_TEXT(many < kMaxGrowth * few,
             ("us: " + std::to_string(few) + " with few jobs, " +
              std::to_string(many) + " with many")
                 .c_str());
}

}  // namespace

TEST_GROUP(CellCost){};

// A backend server of the former owner is silent, so the take-over stays open
// until its leases have lapsed.
TEST(CellCost, OpenTakeOverDoesNotSearchAllJobsAtEachReport) {
  CheckGrowth([](int jobs) {
    const auto it = FullCell(jobs);
    it->backends.begin()->second.reachable = false;
    it->StartOwner(2);
    it->Advance(100);
    auto& backend = it->backends.rbegin()->second;
    const BackendReport report = backend.Poll({{}, 2, 0, 0});
    return CostUs([&] {
      constexpr int kReports = 500;
      for (int n = 0; n < kReports; ++n) {
        it->cell->OnPollResponse(backend.entry.id, report, it->now, it->now);
      }
    });
  });
}

TEST(CellCost, SubmissionDoesNotSearchAllWaitingSteps) {
  CheckGrowth([](int jobs) {
    const auto it = FullCell(jobs);
    return CostUs([&] {
      constexpr int kSubmissions = 500;
      for (int n = 0; n < kSubmissions; ++n) {
        SubmitWaiting(it.get(), kManyJobs + n);
      }
    });
  });
}

// All instances ask the advice service already, so no step can ask or start.
TEST(CellCost, PassDoesNotSearchAllServersForStepsThatCannotAsk) {
  const auto cost = [](int steps) {
    constexpr int kServers = 350;
    CellHarness it(kServers);
    it.config->accounts.front().weight = 1e6;
    CellQueue advised = it.config->queues.front();
    advised.name = QueueId("advised");
    advised.advice = AdvicePolicy{7, 0.1, 2000};
    it.config->queues.push_back(advised);
    it.port.accepts_queries = false;
    it.Advance(200);
    for (int n = 0; n < steps; ++n) {
      it.cell->Submit(NameOf(n), TeamId("t0"), QueueId("advised"),
                      CellHarness::Tasks(3, 2000), it.now,
                      [](const CellOutcome&) {});
    }
    return CostUs([&] {
      constexpr int kPasses = 50;
      constexpr milliseconds kPause{1000};  // Longer than that between passes.
      for (int n = 0; n < kPasses; ++n) {
        it.now += kPause;
        it.cell->Run(it.now);
      }
    });
  };
  const double few = LeastCost(cost, 5);
  const double many = LeastCost(cost, 150);
  CHECK_TEXT(many < kMaxGrowth * few,
             ("us: " + std::to_string(few) + " with 5 steps, " +
              std::to_string(many) + " with 150")
                 .c_str());
}

}  // namespace bw::test
