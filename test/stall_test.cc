// Verdict on gang members that use no processor time.
#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>
#include <vector>

#include "../src/stall_func.h"

namespace bw::test {
namespace {

const Time kStart(milliseconds(100'000));
constexpr milliseconds kReportInterval{500};
constexpr milliseconds kNoWork{1'000'000'000};

/// Simulates a gang whose members report every kReportInterval and end together
/// once all have done their work.
class Gang {
 public:
  explicit Gang(std::vector<milliseconds> work) : work_(std::move(work)) {
    for (size_t n = 0; n < work_.size(); ++n) {
      stops_after_.push_back(work_[n]);
      members_.push_back({});
      members_.back().known = members_.back().seen_from_start = true;
    }
  }

  /// The member stops working `at` after the start without having finished.
  void StandStill(size_t member, milliseconds at) {
    stops_after_[member] = at;
    work_[member] = kNoWork;
  }
  GangMember& Member(size_t n) { return members_[n]; }
  milliseconds Ran() const { return ran_; }

  /// Plays until a verdict, the gang's end or `most`.
  std::optional<size_t> Play(milliseconds most) {
    while (ran_ < most && !Ended()) {
      ran_ += kReportInterval;
      for (size_t n = 0; n < members_.size(); ++n) {
        const bool busy = ran_ <= stops_after_[n];
        members_[n].ran = ran_;
        members_[n].activity.OnReport(busy, kStart, kStart + ran_);
      }
      if (const auto out =
              Ended() ? std::nullopt : FindStalledMember(members_)) {
        return out;
      }
    }
    return std::nullopt;
  }

 private:
  bool Ended() const {
    for (const auto& it : work_) {
      if (ran_ < it) {
        return false;
      }
    }
    return true;
  }

  std::vector<milliseconds> work_;
  std::vector<milliseconds> stops_after_;
  std::vector<GangMember> members_;
  milliseconds ran_{0};
};

/// @return Work of a gang's members on servers of two speeds, with a tail.
std::vector<milliseconds> UnevenWork(std::mt19937_64* random) {
  std::normal_distribution<double> uneven(1, 0.15);
  std::uniform_real_distribution<double> share(0, 1);
  std::vector<milliseconds> out;
  for (int n = 0; n < 20; ++n) {
    const double speed = share(*random) < 0.25 ? 0.55 : 1.2;
    const double tail = share(*random) < 0.03 ? 7 : 1;
    out.emplace_back(static_cast<int64_t>(
        5300 * std::max(0.5, uneven(*random)) * tail / speed));
  }
  return out;
}

}  // namespace

TEST_GROUP(Stall){};

// A day without standing tasks: a quarter of the servers has half the speed, 3%
// of the tasks run 7 times as long. 86% of the work thrown away came from
// members that had finished.
TEST(Stall, MembersThatWaitForTheSlowestAreNotStopped) {
  std::mt19937_64 random(3);
  for (int gang = 0; gang < 200; ++gang) {
    CHECK(!Gang(UnevenWork(&random)).Play(milliseconds(120'000)));
  }
}

TEST(Stall, MemberThatStandsStillFromItsStartIsFound) {
  Gang gang(std::vector<milliseconds>(20, milliseconds(30'000)));
  gang.StandStill(7, milliseconds(0));
  CHECK_EQUAL(7U, gang.Play(milliseconds(60'000)).value_or(99));
  CHECK(gang.Ran() <= milliseconds(4'000));
}

TEST(Stall, MemberThatStopsEarlyIsFoundWhileOthersWork) {
  Gang gang(std::vector<milliseconds>(20, milliseconds(30'000)));
  gang.StandStill(7, milliseconds(2'000));
  CHECK_EQUAL(7U, gang.Play(milliseconds(60'000)).value_or(99));
  CHECK(gang.Ran() < milliseconds(15'000));
}

// It may have finished, until all others have and the gang does not end.
TEST(Stall, MemberThatStopsMidwayIsFoundWhenNoneWorks) {
  Gang gang(std::vector<milliseconds>(20, milliseconds(10'000)));
  gang.StandStill(7, milliseconds(6'000));
  CHECK_EQUAL(7U, gang.Play(milliseconds(60'000)).value_or(99));
  CHECK(gang.Ran() > milliseconds(10'000));
  CHECK(gang.Ran() < milliseconds(13'000));
}

// A server that stands still does so with all its runs.
TEST(Stall, MemberBesideBusyRunsIsNotTheLikeliest) {
  Gang gang(std::vector<milliseconds>(4, milliseconds(10'000)));
  gang.StandStill(2, milliseconds(9'000));
  for (size_t n : {0, 1, 3}) {
    gang.Member(n).server_busy = true;
  }
  CHECK_EQUAL(2U, gang.Play(milliseconds(60'000)).value_or(99));
}

// A member without a recent report may be the one that works.
TEST(Stall, GangWithAnUnknownMemberWaits) {
  Gang gang({milliseconds(10'000), milliseconds(10'000)});
  gang.StandStill(1, milliseconds(8'000));
  gang.Member(0).known = false;
  CHECK(!gang.Play(milliseconds(30'000)));
}

// A new owner has not seen how long an adopted run had worked before.
TEST(Stall, AdoptedMemberWaitsForBusyMates) {
  Gang gang(std::vector<milliseconds>(3, milliseconds(20'000)));
  gang.StandStill(1, milliseconds(0));
  gang.Member(1).seen_from_start = false;
  CHECK(!gang.Play(milliseconds(20'000)));
  CHECK_EQUAL(1U, gang.Play(milliseconds(30'000)).value_or(99));
}

TEST(Stall, LoneTaskIsJudgedByItsOwnUse) {
  RunActivity activity;
  activity.OnReport(true, kStart, kStart + milliseconds(500));
  activity.OnReport(false, kStart, kStart + milliseconds(1'000));
  activity.OnReport(false, kStart, kStart + milliseconds(2'600));
  CHECK(!IsStalled(activity, milliseconds(2'600)));
  CHECK(IsStalled(activity, milliseconds(3'000)));
}

}  // namespace bw::test
