// Child processes and ports for integration tests.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "../../src/clock.h"

namespace bw::test {

/// One child process. Killed and reaped when destroyed.
class ChildProcess {
 public:
  ChildProcess() = default;
  /// Starts `binary` of the build with `arguments`. Standard output and error
  /// are appended to the file `output`.
  /// @param environment Further variables, as "NAME=text".
  ChildProcess(const std::string& binary,
               const std::vector<std::string>& arguments,
               const std::string& output,
               const std::vector<std::string>& environment = {});
  ~ChildProcess();
  ChildProcess(ChildProcess&& it) noexcept;
  ChildProcess& operator=(ChildProcess&& it) noexcept;

  void Signal(int signal) const;
  /// Sends SIGKILL and waits for the process.
  void Kill();
  /// Waits for the process to exit.
  /// @return Its exit code, 128 + signal number if killed, or -1 on timeout.
  int Wait(milliseconds timeout);
  bool Running() const { return pid_ > 0; }
  pid_t Pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

/// Runs a binary until it exits; its output is appended to `out` unless null.
/// @return Its exit code.
int RunBinary(const std::string& binary,
              const std::vector<std::string>& arguments,
              std::string* out);

/// @return The first of `count` consecutive free ports on loopback.
int FreePorts(int count);

/// Polls until `condition` holds. @return False on timeout.
bool Eventually(const std::function<bool()>& condition,
                milliseconds timeout = milliseconds(20'000));

}  // namespace bw::test
