// Exit of a process: exit codes, and no delay through static destruction.
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
constexpr std::chrono::milliseconds kExitTimeout{3000};

/// Static object whose destructor hangs, as seen with log4cplus's threads.
struct HangsOnDestruction {
  ~HangsOnDestruction() { std::this_thread::sleep_for(std::chrono::hours(1)); }
};

int MainThatStops(int, const char**) {
  static const HangsOnDestruction hangs;
  return kExitCode;
}

int MainThatThrows(int, const char**) {
  throw std::runtime_error("fault");
}

/// @return The exit code of a process that runs `main`, or -1 if it is still
/// running after kExitTimeout.
int ExitCodeOf(int (*main)(int, const char**)) {
  const pid_t child = fork();
  if (child == 0) {
    RunMain(main, 0, nullptr);
  }
  const auto limit = std::chrono::steady_clock::now() + kExitTimeout;
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

// Guards against a shutdown that hangs in static destructors. Seen under load
// in a rolling restart: each instance had stopped serving, but its process ran
// on until it was killed at the end of its grace time, 3 s later.
TEST(Process, EndsAtOnceWhateverStaticObjectsWaitFor) {
  CHECK_EQUAL(kExitCode, ExitCodeOf(MainThatStops));
}

TEST(Process, FaultOfTheMainFunctionIsAFailure) {
  CHECK_EQUAL(1, ExitCodeOf(MainThatThrows));
}

}  // namespace bw::test
