// Exit codes of all binaries. Scripts rely on them; don't renumber.
#pragma once

namespace bw {

enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,       ///< The operation failed.
  kUsage = 2,        ///< Invalid command line.
  kSettings = 3,     ///< Invalid settings or templates.
  kConflict = 4,     ///< A concurrent change was accepted first.
  kUnavailable = 5,  ///< The platform or a process is unreachable.
  kUnknown = 6,      ///< Outcome unknown; check the state before a retry.
};

constexpr int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

}  // namespace bw
