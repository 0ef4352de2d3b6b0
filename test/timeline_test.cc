// Event serialization, the hybrid logical clock and the SVG picture.
#include "../src/timeline_base.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

#include "../src/timeline_svg_func.h"

namespace bw::test {

TEST_GROUP(Timeline){};

TEST(Timeline, EventsComeBackFromTheirLines) {
  Timeline line("e0", "a", "bwgate", "");
  line.Write(EventKind::kClockGap, "sub\"ject\n\xff", "detail");
  std::istringstream lines(line.ToLines(0));
  std::string one;
  std::getline(lines, one);
  const auto event = ParseEvent(one);
  CHECK(event.has_value());
  CHECK(event->kind == EventKind::kClockGap);
  STRCMP_EQUAL("detail", event->detail.c_str());
  CHECK(!ParseEvent("junk").has_value());
  CHECK(!ParseEvent(R"({"hlc":-1})").has_value());
}

TEST(Timeline, ClockIsLaterThanAllItHeard) {
  HybridClock clock;
  const uint64_t heard = clock.Tick() + (uint64_t{60'000} << 16);
  clock.Observe(heard);
  CHECK(clock.Tick() > heard);
  CHECK(clock.Tick() > heard + 1);
}

TEST(Timeline, EvictionEndsTheBarOfAKilledProcess) {
  const auto event = [](uint64_t ms, const char* instance, EventKind kind,
                        const char* subject) {
    return TimelineEvent{ms << 16, instance, "b", "bwplacer",
                         kind,     subject,  ""};
  };
  const auto width = [](const std::string& picture) {
    const auto n = picture.find("width='", picture.find("<rect x="));
    return std::stoi(picture.substr(n + 7));
  };
  const auto gained = event(1, "e3", EventKind::kAuthorityGained, "shard 1");
  const auto late = event(1000, "e4", EventKind::kStarted, "e4");
  const auto evicted = event(500, "e4", EventKind::kMemberEvicted, "e3");
  CHECK(width(TimelineToSvg({gained, evicted, late})) * 3 <
        width(TimelineToSvg({gained, late})) * 2);
}

TEST(Timeline, PictureHasALaneForEachProcess) {
  const std::string picture = TimelineToSvg(
      {{1 << 20, "e0", "a", "bwgate", EventKind::kStarted, "<x>", ""},
       {1 << 21, "e1", "b", "bwplacer", EventKind::kAuthorityGained, "s", ""}});
  CHECK(picture.find("a e0 bwgate") != std::string::npos);
  CHECK(picture.find("b e1 bwplacer") != std::string::npos);
  CHECK(picture.find("<x>") == std::string::npos);
  CHECK(picture.find("<rect x=") != std::string::npos);
  CHECK(TimelineToSvg({}).find("</svg>") != std::string::npos);
}

}  // namespace bw::test
