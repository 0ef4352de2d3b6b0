// Real processes for integration tests.
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
  /// Starts `binary` of the build with `arguments`; output goes to `output`.
  ChildProcess(const std::string& binary,
               const std::vector<std::string>& arguments,
               const std::string& output);
  ~ChildProcess();
  ChildProcess(ChildProcess&& it) noexcept;
  ChildProcess& operator=(ChildProcess&& it) noexcept;

  void Signal(int signal) const;
  /// SIGKILL, then waits for the end.
  void Kill();
  /// @return The exit code once the process ended by itself, -1 on timeout.
  int Wait(milliseconds timeout);
  bool Running() const { return pid_ > 0; }

 private:
  pid_t pid_ = -1;
};

/// Runs a binary to its end. @return Its exit code; `out` gets its output.
int RunBinary(const std::string& binary,
              const std::vector<std::string>& arguments,
              std::string* out);

/// @return The first of `count` free consecutive ports on loopback.
int FreePorts(int count);

/// Waits until `condition` holds. @return False on timeout.
bool Eventually(const std::function<bool()>& condition,
                milliseconds timeout = milliseconds(20'000));

}  // namespace bw::test
