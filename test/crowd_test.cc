// Crowds of callers beyond the limits, against each listen address of a process
// that owns the cell and of one that does not. Checked: the process lives, its
// memory and its descriptors stay under a bound, and an ordinary request is
// answered afterwards. See docs/design/callers-beyond-the-limits.md.
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/resource.h>

#include "support/entry_fleet.h"
#include "support/raw_caller.h"

namespace bw::test {
namespace {

constexpr int kInstances = 2;
constexpr int kBackends = 2;
/// Connections of a crowd.
constexpr int kCrowd = 60;
constexpr const char* kUnfinishedLimit = "limits.unfinished_kb=4096";
/// Memory that a process may use beyond what it uses at rest.
constexpr size_t kMostMoreKb = 24'576;
/// Descriptors that a process may use beyond its callers' connections and
/// those that it has at rest.
constexpr size_t kMostMoreFds = 64;
/// For which a caller waits while nobody reads what it sends.
constexpr milliseconds kPatience{100};

/// What caller number `n` of a crowd sends to a path.
using Kind = std::function<std::string(int n, const std::string& path)>;

std::string Head(const std::string& path, const std::string& fields) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nBilberrywing-Credential: k0\r\n" + fields;
}

std::string Repeat(const std::string& text, size_t count) {
  std::string out;
  out.reserve(text.size() * count);
  for (size_t n = 0; n < count; ++n) {
    out += text;
  }
  return out;
}

std::string Chunked(const std::string& path, size_t size, size_t count) {
  return Head(path, "Transfer-Encoding: chunked\r\n\r\n") +
         Repeat(fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x')),
                count);
}

std::string LargeChunks(int, const std::string& path) {
  return Chunked(path, 64 << 10, 15);
}

std::string SmallChunks(int, const std::string& path) {
  return Chunked(path, 1, 60'000);
}

std::string OneByteShort(int, const std::string& path) {
  return Head(path, "Content-Length: 1040000\r\n\r\n") +
         std::string(1'039'999, 'x');
}

/// Inside the limit of the configuration.
std::string OneByteShortOfAnAllowedBody(int, const std::string& path) {
  return Head(path, "Content-Length: 250000\r\n\r\n") +
         std::string(249'999, 'x');
}

std::string AnnouncedFarOverTheLimit(int, const std::string& path) {
  return Head(path, "Content-Length: 900000000\r\n\r\n") +
         std::string(100'000, 'x');
}

std::string SentFarOverTheLimit(int, const std::string& path) {
  return Chunked(path, 64 << 10, 64);
}

std::string ManyFields(int, const std::string& path) {
  return Head(path, Repeat("a:\r\n", 19'000));
}

std::string EndlessField(int, const std::string& path) {
  return Head(path, "a: ") + std::string(2 << 20, 'x');
}

std::string EndlessRequestLine(int, const std::string& path) {
  return "GET " + path + std::string(2 << 20, 'x');
}

std::string EmptyLines(int, const std::string&) {
  return Repeat("\r\n", 500'000);
}

/// The caller reads no response.
std::string Pipelined(int, const std::string& path) {
  return Repeat("GET " + path +
                    " HTTP/1.1\r\nHost: h\r\nBilberrywing-Credential: "
                    "k0\r\n\r\n",
                4'000);
}

/// The first request is complete, a large one behind it is not.
std::string PipelinedBodies(int n, const std::string& path) {
  return Repeat(Head(path, "Content-Length: 200000\r\n\r\n") +
                    std::string(200'000, 'x'),
                4) +
         OneByteShort(n, path);
}

std::string Mixed(int n, const std::string& path) {
  static const std::vector<Kind> kinds = {
      LargeChunks, SmallChunks,        OneByteShort,
      ManyFields,  EndlessField,       AnnouncedFarOverTheLimit,
      EmptyLines,  EndlessRequestLine, SentFarOverTheLimit,
      Pipelined,   PipelinedBodies,    OneByteShortOfAnAllowedBody};
  return kinds[static_cast<size_t>(n) % kinds.size()](n, path);
}

/// @return A field of /proc/PID/status, in KB.
size_t MemoryKb(pid_t pid, const std::string& field) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string word; file >> word;) {
    if (size_t out = 0; word == field && file >> out) {
      return out;
    }
  }
  return 0;
}

size_t OpenFds(pid_t pid) {
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) +
                                                "/fd");
  return static_cast<size_t>(std::distance(begin(all), end(all)));
}

/// @return True if an ordinary request to the address is answered.
bool IsAnswered(const EntryFleet& fleet, int n, const std::string& address) {
  if (address == fleet.FrontOf(n)) {
    static int last = 0;
    const std::string job = fmt::format("{:016x}", ++last);
    return Eventually([&] {
      return fleet.Call(n, "POST", job, EntryJob(1, 100)).status == 200;
    });
  }
  net::HttpCall call;
  call.url = "http://" + address +
             (address == fleet.ReadyOf(n) ? "/v1/ready" : "/metrics");
  return Eventually([&] { return net::CallAndWait(call).status == 200; });
}

void PlayCrowd(const EntryFleet& fleet,
               int n,
               pid_t pid,
               const std::string& address,
               const Kind& kind) {
  const std::string path = address == fleet.FrontOf(n)   ? "/p/00000000000000ff"
                           : address == fleet.ReadyOf(n) ? "/v1/ready"
                                                         : "/metrics";
  std::vector<std::unique_ptr<RawConnection>> crowd;
  const size_t fds = OpenFds(pid);
  for (int caller = 0; caller < kCrowd; ++caller) {
    crowd.push_back(std::make_unique<RawConnection>());
    crowd.back()->Open(address);
    crowd.back()->SendSome(kind(caller, path), kPatience);
  }
  const size_t crowd_fds = OpenFds(pid);
  CHECK_TEXT(
      crowd_fds <= fds + kCrowd + kMostMoreFds,
      fmt::format("{} descriptors before, {} now", fds, crowd_fds).c_str());
  CHECK_TEXT(IsAnswered(fleet, n, address), address.c_str());
  crowd.clear();
  CHECK_TEXT(Eventually([&] { return OpenFds(pid) <= fds + kMostMoreFds; }),
             "descriptors are not given back");
}

void CheckCrowd(const Kind& kind) {
  EntryFleetOptions options;
  options.instances = kInstances;
  options.backends = kBackends;
  options.overrides = {kUnfinishedLimit};
  EntryFleet fleet(options);
  CHECK(fleet.Start());
  CHECK(fleet.WaitForOwner() >= 0);
  for (int n = 0; n < kInstances; ++n) {
    const pid_t pid = fleet.Entry(n).Pid();
    const size_t at_rest = MemoryKb(pid, "VmRSS:");
    for (const auto& it :
         {fleet.FrontOf(n), fleet.ReadyOf(n), fleet.MetricsOf(n)}) {
      PlayCrowd(fleet, n, pid, it, kind);
    }
    CHECK_EQUAL(-1, fleet.Entry(n).Wait(milliseconds(0)));
    const size_t peak = MemoryKb(pid, "VmHWM:");
    CHECK_TEXT(
        peak < at_rest + kMostMoreKb,
        fmt::format("instance {}: {} KB at rest, {} KB", n, at_rest, peak)
            .c_str());
  }
}

}  // namespace

TEST_GROUP(Crowd){};

TEST(Crowd, LargeChunks) {
  CheckCrowd(LargeChunks);
}

TEST(Crowd, SmallChunks) {
  CheckCrowd(SmallChunks);
}

TEST(Crowd, OneByteShort) {
  CheckCrowd(OneByteShort);
}

TEST(Crowd, OneByteShortOfAnAllowedBody) {
  CheckCrowd(OneByteShortOfAnAllowedBody);
}

TEST(Crowd, AnnouncedFarOverTheLimit) {
  CheckCrowd(AnnouncedFarOverTheLimit);
}

TEST(Crowd, SentFarOverTheLimit) {
  CheckCrowd(SentFarOverTheLimit);
}

TEST(Crowd, ManyFields) {
  CheckCrowd(ManyFields);
}

TEST(Crowd, EndlessField) {
  CheckCrowd(EndlessField);
}

TEST(Crowd, EndlessRequestLine) {
  CheckCrowd(EndlessRequestLine);
}

TEST(Crowd, EmptyLines) {
  CheckCrowd(EmptyLines);
}

TEST(Crowd, Pipelined) {
  CheckCrowd(Pipelined);
}

TEST(Crowd, PipelinedBodies) {
  CheckCrowd(PipelinedBodies);
}

// Each listen address has a limit of its own; together they exceed the
// process's descriptors, and a failed accept is the last one.
TEST(Crowd, OpenConnectionsOnAllAddresses) {
  constexpr rlim_t kDescriptors = 256;
  EntryFleet fleet(1, 1);
  CHECK(fleet.Start());
  fleet.Entry(0).Kill();
  fleet.StartEntry(0);
  const rlimit limit{kDescriptors, kDescriptors};
  LONGS_EQUAL(0, prlimit(fleet.Entry(0).Pid(), RLIMIT_NOFILE, &limit, nullptr));
  CHECK(Eventually([&] { return fleet.IsReady(0); }));
  std::vector<std::unique_ptr<RawConnection>> crowd;
  for (rlim_t n = 0; n < kDescriptors / 2; ++n) {
    for (const auto& it :
         {fleet.FrontOf(0), fleet.ReadyOf(0), fleet.MetricsOf(0)}) {
      crowd.push_back(std::make_unique<RawConnection>());
      crowd.back()->Open(it);
      crowd.back()->SendSome("GET /", kPatience);
    }
  }
  crowd.clear();
  for (const auto& it :
       {fleet.FrontOf(0), fleet.ReadyOf(0), fleet.MetricsOf(0)}) {
    CHECK_TEXT(IsAnswered(fleet, 0, it), it.c_str());
  }
}

TEST(Crowd, Mixed) {
  CheckCrowd(Mixed);
}

}  // namespace bw::test
