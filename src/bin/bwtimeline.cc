// bwtimeline: merges the events of all processes into one time line, in the
// order of their hybrid logical clocks.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "../net/http_client.h"
#include "../process_func.h"
#include "../table/timeline_settings.h"
#include "../timeline_base.h"
#include "../timeline_svg_func.h"

namespace bw {
namespace {

constexpr const char* kUsage =
    "[OPTION...] SOURCE...\n\n"
    "A SOURCE is an event file or the status address of a process, such as\n"
    "http://127.0.0.1:9000. Formats: --set timeline.format=text|json|svg\n";

/// Reads the events of a file or a process as JSON lines into `out`.
/// @return False if the source cannot be read.
bool ReadSource(const std::string& source, std::string* out) {
  if (source.starts_with("http://")) {
    net::HttpCall call;
    call.url = source + "/timeline";
    const auto result = net::CallAndWait(call);
    *out = result.body;
    return result.Ok();
  }
  std::ifstream file(source);
  std::stringstream text;
  text << file.rdbuf();
  *out = text.str();
  return file.good() || file.eof();
}

/// Selects events by the settings timeline.subject, .instance and .kinds.
class Filter {
 public:
  explicit Filter(const Settings& settings)
      : subject_(settings.Text("timeline.subject")),
        instance_(settings.Text("timeline.instance")),
        kinds_(settings.List("timeline.kinds")) {}

  bool Matches(const TimelineEvent& it) const {
    return it.subject.find(subject_) != std::string::npos &&
           (instance_.empty() || it.instance == instance_) &&
           (kinds_.empty() || std::find(kinds_.begin(), kinds_.end(),
                                        EventName(it.kind)) != kinds_.end());
  }

 private:
  const std::string subject_;
  const std::string instance_;
  const std::vector<std::string> kinds_;
};

std::string ToTextLine(const TimelineEvent& event) {
  constexpr int kCounterBits = 16;
  const std::chrono::milliseconds wall(event.hlc >> kCounterBits);
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(wall).count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  return fmt::format("{:02}:{:02}:{:02}.{:03} {:<3} {:<6} {:<9} {:<19} {} {}",
                     parts.tm_hour, parts.tm_min, parts.tm_sec,
                     wall.count() % 1000, event.zone, event.instance,
                     event.process, EventName(event.kind), event.subject,
                     event.detail);
}

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, kUsage, table::kTimelineSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  const std::string& format = line->settings.Text("timeline.format");
  if (line->arguments.empty() ||
      (format != "text" && format != "json" && format != "svg")) {
    std::fputs("Expected at least one source and a known format; see --help.\n",
               stderr);
    return ToInt(ExitCode::kUsage);
  }
  const Filter filter(line->settings);
  std::vector<TimelineEvent> events;
  for (const auto& it : line->arguments) {
    std::string text;
    if (!ReadSource(it, &text)) {
      std::fprintf(stderr, "%s: cannot be read\n", it.c_str());
      exit_code = ToInt(ExitCode::kUnavailable);
      continue;
    }
    std::istringstream lines(text);
    std::string json;
    while (std::getline(lines, json)) {
      auto event = ParseEvent(json);
      if (event && filter.Matches(*event)) {
        events.push_back(std::move(*event));
      }
    }
  }
  std::sort(events.begin(), events.end());
  if (format == "svg") {
    std::printf("%s", TimelineToSvg(events).c_str());
    return exit_code;
  }
  for (const auto& it : events) {
    std::printf("%s\n",
                (format == "json" ? EventToJson(it) : ToTextLine(it)).c_str());
  }
  return exit_code;
}

}  // namespace
}  // namespace bw

int main(int argc, const char** argv) {
  bw::RunMain(bw::Main, argc, argv);
}
