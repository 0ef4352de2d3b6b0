#include <algorithm>
#include <tuple>

#include "advice_func.h"

namespace bw {
namespace {

/// Queries with a base duration above this are sent before there is room.
constexpr double kSlowAdviceMs = 200;
/// Slots on admitted servers needed for each task. More than one, as other
/// steps may use some of them in the meantime.
constexpr double kSlotsPerTask = 1.3;
constexpr double kSlotsPerGangTask = 1.6;
/// A gang's tickets are renewed once this fraction of its tasks has room.
constexpr double kGangRenewFraction = 0.5;
/// Maximum number of servers in one query.
constexpr size_t kMaxListed = 60;
/// With several queries at once, each lists servers for at most this fraction
/// of its base duration.
constexpr double kMaxListFraction = 0.5;
/// One step may occupy one in this many instances, and one in this many of
/// those that are idle.
constexpr size_t kInstancesPerQuery = 8;
constexpr size_t kIdlePerQuery = 4;
/// A gang without room asks ahead for servers that could hold this many times
/// its tasks when empty, so that room on a small part of them suffices.
constexpr double kAheadFactor = 4;
/// A query lists more servers than needed while they add at most this fraction
/// to its base duration, as any of them may have room first.
constexpr double kMaxExtraFraction = 0.35;

/// Maximum duration of a short query. Any instance may send short queries.
constexpr milliseconds kShortQuery{30};
/// Queries that take longer than this are long.
constexpr milliseconds kLongQuery{150};
/// Instances that send no long queries: a few for the bursts of short ones and
/// a part of the fleet, but at most one in this many.
constexpr size_t kNoLongQueries = 3;
constexpr size_t kNoLongQueriesPart = 12;
constexpr size_t kNoLongQueriesOneIn = 3;
/// One in this many instances is reserved for short queries.
constexpr size_t kShortQueriesOneIn = 4;
/// Urgent queries may wait this long for an instance that is busy.
constexpr milliseconds kShortQueryBacklog{120};
constexpr milliseconds kBacklog{30};
/// An instance that may be down is preferred to one that is busy for longer
/// than this.
constexpr milliseconds kUnresponsivePenalty{30};

/// @return True if the step asks for servers with room for all its tasks now.
bool AsksForRoom(const AdviceNeed& need) {
  return need.gang && MaxQueriesAtOnce(need.instances) > 1;
}

/// @return Number of queries that the step may send now.
size_t MaxQueries(const AdviceNeed& need) {
  return std::clamp<size_t>(need.idle_instances / kIdlePerQuery, 1,
                            MaxQueriesAtOnce(need.instances));
}

/// @return Number of instances, the first ones, that send long queries.
size_t CountForLongQueries(size_t instances) {
  const size_t others =
      std::min((instances + kNoLongQueriesOneIn - 1) / kNoLongQueriesOneIn,
               kNoLongQueries + instances / kNoLongQueriesPart);
  return std::max<size_t>(1, instances - others);
}

/// @return True if the instance may get a query now.
bool IsUsable(const AdviceChannel& it, milliseconds backlog, Time now) {
  const bool overdue = it.overdue_at != kNever && it.overdue_at <= now;
  const bool unconfirmed_and_pending = !it.responsive && it.pending > 0;
  return !overdue && !unconfirmed_and_pending && it.avoid_until <= now &&
         it.busy_until <= now + backlog;
}

/// @return Maximum number of servers in one of the queries.
size_t MaxPerQuery(const AdviceNeed& need, size_t max_queries) {
  const AdvicePolicy& policy = need.policy;
  if (max_queries <= 1 || policy.query_ms_per_server <= 0) {
    return kMaxListed;
  }
  const double fit =
      policy.query_ms * kMaxListFraction / policy.query_ms_per_server;
  return static_cast<size_t>(
      std::clamp(fit, 1.0, static_cast<double>(kMaxListed)));
}

/// @return Slots that the server is expected to offer.
uint32_t SlotsOf(const AdviceCandidate& it, const AdviceNeed& need) {
  if (AsksForRoom(need)) {
    return it.free_slots;
  }
  const bool ahead = need.gang || IsSlow(need.policy);
  return it.free_slots > 0 || !ahead ? it.free_slots : it.total_slots;
}

}  // namespace

bool IsSlow(const AdvicePolicy& policy) {
  return policy.query_ms > kSlowAdviceMs;
}

AdviceChoice ChooseServersToQuery(std::span<const AdviceCandidate> candidates,
                                  const AdviceNeed& need) {
  AdviceChoice out;
  const double slots_needed =
      need.count * (need.gang ? kSlotsPerGangTask : kSlotsPerTask);
  double admitted = 0;
  double known = 0;           // Slots on servers admitted now or before.
  double known_free = 0;      // Slots of `known` that are free now.
  double admitted_total = 0;  // Slots of `admitted` on empty servers.
  double known_total = 0;     // Slots of `known` on empty servers.
  std::vector<uint32_t> order;
  for (uint32_t n = 0; n < candidates.size(); ++n) {
    const AdviceCandidate& it = candidates[n];
    if (it.has_ticket || it.admitted_before) {
      known += SlotsOf(it, need);
      known_free += it.free_slots;
      known_total += it.total_slots;
    }
    if (it.has_ticket) {
      admitted += SlotsOf(it, need);
      admitted_total += it.total_slots;
    } else if (it.total_slots > 0) {
      order.push_back(n);
    }
  }
  out.enough = admitted >= slots_needed;
  if (out.enough) {
    return out;
  }
  const double min_free_slots = need.gang ? need.count * kGangRenewFraction : 1;
  // A gang that is next needs its tickets once there is room.
  const bool keep = AsksForRoom(need) && need.has_reservation;
  const bool renew = keep || known_free >= min_free_slots;
  if (!renew) {
    // A renewed ticket would expire before there is room.
    out.enough = known >= slots_needed;
    std::erase_if(order,
                  [&](uint32_t n) { return candidates[n].admitted_before; });
    if (out.enough) {
      return out;
    }
  }
  // Gangs prefer the emptiest servers; other tasks the fullest, to keep large
  // blocks free.
  std::sort(order.begin(), order.end(), [&](uint32_t a, uint32_t b) {
    const auto key = [&](uint32_t n) {
      const AdviceCandidate& it = candidates[n];
      const auto free = static_cast<int64_t>(it.free_millicores);
      return std::make_tuple(it.free_slots == 0, it.unwanted_speed,
                             !it.admitted_before, need.gang ? -free : free, n);
    };
    return key(a) < key(b);
  });
  double expected = renew ? admitted : known;
  double expected_total = keep ? admitted_total : known_total;
  const size_t max_queries = MaxQueries(need);
  out.per_query = MaxPerQuery(need, max_queries);
  for (uint32_t n : order) {
    const AdviceCandidate& it = candidates[n];
    const size_t listed = std::min(out.servers.size(), out.per_query);
    const bool expensive =
        need.policy.query_ms_per_server * static_cast<double>(listed) >=
        need.policy.query_ms * kMaxExtraFraction;
    const bool suffices = expected >= slots_needed ||
                          (AsksForRoom(need) && it.free_slots == 0 &&
                           expected_total >= slots_needed * kAheadFactor);
    if ((suffices && expensive) ||
        out.servers.size() >= out.per_query * max_queries) {
      break;
    }
    const double ratio = it.admitted_before ? 1 : need.admit_ratio;
    expected += SlotsOf(it, need) * ratio;
    expected_total += it.admitted_before && !keep ? 0 : it.total_slots * ratio;
    out.servers.push_back(n);
  }
  out.expected = milliseconds(static_cast<int64_t>(
      need.policy.query_ms +
      need.policy.query_ms_per_server *
          static_cast<double>(std::min(out.servers.size(), out.per_query))));
  return out;
}

size_t MaxQueriesAtOnce(size_t instances) {
  return std::max<size_t>(1, instances / kInstancesPerQuery);
}

size_t CountIdleChannels(std::span<const AdviceChannel> channels, Time now) {
  const auto usable = channels.first(
      std::min(channels.size(), CountForLongQueries(channels.size())));
  return static_cast<size_t>(std::count_if(
      usable.begin(), usable.end(),
      [&](const auto& it) { return IsUsable(it, milliseconds(0), now); }));
}

size_t ChooseChannel(std::span<const AdviceChannel> channels,
                     milliseconds expected,
                     bool urgent,
                     Time now) {
  const size_t n = channels.size();
  if (n == 0) {
    return kNoChannel;
  }
  const bool is_short = expected <= kShortQuery;
  const bool is_long = expected > kLongQuery;
  size_t usable = n;
  if (is_long) {
    usable = CountForLongQueries(n);
  } else if (!is_short && n >= kNoLongQueriesOneIn) {
    usable = n - std::max<size_t>(1, n / kShortQueriesOneIn);
  }
  const milliseconds backlog =
      !urgent ? milliseconds(0) : (is_short ? kShortQueryBacklog : kBacklog);
  size_t best = kNoChannel;
  for (size_t i = 0; i < usable; ++i) {
    // Long queries prefer the first instances, others the last.
    const size_t k = is_long ? i : usable - 1 - i;
    const AdviceChannel& it = channels[k];
    if (!IsUsable(it, backlog, now)) {
      continue;
    }
    const auto ready_at = [&](const AdviceChannel& of) {
      return std::max(of.busy_until, now) +
             (of.responsive ? milliseconds(0) : kUnresponsivePenalty);
    };
    if (best == kNoChannel || ready_at(it) < ready_at(channels[best])) {
      best = k;
    }
  }
  return best;
}

}  // namespace bw
