#include <CppUTest/CommandLineTestRunner.h>
#include <sodium.h>

#include "../src/log_func.h"

int main(int argc, char** argv) {
  if (sodium_init() < 0) {
    return 1;
  }
  bw::SetUpLog("error");
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
