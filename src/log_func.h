// Log lines: short sentences with a fixed prefix for each part, over log4cplus.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <utility>

namespace bw {

/// The parts of the system; each has its own prefix and level.
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
  kDesk,
  kEnd,
};

enum class LogLevel : uint8_t { kDebug, kInfo, kWarn, kError };

/// Sets up logging to standard error.
/// @param levels "info" or "info,placer=debug,mesh=warn".
/// @return False if a part or a level is unknown.
bool SetUpLog(const std::string& levels);

/// Sends lines to standard output as they are, for structured lines.
/// Call once, after SetUpLog.
void UsePlainLines();

const char* PartName(Part part);

/// @return True if a line of this part and level would be written.
/// Thread-safe.
bool IsLogged(Part part, LogLevel level);

/// Writes one line. Thread-safe.
void WriteLog(Part part, LogLevel level, const std::string& line);

template <typename... Args>
void Log(Part part,
         LogLevel level,
         fmt::format_string<Args...> format,
         Args&&... args) {
  if (IsLogged(part, level)) {
    WriteLog(part, level, fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace bw
