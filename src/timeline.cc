#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "table/events.h"
#include "timeline_base.h"

namespace bw {
namespace {

constexpr size_t kMaxEventsInMemory = 20'000;
constexpr int kCounterBits = 16;

/// @return The wall clock as a stamp with counter 0.
uint64_t WallClockStamp() {
  using std::chrono::system_clock;
  auto n = std::chrono::duration_cast<std::chrono::milliseconds>(
               system_clock::now().time_since_epoch())
               .count();
  return static_cast<uint64_t>(n) << kCounterBits;
}

}  // namespace

uint64_t HybridClock::Tick() {
  const uint64_t wall = WallClockStamp();
  std::lock_guard lock(mutex_);
  last_ = std::max(wall, last_ + 1);
  return last_;
}

void HybridClock::Observe(uint64_t stamp) {
  std::lock_guard lock(mutex_);
  last_ = std::max(last_, stamp);
}

const char* EventName(EventKind kind) {
  return table::kEventNames[static_cast<size_t>(kind)];
}

std::string EventToJson(const TimelineEvent& event) {
  nlohmann::ordered_json out = {{"hlc", event.hlc},
                                {"instance", event.instance},
                                {"zone", event.zone},
                                {"process", event.process},
                                {"kind", EventName(event.kind)},
                                {"subject", event.subject},
                                {"detail", event.detail}};
  return out.dump(-1, ' ', false,
                  nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<TimelineEvent> ParseEvent(std::string_view line) {
  auto in = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!in.is_object() || !in.contains("hlc") ||
      !in["hlc"].is_number_unsigned()) {
    return std::nullopt;
  }
  auto text = [&](const char* key) {
    auto it = in.find(key);
    return it != in.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
  };
  const auto& names = table::kEventNames;
  const auto it = std::find(names.begin(), names.end(), text("kind"));
  if (it == names.end()) {
    return std::nullopt;
  }
  return TimelineEvent{in["hlc"].get<uint64_t>(),
                       text("instance"),
                       text("zone"),
                       text("process"),
                       static_cast<EventKind>(it - names.begin()),
                       text("subject"),
                       text("detail")};
}

Timeline::Timeline(std::string instance,
                   std::string zone,
                   std::string process,
                   const std::string& file)
    : instance_(std::move(instance)),
      zone_(std::move(zone)),
      process_(std::move(process)) {
  if (!file.empty()) {
    file_.open(file, std::ios::app);
  }
}

void Timeline::Write(EventKind kind, std::string subject, std::string detail) {
  TimelineEvent event{clock_.Tick(),    instance_, zone_,
                      process_,         kind,      std::move(subject),
                      std::move(detail)};
  std::lock_guard lock(mutex_);
  if (file_.is_open()) {
    file_ << EventToJson(event) << '\n' << std::flush;
  }
  events_.push_back(std::move(event));
  if (events_.size() > kMaxEventsInMemory) {
    events_.pop_front();
  }
}

std::string Timeline::ToLines(uint64_t after) const {
  std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& it : events_) {
    if (it.hlc > after) {
      out += EventToJson(it) + '\n';
    }
  }
  return out;
}

}  // namespace bw
