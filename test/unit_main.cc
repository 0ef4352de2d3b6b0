// Entry point of the unit tests.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <sodium.h>

#include "../src/log_func.h"

int main(int argc, char** argv) {
  if (sodium_init() < 0) {
    return 1;
  }
  // CppUTest's leak check doesn't support threads; see CMakeLists.txt.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  bw::SetUpLog("error");
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
