#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <sodium.h>

#include "../src/log_func.h"

int main(int argc, char** argv) {
  if (sodium_init() < 0) {
    return 1;
  }
  // The leak check is not made for threads; see CMakeLists.txt.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  bw::SetUpLog("error");
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
