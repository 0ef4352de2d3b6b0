// bw_bench: micro-benchmarks for docs/CAPACITY.md, on one machine. They show
// how costs grow with size.
//
//   bw_bench place                  placement decision, 50 to 1,000 workers
//   bw_bench fit                    placement decision of the cell, 50 to 1,000
//                                   servers
//   bw_bench pass                   placing pass of a full cell, 50 to 1,000
//                                   servers and 100 to 5,000 waiting steps
//   bw_bench order                  order of 100 to 10,000 waiting steps
//   bw_bench board                  placements per second of one shard
//   bw_bench jobs                   replay of the jobs stream: cost, memory
//   bw_bench fold                   replay of the control stream: cost, size,
//                                   memory
//   bw_bench owner                  processor time of an owner's threads for
//                                   each task, 50 and 350 servers
//   bw_bench latency GATE RUNNER    latency that the gate adds to direct calls

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "../src/fit_func.h"
#include "../src/job_board_base.h"
#include "../src/load_func.h"
#include "../src/log_func.h"
#include "../src/net/http_client.h"
#include "../src/order_func.h"
#include "../src/place_func.h"
#include "../src/process_func.h"
#include "../src/request_board_base.h"
#include "../test/support/cell_harness.h"
#include "../test/support/entry_fleet.h"
#include "../test/support/fake_port.h"

namespace bw {
namespace {

using Json = nlohmann::json;
using test::FakePort;
using test::MakeResponse;

constexpr ShardId kShard{0};
constexpr uint64_t kWorkerMillicores = 32'000;
constexpr int kWorkerSizes[] = {50, 100, 250, 500, 1000};

double MicrosSince(Time since) {
  return static_cast<double>((BootClock::now() - since).count());
}

double MemoryMb() {
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

int BenchPlace() {
  std::puts("workers  strategy     us per decision");
  for (const int n : kWorkerSizes) {
    std::vector<WorkerCandidate> rooms(n);
    for (int i = 0; i < n; ++i) {
      rooms[i].total = {kWorkerMillicores, 64'000, 0};
      rooms[i].free = {static_cast<uint64_t>(1000 + i % 31'000), 32'000, 0};
      rooms[i].rack = static_cast<uint32_t>(i / 6);
    }
    for (const char* name : {"best_fit", "spread", "first_fit"}) {
      constexpr int kRounds = 2000;
      const Time start = BootClock::now();
      size_t sum = 0;
      for (int i = 0; i < kRounds; ++i) {
        sum +=
            PickWorker(rooms, {1000, 100, 0}, *FindStrategy(name)).value_or(0);
      }
      std::printf("%7d  %-10s  %8.2f   (checksum %zu)\n", n, name,
                  MicrosSince(start) / kRounds, sum);
    }
  }
  return 0;
}

/// Places a step of ten tasks, and one that fits on no server.
int BenchFit() {
  std::puts("servers  us to place ten tasks  us if nothing fits");
  for (const int n : kWorkerSizes) {
    std::vector<ServerCandidate> rooms(static_cast<size_t>(n));
    for (int i = 0; i < n; ++i) {
      ServerCandidate& room = rooms[static_cast<size_t>(i)];
      room.total = {kWorkerMillicores, 64'000, 0};
      room.free = {static_cast<uint64_t>(1000 + i * 37 % 31'000), 32'000, 0};
      room.rack = static_cast<uint32_t>(i / 6);
    }
    StepNeed need;
    need.task = {2000, 1000, 0};
    need.count = 10;
    StepNeed too_large = need;
    too_large.task.millicores = kWorkerMillicores;
    constexpr int kRounds = 2000;
    size_t sum = 0;
    const auto measure = [&](const StepNeed& it) {
      const Time start = BootClock::now();
      for (int i = 0; i < kRounds; ++i) {
        sum += FitStep(rooms, it).front();
      }
      return MicrosSince(start) / kRounds;
    };
    const double placed = measure(need);
    const double full = measure(too_large);
    std::printf("%7d  %21.2f  %19.2f   (checksum %zu)\n", n, placed, full, sum);
  }
  return 0;
}

/// Sorts waiting steps as each placement pass does.
int BenchOrder() {
  std::puts("waiting steps  us to order");
  for (const int n : {100, 1000, 10'000}) {
    std::vector<WaitingStep> steps(static_cast<size_t>(n));
    for (int i = 0; i < n; ++i) {
      WaitingStep& it = steps[static_cast<size_t>(i)];
      it.arrival = static_cast<uint64_t>(i);
      it.priority = static_cast<uint32_t>(i % 3);
      it.rate_limited = i % 11 == 0;
      it.objective_in_ms = i * 7919 % 20'000 - 4000;
      it.cutoff_in_ms = it.objective_in_ms + 20'000;
      it.remaining_ms = 600 + i % 5000;
    }
    constexpr int kRounds = 50;
    const Time start = BootClock::now();
    uint64_t sum = 0;
    for (int i = 0; i < kRounds; ++i) {
      auto copy = steps;
      std::sort(copy.begin(), copy.end(), ComesBefore);
      sum += copy.front().arrival;
    }
    std::printf("%13d  %11.1f   (checksum %llu)\n", n,
                MicrosSince(start) / kRounds,
                static_cast<unsigned long long>(sum));
  }
  return 0;
}

/// A full cell whose waiting steps need advice, which answers after 20 ms.
class PassBench {
 public:
  PassBench(int servers, int steps) : cell_(servers) {
    CellQueue advised = cell_.config->queues.front();
    advised.name = QueueId("advised");
    advised.advice = AdvicePolicy{7, 0.1, 2000};
    cell_.config->queues.push_back(advised);
    cell_.config->accounts.front().weight = 1e6;
    cell_.Advance(500);
    constexpr int kFullCores = 7;  // Of 8.
    cell_.Submit("00000000000f0000",
                 test::CellHarness::Tasks(kFullCores * servers, 1000));
    cell_.Advance(500);
    for (int n = 0; n < steps; ++n) {
      char name[17];
      std::snprintf(name, sizeof(name), "%016x", n);
      cell_.cell->Submit(JobId(name), TeamId("t0"), QueueId("advised"),
                         test::CellHarness::Tasks(3, 2000), cell_.now,
                         [](const CellOutcome&) {});
    }
  }

  /// @return Mean processor time of a pass in microseconds.
  double Measure() {
    constexpr int kRounds = 25;
    constexpr milliseconds kRound{1000};  // Longer than any pause of passes.
    double sum = 0;
    for (int n = 0; n < kRounds; ++n) {
      cell_.now += kRound;
      cell_.wall_ms += static_cast<uint64_t>(kRound.count());
      cell_.cell->Tick(cell_.now, cell_.wall_ms);
      const Time start = BootClock::now();
      cell_.cell->Run(cell_.now);
      sum += MicrosSince(start);
      cell_.Deliver();
      cell_.port.StorePending();
      Advise();
    }
    return sum / kRounds;
  }

 private:
  void Advise() {
    auto queries = std::move(cell_.port.advice_queries);
    cell_.port.advice_queries.clear();
    for (const auto& it : queries) {
      platform::AdviceResponse response;
      response.answered = true;
      for (size_t n = 0; n < it.backends.size(); n += 2) {
        response.recommended.push_back({it.backends[n], "ticket"});
      }
      cell_.cell->OnAdviceResponse(it.step, it.backends, response, cell_.now);
    }
  }

  test::CellHarness cell_;
};

int BenchPass() {
  std::puts("servers  waiting steps  us a pass");
  for (const int servers : {50, 350, 1000}) {
    for (const int steps : {100, 1000, 5000}) {
      PassBench bench(servers, steps);
      std::printf("%7d  %13d  %9.0f\n", servers, steps, bench.Measure());
    }
  }
  return 0;
}

/// @return Processor time of the owner's threads so far, in microseconds.
std::map<std::string, double> OwnerCpu(const test::EntryFleet& fleet) {
  const std::string log = fleet.Log(0);
  const size_t at = log.rfind("\"cpu_us\":");
  const size_t begin = log.find('{', at);
  return Json::parse(log.substr(begin, log.find('}', begin) - begin + 1))
      .get<std::map<std::string, double>>();
}

/// Processes on this machine: one owner, and the stand-in for all the rest.
int BenchOwner() {
  constexpr int kTasksPerJob = 6;
  constexpr int kTaskMs = 600;
  constexpr int kJobs = 1400;
  constexpr milliseconds kBetweenJobs{7};
  std::puts("servers  thread       us a task");
  for (const int servers : {50, 350}) {
    test::EntryFleet fleet(1, servers);
    if (!fleet.Start()) {
      return ToInt(ExitCode::kFailed);
    }
    std::this_thread::sleep_for(milliseconds(3000));
    const auto before = OwnerCpu(fleet);
    for (int n = 0; n < kJobs; ++n) {
      char name[17];
      std::snprintf(name, sizeof(name), "%016x", n);
      const Time next = BootClock::now() + kBetweenJobs;
      fleet.Call(0, "POST", name, test::EntryJob(kTasksPerJob, kTaskMs));
      std::this_thread::sleep_for(next - BootClock::now());
    }
    std::this_thread::sleep_for(milliseconds(2000));
    for (const auto& it : OwnerCpu(fleet)) {
      const auto found = before.find(it.first);
      const double us = it.second - (found == before.end() ? 0 : found->second);
      std::printf("%7d  %-11s  %9.1f\n", servers, it.first.c_str(),
                  us / (kJobs * kTasksPerJob));
    }
  }
  return 0;
}

/// A job board with `workers` idle workers.
struct JobBench {
  FakePort port;
  TeamUsage usage{kShard};
  JobBoard board{kShard, &port, &usage, milliseconds(10'000)};

  explicit JobBench(int workers) {
    port.Publish(6, 1'000'000, 100'000);
    board.OnOwnershipGained(false);
    std::vector<platform::ListedInstance> listed;
    listed.reserve(workers);
    for (int n = 0; n < workers; ++n) {
      listed.push_back(
          test::MakeWorker("w" + std::to_string(n), kWorkerMillicores, n / 6));
    }
    board.OnInstances(listed);
    board.Tick();
    while (port.Respond("/tasks",
                        MakeResponse(200, R"({"now_ms":1,"tasks":[]})"))) {
    }
  }

  void Submit(int number, uint32_t tasks) {
    JobSpec spec;
    spec.id = JobId("j0." + std::to_string(number));
    spec.origin = port.Origin(number % 6);
    spec.tasks = tasks;
    spec.need = {500, 100, 0};
    board.Submit(spec, port.now + milliseconds(1000), [](WorkOutcome) {});
    board.OnEvent(port.appended.back());
  }
};

int BenchBoard() {
  std::puts(
      "workers  single-task jobs/s  tasks/s in jobs of 20  MB/1000 tasks");
  for (const int n : kWorkerSizes) {
    constexpr int kJobs = 1000;
    JobBench single(n);
    const double before = MemoryMb();
    Time start = BootClock::now();
    for (int i = 0; i < kJobs; ++i) {
      single.Submit(i, 1);
    }
    const double single_us = MicrosSince(start);
    const double memory = MemoryMb() - before;
    JobBench multi(n);
    start = BootClock::now();
    for (int i = 0; i < kJobs / 20; ++i) {
      multi.Submit(i, 20);
    }
    const double multi_us = MicrosSince(start);
    std::printf("%7d  %18.0f  %21.0f  %13.2f\n", n, kJobs * 1e6 / single_us,
                kJobs * 1e6 / multi_us, memory);
  }
  return 0;
}

/// Replays the jobs stream, first acceptances and then ends.
int BenchJobs() {
  std::puts("jobs     accepted us  done us  MB/1000 jobs  record bytes");
  for (const int n : {1000, 4000, 16'000}) {
    const double before = MemoryMb();
    JobsState state;
    size_t bytes = 0;
    const auto event = [](JobRecordKind kind, int number) {
      JobEvent out;
      out.kind = kind;
      out.id = RandomHex();
      out.job = JobId("j0." + std::to_string(number));
      out.spec.id = out.job;
      out.spec.origin = {TeamId("team"), QueueId("batch"), HashApiKey("k"), ""};
      out.spec.tasks = 2;
      out.spec.need = {1000, 100, 0};
      return WriteJobEvent(out);
    };
    double times[2] = {0, 0};
    for (const bool done : {false, true}) {
      std::vector<std::string> records;
      records.reserve(n);
      for (int i = 0; i < n; ++i) {
        records.push_back(
            event(done ? JobRecordKind::kDone : JobRecordKind::kAccepted, i));
        bytes += records.back().size();
      }
      const Time start = BootClock::now();
      for (const auto& it : records) {
        ApplyJobRecord(&state, state.version, it);
      }
      times[done ? 1 : 0] = MicrosSince(start) / n;
    }
    std::printf("%6zu  %11.1f  %7.1f  %12.2f  %12zu\n", state.jobs.size(),
                times[0], times[1], (MemoryMb() - before) * 1000 / n,
                bytes / 2 / n);
  }
  return 0;
}

Member MakeMember(int n, int zones) {
  return {InstanceId("e" + std::to_string(n)), 1,
          ZoneId("z" + std::to_string(n % zones)), "127.0.0.1:1", 0};
}

/// Replays the control stream: the cost of a change and of a move of allowance,
/// and of writing and reading a snapshot.
int BenchControl() {
  std::puts(
      "teams zones shards  change us  move us  snapshot KB  write us  read us"
      "  MB");
  struct Size {
    int teams;
    int zones;
    int shards;
  };
  for (const Size size : {Size{6, 4, 4}, Size{55, 9, 36}, Size{110, 18, 72},
                          Size{220, 18, 144}}) {
    const double before = MemoryMb();
    ControlState state;
    std::string zones;
    for (int n = 0; n < size.zones; ++n) {
      zones += (n == 0 ? "z" : ",z") + std::to_string(n);
    }
    std::vector<ObjectChange> changes = {
        {"fleet/fleet", 0,
         Json{{"zones", zones}, {"shards_per_zone", size.shards / size.zones}}
             .dump()},
        {"template/t", 0,
         R"({"keys":"$keys","upper_limit":"$limit","queue.now.priority":"9",)"
         R"("queue.batch.strategy":"best_fit","queue.services.priority":"6"})"}};
    const auto account = [](int n, int limit) {
      return Json{{"template", "t"},
                  {"limit", std::to_string(limit)},
                  {"keys", HashApiKey("k" + std::to_string(n))}}
          .dump();
    };
    for (int n = 0; n < size.teams; ++n) {
      changes.push_back({"account/t" + std::to_string(n), 0, account(n, 1000)});
    }
    ApplyRecord(&state, 0, ChangeRecord("first", "op", changes));
    for (int n = 0; n < size.shards; ++n) {
      ApplyRecord(
          &state, state.version,
          JoinRecord("j" + std::to_string(n), MakeMember(n, size.zones)));
    }
    constexpr int kRounds = 200;
    Time start = BootClock::now();
    for (int n = 0; n < kRounds; ++n) {
      const std::string name = "account/t" + std::to_string(n % size.teams);
      ApplyRecord(&state, state.version,
                  ChangeRecord("c" + std::to_string(n), "op",
                               {{name, state.objects.at(name).version,
                                 account(n % size.teams, 1000 + n)}}));
    }
    const double change_us = MicrosSince(start) / kRounds;
    start = BootClock::now();
    for (int n = 0; n < kRounds; ++n) {
      ApplyRecord(&state, state.version,
                  MoveRecord("m" + std::to_string(n),
                             {TeamId("t0"), ShardId{0}, ShardId{1}, 1,
                              state.shards[0].epoch}));
    }
    const double move_us = MicrosSince(start) / kRounds;
    const double memory = MemoryMb() - before;
    start = BootClock::now();
    const std::string text = WriteSnapshot(state);
    const double write_us = MicrosSince(start);
    start = BootClock::now();
    const bool same = ReadSnapshot(text) == state;
    std::printf("%5d %5d %6d  %9.0f  %7.0f  %11.1f  %8.0f  %7.0f  %4.2f%s\n",
                size.teams, size.zones, size.shards, change_us, move_us,
                static_cast<double>(text.size()) / 1000, write_us,
                MicrosSince(start), memory, same ? "" : "  SNAPSHOT DIFFERS");
  }
  return 0;
}

/// Makes sequential calls, alternating between direct and through the gate.
int BenchLatency(const std::string& gate, const std::string& runner) {
  constexpr int kCalls = 3000;
  std::vector<double> direct;
  std::vector<double> through;
  for (int n = 0; n < kCalls; ++n) {
    for (const bool is_direct : {true, false}) {
      net::HttpCall call;
      call.method = "POST";
      call.body = "ms=0 " + std::to_string(n);
      call.url = is_direct ? runner + "/run" : gate + "/v1/requests?queue=now";
      call.headers = {{"Bw-Key", "demo-norte"},
                      {"Bw-Request", "bench:" + std::to_string(n)}};
      const Time start = BootClock::now();
      const auto result = net::CallAndWait(call);
      if (!result.Ok()) {
        std::fprintf(stderr, "call failed: %s\n", result.body.c_str());
        return 1;
      }
      (is_direct ? direct : through).push_back(MicrosSince(start));
    }
  }
  std::puts("path     p50 us   p99 us");
  std::printf("direct  %7.0f  %7.0f\n", Quantile(direct, 0.5),
              Quantile(direct, 0.99));
  std::printf("gate    %7.0f  %7.0f\n", Quantile(through, 0.5),
              Quantile(through, 0.99));
  std::printf("added   %7.0f  %7.0f\n",
              Quantile(through, 0.5) - Quantile(direct, 0.5),
              Quantile(through, 0.99) - Quantile(direct, 0.99));
  return 0;
}

int Main(int argc, const char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "place") {
    return BenchPlace();
  }
  if (command == "fit") {
    return BenchFit();
  }
  if (command == "pass") {
    return BenchPass();
  }
  if (command == "owner") {
    return BenchOwner();
  }
  if (command == "order") {
    return BenchOrder();
  }
  if (command == "board") {
    return BenchBoard();
  }
  if (command == "jobs") {
    return BenchJobs();
  }
  if (command == "fold") {
    return BenchControl();
  }
  if (command == "latency" && argc == 4) {
    return BenchLatency(argv[2], argv[3]);
  }
  std::fputs(
      "Usage: bw_bench place | fit | pass | owner | order | board | jobs | "
      "fold | "
      "latency GATE RUNNER\n",
      stderr);
  return ToInt(ExitCode::kUsage);
}

}  // namespace
}  // namespace bw

int main(int argc, const char** argv) {
  // Linked with the test support; its leak check would be measured too.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  bw::SetUpLog("error");
  bw::RunMain(bw::Main, argc, argv);
}
