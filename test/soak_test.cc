// A soak of bwentry as real processes: signals, restarts, freezes, changed
// settings and faults of the store and of backend servers in overlapping
// series, while callers keep using their connections. Seeded.
//
//   BW_SOAK_SEED=N BW_SOAK_SECONDS=N tools/test '^Soak'
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "../src/exit_type.h"
#include "support/entry_fleet.h"

namespace bw::test {
namespace {

using Random = std::mt19937_64;

constexpr int kInstances = 9;
constexpr int kBackends = 16;
constexpr int kZones = 4;
constexpr int kCallers = 12;
/// SIGHUPs that an instance gets at once, and the longest pause between them.
constexpr int kHangUpsAtOnce = 4;
constexpr int64_t kMaxHangUpPauseMs = 8;
constexpr int kDefaultSeconds = 60;
/// A connection that ends this soon after a request may take it along.
constexpr milliseconds kLossSlack{200};
/// Calls that begin until this long after a disruption may be lost by it.
constexpr milliseconds kDisruptionEffect{3000};
/// SIGTERM to SIGKILL; as in EntryFleet's settings.
constexpr milliseconds kGrace{4000};
constexpr milliseconds kEndTimeout{14'000};

int64_t NumberFromEnvironment(const char* name, int64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoll(text, nullptr, 10);
}

int64_t Between(Random* random, int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(*random);
}

milliseconds MsBetween(Random* random, int64_t low, int64_t high) {
  return milliseconds(Between(random, low, high));
}

/// What callers have seen. Thread-safe.
class Ledger {
 public:
  void OnAccepted(const std::string& job) {
    std::lock_guard lock(mutex_);
    accepted_.insert(job);
  }
  /// Every attempt to hand the job in was refused.
  void OnRefused(const std::string& job) {
    std::lock_guard lock(mutex_);
    refused_.insert(job);
  }
  void OnFault(const std::string& text) {
    std::lock_guard lock(mutex_);
    if (first_fault_.empty()) {
      first_fault_ = text;
    }
    ++faults_;
  }
  /// Calls that begin until `until` may be lost at this instance; -1: at any.
  void Disrupt(int instance, Time until) {
    std::lock_guard lock(mutex_);
    Time& it = disrupted_until_[instance];
    it = std::max(it, until);
  }
  bool IsDisrupted(int instance, Time since) {
    std::lock_guard lock(mutex_);
    return disrupted_until_[instance] >= since || disrupted_until_[-1] >= since;
  }

  std::set<std::string> Accepted() {
    std::lock_guard lock(mutex_);
    return accepted_;
  }
  std::set<std::string> Refused() {
    std::lock_guard lock(mutex_);
    return refused_;
  }
  std::string FirstFault() {
    std::lock_guard lock(mutex_);
    return faults_ == 0 ? ""
                        : fmt::format("{} ({} in all)", first_fault_, faults_);
  }

 private:
  std::mutex mutex_;
  std::set<std::string> accepted_;
  std::set<std::string> refused_;
  std::map<int, Time> disrupted_until_;
  std::string first_fault_;
  int faults_ = 0;
};

/// A caller that hands in one job after the other over connections that it
/// keeps open, and repeats calls whose outcome is unknown at another instance.
class Caller {
 public:
  Caller(const EntryFleet* fleet, Ledger* ledger, int number, uint64_t seed)
      : fleet_(fleet), ledger_(ledger), number_(number), random_(seed) {}

  void Run(const std::stop_token& stop) {
    for (int n = 1; !stop.stop_requested(); ++n) {
      HandIn(fmt::format("{:08x}{:08x}", number_ + 1, n), stop);
      std::this_thread::sleep_for(MsBetween(&random_, 0, 60));
    }
  }

 private:
  void HandIn(const std::string& job, const std::stop_token& stop) {
    const std::string body =
        EntryJob(static_cast<int>(Between(&random_, 1, 3)),
                 static_cast<int>(Between(&random_, 50, 600)));
    bool maybe_accepted = false;
    while (!stop.stop_requested()) {
      const Time sent = BootClock::now();
      const auto result = fleet_->Call(instance_, "POST", job, body);
      CheckEnd("POST", result, sent);
      if (result.status == 200) {
        ledger_->OnAccepted(job);
        return;
      }
      const bool unknown = result.delivery == net::DeliveryStatus::kUnknown ||
                           result.status == 504;
      maybe_accepted = maybe_accepted || unknown;
      if (result.status == 503 && !maybe_accepted &&
          Between(&random_, 0, 3) == 0) {
        ledger_->OnRefused(job);
        return;
      }
      if (result.status != 503 || Between(&random_, 0, 1) == 0) {
        instance_ = static_cast<int>(Between(&random_, 0, kInstances - 1));
      }
      std::this_thread::sleep_for(MsBetween(&random_, 10, 100));
    }
  }

  /// A planned stop or a reload must not cut off a request.
  void CheckEnd(const char* what, const net::HttpResult& result, Time sent) {
    const Time now = BootClock::now();
    if (result.delivery == net::DeliveryStatus::kUnknown &&
        now - sent > kLossSlack &&
        !ledger_->IsDisrupted(instance_, sent - kDisruptionEffect)) {
      ledger_->OnFault(fmt::format("{} at instance {} got no response in {} ms",
                                   what, instance_, AgeMs(sent, now)));
    }
  }

  const EntryFleet* const fleet_;
  Ledger* const ledger_;
  const int number_;
  Random random_;
  int instance_ = 0;
};

/// Disrupts the fleet at random. One thread.
class Disruptor {
 public:
  Disruptor(EntryFleet* fleet, Ledger* ledger, uint64_t seed)
      : fleet_(fleet), ledger_(ledger), random_(seed) {
    for (auto& it : instances_) {
      it.next_at = BootClock::now() + MsBetween(&random_, 500, 4000);
    }
  }

  void Tick() {
    const Time now = BootClock::now();
    for (int n = 0; n < kInstances; ++n) {
      TickInstance(n, now);
    }
    if (now >= next_platform_at_) {
      DisruptPlatform(now);
    }
    if (now >= next_herd_at_) {
      next_herd_at_ = now + MsBetween(&random_, 5000, 10'000);
      DisruptHerd(now);
    }
  }

  /// Ends all disruptions and checks the processes.
  void Heal() {
    fleet_->Control({{"mood", "well"}});
    for (int n = 0; n < kBackends; ++n) {
      fleet_->Control({{"silent", n}, {"on", false}});
    }
    for (int n = 0; n < kInstances; ++n) {
      Instance& it = instances_[static_cast<size_t>(n)];
      if (it.state == State::kFrozen) {
        fleet_->Entry(n).Signal(SIGCONT);
      }
      if (it.state == State::kStopping) {
        fleet_->Entry(n).Wait(2 * kGrace);
      }
      if (it.state == State::kStopping || it.state == State::kDown) {
        fleet_->StartEntry(n);
      }
      it.state = State::kUp;
    }
  }

  /// @pre All instances are up. Checks that none ended by itself.
  void CheckProcesses() {
    for (int n = 0; n < kInstances; ++n) {
      CheckRunning(n);
    }
  }

 private:
  enum class State : uint8_t { kUp, kStopping, kDown, kFrozen };
  struct Instance {
    State state = State::kUp;
    Time next_at = kNever;
    Time kill_at = kNever;
    Time hang_up_at = kNever;
    size_t log_size = 0;  ///< At the last start.
  };

  void CheckRunning(int n) {
    const int code = fleet_->Entry(n).Wait(milliseconds(0));
    if (code >= 0) {
      ledger_->OnFault(
          fmt::format("instance {} ended by itself with code {}", n, code));
      fleet_->StartEntry(n);
    }
  }

  /// Nothing can keep a signal from ending a process before its own code runs.
  bool RunsItsOwnCode(int n, const Instance& it) const {
    return fleet_->Log(n).size() > it.log_size;
  }

  void TickInstance(int n, Time now) {
    Instance& it = instances_[static_cast<size_t>(n)];
    if (it.state == State::kUp) {
      CheckRunning(n);
    }
    if (it.hang_up_at != kNever && now >= it.hang_up_at &&
        RunsItsOwnCode(n, it)) {
      it.hang_up_at = kNever;
      if (it.state == State::kUp) {
        fleet_->Entry(n).Signal(SIGHUP);
      }
    }
    if (it.state == State::kStopping) {
      FinishStop(n, &it, now);
    }
    if (now < it.next_at || it.state == State::kStopping) {
      return;
    }
    it.next_at = now + MsBetween(&random_, 2000, 8000);
    switch (it.state) {
      case State::kFrozen:
        fleet_->Entry(n).Signal(SIGCONT);
        it.state = State::kUp;
        ledger_->Disrupt(n, now);
        return;
      case State::kDown:
        Restart(n, &it, now);
        return;
      default:
        Disrupt(n, &it, now);
    }
  }

  void Restart(int n, Instance* it, Time now) {
    it->log_size = fleet_->Log(n).size();
    fleet_->StartEntry(n);
    if (!fleet_->Entry(n).Running()) {
      ledger_->OnFault(fmt::format("instance {} could not be started", n));
    }
    it->state = State::kUp;
    if (Between(&random_, 0, 1) == 0) {
      it->hang_up_at = now + MsBetween(&random_, 0, 200);
    }
  }

  void FinishStop(int n, Instance* it, Time now) {
    const int code = fleet_->Entry(n).Wait(milliseconds(0));
    if (code < 0 && now < it->kill_at) {
      return;
    }
    if (code < 0) {
      ledger_->OnFault(fmt::format("instance {} did not stop in time", n));
      fleet_->Entry(n).Kill();
    } else if (code > ToInt(ExitCode::kFailed)) {  // That: calls were given up.
      ledger_->OnFault(
          fmt::format("instance {} stopped with code {}", n, code));
    }
    it->state = State::kDown;
    it->next_at = now + MsBetween(&random_, 0, 1000);
  }

  void Stop(int n, Instance* it, Time now) {
    fleet_->Entry(n).Signal(SIGTERM);
    it->state = State::kStopping;
    it->kill_at = now + kGrace;
  }

  void Kill(int n, Instance* it, Time now) {
    ledger_->Disrupt(n, now + milliseconds(1500));
    fleet_->Entry(n).Kill();
    it->state = State::kDown;
    it->next_at = now + MsBetween(&random_, 0, 1000);
  }

  void ChangeSettings(int n) {
    fleet_->ChangeSettings(n, fmt::format("[bounds]\nrevoke_ms = {}\n",
                                          Between(&random_, 4000, 6000)));
    fleet_->Entry(n).Signal(SIGHUP);
  }

  /// Does the same to most instances that are up, or kills them all.
  void DisruptHerd(Time now) {
    constexpr int64_t kSharePercent = 60;
    const int64_t kind = Between(&random_, 0, 3);
    for (int n = 0; n < kInstances; ++n) {
      Instance& it = instances_[static_cast<size_t>(n)];
      if (it.state != State::kUp || !RunsItsOwnCode(n, it) ||
          (kind != 0 && Between(&random_, 0, 99) >= kSharePercent)) {
        continue;
      }
      switch (kind) {
        case 2:
          Stop(n, &it, now);
          break;
        case 3:
          HangUpAtOnce(n);
          break;
        default:
          Kill(n, &it, now);
      }
    }
  }

  void HangUpAtOnce(int n) {
    for (int i = 0; i < kHangUpsAtOnce; ++i) {
      ChangeSettings(n);
      std::this_thread::sleep_for(MsBetween(&random_, 0, kMaxHangUpPauseMs));
    }
  }

  void Disrupt(int n, Instance* it, Time now) {
    switch (Between(&random_, 0, 4)) {
      case 0:
        Stop(n, it, now);
        return;
      case 1:
        Kill(n, it, now);
        return;
      case 2:
        it->next_at = now + MsBetween(&random_, 500, 4000);
        ledger_->Disrupt(n, it->next_at + kGrace);
        fleet_->Entry(n).Signal(SIGSTOP);
        it->state = State::kFrozen;
        return;
      default:
        ChangeSettings(n);
    }
  }

  void DisruptPlatform(Time now) {
    const milliseconds duration = MsBetween(&random_, 300, 2500);
    next_platform_at_ = now + duration;
    if (platform_disrupted_) {
      platform_disrupted_ = false;
      fleet_->Control({{"mood", "well"}});
      fleet_->Control({{"silent", silent_}, {"on", false}});
      next_platform_at_ = now + MsBetween(&random_, 1000, 6000);
      return;
    }
    platform_disrupted_ = true;
    switch (Between(&random_, 0, 4)) {
      case 0:
        fleet_->Control({{"crash", Between(&random_, 0, kBackends - 1)}});
        return;
      case 1:
        silent_ = Between(&random_, 0, kBackends - 1);
        fleet_->Control({{"silent", silent_}, {"on", true}});
        return;
      case 2:
        fleet_->Configure(++version_, {"k0", version_ % 2 == 0 ? "k1" : "k3"});
        return;
      default: {
        static const std::vector<std::string> moods = {"refuses", "loses",
                                                       "silent"};
        ledger_->Disrupt(-1, now + duration);
        fleet_->Control(
            {{"mood", moods[static_cast<size_t>(Between(&random_, 0, 2))]}});
      }
    }
  }

  EntryFleet* const fleet_;
  Ledger* const ledger_;
  Random random_;
  std::array<Instance, kInstances> instances_;
  Time next_platform_at_ = BootClock::now() + milliseconds(2000);
  Time next_herd_at_ = BootClock::now() + milliseconds(5000);
  bool platform_disrupted_ = false;
  int64_t silent_ = 0;
  int version_ = 1;
};

/// @return The jobs of all runs.
std::set<std::string> JobsThatRan(const EntryFleet& fleet) {
  std::set<std::string> out;
  for (const auto& it : fleet.AllRuns()) {
    const std::string task = it["task"];
    out.insert(task.substr(0, task.find('.')));
  }
  return out;
}

}  // namespace

TEST_GROUP(Soak){};

TEST(Soak, NothingIsLostOrDoubledAndNoProcessEndsByItself) {
  const auto seed =
      static_cast<uint64_t>(NumberFromEnvironment("BW_SOAK_SEED", 1));
  const milliseconds duration{
      1000 * NumberFromEnvironment("BW_SOAK_SECONDS", kDefaultSeconds)};
  EntryFleet fleet({.instances = kInstances,
                    .backends = kBackends,
                    .as_deployed = true,
                    .zones = kZones});
  CHECK(fleet.Start());
  Ledger ledger;
  Disruptor disruptor(&fleet, &ledger, seed);
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
    const Time until = BootClock::now() + duration;
    while (BootClock::now() < until) {
      disruptor.Tick();
      std::this_thread::sleep_for(milliseconds(10));
    }
    disruptor.Heal();
  }
  STRCMP_EQUAL("", ledger.FirstFault().c_str());
  const auto accepted = ledger.Accepted();
  CHECK(accepted.size() > 20);
  const Time limit = BootClock::now() + kEndTimeout;
  for (const auto& job : accepted) {
    std::string state;
    do {  // Each job is asked for, however long the others took.
      state = fleet.State(
          static_cast<int>(std::hash<std::string>()(job) % kInstances), job);
    } while (state != "completed" && BootClock::now() < limit);
    STRCMP_EQUAL((job + " completed").c_str(), (job + " " + state).c_str());
  }
  disruptor.CheckProcesses();
  STRCMP_EQUAL("", ledger.FirstFault().c_str());
  STRCMP_EQUAL("", fleet.Audit().c_str());
  const auto ran = JobsThatRan(fleet);
  for (const auto& job : ledger.Refused()) {
    CHECK_TEXT(!ran.contains(job), ("refused, but ran: " + job).c_str());
  }
}

}  // namespace bw::test
