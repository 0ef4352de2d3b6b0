// Processes of bwentry must start, run on, and stop without a fault, whatever
// their settings file, limits and callers do.
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../src/text_func.h"
#include "support/entry_fleet.h"

namespace bw::test {
namespace {

constexpr const char* kJob = "00000000000000aa";

/// Starts instance 0 again with the settings file `text`.
/// @return True if it gets ready.
bool StartsWith(EntryFleet* fleet, const std::string& text) {
  fleet->Entry(0).Kill();
  fleet->ChangeSettings(0, text);
  fleet->StartEntry(0);
  Eventually([&] {
    return fleet->IsReady(0) || fleet->Entry(0).Wait(milliseconds(0)) >= 0;
  });
  return fleet->IsReady(0);
}

int64_t NumberFromEnvironment(const char* name, int64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoll(text, nullptr, 10);
}

/// Connections to an address that are never used.
class IdleConnections {
 public:
  IdleConnections(const std::string& address, int count) {
    const HostPort parsed = SplitAddress(address);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(parsed.port);
    inet_pton(AF_INET, parsed.host.c_str(), &to.sin_addr);
    for (int n = 0; n < count; ++n) {
      fds_.push_back(
          socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      const int code =
          connect(fds_.back(), reinterpret_cast<sockaddr*>(&to), sizeof(to));
      CHECK(code == 0 || errno == EINPROGRESS);
    }
  }
  ~IdleConnections() {
    for (const int it : fds_) {
      close(it);
    }
  }
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

 private:
  std::vector<int> fds_;
};

}  // namespace

TEST_GROUP(ProcessFault){};

// A signal that arrived while the dynamic linker loaded the process's libraries
// ended it.
TEST(ProcessFault, HangUpsWhileItIsLoadedDoNotEndTheProcess) {
  constexpr int kTries = 40;
  /// Time in which the program blocks signals.
  constexpr int kLaunchUs = 5000;
  constexpr int kMaxLoadUs = 30'000;
  std::mt19937_64 random(
      static_cast<uint64_t>(NumberFromEnvironment("BW_PROCESS_SEED", 1)));
  std::uniform_int_distribution<int> pause(kLaunchUs, kMaxLoadUs);
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  for (int n = 0; n < kTries; ++n) {
    fleet.Entry(0).Kill();
    fleet.StartEntry(0);
    usleep(static_cast<useconds_t>(pause(random)));
    fleet.Entry(0).Signal(SIGHUP);
    usleep(50'000);
    LONGS_EQUAL(-1, fleet.Entry(0).Wait(milliseconds(0)));
  }
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
}

// Supervisors may repeat SIGTERM. The second one ended the drain, so that the
// calls of clients that had not yet been sent elsewhere were refused.
TEST(ProcessFault, RepeatedSigtermDoesNotEndTheDrain) {
  constexpr milliseconds kRestOfTheDrain{1500};
  EntryFleet fleet(2, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Signal(SIGTERM);
  usleep(200'000);
  for (const int signal : {SIGTERM, SIGHUP, SIGTERM}) {
    fleet.Entry(0).Signal(signal);
    usleep(200'000);
  }
  CHECK(Eventually([&] { return fleet.Call(0, "GET", "").status == 200; },
                   kRestOfTheDrain));
  LONGS_EQUAL(0, fleet.Entry(0).Wait(milliseconds(4000)));
}

// Callers never stop. A process that is told to stop, at a random moment after
// its start and with further signals meanwhile, must end with code 0.
TEST(ProcessFault, StopsUnderLoadEndWithCodeZero) {
  constexpr int kCallers = 8;
  constexpr int kDefaultSeconds = 12;
  constexpr milliseconds kGrace{4000};
  const int64_t seconds =
      NumberFromEnvironment("BW_PROCESS_SECONDS", kDefaultSeconds);
  std::mt19937_64 random(
      static_cast<uint64_t>(NumberFromEnvironment("BW_PROCESS_SEED", 1)));
  const auto between = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  EntryFleet fleet(2, 2);
  CHECK(fleet.Start());
  std::atomic<bool> done{false};
  std::vector<std::jthread> callers;
  callers.reserve(kCallers);
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back([&fleet, &done, n] {
      for (int call = 0; !done; ++call) {
        std::string job = std::to_string((n + 1) * 1'000'000 + call);
        job.insert(0, 16 - job.size(), '0');
        fleet.Call(call % 2, "POST", job, EntryJob(1, 20));
        usleep(2000);
      }
    });
  }
  std::vector<int> codes;
  const Time until = BootClock::now() + milliseconds(1000 * seconds);
  for (int n = 0; BootClock::now() < until; n = 1 - n) {
    usleep(static_cast<useconds_t>(between(50'000, 1'500'000)));
    fleet.Entry(n).Signal(SIGTERM);
    if (between(0, 1) == 0) {
      usleep(static_cast<useconds_t>(between(0, 300'000)));
      fleet.Entry(n).Signal(between(0, 1) == 0 ? SIGHUP : SIGTERM);
    }
    codes.push_back(fleet.Entry(n).Wait(kGrace));
    fleet.StartEntry(n);
  }
  done = true;
  callers.clear();
  CHECK(codes.size() > 1);
  for (const int it : codes) {
    LONGS_EQUAL(0, it);
  }
}

// The soft limit on descriptors is often far below what the deployment allows.
TEST(ProcessFault, IdleConnectionsBeyondTheSoftLimitDoNotLockCallersOut) {
  constexpr rlim_t kSoft = 256;
  constexpr rlim_t kHard = 4096;
  constexpr int kIdle = 400;
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  fleet.StartEntry(0);
  const rlimit limit{kSoft, kHard};
  LONGS_EQUAL(0, prlimit(fleet.Entry(0).Pid(), RLIMIT_NOFILE, &limit, nullptr));
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
  const IdleConnections idle(fleet.FrontOf(0), kIdle);
  CHECK(Eventually([&] {
    return fleet.Call(0, "POST", kJob, EntryJob(1, 50)).status == 200;
  }));
}

// An accept that failed for want of descriptors was the last one.
TEST(ProcessFault, CallersAreAcceptedAgainAfterDescriptorsRanOut) {
  constexpr rlim_t kLimit = 256;
  constexpr int kIdle = 400;
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  fleet.StartEntry(0);
  const rlimit limit{kLimit, kLimit};
  LONGS_EQUAL(0, prlimit(fleet.Entry(0).Pid(), RLIMIT_NOFILE, &limit, nullptr));
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
  {
    const IdleConnections idle(fleet.FrontOf(0), kIdle);
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(fleet.IsReady(0));
  }
  CHECK(Eventually(
      [&] {
        return fleet.Call(0, "POST", kJob, EntryJob(1, 50)).status == 200;
      },
      milliseconds(5000)));
}

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

// A placeholder without a value leaves an empty value in the settings file.
// Some settings of a deployment then kept all processes from starting.
TEST(ProcessFault, EmptyAndUnusualValuesDoNotPreventTheStart) {
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  for (const char* text :
       {"[instance]\ncpu_share =\ncpu_cores =\nmax_fds =\n",
        "[listen]\nmetrics_offset =\n[log]\nlevels =\n",
        "[platform]\nadvice =\nmember_ttl_min_ms =\ncall_bytes =\n"
        "record_bytes =\n",
        "[bounds]\nhold_max_ms =\nrevoke_ms =\ngrace_s =\nstatus_s =\n"
        "far_x =\n",
        "[timing]\nmember_ttl_ms =\njoin_every_ms =\nlease_percent =\n",
        "[instance]\ncpu_share = 4\ncpu_cores = 16\nmax_fds = 4100.0\n",
        "[instance]\ncpu_share = 0.004\nmax_fds = 128\n",
        "[instance]\nmax_fds = 2000000\n[platform]\ncall_bytes = 4e9\n",
        "[bounds]\nfar_x = 0.5\nrevoke_ms = 250\nstatus_s = 0.5\n"}) {
    CHECK_TEXT(StartsWith(&fleet, text), text);
  }
}

// A process reserved several hundred MB of address space for stacks and for
// arenas of the allocator, and did not start if it was limited.
TEST(ProcessFault, StartsAndServesWithItsMemoryAsAddressSpace) {
  constexpr int kTries = 5;
  constexpr rlim_t kMegabyte = 1U << 20;
  EntryFleet fleet(1, 2);
  CHECK(fleet.Start());
  for (const rlim_t mb : {260, 160}) {
    for (int n = 0; n < kTries; ++n) {
      fleet.Entry(0).Kill();
      fleet.StartEntry(0);
      const rlimit limit{mb * kMegabyte, mb * kMegabyte};
      LONGS_EQUAL(0, prlimit(fleet.Entry(0).Pid(), RLIMIT_AS, &limit, nullptr));
      CHECK(Eventually([&] { return fleet.IsReady(0); }));
      CHECK(Eventually([&] {
        return fleet.Call(0, "POST", kJob, EntryJob(2, 50)).status == 200;
      }));
      LONGS_EQUAL(-1, fleet.Entry(0).Wait(milliseconds(0)));
    }
  }
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
