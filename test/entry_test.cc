// Tests bwentry as real processes against a stand-in of the users' platform.
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <vector>

#include "../src/exit_type.h"
#include "../src/text_func.h"
#include "support/entry_fleet.h"

namespace bw::test {
namespace {

std::string Name(int n) {
  constexpr size_t kLength = 17;
  char out[kLength];
  snprintf(out, sizeof(out), "%016x", n);
  return out;
}

/// Repeats the submission of a job until it is accepted, as clients do.
bool Submit(const EntryFleet& fleet,
            int n,
            const std::string& job,
            int tasks,
            int ms) {
  return Eventually([&] {
    return fleet.Call(n, "POST", job, EntryJob(tasks, ms)).status == 200;
  });
}

/// Listens on a TCP address.
class HeldAddress {
 public:
  explicit HeldAddress(const std::string& address)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int yes = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const HostPort parsed = SplitAddress(address);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(parsed.port);
    inet_pton(AF_INET, parsed.host.c_str(), &to.sin_addr);
    CHECK_EQUAL(0, bind(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)));
    CHECK_EQUAL(0, listen(fd_, 1));
  }
  ~HeldAddress() { close(fd_); }

 private:
  const int fd_;
};

}  // namespace

TEST_GROUP(Entry){};

TEST(Entry, JobFromEndToEnd) {
  EntryFleet fleet(3, 4);
  CHECK(fleet.Start());
  LONGS_EQUAL(200, fleet.Call(0, "POST", Name(1), EntryJob(5, 200)).status);
  LONGS_EQUAL(200, fleet.Call(1, "POST", Name(1), EntryJob(5, 200)).status);
  CHECK(Eventually([&] { return fleet.State(2, Name(1)) == "completed"; }));
  LONGS_EQUAL(5, fleet.AllRuns().size());
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

TEST(Entry, FleetWithSettingsFromTheTemplateServesAllZones) {
  EntryFleet fleet(EntryFleetOptions{.instances = 4,
                                     .backends = 8,
                                     .grace_s = 6,
                                     .as_deployed = true,
                                     .zones = 4});
  CHECK(fleet.Start());
  for (int n = 0; n < 4; ++n) {
    fleet.ChangeSettings(n, "revoke_ms = 4000\n");
    fleet.Entry(n).Signal(SIGHUP);
    LONGS_EQUAL(200, fleet.Call(n, "POST", Name(n), EntryJob(4, 100)).status);
  }
  for (int n = 0; n < 4; ++n) {
    CHECK(Eventually([&] { return fleet.State(n, Name(n)) == "completed"; }));
    STRCMP_CONTAINS(R"("in_force":["bounds.revoke_ms"])", fleet.Log(n).c_str());
  }
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

TEST(Entry, InvalidCallsGetTheMatchingError) {
  EntryFleet fleet(2, 1);
  CHECK(fleet.Start());
  LONGS_EQUAL(401, fleet.Call(0, "POST", Name(1), EntryJob(1, 1), "x").status);
  LONGS_EQUAL(400, fleet.Call(0, "POST", Name(1), "{").status);
  LONGS_EQUAL(400, fleet.Call(0, "POST", Name(1), R"({"steps":[]})").status);
  LONGS_EQUAL(400, fleet.Call(0, "POST", "short", EntryJob(1, 1)).status);
  LONGS_EQUAL(410, fleet.Call(0, "GET", Name(1)).status);
  LONGS_EQUAL(410, fleet.Call(1, "DELETE", Name(1)).status);
  LONGS_EQUAL(200, fleet.Call(0, "POST", Name(2), EntryJob(1, 0)).status);
  LONGS_EQUAL(403, fleet.Call(1, "GET", Name(2), "", "k1").status);
  LONGS_EQUAL(200, fleet.Call(1, "DELETE", Name(2)).status);
  CHECK(Eventually([&] { return fleet.State(0, Name(2)) == "cancelled"; }));
}

TEST(Entry, WithdrawnKeyStopsWorkingAndANewOneWorks) {
  EntryFleet fleet(2, 1);
  CHECK(fleet.Start());
  fleet.Configure(2, {"k2", "k1"});
  for (int n = 0; n < 2; ++n) {
    CHECK(
        Eventually([&] { return fleet.Call(n, "GET", Name(1)).status == 401; },
                   milliseconds(2000)));
    LONGS_EQUAL(410, fleet.Call(n, "GET", Name(1), "", "k2").status);
  }
  fleet.Configure(1, {"k0", "k1"});  // Older versions are ignored.
  LONGS_EQUAL(401, fleet.Call(0, "GET", Name(1)).status);
}

// While the store refuses all calls, instances cannot learn of revoked keys.
// They must stop accepting keys once their configuration may be out of date.
TEST(Entry, KeysAreNotTrustedWhileTheStoreIsUnavailable) {
  EntryFleet fleet(2, 1);
  CHECK(fleet.Start());
  fleet.Control({{"mood", "refuses"}});
  CHECK(Eventually([&] { return fleet.Call(0, "GET", Name(1)).status == 503; },
                   milliseconds(5000)));
  CHECK(Eventually([&] { return !fleet.IsReady(0); }, milliseconds(5000)));
  LONGS_EQUAL(503, fleet.Call(0, "POST", Name(1), EntryJob(1, 1)).status);
  fleet.Control({{"mood", "well"}});
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
  CHECK(Submit(fleet, 0, Name(1), 1, 50));
}

TEST(Entry, OwnerKilledUnderLoadLosesAndDoublesNothing) {
  EntryFleet fleet(3, 4);
  CHECK(fleet.Start());
  constexpr int kJobs = 24;
  for (int n = 0; n < kJobs; ++n) {
    if (n == kJobs / 2) {
      const int owner = fleet.WaitForOwner();
      CHECK(owner >= 0);
      fleet.Entry(owner).Kill();
      fleet.StartEntry(owner);
    }
    CHECK(Submit(fleet, n % 3, Name(n + 1), 2, 400));
  }
  for (int n = 0; n < kJobs; ++n) {
    CHECK(
        Eventually([&] { return fleet.State(0, Name(n + 1)) == "completed"; }));
  }
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

TEST(Entry, OwnerFrozenAndResumedSendsNoMoreOrders) {
  EntryFleet fleet(3, 4);
  CHECK(fleet.Start());
  CHECK(Submit(fleet, 0, Name(1), 4, 5000));
  const int owner = fleet.WaitForOwner();
  CHECK(owner >= 0);
  fleet.Entry(owner).Signal(SIGSTOP);
  const int other = (owner + 1) % 3;
  CHECK(Submit(fleet, other, Name(2), 2, 300));
  fleet.Entry(owner).Signal(SIGCONT);
  CHECK(Eventually([&] {
    return fleet.State(other, Name(1)) == "completed" &&
           fleet.State(other, Name(2)) == "completed";
  }));
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

TEST(Entry, AllKilledRightAfterAnAcceptance) {
  EntryFleet fleet(3, 2);
  CHECK(fleet.Start());
  CHECK(Submit(fleet, 0, Name(1), 3, 2500));
  for (int n = 0; n < 3; ++n) {
    fleet.Entry(n).Kill();
  }
  for (int n = 0; n < 3; ++n) {
    fleet.StartEntry(n);
  }
  CHECK(Eventually([&] { return fleet.State(1, Name(1)) == "completed"; }));
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

TEST(Entry, LostAnswersOfTheStoreDoubleNothing) {
  EntryFleet fleet(2, 2);
  CHECK(fleet.Start());
  CHECK(Submit(fleet, 0, Name(1), 2, 1500));
  fleet.Control({{"mood", "loses"}});
  usleep(700'000);
  fleet.Control({{"mood", "well"}});
  CHECK(Submit(fleet, 1, Name(2), 2, 200));
  CHECK(Eventually([&] {
    return fleet.State(0, Name(1)) == "completed" &&
           fleet.State(0, Name(2)) == "completed";
  }));
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

TEST(Entry, CrashedBackendServersWorkIsDoneElsewhere) {
  EntryFleet fleet(2, 3);
  CHECK(fleet.Start());
  CHECK(Submit(fleet, 0, Name(1), 3, 1500));
  usleep(300'000);
  fleet.Control({{"crash", 0}});
  CHECK(Eventually([&] { return fleet.State(1, Name(1)) == "completed"; }));
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

// A cell with relays. One of them is killed, another one is frozen, while they
// have calls of the owner.
TEST(Entry, LostRelaysLoseAndDoubleNothing) {
  constexpr int kInstances = 4;
  EntryFleet fleet(kInstances, 80);
  CHECK(fleet.Start());
  const int owner = fleet.WaitForOwner();
  CHECK(owner >= 0);
  CHECK(Eventually([&] {
    return fleet.Log(owner).find("\"relays_chosen\"") != std::string::npos;
  }));
  constexpr int kJobs = 12;
  for (int n = 0; n < kJobs; ++n) {
    if (n == kJobs / 3) {
      fleet.Entry((owner + 1) % kInstances).Kill();
      fleet.Entry((owner + 2) % kInstances).Signal(SIGSTOP);
    }
    CHECK(Submit(fleet, owner, Name(n + 1), 8, 300));
  }
  fleet.Entry((owner + 2) % kInstances).Signal(SIGCONT);
  for (int n = 0; n < kJobs; ++n) {
    CHECK(Eventually(
        [&] { return fleet.State(owner, Name(n + 1)) == "completed"; }));
  }
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

TEST(Entry, GracefulShutdownHandsTheCellOver) {
  EntryFleet fleet(3, 2);
  CHECK(fleet.Start());
  const int owner = fleet.WaitForOwner();
  CHECK(owner >= 0);
  CHECK(Submit(fleet, owner, Name(1), 2, 1500));
  fleet.Entry(owner).Signal(SIGTERM);
  CHECK(Submit(fleet, (owner + 1) % 3, Name(2), 2, 200));
  LONGS_EQUAL(0, fleet.Entry(owner).Wait(milliseconds(6000)));
  CHECK(Eventually([&] {
    return fleet.State((owner + 1) % 3, Name(1)) == "completed" &&
           fleet.State((owner + 1) % 3, Name(2)) == "completed";
  }));
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

// Operators must be able to trace a job by its name through the log alone, and
// API keys must not appear there.
TEST(Entry, LogShowsTheCourseOfAJobAndNoKey) {
  EntryFleet fleet(2, 2);
  CHECK(fleet.Start());
  CHECK(Submit(fleet, 0, Name(1), 1, 100));
  CHECK(Eventually([&] { return fleet.State(1, Name(1)) == "completed"; }));
  fleet.Call(0, "POST", Name(2), EntryJob(1, 1), "wrong-key");
  const std::string lines = fleet.Log(0) + fleet.Log(1);
  for (const char* event :
       {"job_accepted", "run_start", "run_ended", "job_ended"}) {
    CHECK(Eventually([&] {
      const std::string now = fleet.Log(0) + fleet.Log(1);
      return now.find(event) != std::string::npos;
    }));
  }
  CHECK(lines.find("wrong-key") == std::string::npos);
  CHECK(lines.find("k0\"") == std::string::npos);
}

TEST(Entry, ChangedSettingsAreReadAndABadFileChangesNothing) {
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  const auto logged = [&](const std::string& text) {
    return Eventually(
        [&] { return fleet.Log(0).find(text) != std::string::npos; });
  };
  fleet.ChangeSettings(0, "[bounds]\nrevoke_ms = nonsense\n");
  fleet.Entry(0).Signal(SIGHUP);
  CHECK(logged("\"event\":\"reload_refused\""));
  CHECK(Submit(fleet, 0, Name(1), 1, 100));
  // A changed file is also detected without a signal.
  fleet.ChangeSettings(
      0, "[bounds]\nrevoke_ms = 4000\n[platform]\ncall_bytes = 4096\n");
  CHECK(logged("\"in_force\":[\"bounds.revoke_ms\"]"));
  CHECK(logged("\"at_next_start\":[\"platform.call_bytes\"]"));
  CHECK(Submit(fleet, 0, Name(2), 1, 100));
  CHECK(Eventually([&] { return fleet.State(0, Name(2)) == "completed"; }));
}

// A backend server crashes before the owner has heard that a run ended there.
// The end was taken note of by nobody, so the task runs again, which the audit
// must allow: it is the one case in which a run may follow one that was done.
TEST(Entry, TaskWhoseEndACrashLostRunsAgain) {
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  CHECK(Submit(fleet, 0, Name(1), 1, 1000));
  CHECK(Eventually([&] { return fleet.AllRuns().size() == 1; }));
  fleet.Entry(0).Signal(SIGSTOP);
  CHECK(Eventually([&] { return fleet.AllRuns()[0]["how"] == "done"; }));
  fleet.Control({{"crash", 0}});
  fleet.Entry(0).Signal(SIGCONT);
  CHECK(Eventually([&] { return fleet.State(0, Name(1)) == "completed"; }));
  const Json runs = fleet.AllRuns();
  LONGS_EQUAL(2, runs.size());
  CHECK(runs[0]["forgotten"].get<bool>());
  CHECK(!runs[1]["forgotten"].get<bool>());
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

// A caller's submission waits in a frozen instance. The caller leaves, cancels
// it at another instance and is told that there is no such job. It was accepted
// after that.
TEST(Entry, SubmissionHeldUpInAFrozenInstanceDoesNotRunOnceCancelled) {
  EntryFleet fleet(3, 2);
  CHECK(fleet.Start());
  const int owner = fleet.WaitForOwner();
  const int frozen = (owner + 1) % 3;
  const int other = (owner + 2) % 3;
  LONGS_EQUAL(410, fleet.Call(frozen, "GET", Name(1)).status);
  fleet.Entry(frozen).Signal(SIGSTOP);
  int status = 0;
  std::thread caller([&] {
    status = fleet.Call(frozen, "POST", Name(1), EntryJob(1, 100)).status;
  });
  constexpr milliseconds kUntilItHasArrived{300};
  std::this_thread::sleep_for(kUntilItHasArrived);
  LONGS_EQUAL(410, fleet.Call(other, "DELETE", Name(1)).status);
  fleet.Entry(frozen).Signal(SIGCONT);
  caller.join();
  LONGS_EQUAL(410, status);
  // Also not under another owner.
  fleet.Entry(owner).Signal(SIGKILL);
  CHECK(Submit(fleet, other, Name(2), 1, 100));
  LONGS_EQUAL(410, fleet.Call(other, "POST", Name(1), EntryJob(1, 100)).status);
  CHECK(Eventually([&] { return fleet.State(other, Name(2)) == "completed"; }));
  LONGS_EQUAL(1, fleet.AllRuns().size());
}

/// Calls an instance until it is gone. @return Calls whose connection ended
/// without a response, later than `slack` after they were sent.
int CountUnansweredCalls(const EntryFleet& fleet,
                         int caller,
                         milliseconds slack) {
  constexpr int kPauseUs = 60'000;
  int out = 0;
  for (int n = 0;; ++n) {
    const Time sent = BootClock::now();
    const auto result = fleet.Call(0, "POST", Name((caller + 1) * 100'000 + n),
                                   EntryJob(1, 10));
    if (result.delivery == net::DeliveryStatus::kNotSent) {
      return out;
    }
    const bool unanswered = result.delivery == net::DeliveryStatus::kUnknown;
    out += unanswered && BootClock::now() - sent > slack ? 1 : 0;
    usleep(kPauseUs);
  }
}

// The last instance stops, so that calls find no owner any more. Callers that
// go on until the process is gone got no response to their last calls.
TEST(Entry, CallsAreAnsweredUntilTheProcessIsGone) {
  constexpr int kCallers = 6;
  constexpr int kGraceS = 6;
  constexpr milliseconds kSlack{100};
  EntryFleet fleet(1, 1, kGraceS);
  CHECK(fleet.Start());
  std::atomic<int> unanswered{0};
  {
    std::vector<std::jthread> callers;
    callers.reserve(kCallers);
    for (int n = 0; n < kCallers; ++n) {
      callers.emplace_back([&fleet, &unanswered, n, kSlack] {
        unanswered += CountUnansweredCalls(fleet, n, kSlack);
      });
    }
    usleep(200'000);
    fleet.Entry(0).Signal(SIGTERM);
    CHECK(fleet.Entry(0).Wait(milliseconds(6000)) >= 0);
  }
  CHECK_EQUAL(0, unanswered);
}

// The reader of the log stalls and the pipe to it is full. A process that was
// told to stop waited for it in its first log line, and was killed with its
// callers' calls at the end of its grace time.
TEST(Entry, ProcessThatEndsByAFaultSaysSo) {
  constexpr int kKilledBy = 128;  // As a shell reports it.
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  for (const int it : {SIGSEGV, SIGABRT}) {
    fleet.Entry(0).Signal(it);
    LONGS_EQUAL(kKilledBy + it, fleet.Entry(0).Wait(milliseconds(5000)));
    STRCMP_CONTAINS(
        fmt::format(R"({{"event":"process_fault","part":"kernel","signal":{})",
                    it)
            .c_str(),
        fleet.Log(0).c_str());
    fleet.StartEntry(0);
    CHECK(Eventually([&] { return fleet.IsReady(0); }));
  }
}

TEST(Entry, StalledLogDoesNotHoldUpAStop) {
  constexpr int kLogBytes = 100'000;  // More than a pipe holds.
  constexpr int kLineBytes = 150;
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  fleet.StallLog(0);
  fleet.StartEntry(0);
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
  for (int n = 0; n < kLogBytes / kLineBytes; ++n) {
    fleet.Call(0, "GET", Name(n), "", "wrong-key");
    usleep(3000);  // Stays below the rate limit of the line.
  }
  fleet.Entry(0).Signal(SIGTERM);
  LONGS_EQUAL(0, fleet.Entry(0).Wait(milliseconds(4000)));
}

// A body of the largest size allowed makes a record beyond the store's limit.
// Its callers heard "outcome unknown" and the owners resigned in turn.
TEST(Entry, JobOfTheLargestSizeIsServed) {
  constexpr size_t kMaxBody = 262'144;
  EntryFleet fleet(2, 2);
  CHECK(fleet.Start());
  std::string body = EntryJob(1, 100);
  body.insert(
      body.size() - 1,
      R"(,"pad":")" + std::string(kMaxBody - body.size() - 9, 'x') + '"');
  LONGS_EQUAL(kMaxBody, body.size());
  LONGS_EQUAL(200, fleet.Call(0, "POST", Name(1), body).status);
  CHECK(Eventually([&] { return fleet.State(1, Name(1)) == "completed"; }));
  CHECK(Submit(fleet, 1, Name(2), 1, 100));
  STRCMP_EQUAL("", fleet.Audit().c_str());
}

// A SIGHUP that came before the process had blocked signals ended it.
TEST(Entry, HangUpWhileItStartsDoesNotEndTheProcess) {
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  fleet.ChangeSettings(0, "[bounds]\nrevoke_ms = no");  // Keeps it waiting.
  fleet.StartEntry(0);
  usleep(300'000);
  fleet.Entry(0).Signal(SIGHUP);
  usleep(100'000);
  fleet.ChangeSettings(0, "[bounds]\nrevoke_ms = 5000\n");
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
  LONGS_EQUAL(-1, fleet.Entry(0).Wait(milliseconds(0)));
}

// The platform replaces the settings file while the process starts. It gave up
// at once on a file that was not complete yet.
TEST(Entry, SettingsFileThatIsBeingWrittenIsReadAgain) {
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  fleet.ChangeSettings(0, "[bounds]\nrevoke_ms = no");
  fleet.StartEntry(0);
  usleep(300'000);
  fleet.ChangeSettings(0, "[bounds]\nrevoke_ms = 5000\n");
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
  fleet.Entry(0).Kill();
  fleet.ChangeSettings(0, "[bounds]\nrevoke_ms = no");
  fleet.StartEntry(0);
  LONGS_EQUAL(ToInt(ExitCode::kSettings),
              fleet.Entry(0).Wait(milliseconds(5000)));
}

// A process that starts while its listen address is still in use, as by its
// predecessor, ended at once.
TEST(Entry, ListenAddressThatIsInUseIsWaitedFor) {
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  {
    const HeldAddress held(fleet.FrontOf(0));
    fleet.StartEntry(0);
    usleep(800'000);
    LONGS_EQUAL(-1, fleet.Entry(0).Wait(milliseconds(0)));
  }
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
}

}  // namespace bw::test
