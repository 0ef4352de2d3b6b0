// Fields of a client account template and of its queues: name, range, text.
// Reader, check and help of `bwctl` are made from these rows.
#pragma once

#include <cstdint>

#include "../control_type.h"

namespace bw::table {

/// A number of the account itself.
struct AccountField {
  const char* name;
  uint64_t ClientAccount::*member;
  uint64_t min;
  uint64_t max;
  const char* text;
};

inline constexpr AccountField kAccountFields[] = {
    {"share", &ClientAccount::share, 1, 1'000'000,
     "Weight of the team when the cell is full."},
    {"upper_limit", &ClientAccount::upper_limit, 0, 100'000'000,
     "Units the team may run in the whole fleet."},
};

/// A number of one queue.
struct QueueField {
  const char* name;
  uint32_t QueuePolicy::*member;
  uint32_t min;
  uint32_t max;
  const char* text;
};

inline constexpr QueueField kQueueFields[] = {
    {"priority", &QueuePolicy::priority, 0, 9, "0 lowest to 9 urgent."},
    {"max_waiting", &QueuePolicy::max_waiting, 1, 100'000,
     "Items that may wait in one shard."},
    {"max_wait_ms", &QueuePolicy::max_wait_ms, 1, 3'600'000,
     "Longest wait of a request, in ms."},
};

}  // namespace bw::table
