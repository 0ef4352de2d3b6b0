// Exit codes of all binaries; scripts may rely on them.
#pragma once

namespace bw {

enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,       ///< The action could not be done.
  kUsage = 2,        ///< The command line is wrong.
  kSettings = 3,     ///< Settings or templates are not valid.
  kConflict = 4,     ///< A racing change was accepted first.
  kUnavailable = 5,  ///< The platform or a process cannot be reached.
  kUnknown = 6,      ///< The outcome is unknown; look before trying again.
};

constexpr int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

}  // namespace bw
