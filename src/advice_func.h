// Which servers a question to the advice service names: a pure function over
// plain values. Thread-safe.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "cell_type.h"

namespace bw {

/// One server that the service has not refused for the step.
struct AdviceCandidate {
  uint32_t free_slots = 0;   ///< Tasks of the step that fit now.
  uint32_t total_slots = 0;  ///< Tasks that fit if it were empty.
  uint64_t free_millicores = 0;
  bool admitted = false;  ///< Its ticket stays valid long enough.
  bool known = false;     ///< Admitted before: it will be again.

  bool operator==(const AdviceCandidate&) const = default;
};

struct AdviceNeed {
  uint32_t count = 1;  ///< Tasks to place.
  bool gang = false;
  AdvicePolicy policy;
  double good_share = 0.5;  ///< Of servers named so far.
};

struct AdviceChoice {
  bool enough = false;            ///< Enough servers are admitted already.
  std::vector<uint32_t> servers;  ///< Indices; empty: nothing to ask.
  milliseconds expected{0};       ///< Time of the question.
};

/// @return True if the policy's advice is so slow that it is asked for ahead of
/// room.
bool IsSlow(const AdvicePolicy& policy);

/// Names as few servers as will do, those with room first, and more as long as
/// that is cheap.
AdviceChoice ChooseServersToName(std::span<const AdviceCandidate> candidates,
                                 const AdviceNeed& need);

/// Calls of one instance to the advice service, which takes one at a time.
struct AdviceChannel {
  Time busy_until = kNever;   ///< As far as is known.
  Time avoid_until = kNever;  ///< It did not answer.
  Time overdue_at = kNever;   ///< An answer is overdue from then; kNever: none.
  uint32_t open = 0;          ///< Questions without an answer yet.
  bool proven = false;        ///< It answered the last question that ended.

  auto operator<=>(const AdviceChannel&) const = default;
};

inline constexpr size_t kNoChannel = ~size_t{0};

/// Chooses the instance that asks a question. Of several instances some are
/// kept for quick questions, and some for all but long ones, so that a burst of
/// long ones does not hold quick work up. One that has not answered yet may be
/// dead: it comes after those that are free, and gets one question at a time.
/// @param expected Time of the question.
/// @param urgent It may wait for a short while. @return kNoChannel if none can.
size_t ChooseChannel(std::span<const AdviceChannel> channels,
                     milliseconds expected,
                     bool urgent,
                     Time now);

}  // namespace bw
