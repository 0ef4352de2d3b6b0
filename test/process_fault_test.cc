// Processes of bwentry must start, run on, and stop without a fault, whatever
// their settings file, limits and callers do.
#include <CppUTest/TestHarness.h>
#include <signal.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "support/entry_fleet.h"

namespace bw::test {
namespace {

constexpr const char* kJob = "00000000000000aa";

}  // namespace

TEST_GROUP(ProcessFault){};

// The platform replaces the settings file while the process starts. A file that
// was not there at that moment ended it at once.
TEST(ProcessFault, SettingsFileThatIsMissingForAMomentIsWaitedFor) {
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  fleet.RemoveSettings(0);
  fleet.StartEntry(0);
  usleep(300'000);
  LONGS_EQUAL(-1, fleet.Entry(0).Wait(milliseconds(0)));
  fleet.ChangeSettings(0, "[bounds]\nrevoke_ms = 5000\n");
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
}

// Nesting that a recursive reader would need a stack of megabytes for.
TEST(ProcessFault, DeeplyNestedBodyDoesNotEndTheProcess) {
  constexpr size_t kDepth = 120'000;
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  std::string body = EntryJob(1, 50);
  body.insert(body.size() - 1, R"(,"pad":)" + std::string(kDepth, '[') +
                                   std::string(kDepth, ']'));
  fleet.Call(0, "POST", kJob, body);
  fleet.Call(0, "POST", kJob, std::string(kDepth, '['));
  CHECK(Eventually([&] {
    return fleet.Call(0, "POST", kJob, EntryJob(1, 50)).status == 200;
  }));
  LONGS_EQUAL(-1, fleet.Entry(0).Wait(milliseconds(0)));
}

}  // namespace bw::test
