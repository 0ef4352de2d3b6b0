#include <algorithm>
#include <tuple>
#include <vector>

#include "stall_func.h"

namespace bw {
namespace {

/// A run is judged once it has run for this long: starts and checkpoint
/// restores take time.
constexpr milliseconds kMinRunTime{3'000};
/// A member that stopped after less than this part of the work that half of its
/// gang has done cannot have finished.
constexpr int kMinPartDivisor = 4;

/// @return The work that at least half of the members have done.
Duration MedianWork(std::span<const GangMember> members) {
  std::vector<Duration> work;
  work.reserve(members.size());
  for (const auto& it : members) {
    work.push_back(it.activity.least_worked);
  }
  const auto middle =
      work.begin() + static_cast<ptrdiff_t>((work.size() - 1) / 2);
  std::nth_element(work.begin(), middle, work.end());
  return *middle;
}

}  // namespace

void RunActivity::OnReport(bool busy, Time started, Time now) {
  const bool first = reported_at == kNever;
  const bool was_busy = !first && idle_since == kNever;
  const Duration passed = now - (first ? started : reported_at);
  if (busy && was_busy) {
    least_worked += passed;
  }
  if (busy || was_busy || first) {
    most_worked += passed;
  }
  if (busy) {
    idle_since = kNever;
  } else if (idle_since == kNever) {
    idle_since = now;
  }
  reported_at = now;
}

bool IsStalled(const RunActivity& activity, Duration ran) {
  return activity.IsIdle() && ran >= kMinRunTime;
}

std::optional<size_t> FindStalledMember(std::span<const GangMember> members) {
  if (members.empty()) {
    return std::nullopt;
  }
  const auto may_be_stalled = [](const GangMember& it) {
    return it.known && IsStalled(it.activity, it.ran);
  };
  const bool none_works =
      std::all_of(members.begin(), members.end(), may_be_stalled);
  const Duration median = MedianWork(members);
  std::optional<size_t> out;
  const auto key = [&](size_t n) {
    return std::tuple(members[n].server_busy, members[n].activity.most_worked);
  };
  for (size_t n = 0; n < members.size(); ++n) {
    const GangMember& it = members[n];
    const bool stopped_early =
        it.seen_from_start &&
        it.activity.most_worked * kMinPartDivisor < median;
    if (may_be_stalled(it) && (none_works || stopped_early) &&
        (!out || key(n) < key(*out))) {
      out = n;
    }
  }
  return out;
}

}  // namespace bw
