#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "timeline_base.h"
#include "timeline_svg_func.h"

namespace bw {
namespace {

// Layout, in pixels.
constexpr int kWidth = 1200;
constexpr int kLeft = 130;  // Width of the column of lane names.
constexpr int kLaneHeight = 26;
constexpr int kTop = 40;
constexpr int kLegendLeft = 10;
constexpr int kLegendStep = 107;
constexpr int kCounterBits = 16;

struct KindColour {
  EventKind kind;
  const char* colour;
};
constexpr KindColour kColours[] = {
    {EventKind::kStarted, "#2e7d32"},
    {EventKind::kStopped, "#000000"},
    {EventKind::kDrainBegan, "#6d4c41"},
    {EventKind::kClockGap, "#d500f9"},
    {EventKind::kConfigApplied, "#1565c0"},
    {EventKind::kRequestSent, "#90caf9"},
    {EventKind::kRequestRefused, "#ef6c00"},
    {EventKind::kTaskRunning, "#66bb6a"},
    {EventKind::kTaskUnknown, "#c62828"},
    {EventKind::kAllowanceMoved, "#fdd835"},
    {EventKind::kBackendQuarantined, "#c62828"},
};

const char* ColourFor(EventKind kind) {
  for (const auto& it : kColours) {
    if (it.kind == kind) {
      return it.colour;
    }
  }
  return "#b0bec5";
}

/// Maps time stamps to horizontal positions.
struct Scale {
  uint64_t first_ms = 0;
  uint64_t last_ms = 1;

  int X(uint64_t hlc) const {
    const uint64_t ms = (hlc >> kCounterBits) - first_ms;
    return kLeft + static_cast<int>(ms * (kWidth - kLeft - 20) /
                                    std::max<uint64_t>(1, last_ms - first_ms));
  }
};

/// @return The name of the process's lane, which also identifies it.
std::string LaneName(const TimelineEvent& event) {
  return event.zone + " " + event.instance + " " + event.process;
}

/// Escapes text for XML element content.
std::string EscapeXml(const std::string& text) {
  std::string out;
  for (const char c : text) {
    out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  }
  return out;
}

/// Draws a bar for each period of authority over a shard. A bar ends when the
/// process loses its authority or starts again, or when its instance leaves.
std::string DrawAuthority(const std::vector<TimelineEvent>& events,
                          const std::map<std::string, int>& lanes,
                          const Scale& scale) {
  std::string out;
  std::map<std::string, uint64_t> gained_at;
  const auto draw_bar = [&](const std::string& lane, uint64_t from,
                            uint64_t to) {
    out += fmt::format(
        "<rect x='{}' y='{}' width='{}' height='8' fill='#a5d6a7'/>\n",
        scale.X(from), lanes.at(lane) + 6,
        std::max(1, scale.X(to) - scale.X(from)));
  };
  for (const auto& it : events) {
    const std::string lane = LaneName(it);
    // A killed process cannot record the end of its authority; its eviction by
    // another member ends the bar instead.
    const bool is_departure = it.kind == EventKind::kMemberEvicted ||
                              it.kind == EventKind::kMemberLeft;
    const std::string ended_lane =
        is_departure ? it.zone + " " + it.subject + " " + it.process : lane;
    if (it.kind == EventKind::kAuthorityGained) {
      gained_at.emplace(lane, it.hlc);
    } else if (is_departure || it.kind == EventKind::kAuthorityLost ||
               it.kind == EventKind::kStarted) {
      if (auto node = gained_at.extract(ended_lane); !node.empty()) {
        draw_bar(ended_lane, node.mapped(), it.hlc);
      }
    }
  }
  for (const auto& it : gained_at) {
    draw_bar(it.first, it.second, events.back().hlc);
  }
  return out;
}

std::string DrawLegend() {
  std::string out;
  int x = kLegendLeft;
  for (const auto& it : kColours) {
    out += fmt::format(
        "<circle cx='{}' cy='14' r='4' fill='{}'/><text x='{}' y='18' "
        "font-size='9'>{}</text>\n",
        x, it.colour, x + 7, EventName(it.kind));
    x += kLegendStep;
  }
  return out;
}

}  // namespace

std::string TimelineToSvg(const std::vector<TimelineEvent>& events) {
  std::map<std::string, int> lanes;
  Scale scale;
  if (!events.empty()) {
    scale.first_ms = events.front().hlc >> kCounterBits;
    scale.last_ms = events.back().hlc >> kCounterBits;
  }
  for (const auto& it : events) {
    lanes.emplace(LaneName(it), 0);
  }
  int y = kTop;
  for (auto& it : lanes) {
    it.second = y;
    y += kLaneHeight;
  }
  std::string out = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif'>\n<rect width='100%' height='100%' "
      "fill='white'/>\n",
      kWidth, y + 20);
  out += DrawLegend();
  for (const auto& it : lanes) {
    out += fmt::format(
        "<text x='4' y='{}' font-size='11'>{}</text><line x1='{}' x2='{}' "
        "y1='{}' y2='{}' stroke='#eceff1'/>\n",
        it.second + 14, EscapeXml(it.first), kLeft, kWidth - 20, it.second + 10,
        it.second + 10);
  }
  out += DrawAuthority(events, lanes, scale);
  for (const auto& it : events) {
    out += fmt::format(
        "<circle cx='{}' cy='{}' r='3' fill='{}'><title>{} {} {}</title>"
        "</circle>\n",
        scale.X(it.hlc), lanes.at(LaneName(it)) + 10, ColourFor(it.kind),
        EventName(it.kind), EscapeXml(it.subject), EscapeXml(it.detail));
  }
  out += fmt::format(
      "<text x='{}' y='{}' font-size='10'>{} ms in total</text>\n</svg>\n",
      kLeft, y + 12, scale.last_ms - scale.first_ms);
  return out;
}

}  // namespace bw
