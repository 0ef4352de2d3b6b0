// Numeric fields of client account templates and their queues. Parsing,
// validation and help of `bwctl` are driven by these rows.
#pragma once

#include <cstdint>

#include "../control_type.h"

namespace bw::table {

/// A numeric field of the account.
struct AccountField {
  const char* name;
  uint64_t ClientAccount::*member;
  uint64_t min;
  uint64_t max;
  const char* text;
};

inline constexpr AccountField kAccountFields[] = {
    {"share", &ClientAccount::share, 1, 1'000'000,
     "Weight of the team in the fair share of a full cell."},
    {"upper_limit", &ClientAccount::upper_limit, 0, 100'000'000,
     "Maximum number of units the team may run in the whole fleet."},
};

/// A numeric field of one queue.
struct QueueField {
  const char* name;
  uint32_t QueuePolicy::*member;
  uint32_t min;
  uint32_t max;
  const char* text;
};

inline constexpr QueueField kQueueFields[] = {
    {"priority", &QueuePolicy::priority, 0, 9,
     "Priority from 0 (lowest) to 9 (most urgent)."},
    {"max_waiting", &QueuePolicy::max_waiting, 1, 100'000,
     "Maximum number of items waiting in one shard."},
    {"max_wait_ms", &QueuePolicy::max_wait_ms, 1, 3'600'000,
     "Longest waiting time of a request, in ms."},
};

}  // namespace bw::table
