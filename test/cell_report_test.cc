// Tests of what the cell concludes from the reports of backend servers.
#include <CppUTest/TestHarness.h>

#include "../src/cell_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";
constexpr int kTasks = 5;

/// Ends all runs on a backend server.
void EndAll(FakeBackend* backend, RunEnd how) {
  while (!backend->running.empty()) {
    const RunRef run = backend->running.begin()->first;
    backend->End(run, how);
  }
}

/// A cell with one backend server, whose reports list two ends at most.
struct ShortLists {
  ShortLists() : it(1), backend(it.backends.begin()->second) {
    backend.max_listed_ends = 2;
    it.Submit(kJob, CellHarness::Tasks(kTasks, 1000));
  }

  CellHarness it;
  FakeBackend& backend;
};

}  // namespace

TEST_GROUP(CellReport){};

// A backend server ends more runs than it lists at once while no owner acts.
// The next owner started the tasks again whose ends were not listed yet.
TEST(CellReport, EndsBeyondTheListAreNotRunAgainByTheNextOwner) {
  ShortLists s;
  EndAll(&s.backend, RunEnd::kDone);
  s.it.StartOwner(2);
  s.it.Advance(1000);
  CHECK_EQUAL(static_cast<size_t>(kTasks), s.it.start_log.size());
  STRCMP_EQUAL("completed", s.it.State(kJob).c_str());
}

// As above with an owner that stays.
TEST(CellReport, EndsBeyondTheListAreNotRunAgain) {
  ShortLists s;
  s.it.Advance(100);
  EndAll(&s.backend, RunEnd::kDone);
  s.it.Advance(1000);
  CHECK_EQUAL(static_cast<size_t>(kTasks), s.it.start_log.size());
  STRCMP_EQUAL("completed", s.it.State(kJob).c_str());
}

// Runs that last are renewed while the ends of others are still being listed.
TEST(CellReport, LeasesAreRenewedWhileEndsAreBeingListed) {
  ShortLists s;
  const RunRef lasting = s.backend.running.begin()->first;
  while (s.backend.running.size() > 1) {
    const RunRef run = s.backend.running.rbegin()->first;
    s.backend.End(run, RunEnd::kDone);
  }
  s.it.StartOwner(2);
  s.it.store_enabled = false;  // No end is acknowledged.
  s.it.Advance(12'000);
  CHECK(s.backend.running.contains(lasting));
}

// The backend server is lost before it has listed all ends. Tasks whose fate
// stays unknown were never started again.
TEST(CellReport, TasksOfAServerLostWhileItListsItsEndsStartElsewhere) {
  ShortLists s;
  s.it.AddBackend(1);
  EndAll(&s.backend, RunEnd::kDone);
  s.it.StartOwner(2);
  s.backend.reachable = false;
  s.it.cell->DropBackend(s.backend.entry.id);
  s.it.Advance(13'000);
  CHECK(s.it.start_log.size() > kTasks);
  EndAll(&s.it.backends.at(BackendId("b1")), RunEnd::kDone);
  s.it.Advance(500);
  STRCMP_EQUAL("completed", s.it.State(kJob).c_str());
}

}  // namespace bw::test
