// Choice of the servers that a query to the advice service lists, and of the
// instance that sends it. Pure functions over plain values; thread-safe.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "cell_type.h"

namespace bw {

/// A server that the advice service has not refused for the step.
struct AdviceCandidate {
  uint32_t free_slots = 0;   ///< Tasks of the step that fit now.
  uint32_t total_slots = 0;  ///< Tasks that fit on the empty server.
  uint64_t free_millicores = 0;
  bool has_ticket = false;       ///< Its ticket stays valid long enough.
  bool admitted_before = false;  ///< Had a ticket; expected to get one again.
  uint32_t unwanted_speed = 0;   ///< See UnwantedSpeed.

  bool operator==(const AdviceCandidate&) const = default;
};

/// What a step needs from the advice service.
struct AdviceNeed {
  uint32_t count = 1;  ///< Number of tasks to place.
  bool gang = false;
  AdvicePolicy policy;
  double admit_ratio = 0.5;  ///< Expected share of listed servers admitted.
  size_t instances = 1;      ///< Instances that send queries.
  /// Of these, those that could send a long query now.
  size_t idle_instances = 1;
  bool has_reservation = false;  ///< Room is reserved for the step.
};

/// Result of ChooseServersToQuery.
struct AdviceChoice {
  bool enough = false;            ///< Known servers suffice without a query.
  std::vector<uint32_t> servers;  ///< Candidate indices; empty: no query.
  size_t per_query = 0;           ///< Most servers in one query.
  milliseconds expected{0};       ///< Expected duration of the longest query.
};

/// @return Number of queries that one step may send at the same time.
/// @param instances Number of instances that send queries.
size_t MaxQueriesAtOnce(size_t instances);

/// @return True if queries are so slow that they are sent before there is room
/// for the tasks.
bool IsSlow(const AdvicePolicy& policy);

/// Chooses the servers to list in queries: those with room first, as many as
/// are expected to suffice, and more while they add little to their duration.
/// In a large fleet a gang asks for as many servers as have room for it now,
/// not only as could hold it when empty, and while many instances are idle in
/// several queries at once.
AdviceChoice ChooseServersToQuery(std::span<const AdviceCandidate> candidates,
                                  const AdviceNeed& need);

/// State of one instance that sends queries to the advice service. The service
/// accepts one query at a time from each instance.
struct AdviceChannel {
  Time busy_until = kNever;  ///< Expected end of its pending queries.
  /// Gets no queries before this, after a time-out or a lost connection.
  Time avoid_until = kNever;
  Time overdue_at = kNever;  ///< A reply is overdue then; kNever: none pending.
  uint32_t pending = 0;      ///< Queries without a reply.
  bool responsive = false;   ///< Replied to the last completed query.

  auto operator<=>(const AdviceChannel&) const = default;
};

/// Result of ChooseChannel if no instance is available.
inline constexpr size_t kNoChannel = ~size_t{0};

/// @return Number of instances that could send a long query now.
size_t CountIdleChannels(std::span<const AdviceChannel> channels, Time now);

/// Chooses the instance that sends a query. Some instances are reserved for
/// short queries and some for all but long ones, so that a burst of long
/// queries does not delay short ones. An instance that has not replied yet may
/// be down: it ranks after available ones and gets one query at a time.
/// @param expected Expected duration of the query.
/// @param urgent Allows an instance that is busy for a short time.
/// @return Index of the instance, or kNoChannel if none is available.
size_t ChooseChannel(std::span<const AdviceChannel> channels,
                     milliseconds expected,
                     bool urgent,
                     Time now);

}  // namespace bw
