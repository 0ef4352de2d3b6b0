// Jobs that are cancelled before their submission arrives.
#include <CppUTest/TestHarness.h>

#include "../src/cell_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";
const char* const kOther = "00000000000000a2";
const std::string kRecord = "c:" + std::string(kJob);

struct Fixture {
  Fixture() : it(2) {}

  /// @return The answer to a cancel, if there is one yet.
  std::optional<CellStatus> Cancel(const std::string& job,
                                   const std::string& team = "t0") {
    auto out = std::make_shared<std::optional<CellStatus>>();
    it.cell->Cancel(JobId(job), TeamId(team), it.now,
                    [out](const CellOutcome& of) { *out = of.status; });
    it.Advance(40);
    return *out;
  }

  CellStatus Submit(const std::string& job) {
    return it.Submit(job, CellHarness::Tasks(1, 1000))->status;
  }

  int Running(const std::string& job) const {
    return it.Running({JobId(job), 0, 0, 0});
  }

  CellHarness it;
};

}  // namespace

TEST_GROUP(EarlyCancel){};

// A submission waited in a frozen instance. Its caller left and cancelled it
// elsewhere, and was told that there is no such job; it was accepted after
// that.
TEST(EarlyCancel, SubmissionThatArrivesLaterDoesNotRun) {
  Fixture s;
  CHECK(s.Cancel(kJob) == CellStatus::kUnknownJob);
  CHECK(s.Submit(kJob) == CellStatus::kCancelledBefore);
  CHECK(s.Submit(kOther) == CellStatus::kOk);
  s.it.Advance(500);
  CHECK_EQUAL(0, s.Running(kJob));
  CHECK_EQUAL(1, s.Running(kOther));
  // Nobody has submitted it, so it is not shown.
  CHECK(s.it.cell->State(JobId(kJob), TeamId("t0")).status ==
        CellStatus::kUnknownJob);
  CHECK(s.Cancel(kJob) == CellStatus::kUnknownJob);
}

TEST(EarlyCancel, IsKnownToTheNextOwner) {
  Fixture s;
  CHECK(s.Cancel(kJob) == CellStatus::kUnknownJob);
  s.it.StartOwner(2);
  CHECK(s.Submit(kJob) == CellStatus::kCancelledBefore);
  s.it.Advance(500);
  CHECK_EQUAL(0, s.Running(kJob));
}

// The owner may die before the cancel is stored, and the next one would accept
// the job: nobody is told before.
TEST(EarlyCancel, IsAnsweredOnceStored) {
  Fixture s;
  s.it.store_enabled = false;
  CHECK(!s.Cancel(kJob));
  CHECK(!s.Cancel(kJob));
  CHECK(!s.it.Submit(kJob, CellHarness::Tasks(1, 1000)));
  s.it.store_enabled = true;
  s.it.Advance(40);
  CHECK(s.Cancel(kJob) == CellStatus::kUnknownJob);
  CHECK(s.Submit(kJob) == CellStatus::kCancelledBefore);
}

TEST(EarlyCancel, IsRefusedWhileTheStoreIsAway) {
  Fixture s;
  s.it.port.store_available = false;
  CHECK(s.Cancel(kJob) == CellStatus::kStoreUnavailable);
  s.it.port.store_available = true;
  CHECK(s.Submit(kJob) == CellStatus::kOk);
}

TEST(EarlyCancel, IsRefusedIfTheStoreRefusesItsRecord) {
  Fixture s;
  s.it.port.refused_keys.insert(kRecord);
  CHECK(s.Cancel(kJob) == CellStatus::kStoreUnavailable);
  CHECK(s.Submit(kJob) == CellStatus::kOk);
}

// A name is only taken by the account that cancelled it.
TEST(EarlyCancel, DoesNotConcernOtherAccounts) {
  Fixture s;
  CHECK(s.Cancel(kJob, "t1") == CellStatus::kUnknownJob);
  CHECK(s.Submit(kJob) == CellStatus::kOk);
  s.it.Advance(200);
  CHECK_EQUAL(1, s.Running(kJob));
}

TEST(EarlyCancel, CancelOfAKnownJobIsNone) {
  Fixture s;
  CHECK(s.Submit(kJob) == CellStatus::kOk);
  CHECK(s.Cancel(kJob) == CellStatus::kOk);
  CHECK(!s.it.port.stored.contains(kRecord));
  CHECK(s.Submit(kJob) == CellStatus::kOk);  // The same job, cancelled.
  STRCMP_EQUAL("cancelled", s.it.State(kJob).c_str());
}

TEST(EarlyCancel, IsForgottenInTime) {
  Fixture s;
  CHECK(s.Cancel(kJob) == CellStatus::kUnknownJob);
  CHECK(s.it.port.stored.contains(kRecord));
  constexpr int kLongMs = 170'000;
  s.it.wall_ms += kLongMs;
  s.it.now += milliseconds(kLongMs);
  s.it.Advance(5100);
  CHECK(!s.it.port.stored.contains(kRecord));
  CHECK_EQUAL(0U, s.it.cell->Count().early_cancels);
  CHECK(s.Submit(kJob) == CellStatus::kOk);
}

// A caller that cancels at random must not use up the memory, nor deny others
// their cancels.
TEST(EarlyCancel, EachAccountHasABound) {
  Fixture s;
  constexpr int kMany = 20'000;
  int answered = 0;
  int refused = 0;
  for (int n = 0; n < kMany; ++n) {
    s.it.cell->Cancel(JobId("x" + std::to_string(n)), TeamId("t1"), s.it.now,
                      [&](const CellOutcome& of) {
                        answered += of.status == CellStatus::kUnknownJob;
                        refused += of.status == CellStatus::kOverloaded;
                      });
  }
  s.it.Advance(40);
  CHECK_EQUAL(10'000, answered);
  CHECK_EQUAL(kMany - 10'000, refused);
  CHECK(s.Cancel(kJob) == CellStatus::kUnknownJob);
  CHECK(s.Submit(kJob) == CellStatus::kCancelledBefore);
}

}  // namespace bw::test
