// How long a task stands still when its backend server and the owner are lost
// at the same time, with real processes.
//
// BW_HOLD_MAX_MS=N sets the longest lease of the deployment.
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <thread>

#include "../src/fake/timer_thread.h"
#include "support/entry_fleet.h"

namespace bw::test {
namespace {

constexpr int kInstances = 3;
constexpr int kBackends = 4;
/// Time that the owner's process is down.
constexpr uint64_t kDownMs = 700;
/// Rule LOST: 4 s that are calm, then 3 s in which a task stands still.
constexpr uint64_t kMostIdleMs = 7000;
/// `for_s` of the platform's longest outage for all instances.
constexpr uint64_t kOutageMs = 4600;
constexpr uint64_t kLongestWaitMs = 16'000;

/// @return The backend server of the job's active run; -1 if there is none.
int ServerOf(const EntryFleet& fleet, const std::string& job) {
  for (const auto& it : fleet.AllRuns()) {
    if (it["task"].get<std::string>().starts_with(job) && it["ended_ms"] == 0) {
      return std::atoi(it["backend"].get<std::string>().c_str() + 1);
    }
  }
  return -1;
}

/// @return Time from the restart of the owner's process to the next run of the
/// task whose server was lost.
uint64_t IdleAfterLoss(bool lose_owner) {
  EntryFleet fleet(kInstances, kBackends);
  if (const char* text = std::getenv("BW_HOLD_MAX_MS"); text != nullptr) {
    for (int n = 0; n < kInstances; ++n) {
      fleet.ChangeSettings(n,
                           fmt::format("[bounds]\nhold_max_ms = {}\n", text));
    }
  }
  CHECK(fleet.Start());
  const std::string job = "00000000000000aa";
  CHECK_EQUAL(200, fleet.Call(0, "POST", job, EntryJob(1, 60'000)).status);
  CHECK(Eventually([&] { return ServerOf(fleet, job) >= 0; }));
  // Let the first reports pass, so that the run is known as running.
  std::this_thread::sleep_for(milliseconds(1000));
  const int server = ServerOf(fleet, job);
  const int owner = fleet.WaitForOwner();
  CHECK(server >= 0 && owner >= 0);
  // It leaves at once: what runs there ends and its entry is removed.
  fleet.Control({{"drain", server}, {"ms", 0}});
  if (lose_owner) {
    fleet.Entry(owner).Kill();
  }
  std::this_thread::sleep_for(milliseconds(kDownMs));
  if (lose_owner) {
    fleet.StartEntry(owner);
  }
  const uint64_t back = fake::NowMs();
  Eventually([&] { return ServerOf(fleet, job) >= 0; },
             milliseconds(kLongestWaitMs));
  return fake::NowMs() - back;
}

void CheckIdle(uint64_t idle_ms) {
  CHECK_TEXT(idle_ms < kMostIdleMs,
             fmt::format("stood still for {} ms", idle_ms).c_str());
}

}  // namespace

TEST_GROUP(Standstill){};

TEST(Standstill, TaskOfALostServerRunsAgainInTime) {
  CheckIdle(IdleAfterLoss(false));
}

// The other side of a short lease: work must not end with an outage.
TEST(Standstill, RunOutlivesAnOutageOfTheStore) {
  EntryFleet fleet(kInstances, kBackends);
  CHECK(fleet.Start());
  const std::string job = "00000000000000ab";
  CHECK_EQUAL(200, fleet.Call(0, "POST", job, EntryJob(1, 60'000)).status);
  CHECK(Eventually([&] { return ServerOf(fleet, job) >= 0; }));
  std::this_thread::sleep_for(milliseconds(1000));
  fleet.Control({{"mood", "silent"}});
  std::this_thread::sleep_for(milliseconds(kOutageMs));
  fleet.Control({{"mood", "well"}});
  std::this_thread::sleep_for(milliseconds(kLongestWaitMs / 4));
  const Json runs = fleet.AllRuns();
  CHECK_EQUAL(1, runs.size());
  CHECK_TEXT(runs[0]["ended_ms"] == 0, runs.dump().c_str());
}

TEST(Standstill, TaskOfALostServerRunsAgainInTimeUnderANewOwner) {
  CheckIdle(IdleAfterLoss(true));
}

}  // namespace bw::test
