// Logging over log4cplus. Each part of the system has its own logger, with a
// fixed prefix and a log level.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <utility>

namespace bw {

/// Parts of the system, one logger each. The names are in log.cc, in the same
/// order.
enum class Part : uint8_t {
  kKernel,
  kConfig,
  kMember,
  kLogClient,
  kMesh,
  kGate,
  kPlacer,
  kWorker,
  kRunner,
  kOperatorTool,
  kEnd,
};

enum class LogLevel : uint8_t { kDebug, kInfo, kWarn, kError };

/// Configures logging to standard error, or changes the log levels.
/// @param levels Default level and per-part levels, as in "info" or
/// "info,placer=debug,mesh=warn".
/// @return False if a part or a level is unknown.
bool SetUpLog(const std::string& levels);

/// Switches logging to standard output without a prefix, for structured (JSON)
/// lines, through the event log's queue. Call once, after SetUpLog.
void UseStructuredOutput();

/// @return The name of the part in log lines and in the `log.levels` setting.
const char* PartName(Part part);

/// @return True if a line of this part and level would be written.
/// Thread-safe.
bool IsLogEnabled(Part part, LogLevel level);

/// Writes one line regardless of the level. Blocks while the output does.
/// Thread-safe.
void WriteLog(Part part, LogLevel level, const std::string& line);

/// Writes one line regardless of the level. With structured output the line is
/// queued, so that a stalled reader never blocks the caller. Thread-safe.
void WriteOrQueueLog(Part part, LogLevel level, const std::string& line);

/// Formats and writes one line if the level is enabled. Thread-safe.
template <typename... Args>
void Log(Part part,
         LogLevel level,
         fmt::format_string<Args...> format,
         Args&&... args) {
  if (IsLogEnabled(part, level)) {
    WriteOrQueueLog(part, level,
                    fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace bw
