// An evacuated availability zone must stay empty whatever happens to the owner
// meanwhile: real processes against the stand-in of the platform.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <thread>

#include "support/entry_fleet.h"

namespace bw::test {
namespace {

constexpr int kBackends = 4;
/// More tasks of EntryJob than the backend servers of one zone hold.
constexpr int kTasksOfBothZones = 24;

/// @return How many runs began on servers of the first zone, those with even
/// numbers.
size_t RunsInFirstZone(const Json& runs) {
  return static_cast<size_t>(
      std::count_if(runs.begin(), runs.end(), [](const Json& it) {
        const auto backend = it["backend"].get<std::string>();
        return (backend.back() - '0') % 2 == 0;
      }));
}

std::string NameOf(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

}  // namespace

TEST_GROUP(EvacuationFleet){};

// Load: steady short jobs; a zone is evacuated and the owner is killed at that
// moment, before it starts anything more; later the zone is taken back.
TEST(EvacuationFleet, OwnerKilledRightAfterTheRequest) {
  EntryFleet fleet(
      {.instances = 3, .backends = kBackends, .as_deployed = true, .zones = 2});
  CHECK(fleet.Start());
  const int owner = fleet.WaitForOwner();
  CHECK(owner >= 0);
  const int caller = (owner + 1) % 3;
  int jobs = 0;
  const auto submit = [&](int count) {
    for (int n = 0; n < count; ++n) {
      fleet.Call(caller, "POST", NameOf(++jobs), EntryJob(2, 100));
      std::this_thread::sleep_for(milliseconds(20));
    }
  };
  // Tasks need not use a zone while the other one has room.
  const auto fill_both_zones = [&] {
    return fleet
        .Call(caller, "POST", NameOf(++jobs), EntryJob(kTasksOfBothZones, 300))
        .status;
  };
  submit(20);
  LONGS_EQUAL(200, fill_both_zones());
  CHECK(Eventually([&] { return RunsInFirstZone(fleet.AllRuns()) > 0; }));
  fleet.Control({{"evacuate", "a"}});
  fleet.Entry(owner).Kill();
  fleet.StartEntry(owner);
  CHECK(fleet.WaitForOwner() >= 0);
  // Starts on their way when the zone was evacuated have arrived by now.
  std::this_thread::sleep_for(milliseconds(300));
  const size_t before = RunsInFirstZone(fleet.AllRuns());
  const size_t all_before = fleet.AllRuns().size();
  submit(40);
  CHECK(Eventually([&] { return fleet.AllRuns().size() >= all_before + 40; }));
  CHECK_EQUAL(before, RunsInFirstZone(fleet.AllRuns()));
  fleet.Control({{"evacuate", "a"}, {"on", false}});
  submit(40);
  LONGS_EQUAL(200, fill_both_zones());
  CHECK(Eventually([&] { return RunsInFirstZone(fleet.AllRuns()) > before; }));
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

}  // namespace bw::test
