// Tests of evacuated availability zones: what is known of them, and that
// nothing starts there. No network.
#include <CppUTest/TestHarness.h>

#include "../src/evacuation_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const ZoneId kA("a");
const ZoneId kB("b");

/// A cell with two servers of 8 cores in each of the zones "a" and "b".
struct Zones : CellHarness {
  Zones() : CellHarness(4) {
    for (auto& it : backends) {
      it.second.entry.zone = ZoneOf(it.first);
      cell->SetBackend(it.second.entry, now);
    }
    DeliverAll();
  }
  static ZoneId ZoneOf(const BackendId& id) {
    return id.value < "b2" ? kA : kB;
  }
  int StartsIn(const ZoneId& zone) const {
    return static_cast<int>(std::count_if(
        start_log.begin(), start_log.end(),
        [&](const auto& it) { return ZoneOf(it.backend) == zone; }));
  }
};

}  // namespace

TEST_GROUP(Evacuation){};

// Load: records that come twice, in pages that are no snapshot.
TEST(Evacuation, OlderRecordsOfAZoneChangeNothing) {
  EvacuationView view(milliseconds(0));
  CHECK_FALSE(view.Apply(kA, false, 3));
  CHECK(view.Apply(kA, true, 7));
  CHECK_FALSE(view.Apply(kA, true, 9));
  CHECK_FALSE(view.Apply(kA, false, 8));
  CHECK(view.CheckStart(kA, Time()) == StartPermission::kEvacuated);
  CHECK(view.Apply(kB, true, 5));
  CHECK(view.Retain({}, 8) == std::vector<ZoneId>{kB});  // kA is newer.
  CHECK(view.Zones() == std::vector<ZoneId>{kA});
}

// Load: an owner that was paused, or is new, or whose store is away.
TEST(Evacuation, StartsNeedAViewYoungerThanTheBound) {
  EvacuationView view(milliseconds(5000));
  const Time read{std::chrono::hours(1)};
  CHECK(view.CheckStart(kA, read) == StartPermission::kViewTooOld);
  view.OnCurrent(read);
  view.OnCurrent(read - milliseconds(100));  // A slower read changes nothing.
  CHECK(view.MayStartIn(kA, read + milliseconds(3999)));
  CHECK(view.CheckStart(kA, read + milliseconds(4000)) ==
        StartPermission::kViewTooOld);
  view.SetBound(milliseconds(1000));
  CHECK(view.MayStartIn(kA, read + milliseconds(499)));
  CHECK_FALSE(view.MayStartIn(kA, read + milliseconds(500)));
  view.SetBound(milliseconds(0));  // The deployment promises no bound.
  CHECK(view.MayStartIn(kA, read + std::chrono::hours(1)));
}

// Load: short and long work, a gang, while half of the cell is evacuated.
TEST(Evacuation, NothingStartsThereAndWhatRunsGoesOn) {
  Zones it;
  it.Submit("long", CellHarness::Tasks(4, 2000));
  it.Advance(100);
  const int before = it.StartsIn(kA);
  it.port.evacuated = {kA};
  it.Submit("gang", CellHarness::Tasks(3, 8000, R"(,"gang":true)"));
  it.Submit("short", CellHarness::Tasks(3, 1000));
  it.Advance(2000);
  LONGS_EQUAL(before, it.StartsIn(kA));
  CHECK(it.stop_log.empty());
  LONGS_EQUAL(4, it.Running({JobId("long"), 0, 0, 0}) +
                     it.Running({JobId("long"), 0, 0, 1}) +
                     it.Running({JobId("long"), 0, 0, 2}) +
                     it.Running({JobId("long"), 0, 0, 3}));
  LONGS_EQUAL(0, it.Running({JobId("gang"), 0, 0, 0}));
  LONGS_EQUAL(1, it.Running({JobId("short"), 0, 0, 2}));
}

// Load: a gang that waits must not hold room in the rest of the cell together
// with room in the evacuated zone.
TEST(Evacuation, GangsHoldNoRoomThatTheyCannotUse) {
  Zones it;
  it.port.evacuated = {kA};
  it.Submit("gang", CellHarness::Tasks(4, 8000, R"(,"gang":true)"));
  it.Submit("work", CellHarness::Tasks(2, 8000));
  LONGS_EQUAL(2, it.StartsIn(kB));
}

TEST(Evacuation, WorkWaitsWhileAllZonesAreEvacuated) {
  Zones it;
  it.port.evacuated = {kA, kB};
  const auto accepted = it.Submit("j", CellHarness::Tasks(2, 1000));
  CHECK(accepted && accepted->status == CellStatus::kOk);
  it.Advance(10'000);
  CHECK(it.start_log.empty());
  STRCMP_EQUAL("queued", it.State("j").c_str());
  it.port.evacuated.clear();
  it.Advance(1100);
  LONGS_EQUAL(2, static_cast<long>(it.start_log.size()));
}

// Load: the evacuation becomes known between the decision and the order.
TEST(Evacuation, PlacedTasksAreNotSent) {
  Zones it;
  it.store_enabled = false;
  it.Submit("j", CellHarness::Tasks(4, 8000));
  it.port.evacuated = {kA, kB};
  it.store_enabled = true;
  it.Advance(100);
  CHECK(it.start_log.empty());
  LONGS_EQUAL(4, it.port.starts_held_back);
  it.port.evacuated = {kA};
  it.Advance(1100);
  LONGS_EQUAL(0, it.StartsIn(kA));
  LONGS_EQUAL(2, it.StartsIn(kB));
}

// Load: a start gets no answer, and its zone is evacuated before it is sent
// again; the task starts elsewhere once it surely does not run.
TEST(Evacuation, StartsAreNotRepeatedThere) {
  Zones it;
  it.port.evacuated = {kB};
  for (auto& backend : it.backends) {
    backend.second.lost_answers = 1;
  }
  it.port.on_start = [&](const auto&) { it.port.evacuated = {kA}; };
  it.Submit("j", CellHarness::Tasks(1, 1000));
  it.Advance(3000);
  LONGS_EQUAL(1, it.StartsIn(kA));
  CHECK(it.port.starts_held_back >= 1);
  CHECK(it.StartsIn(kB) >= 1);
  LONGS_EQUAL(1, it.Running({JobId("j"), 0, 0, 0}));
}

// Load: the owner is killed; the next one inherits waiting work and runs.
TEST(Evacuation, NewOwnerStartsNothingThere) {
  Zones it;
  it.Submit("runs", CellHarness::Tasks(4, 4000));
  it.port.evacuated = {kA};
  it.Submit("waits", CellHarness::Tasks(4, 8000));
  const int before = it.StartsIn(kA);
  it.StartOwner(2);
  it.Advance(3000);
  LONGS_EQUAL(before, it.StartsIn(kA));
  LONGS_EQUAL(1, it.Running({JobId("runs"), 0, 0, 0}));
}

// Load: a service of four tasks in a zone that is evacuated. Never is more than
// one of them away, and they stay while there is no room for them elsewhere.
TEST(Evacuation, ServiceTasksMoveOneAtATimeWhereThereIsRoom) {
  Zones it;
  it.port.evacuated = {kB};
  it.Submit("s", CellHarness::Tasks(4, 3000, R"(,"perpetual":true)"));
  it.Advance(3000);
  LONGS_EQUAL(4, it.StartsIn(kA));
  it.port.evacuated = {kA, kB};
  it.Advance(5000);
  CHECK(it.stop_log.empty());
  it.port.evacuated = {kA};
  size_t stops = 0;
  int since_stop_ms = 10'000;
  for (int step = 0; step < 700; ++step) {
    it.Advance(20);
    since_stop_ms += 20;
    if (it.stop_log.size() > stops) {
      CHECK(since_stop_ms >= 2000);  // The one before is at work by now.
      LONGS_EQUAL(1, static_cast<long>(it.stop_log.size() - stops));
      stops = it.stop_log.size();
      since_stop_ms = 0;
    }
    int working = 0;
    for (uint32_t n = 0; n < 4; ++n) {
      working += it.Running({JobId("s"), 0, 0, n});
    }
    CHECK(working >= 3);
  }
  LONGS_EQUAL(4, it.StartsIn(kB));
  LONGS_EQUAL(4, static_cast<long>(it.stop_log.size()));
}

// Load: as above; the caller allows no task to be away.
TEST(Evacuation, ServiceTasksStayThatMayNotBeAway) {
  Zones it;
  it.port.evacuated = {kB};
  it.Submit("s",
            CellHarness::Tasks(2, 1000, R"(,"perpetual":true,"mayMiss":0)"));
  it.Advance(3000);
  it.port.evacuated = {kA};
  it.Advance(5000);
  CHECK(it.stop_log.empty());
}

// Load: a zone's servers come back cold while others are warm; later all are
// cold, as after a loss of power.
TEST(Evacuation, ColdServersGetNoWorkFirst) {
  Zones it;
  const auto announce = [&](const ZoneId& zone) {
    for (auto& backend : it.backends) {
      if (Zones::ZoneOf(backend.first) == zone) {
        backend.second.entry.cold_left_ms = 60'000;
        it.cell->SetBackend(backend.second.entry, it.now);
      }
    }
  };
  announce(kA);
  it.Submit("j", CellHarness::Tasks(4, 8000));
  it.Advance(900);
  LONGS_EQUAL(0, it.StartsIn(kA));
  LONGS_EQUAL(2, it.StartsIn(kB));
  it.Advance(300);
  LONGS_EQUAL(2, it.StartsIn(kA));  // Rather than wait on.
  Zones all;
  it.start_log.clear();
  for (auto& backend : all.backends) {
    backend.second.entry.cold_left_ms = 60'000;
    all.cell->SetBackend(backend.second.entry, all.now);
  }
  all.Submit("j", CellHarness::Tasks(4, 8000));
  LONGS_EQUAL(4, static_cast<long>(all.start_log.size()));
}

}  // namespace bw::test
