// A soak of bwentry as real processes with jobs of all kinds, while owners,
// instances, the store and backend servers are disrupted in overlapping series
// with calm phases between them. Seeded.
//
//   BW_WORK_SEED=N BW_WORK_SECONDS=N bw_integration_test -g WorkSoak
//
// BW_WORK_LOGS=FOLDER keeps the logs and the runs.
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <signal.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "../src/fake/timer_thread.h"
#include "support/entry_fleet.h"
#include "support/work_model.h"

namespace bw::test {
namespace {

constexpr int kInstances = 6;
constexpr int kBackends = 16;
constexpr int kCallers = 8;
constexpr uint64_t kBackendCpu = 8000;
constexpr int kDefaultSeconds = 6;
constexpr uint64_t kRoughMs = 6000;
constexpr uint64_t kCalmMs = 9000;
/// Bounds of the platform's pages: visible_ms, finish_s, cancel_ms + stop_ms,
/// and the time after which a task that lasts runs again.
constexpr uint64_t kVisibleMs = 3000;
constexpr uint64_t kFinishMs = 14'000;
constexpr uint64_t kCancelledGoneMs = 3400;
constexpr uint64_t kPerpetualBackMs = 6000;

int64_t NumberFromEnvironment(const char* name, int64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoll(text, nullptr, 10);
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

uint64_t WallMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// What callers have seen. Thread-safe.
class Ledger {
 public:
  void Add(const WorkJob& job) {
    std::lock_guard lock(mutex_);
    records_[job.id].job = job;
  }
  void Change(const std::string& id,
              const std::function<void(WorkRecord*)>& change) {
    std::lock_guard lock(mutex_);
    change(&records_[id]);
  }
  WorkRecord Get(const std::string& id) {
    std::lock_guard lock(mutex_);
    return records_[id];
  }
  std::map<std::string, WorkRecord> All() {
    std::lock_guard lock(mutex_);
    return records_;
  }
  void OnFault(const std::string& text) {
    std::lock_guard lock(mutex_);
    if (++faults_ <= 8) {
      text_ += text + "\n";
    }
  }
  std::string Faults() {
    std::lock_guard lock(mutex_);
    return text_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, WorkRecord> records_;
  std::string text_;
  int faults_ = 0;
};

/// Calls about one job, judged as they come in.
class JobCaller {
 public:
  JobCaller(const EntryFleet* fleet, Ledger* ledger)
      : fleet_(fleet), ledger_(ledger) {}

  net::HttpResult Call(int instance,
                       const char* method,
                       const WorkJob& job,
                       const std::string& body = {}) const {
    return fleet_->Call(instance, method, job.queue + job.id, body,
                        job.account == 0 ? "k0" : "k1");
  }

  /// @return The state; empty if the call failed.
  std::string Look(int instance, const WorkJob& job) const {
    const WorkRecord before = ledger_->Get(job.id);
    const uint64_t sent = fake::NowMs();
    const auto result = Call(instance, "GET", job);
    const bool owed =
        before.accepted_ms != 0 &&
        ledger_->Get(job.id).cancel_sent_ms == 0;  // It may come in meanwhile.
    if (result.status == 410 && owed &&
        sent > before.accepted_ms + kVisibleMs) {
      ledger_->OnFault(fmt::format("LOST: 410 for {} at instance {} at {}",
                                   job.id, instance, sent));
    }
    const Json body = Json::parse(result.body, nullptr, false);
    if (result.status != 200 || !body.is_object()) {
      return "";
    }
    const std::string state = body.value("state", "");
    if (state == "completed") {
      ledger_->Change(job.id, [](WorkRecord* it) {
        it->completed_ms =
            it->completed_ms == 0 ? fake::NowMs() : it->completed_ms;
      });
    }
    if (owed &&
        (state == "cancelled" || (state == "failed" && !job.IsHopeless()))) {
      ledger_->OnFault(fmt::format("LOST: {} is shown as {}", job.id, state));
    }
    return state;
  }

 private:
  const EntryFleet* const fleet_;
  Ledger* const ledger_;
};

/// Hands in jobs, hands some in twice, cancels some and looks at their states.
class Caller {
 public:
  Caller(const EntryFleet* fleet, Ledger* ledger, int number, uint64_t seed)
      : calls_(fleet, ledger),
        ledger_(ledger),
        number_(number),
        random_(seed) {}

  void Run(const std::stop_token& stop) {
    for (int n = 1; !stop.stop_requested(); ++n) {
      const WorkJob job = RandomJob(
          &random_, fmt::format("{:08x}{:08x}", number_ + 1, n), WallMs());
      ledger_->Add(job);
      HandIn(job, stop);
      const uint64_t until =
          fake::NowMs() + static_cast<uint64_t>(Between(&random_, 100, 1200));
      while (!stop.stop_requested() && fake::NowMs() < until) {
        Later(stop);
        SleepMs(Between(&random_, 10, 100));
      }
    }
  }

 private:
  struct Due {
    WorkJob job;
    uint64_t repeat_ms = 0;
    uint64_t cancel_ms = 0;
  };

  int Any() { return static_cast<int>(Between(&random_, 0, kInstances - 1)); }

  void HandIn(const WorkJob& job, const std::stop_token& stop) {
    bool maybe_accepted = false;
    while (!stop.stop_requested()) {
      const auto result = calls_.Call(Any(), "POST", job, job.Body());
      if (result.status == 200) {
        const uint64_t now = fake::NowMs();
        ledger_->Change(job.id, [&](WorkRecord* it) { it->accepted_ms = now; });
        Plan(job, now);
        return;
      }
      const bool unknown = result.delivery == net::DeliveryStatus::kUnknown ||
                           result.status == 502 || result.status == 504;
      maybe_accepted = maybe_accepted || unknown;
      if (!maybe_accepted && Between(&random_, 0, 3) == 0) {
        ledger_->Change(job.id, [](WorkRecord* it) { it->refused = true; });
        return;
      }
      SleepMs(Between(&random_, 10, 200));
    }
  }

  void Plan(const WorkJob& job, uint64_t now) {
    Due due{job, 0, 0};
    if (Between(&random_, 0, 6) == 0) {
      due.repeat_ms = now + static_cast<uint64_t>(Between(&random_, 0, 4000));
    }
    if (Between(&random_, 0, job.IsPerpetual() ? 1 : 9) == 0) {
      due.cancel_ms = now + static_cast<uint64_t>(Between(&random_, 0, 3000));
    }
    due_.push_back(due);
  }

  void Later(const std::stop_token& stop) {
    if (due_.empty()) {
      return;
    }
    Due& due = due_[static_cast<size_t>(
        Between(&random_, 0, static_cast<int64_t>(due_.size()) - 1))];
    const uint64_t now = fake::NowMs();
    if (due.repeat_ms != 0 && now >= due.repeat_ms) {
      due.repeat_ms = 0;
      calls_.Call(Any(), "POST", due.job, due.job.Body());
    }
    if (due.cancel_ms != 0 && now >= due.cancel_ms) {
      due.cancel_ms = 0;
      Cancel(due.job, stop);
    }
    calls_.Look(Any(), due.job);
  }

  void Cancel(const WorkJob& job, const std::stop_token& stop) {
    ledger_->Change(job.id,
                    [](WorkRecord* it) { it->cancel_sent_ms = fake::NowMs(); });
    while (!stop.stop_requested()) {
      const auto result = calls_.Call(Any(), "DELETE", job);
      if (result.status == 200 || result.status == 410) {
        ledger_->Change(
            job.id, [](WorkRecord* it) { it->cancelled_ms = fake::NowMs(); });
        return;
      }
      SleepMs(Between(&random_, 10, 200));
    }
  }

  const JobCaller calls_;
  Ledger* const ledger_;
  const int number_;
  Random random_;
  std::vector<Due> due_;
};

/// Disrupts the fleet at random. One thread.
class Disruptor {
 public:
  Disruptor(EntryFleet* fleet, Ledger* ledger, uint64_t seed)
      : fleet_(fleet), ledger_(ledger), random_(seed) {}

  /// Puts the next version in force; one in three has no queue "x/".
  void Configure(bool all_queues = false) {
    ++version_;
    if (all_queues && version_ % 3 == 0) {
      ++version_;
    }
    Json routes = Json::array();
    for (const std::string queue : {"q/", "n/", "x/"}) {
      if (queue == "x/" && version_ % 3 == 0) {
        continue;
      }
      Json route = {{"name", queue},
                    {"host", "h"},
                    {"pathPrefix", "/p/" + queue},
                    {"service", "s"},
                    {"maxAttempts", kMaxAttempts},
                    {"stretch", 20.0},
                    {"targetLatencyMs", 20'000}};
      if (queue != "n/") {
        route["advice"] = {
            {"decideMs", 1.0}, {"eachMs", 0.1}, {"validMs", 2000}};
      }
      routes.push_back(route);
    }
    fleet_->Control(
        {{"config",
          {{"version", version_},
           {"routes", routes},
           {"tenants",
            {{{"name", "t0"}, {"weight", 1000}, {"apiKeys", {"k0"}}},
             {{"name", "t1"},
              {"weight", 1000},
              {"apiKeys", {"k1"}},
              {"maximum", {{"cpu", 16'000}, {"memMb", 0}, {"gpu", 0}}}}}}}}});
  }

  void Rough(uint64_t until) {
    uint64_t owner_at = fake::NowMs() + Ms(300, 2000);
    uint64_t herd_at = Between(&random_, 0, 1) == 0
                           ? fake::NowMs() + Ms(500, kRoughMs)
                           : UINT64_MAX;
    uint64_t instance_at = fake::NowMs() + Ms(200, 1500);
    uint64_t platform_at = fake::NowMs() + Ms(200, 1500);
    uint64_t backend_at = fake::NowMs() + Ms(200, 1500);
    while (fake::NowMs() < until) {
      const uint64_t now = fake::NowMs();
      Undo(now);
      if (now >= owner_at) {
        owner_at = now + Ms(700, 4000);
        if (const int owner = fleet_->FindOwner(); owner >= 0) {
          Kill(owner, Ms(0, 2000));
        }
      }
      if (now >= herd_at) {
        herd_at = UINT64_MAX;
        const int64_t percent = Between(&random_, 0, 1) == 0 ? 55 : 100;
        const uint64_t down = Ms(300, 2000);
        for (int n = 0; n < kInstances; ++n) {
          if (Between(&random_, 1, 100) <= percent) {
            Kill(n, down);
          }
        }
      }
      if (now >= instance_at) {
        instance_at = now + Ms(500, 2500);
        DisruptInstance();
      }
      if (now >= platform_at) {
        platform_at = now + Ms(1500, 4000);
        DisruptPlatform();
      }
      if (now >= backend_at) {
        backend_at = now + Ms(300, 1500);
        DisruptBackend();
      }
      SleepMs(10);
    }
    Undo(UINT64_MAX);
  }

  /// Checks that no instance ended by itself.
  void CheckProcesses() {
    for (int n = 0; n < kInstances; ++n) {
      const int code = fleet_->Entry(n).Wait(milliseconds(0));
      if (code >= 0) {
        ledger_->OnFault(
            fmt::format("FAULT: instance {} ended with code {}", n, code));
        fleet_->StartEntry(n);
      }
    }
  }

 private:
  struct Pending {
    uint64_t at = 0;
    std::function<void()> undo;
  };

  uint64_t Ms(int64_t low, int64_t high) {
    return static_cast<uint64_t>(Between(&random_, low, high));
  }

  void After(uint64_t ms, std::function<void()> undo) {
    pending_.push_back({fake::NowMs() + ms, std::move(undo)});
  }

  void Undo(uint64_t now) {
    auto pending = std::move(pending_);
    pending_.clear();
    for (auto& it : pending) {
      if (now >= it.at) {
        it.undo();
      } else {
        pending_.push_back(std::move(it));
      }
    }
  }

  void Kill(int n, uint64_t down_ms) {
    if (disturbed_[static_cast<size_t>(n)]) {
      return;
    }
    disturbed_[static_cast<size_t>(n)] = true;
    fleet_->Entry(n).Kill();
    After(down_ms, [this, n] { Start(n); });
  }

  void Start(int n) {
    fleet_->StartEntry(n);
    disturbed_[static_cast<size_t>(n)] = false;
  }

  void DisruptInstance() {
    const int n = static_cast<int>(Between(&random_, 0, kInstances - 1));
    if (disturbed_[static_cast<size_t>(n)]) {
      return;
    }
    disturbed_[static_cast<size_t>(n)] = true;
    if (Between(&random_, 0, 1) == 0) {
      fleet_->Entry(n).Signal(SIGTERM);
      After(Ms(1500, 4000), [this, n] {
        if (const int code = fleet_->Entry(n).Wait(milliseconds(4500));
            code < 0 || code > 1) {
          ledger_->OnFault(
              fmt::format("FAULT: stop of instance {}: {}", n, code));
          fleet_->Entry(n).Kill();
        }
        Start(n);
      });
      return;
    }
    fleet_->Entry(n).Signal(SIGSTOP);
    After(Ms(300, 4000), [this, n] {
      fleet_->Entry(n).Signal(SIGCONT);
      disturbed_[static_cast<size_t>(n)] = false;
    });
  }

  void DisruptPlatform() {
    static const std::vector<std::string> moods = {"refuses", "loses",
                                                   "silent"};
    if (Between(&random_, 0, 2) == 0) {
      Configure();
      return;
    }
    fleet_->Control(
        {{"mood", moods[static_cast<size_t>(Between(&random_, 0, 2))]}});
    After(Ms(300, 2500), [this] { fleet_->Control({{"mood", "well"}}); });
  }

  void DisruptBackend() {
    const int64_t n = Between(&random_, 0, kBackends - 1);
    switch (Between(&random_, 0, 3)) {
      case 0:
        fleet_->Control({{"crash", n}});
        return;
      case 1:
        fleet_->Control({{"silent", n}, {"on", true}});
        After(Ms(500, 4000), [this, n] {
          fleet_->Control({{"silent", n}, {"on", false}});
        });
        return;
      case 2:
        fleet_->Control({{"late", n}, {"on", true}});
        After(Ms(500, 3000), [this, n] {
          fleet_->Control({{"late", n}, {"on", false}});
        });
        return;
      default:
        fleet_->Control({{"drain", n}, {"ms", Ms(300, 3000)}});
        After(Ms(3000, 5000), [this, n] { fleet_->Control({{"crash", n}}); });
    }
  }

  EntryFleet* const fleet_;
  Ledger* const ledger_;
  Random random_;
  std::array<bool, kInstances> disturbed_{};
  std::vector<Pending> pending_;
  int version_ = 1;
};

/// @return What is still open of the accepted jobs.
std::string OpenJobs(const JobCaller& calls,
                     Ledger* ledger,
                     uint64_t limit_ms) {
  std::string out;
  int open = 0;
  const auto check = [&](const WorkRecord& record) {
    std::string state;
    int attempt = 0;
    do {
      state =
          calls.Look((attempt++ + record.job.account) % kInstances, record.job);
      if (state == "completed" ||
          (state == "failed" && record.job.IsHopeless())) {
        return;
      }
      if (record.job.IsPerpetual() && !state.empty()) {
        return;
      }
      SleepMs(50);
    } while (fake::NowMs() < limit_ms);
    if (++open <= 8) {
      out += fmt::format("LOST: {} of queue '{}' is '{}' at the end: {}\n",
                         record.job.id, record.job.queue, state,
                         record.job.Body());
    }
  };
  for (const auto& it : ledger->All()) {
    if (it.second.accepted_ms != 0 && it.second.cancel_sent_ms == 0) {
      check(it.second);
    }
  }
  return open == 0 ? "" : fmt::format("{} open\n{}", open, out);
}

/// Checks what runs at the end: all tasks that last, and none that was
/// cancelled.
void CheckRunsAtEnd(const Json& runs, uint64_t now, Ledger* ledger) {
  std::map<std::string, std::map<std::string, uint64_t>> last_seen;
  for (const auto& it : runs) {
    const std::string task = it["task"];
    const std::string job = task.substr(0, task.find('.'));
    const uint64_t ended = it["ended_ms"];
    uint64_t& seen = last_seen[job][task];
    seen = std::max(seen, ended == 0 ? now : ended);
    const WorkRecord record = ledger->Get(job);
    if (ended == 0 && record.cancelled_ms != 0 &&
        now > record.cancelled_ms + kCancelledGoneMs) {
      ledger->OnFault("UNASKED: still runs, cancelled: " + it.dump());
    }
  }
  for (const auto& it : ledger->All()) {
    const WorkRecord& record = it.second;
    if (record.accepted_ms == 0 || record.cancel_sent_ms != 0 ||
        !record.job.IsPerpetual() || record.job.account != 0) {
      continue;
    }
    for (uint32_t n = 0; n < record.job.steps[0].count; ++n) {
      const uint64_t seen =
          last_seen[it.first][fmt::format("{}.0.0.{}", it.first, n)];
      if (now > std::max(seen, record.accepted_ms) + kPerpetualBackMs) {
        ledger->OnFault(
            fmt::format("LOST: task {} of {} that lasts is not at work since "
                        "{}",
                        n, it.first, seen));
      }
    }
  }
}

}  // namespace

TEST_GROUP(WorkSoak){};

TEST(WorkSoak, JobsOfAllKindsOutliveChangesOfOwner) {
  const auto seed =
      static_cast<uint64_t>(NumberFromEnvironment("BW_WORK_SEED", 1));
  const auto duration_ms = static_cast<uint64_t>(
      1000 * NumberFromEnvironment("BW_WORK_SECONDS", kDefaultSeconds));
  EntryFleet fleet(kInstances, kBackends);
  CHECK(fleet.Start());
  fleet.Control({{"tickets", true}, {"share", 70}});
  Ledger ledger;
  Disruptor disruptor(&fleet, &ledger, seed);
  disruptor.Configure();
  WorkAudit audit(Json::array());
  {
    std::vector<std::jthread> threads;
    threads.reserve(kCallers);
    for (int n = 0; n < kCallers; ++n) {
      threads.emplace_back([&fleet, &ledger, n,
                            seed](const std::stop_token& it) {
        Caller(&fleet, &ledger, n, seed * kCallers + static_cast<uint64_t>(n))
            .Run(it);
      });
    }
    const uint64_t until = fake::NowMs() + duration_ms;
    while (fake::NowMs() < until) {
      disruptor.Rough(std::min(until, fake::NowMs() + kRoughMs));
      const uint64_t calm_from = fake::NowMs();
      disruptor.Configure(/*all_queues=*/true);
      if (calm_from < until) {
        SleepMs(kCalmMs);
        audit.calm.push_back({calm_from, fake::NowMs()});
      }
      disruptor.CheckProcesses();
    }
  }
  const uint64_t ended = fake::NowMs();
  const std::string open =
      OpenJobs(JobCaller(&fleet, &ledger), &ledger, ended + kFinishMs);
  disruptor.CheckProcesses();
  audit.runs = fleet.AllRuns();
  audit.now_ms = fake::NowMs();
  audit.calm.push_back({ended, audit.now_ms});
  if (audit.now_ms > ended + kPerpetualBackMs + kVisibleMs) {
    CheckRunsAtEnd(audit.runs, audit.now_ms, &ledger);
  }
  audit.records = ledger.All();
  audit.wall_offset_ms = WallMs() - fake::NowMs();
  audit.total_cpu = kBackends * kBackendCpu;
  CHECK(audit.records.size() > 20);
  const std::string faults = ledger.Faults() + open + AuditWork(audit);
  if (const char* folder = std::getenv("BW_WORK_LOGS"); folder != nullptr) {
    for (int n = 0; n < kInstances; ++n) {
      std::ofstream(fmt::format("{}/e{}.log", folder, n)) << fleet.Log(n);
    }
    std::ofstream(fmt::format("{}/runs.json", folder)) << audit.runs.dump();
  }
  STRCMP_EQUAL("", faults.c_str());
}

}  // namespace bw::test
