// How a process ends.
#include "../src/process_func.h"

#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace bw::test {
namespace {

constexpr int kExitCode = 3;
constexpr std::chrono::milliseconds kEndsWithin{3000};

/// Static destruction that never ends, as seen with the log library's threads.
struct NeverDestroyed {
  ~NeverDestroyed() { std::this_thread::sleep_for(std::chrono::hours(1)); }
};

int MainThatStops(int, const char**) {
  static const NeverDestroyed never;
  return kExitCode;
}

int MainThatThrows(int, const char**) {
  throw std::runtime_error("fault");
}

/// @return The exit code of a process that runs `main`, or -1 if it is still
/// there after kEndsWithin.
int ExitCodeOf(int (*main)(int, const char**)) {
  const pid_t child = fork();
  if (child == 0) {
    RunMain(main, 0, nullptr);
  }
  const auto limit = std::chrono::steady_clock::now() + kEndsWithin;
  int status = 0;
  while (waitpid(child, &status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() > limit) {
      kill(child, SIGKILL);
      waitpid(child, &status, 0);
      return -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace

TEST_GROUP(Process){};

// Load: instances are stopped and started in turn. Each stayed away until it
// was killed at the end of its grace time, 3 s after it had stopped.
TEST(Process, EndsAtOnceWhateverStaticObjectsWaitFor) {
  CHECK_EQUAL(kExitCode, ExitCodeOf(MainThatStops));
}

TEST(Process, FaultOfTheMainFunctionIsAFailure) {
  CHECK_EQUAL(1, ExitCodeOf(MainThatThrows));
}

}  // namespace bw::test
