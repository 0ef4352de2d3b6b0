// Pictures of the time line. Thread-safe: pure functions.
#pragma once

#include <string>
#include <vector>

#include "timeline_type.h"

namespace bw {

/// Draws one lane for each process, with a mark for each event and a bar while
/// a process has authority over a shard.
/// @pre `events` are in order.
/// @return An SVG document.
std::string DrawTimeline(const std::vector<TimelineEvent>& events);

}  // namespace bw
