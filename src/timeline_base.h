// Collects the events of one process.
#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "timeline_type.h"

namespace bw {

/// Hybrid logical clock: follows the wall clock, never goes back, and is
/// always later than every clock it has heard of. Thread-safe.
class HybridClock {
 public:
  /// @return The next stamp.
  uint64_t Tick();

  /// Takes in a stamp heard from another process.
  void Hear(uint64_t stamp);

 private:
  std::mutex mutex_;
  uint64_t last_ = 0;
};

/// Keeps the newest events in memory; also writes them as JSON lines when a
/// file is named. All methods are thread-safe.
class Timeline {
 public:
  /// @param file Where to append; empty for memory only.
  Timeline(std::string instance,
           std::string zone,
           std::string process,
           const std::string& file);

  void Write(EventKind kind, std::string subject, std::string detail = {});

  HybridClock& clock() { return clock_; }

  /// @return Kept events later than `after`, as JSON lines.
  std::string ToLines(uint64_t after) const;

 private:
  const std::string instance_;
  const std::string zone_;
  const std::string process_;
  HybridClock clock_;
  mutable std::mutex mutex_;
  std::deque<TimelineEvent> events_;
  std::ofstream file_;
};

/// @return The event as one line of JSON, without a line end.
std::string EventToLine(const TimelineEvent& event);

/// @return The event, or nothing if the line cannot be read.
std::optional<TimelineEvent> EventFromLine(std::string_view line);

/// @return The stable name of a kind.
const char* EventName(EventKind kind);

}  // namespace bw
