// Event time line of one process, stamped by a hybrid logical clock.
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

/// Hybrid logical clock: follows the wall clock, never goes back, and stays
/// ahead of every stamp it received from other processes. Thread-safe.
class HybridClock {
 public:
  /// @return A new stamp, larger than all earlier ones.
  uint64_t Tick();

  /// Advances the clock to a stamp received from another process.
  void Observe(uint64_t stamp);

 private:
  std::mutex mutex_;
  uint64_t last_ = 0;
};

/// Holds the newest events in memory and, if a file is configured, appends all
/// events to it as JSON lines. Thread-safe.
class Timeline {
 public:
  /// @param file File to append to; empty for memory only.
  Timeline(std::string instance,
           std::string zone,
           std::string process,
           const std::string& file);

  /// Records an event with a new stamp.
  void Write(EventKind kind, std::string subject, std::string detail = {});

  HybridClock& clock() { return clock_; }

  /// @param after Stamp of the last event the caller has; 0 for all events.
  /// @return The events in memory that are later, as JSON lines.
  std::string ToLines(uint64_t after) const;

 private:
  const std::string instance_;
  const std::string zone_;
  const std::string process_;
  HybridClock clock_;
  mutable std::mutex mutex_;
  std::deque<TimelineEvent> events_;  ///< Oldest first.
  std::ofstream file_;                ///< Closed if no file is configured.
};

/// @return The event as one line of JSON, without a newline.
std::string EventToJson(const TimelineEvent& event);

/// @return The event, or `nullopt` if the line is malformed.
std::optional<TimelineEvent> ParseEvent(std::string_view line);

/// @return The name of a kind, as used in event files and logs.
const char* EventName(EventKind kind);

}  // namespace bw
