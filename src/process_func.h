// What every binary shares: command line, settings, signals.
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

/// One extra option of a binary, as `--name=VALUE`.
struct ExtraOption {
  const char* name;
  std::string* value;  ///< Where the value goes.
  const char* text;
  const char* value_name;
};

/// A command line that was read.
struct CommandLine {
  Settings settings;
  std::string file;     ///< Settings were read from it; empty: none.
  Overrides overrides;  ///< Go before the file.
  std::vector<std::string> arguments;  ///< What is not an option.
};

/// Reads the command line: --settings, --set, --check-settings,
/// --help-settings, --version, popt's own --help, and `extra`.
/// @return Nothing if the process should end with `*exit_code`.
std::optional<CommandLine> ReadCommandLine(int argc,
                                           const char** argv,
                                           const char* usage,
                                           std::span<const SettingDesc> table,
                                           std::vector<ExtraOption> extra,
                                           int* exit_code);

/// Runs a program's main function and ends the process with its exit code, or
/// with kFailed if an exception escaped from it. Static objects are not
/// destroyed.
[[noreturn]] void RunMain(int (*main)(int, const char**),
                          int argc,
                          const char** argv);

/// Blocks SIGTERM, SIGINT and SIGHUP for all threads. Call before any thread
/// is started.
void BlockSignals();

/// Waits for SIGTERM or SIGINT. @param on_reload Runs at each SIGHUP, and every
/// few seconds, as files may change without a signal; empty: SIGHUP is ignored.
void WaitForStop(const std::function<void()>& on_reload = {});

/// Starts the kernel's services, runs until SIGTERM or SIGINT, drains and
/// stops. A second signal ends the wait for the drain.
/// @param drain_limit Longest wait for work under way.
/// @param on_reload See WaitForStop.
int RunKernel(Kernel* kernel,
              milliseconds drain_limit,
              const std::function<void()>& on_reload = {});

/// Reads "name=ip:port" pairs.
std::map<std::string, std::string> ReadLinks(
    const std::vector<std::string>& pairs);

}  // namespace bw
