// Renders the time line as an SVG picture. Pure functions, thread-safe.
#pragma once

#include <string>
#include <vector>

#include "timeline_type.h"

namespace bw {

/// Draws one lane per process, with a dot for each event and a bar for each
/// period in which the process had authority over a shard.
/// @pre `events` are sorted.
/// @return An SVG document.
std::string TimelineToSvg(const std::vector<TimelineEvent>& events);

}  // namespace bw
