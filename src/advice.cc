#include <algorithm>
#include <tuple>

#include "advice_func.h"

namespace bw {
namespace {

/// Advice slower than this is asked for ahead of room.
constexpr double kSlowAdviceMs = 200;
/// Slots on good servers wanted for each task: others take some meanwhile.
constexpr double kSlotsPerTask = 1.3;
constexpr double kSlotsPerGangTask = 1.6;
/// A gang's tickets are renewed once this part of its tasks has room.
constexpr double kGangPartFree = 0.5;
/// Backend servers named in one question at most; and more than are needed, as
/// long as they add only this part to the time of the question. Any of them may
/// have room first.
constexpr size_t kMaxNamed = 60;
constexpr double kCheapPart = 0.35;

/// Questions up to this long are quick: any instance may ask them.
constexpr milliseconds kQuickAdvice{30};
/// Questions from this length on are long: they may use the first two thirds of
/// the instances only.
constexpr milliseconds kLongAdvice{150};
constexpr size_t kLongPartOf = 3;
/// One of this many instances asks quick questions only.
constexpr size_t kQuickPartOf = 4;
/// Urgent questions may wait this long for an instance that still asks another.
constexpr milliseconds kQuickBacklog{120};
constexpr milliseconds kBacklog{30};
/// An instance that may be dead is asked rather than one that is busy for
/// longer than this.
constexpr milliseconds kUntriedPenalty{30};

/// Slots that a server is expected to give.
uint32_t SlotsOf(const AdviceCandidate& it, const AdviceNeed& need) {
  const bool ahead = need.gang || IsSlow(need.policy);
  return it.free_slots > 0 || !ahead ? it.free_slots : it.total_slots;
}

}  // namespace

bool IsSlow(const AdvicePolicy& policy) {
  return policy.base_ms > kSlowAdviceMs;
}

AdviceChoice ChooseServersToName(std::span<const AdviceCandidate> candidates,
                                 const AdviceNeed& need) {
  AdviceChoice out;
  const double wanted =
      need.count * (need.gang ? kSlotsPerGangTask : kSlotsPerTask);
  double admitted = 0;
  double known = 0;       // Slots where it may run, with a ticket or without.
  double known_free = 0;  // Of those, free now.
  std::vector<uint32_t> order;
  for (uint32_t n = 0; n < candidates.size(); ++n) {
    const AdviceCandidate& it = candidates[n];
    if (it.admitted || it.known) {
      known += SlotsOf(it, need);
      known_free += it.free_slots;
    }
    if (it.admitted) {
      admitted += SlotsOf(it, need);
    } else if (it.total_slots > 0) {
      order.push_back(n);
    }
  }
  out.enough = admitted >= wanted;
  if (out.enough) {
    return out;
  }
  const double worth_renewing = need.gang ? need.count * kGangPartFree : 1;
  const bool renew = known_free >= worth_renewing;
  if (!renew) {
    // A ticket would run out again before there is room.
    out.enough = known >= wanted;
    std::erase_if(order, [&](uint32_t n) { return candidates[n].known; });
    if (out.enough) {
      return out;
    }
  }
  // Gangs want large holes; other tasks go where they leave them.
  std::sort(order.begin(), order.end(), [&](uint32_t a, uint32_t b) {
    const auto key = [&](uint32_t n) {
      const AdviceCandidate& it = candidates[n];
      const auto free = static_cast<int64_t>(it.free_millicores);
      return std::make_tuple(it.free_slots == 0, !it.known,
                             need.gang ? -free : free, n);
    };
    return key(a) < key(b);
  });
  double expected = renew ? admitted : known;
  for (uint32_t n : order) {
    const double time_of_names =
        need.policy.per_server_ms * static_cast<double>(out.servers.size());
    const bool dear = time_of_names >= need.policy.base_ms * kCheapPart;
    if ((expected >= wanted && dear) || out.servers.size() >= kMaxNamed) {
      break;
    }
    const double slots = SlotsOf(candidates[n], need);
    expected += candidates[n].known ? slots : slots * need.good_share;
    out.servers.push_back(n);
  }
  out.expected = milliseconds(static_cast<int64_t>(
      need.policy.base_ms +
      need.policy.per_server_ms * static_cast<double>(out.servers.size())));
  return out;
}

size_t ChooseChannel(std::span<const AdviceChannel> channels,
                     milliseconds expected,
                     bool urgent,
                     Time now) {
  const size_t n = channels.size();
  if (n == 0) {
    return kNoChannel;
  }
  const bool quick = expected <= kQuickAdvice;
  const bool is_long = expected > kLongAdvice;
  size_t usable = n;
  if (is_long) {
    usable = std::max<size_t>(1, n * (kLongPartOf - 1) / kLongPartOf);
  } else if (!quick && n >= kLongPartOf) {
    usable = n - std::max<size_t>(1, n / kQuickPartOf);
  }
  const milliseconds backlog =
      !urgent ? milliseconds(0) : (quick ? kQuickBacklog : kBacklog);
  size_t best = kNoChannel;
  for (size_t i = 0; i < usable; ++i) {
    // Long questions go to the first ones, others rather to the last.
    const size_t k = is_long ? i : usable - 1 - i;
    const AdviceChannel& it = channels[k];
    const bool overdue = it.overdue_at != kNever && it.overdue_at <= now;
    const bool untried_and_asked = !it.proven && it.open > 0;
    if (overdue || untried_and_asked || it.avoid_until > now ||
        it.busy_until > now + backlog) {
      continue;
    }
    const auto ready_at = [&](const AdviceChannel& of) {
      return std::max(of.busy_until, now) +
             (of.proven ? milliseconds(0) : kUntriedPenalty);
    };
    if (best == kNoChannel || ready_at(it) < ready_at(channels[best])) {
      best = k;
    }
  }
  return best;
}

}  // namespace bw
