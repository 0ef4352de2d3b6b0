// Start-up and shutdown shared by all binaries: command line, settings,
// signals.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "clock.h"
#include "exit_type.h"
#include "kernel_base.h"
#include "setting_base.h"

namespace bw {

/// An additional option of one binary, as `--name=VALUE`.
struct ExtraOption {
  const char* name;
  std::string* value;      ///< Receives the value; unchanged if not given.
  const char* help;        ///< Help text.
  const char* value_name;  ///< Placeholder of the value in the help.
};

/// A parsed command line.
struct CommandLine {
  Settings settings;
  std::string settings_file;  ///< Settings file; empty: none.
  Overrides overrides;        ///< Values of --set; they override the file.
  std::vector<std::string> arguments;  ///< Positional arguments.
};

/// Parses the command line (--settings, --set, --check-settings,
/// --help-settings, --version, popt's --help, and `extra`), loads the settings
/// and configures logging.
/// @return Nothing if the process should exit with `*exit_code`.
std::optional<CommandLine> ParseCommandLine(int argc,
                                            const char** argv,
                                            const char* usage,
                                            std::span<const SettingDesc> table,
                                            std::vector<ExtraOption> extra,
                                            int* exit_code);

/// Limits the address space that threads and the allocator reserve, so that a
/// process also starts under a limit (RLIMIT_AS) close to what it uses.
/// @pre No other thread has been started.
void BoundAddressSpace();

/// Raises the soft limit on file descriptors to `wanted`, or as far as the hard
/// limit allows.
/// @return The limit in force.
uint64_t RaiseFileLimit(uint64_t wanted);

/// Bounds the address space, runs `main` and exits with its return value, or
/// with kFailed if it throws. Static objects are not destroyed.
[[noreturn]] void RunMain(int (*main)(int, const char**),
                          int argc,
                          const char** argv);

/// Blocks SIGTERM, SIGINT, SIGHUP and SIGPIPE in all threads. Call first: a
/// signal that arrives before ends the process, and threads inherit the mask.
void BlockSignals();

/// Waits for SIGTERM or SIGINT.
/// @param on_reload Called on each SIGHUP and every few seconds, because
/// settings files may change without a signal. If empty, SIGHUP is ignored.
void WaitForStopSignal(const std::function<void()>& on_reload = {});

/// Starts the kernel's services, waits for SIGTERM or SIGINT, then drains and
/// stops them. SIGINT skips the rest of the drain; a repeated SIGTERM does not.
/// @param drain_limit Longest wait for unfinished work.
/// @param on_reload See WaitForStopSignal.
/// @return kOk, or kFailed if a service could not start or work was cut off.
int RunKernel(Kernel* kernel,
              milliseconds drain_limit,
              const std::function<void()>& on_reload = {});

/// Parses "name=ip:port" items; ignores items without "=".
/// @return Address by name.
std::map<std::string, std::string> ParseLinks(
    const std::vector<std::string>& pairs);

}  // namespace bw
