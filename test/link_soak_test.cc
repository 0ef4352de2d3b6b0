// A soak of bwentry as real processes whose connections pass a fault-injecting
// proxy: links to callers, to the store, to backend servers and between
// instances are cut, delayed, reset, silent or cut in one direction, in
// overlapping series and beside kills, freezes and stops. Seeded.
//
//   BW_SOAK_SEED=N BW_SOAK_SECONDS=N tools/test '^LinkSoak'
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <numeric>
#include <random>
#include <set>
#include <thread>

#include "../src/exit_type.h"
#include "support/entry_fleet.h"

namespace bw::test {
namespace {

using Random = std::mt19937_64;

constexpr int kInstances = 5;
constexpr int kBackends = 8;
constexpr int kCallers = 6;
constexpr int kCheckers = 8;
constexpr int kDefaultSeconds = 7;
constexpr size_t kMaxEpisodes = 4;  ///< At a time.
/// An instance is in touch once nothing has disrupted it for this long.
constexpr milliseconds kContact{3000};
/// Planned stops may lose calls that were sent this shortly before their end.
constexpr milliseconds kLossSlack{200};
/// SIGTERM to SIGKILL; as in EntryFleet's settings.
constexpr milliseconds kGrace{4000};
/// Accepted jobs are completed this long after the last disruption.
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

/// @return A random part of the numbers below `count`; never empty.
std::vector<int> PickShare(Random* random, int count, int percent) {
  std::vector<int> all(static_cast<size_t>(count));
  std::iota(all.begin(), all.end(), 0);
  std::shuffle(all.begin(), all.end(), *random);
  all.resize(static_cast<size_t>(std::max(1, count * percent / 100)));
  return all;
}

constexpr const char* kStoreLink = "e{}>store";
constexpr const char* kMeshLink = "m>e{}";
constexpr const char* kCallerLink = "c>e{}";
constexpr const char* kBackendLink = "e>b{}";

std::string LinkName(const char* pattern, int n) {
  return fmt::format(fmt::runtime(pattern), n);
}

/// What callers have seen. Thread-safe.
class Ledger {
 public:
  void OnAccepted(const std::string& job) {
    std::lock_guard lock(mutex_);
    accepted_.push_back(job);
  }
  /// Every attempt to hand the job in was refused.
  void OnRefused(const std::string& job) {
    std::lock_guard lock(mutex_);
    refused_.insert(job);
  }
  void OnFault(const std::string& text) {
    std::lock_guard lock(mutex_);
    ++faults_;
    if (faults_ <= kMaxListedFaults) {
      text_ += fmt::format("{}: {}\n", WallMs(), text);
    }
  }
  /// The process or the callers' link of the instance is disrupted until then.
  void Disrupt(int instance, Time until) {
    std::lock_guard lock(mutex_);
    Time& it = disrupted_until_[instance];
    it = std::max(it, until);
  }
  bool IsDisrupted(int instance, Time since) {
    std::lock_guard lock(mutex_);
    return disrupted_until_[instance] >= since;
  }
  /// @return A random accepted job; empty if there is none.
  std::string PickAccepted(Random* random) {
    std::lock_guard lock(mutex_);
    return accepted_.empty()
               ? ""
               : accepted_[static_cast<size_t>(Between(
                     random, 0, static_cast<int64_t>(accepted_.size()) - 1))];
  }
  std::vector<std::string> Accepted() {
    std::lock_guard lock(mutex_);
    return accepted_;
  }
  std::set<std::string> Refused() {
    std::lock_guard lock(mutex_);
    return refused_;
  }
  std::string Faults() {
    std::lock_guard lock(mutex_);
    return faults_ == 0 ? "" : fmt::format("{}{} in all", text_, faults_);
  }
  static int64_t WallMs() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

 private:
  static constexpr int kMaxListedFaults = 20;

  std::mutex mutex_;
  std::vector<std::string> accepted_;
  std::set<std::string> refused_;
  std::map<int, Time> disrupted_until_;
  std::string text_;
  int faults_ = 0;
};

/// Reads the state of an accepted job, and notes a loss.
/// @return The state; empty if there is none.
std::string CheckedState(const EntryFleet& fleet,
                         Ledger* ledger,
                         int instance,
                         const std::string& job) {
  const auto result = fleet.Call(instance, "GET", job);
  if (result.status == 410) {
    ledger->OnFault(
        fmt::format("accepted job {} is unknown to e{}", job, instance));
  }
  const Json body = Json::parse(result.body, nullptr, false);
  const std::string state =
      result.status == 200 && body.is_object() ? body.value("state", "") : "";
  if (state == "failed" || state == "cancelled") {
    ledger->OnFault(fmt::format("accepted job {} is {}", job, state));
  }
  return state;
}

/// A caller that hands in one job after the other, repeats calls whose outcome
/// is unknown, and asks for the state of accepted jobs in between.
class Caller {
 public:
  Caller(const EntryFleet* fleet, Ledger* ledger, int number, uint64_t seed)
      : fleet_(fleet), ledger_(ledger), number_(number), random_(seed) {}

  void Run(const std::stop_token& stop) {
    for (int n = 1; !stop.stop_requested(); ++n) {
      HandIn(fmt::format("{:08x}{:08x}", number_ + 1, n), stop);
      std::this_thread::sleep_for(MsBetween(&random_, 0, 150));
      const std::string job = ledger_->PickAccepted(&random_);
      if (!job.empty()) {
        CheckedState(*fleet_, ledger_, PickInstance(), job);
      }
    }
  }

 private:
  int PickInstance() {
    return static_cast<int>(Between(&random_, 0, kInstances - 1));
  }

  void HandIn(const std::string& job, const std::stop_token& stop) {
    const std::string body =
        EntryJob(static_cast<int>(Between(&random_, 1, 3)),
                 static_cast<int>(Between(&random_, 50, 600)));
    bool maybe_accepted = false;
    while (!stop.stop_requested()) {
      const Time sent = BootClock::now();
      const auto result = fleet_->Call(instance_, "POST", job, body);
      CheckEnd(job, result, sent);
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
      instance_ = PickInstance();
      std::this_thread::sleep_for(MsBetween(&random_, 10, 100));
    }
  }

  /// An instance that runs and is reached answers each call, whatever happens
  /// to its other links.
  void CheckEnd(const std::string& job,
                const net::HttpResult& result,
                Time sent) {
    const Time now = BootClock::now();
    if (result.delivery == net::DeliveryStatus::kUnknown &&
        now - sent > kLossSlack &&
        !ledger_->IsDisrupted(instance_, sent - kContact)) {
      ledger_->OnFault(fmt::format("POST {} at e{} got no response in {} ms",
                                   job, instance_, AgeMs(sent, now)));
    }
  }

  const EntryFleet* const fleet_;
  Ledger* const ledger_;
  const int number_;
  Random random_;
  int instance_ = 0;
};

/// Disrupts links and processes at random. One thread.
class Disruptor {
 public:
  Disruptor(EntryFleet* fleet, Ledger* ledger, uint64_t seed)
      : fleet_(fleet), ledger_(ledger), random_(seed) {}

  void Tick() {
    const Time now = BootClock::now();
    for (int n = 0; n < kInstances; ++n) {
      TickInstance(n, now);
    }
    std::erase_if(episodes_, [&](const Episode& it) {
      if (now >= it.until) {
        Pass(it.links);
      }
      return now >= it.until;
    });
    if (now >= next_at_ && episodes_.size() < kMaxEpisodes) {
      next_at_ = now + MsBetween(&random_, 200, 2000);
      Begin(now, now + MsBetween(&random_, 500, 6000));
    }
  }

  void Heal() {
    Pass({"*"});
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

  const std::string& Story() const { return story_; }

 private:
  enum class State : uint8_t { kUp, kStopping, kDown, kFrozen };
  struct Instance {
    State state = State::kUp;
    Time next_at = kNever;
  };
  struct Episode {
    std::vector<std::string> links;
    Time until;
  };

  void Note(const std::string& text) {
    story_ += fmt::format("{} {}\n", Ledger::WallMs(), text);
  }

  void Pass(const std::vector<std::string>& links) {
    Note(fmt::format("pass {}", fmt::join(links, " ")));
    fleet_->ControlLinks({{"match", links},
                          {"there", "pass"},
                          {"back", "pass"},
                          {"delay_ms", 0},
                          {"jitter_ms", 0}});
  }

  void Set(const std::vector<std::string>& links, Json change, Time until) {
    change["match"] = links;
    Note(change.dump());
    fleet_->ControlLinks(change);
    episodes_.push_back({links, until});
  }

  /// Something that happens once to the open connections.
  void Open(const std::vector<std::string>& links, const std::string& event) {
    Note(event + fmt::format(" {}", fmt::join(links, " ")));
    fleet_->ControlLinks({{"match", links}, {"open", event}});
  }

  /// @return Both directions cut, or one of them.
  Json Cut() {
    switch (Between(&random_, 0, 3)) {
      case 0:
        return {{"there", "drop"}};
      case 1:
        return {{"back", "drop"}};
      default:
        return {{"there", "drop"}, {"back", "drop"}};
    }
  }

  std::vector<std::string> Links(const char* pattern, int count, int percent) {
    std::vector<std::string> out;
    for (const int n : PickShare(&random_, count, percent)) {
      out.push_back(LinkName(pattern, n));
    }
    return out;
  }

  void Begin(Time now, Time until) {
    const Json both_drop = {{"there", "drop"}, {"back", "drop"}};
    switch (Between(&random_, 0, 15)) {
      case 0:  // The store is silent.
        return Set({"*>store"}, both_drop, until);
      case 1:  // The store is busy, for all or for some.
        return Set(Links(kStoreLink, kInstances,
                         Between(&random_, 0, 1) == 0 ? 100 : 35),
                   {{"there", "busy"}}, until);
      case 2:
        return Set(Links(kStoreLink, kInstances, 35), {{"there", "reset"}},
                   until);
      case 3:
        return Set(Links(kStoreLink, kInstances, 35), both_drop, until);
      case 4:  // Answers are lost.
        return Set(Links(kStoreLink, kInstances, 70), {{"back", "drop"}},
                   until);
      case 5:  // Calls are executed late.
        return Set(Links(kStoreLink, kInstances, 70), {{"there", "hold"}},
                   until);
      case 6:
        return Set({"*>store"}, {{"delay_ms", 120}, {"jitter_ms", 240}}, until);
      case 7: {  // The owner is cut off the store.
        const int owner = fleet_->FindOwner();
        return owner < 0 ? void()
                         : Set({LinkName(kStoreLink, owner)}, Cut(), until);
      }
      case 8: {  // A zone is cut off.
        const bool refuse = Between(&random_, 0, 1) == 0;
        std::vector<std::string> links;
        for (const int n : PickShare(&random_, kInstances, 40)) {
          links.push_back(LinkName(kStoreLink, n));
          links.push_back(LinkName(kMeshLink, n));
        }
        return Set(
            links,
            refuse ? Json{{"there", "refuse"}, {"back", "refuse"}} : both_drop,
            until);
      }
      case 9:
        return Set(Links(kBackendLink, kBackends, 25), Cut(), until);
      case 10:
        return Set(Links(kMeshLink, kInstances, 40), Cut(), until);
      case 11: {
        std::vector<std::string> links;
        for (int n = 0; n < kInstances; ++n) {
          if (Between(&random_, 0, 2) == 0) {
            ledger_->Disrupt(n, now);
            links.push_back(LinkName(kCallerLink, n));
          }
        }
        for (auto* name : {kStoreLink, kMeshLink, kBackendLink}) {
          for (auto& it : Links(name, kInstances, 35)) {
            links.push_back(it);
          }
        }
        return Open(links, "reset");
      }
      case 12: {  // Open connections are silent for good.
        static const std::vector<std::string> events = {
            "silence", "silence_there", "silence_back"};
        std::vector<std::string> links;
        for (auto* name : {kStoreLink, kMeshLink, kBackendLink}) {
          for (auto& it : Links(name, kInstances, 60)) {
            links.push_back(it);
          }
        }
        return Open(links,
                    events[static_cast<size_t>(Between(&random_, 0, 2))]);
      }
      case 13:
        for (const int n : PickShare(&random_, kInstances, 60)) {
          Kill(n, now);
        }
        return;
      case 14:
        return Freeze(PickShare(&random_, kInstances, 0).front(), until);
      default:
        return Stop(PickShare(&random_, kInstances, 0).front(), now);
    }
  }

  /// @return True if the instance is up, and notes what happens to it.
  bool IsUp(int n, const char* event) {
    Note(fmt::format("{} e{}", event, n));
    return instances_[static_cast<size_t>(n)].state == State::kUp;
  }

  void Kill(int n, Time now) {
    Instance& it = instances_[static_cast<size_t>(n)];
    if (!IsUp(n, "kill")) {
      return;
    }
    it.next_at = now + MsBetween(&random_, 0, 2000);
    ledger_->Disrupt(n, it.next_at + kContact);
    fleet_->Entry(n).Kill();
    it.state = State::kDown;
  }

  void Freeze(int n, Time until) {
    Instance& it = instances_[static_cast<size_t>(n)];
    if (!IsUp(n, "freeze")) {
      return;
    }
    it.next_at = until;
    ledger_->Disrupt(n, until + kContact);
    fleet_->Entry(n).Signal(SIGSTOP);
    it.state = State::kFrozen;
  }

  void Stop(int n, Time now) {
    Instance& it = instances_[static_cast<size_t>(n)];
    if (!IsUp(n, "stop")) {
      return;
    }
    it.next_at = now + kGrace;
    fleet_->Entry(n).Signal(SIGTERM);
    it.state = State::kStopping;
  }

  void CheckRunning(int n) {
    const int code = fleet_->Entry(n).Wait(milliseconds(0));
    if (code >= 0) {
      ledger_->OnFault(fmt::format("e{} ended by itself with {}", n, code));
      fleet_->StartEntry(n);
    }
  }

  void TickInstance(int n, Time now) {
    Instance& it = instances_[static_cast<size_t>(n)];
    switch (it.state) {
      case State::kUp:
        CheckRunning(n);
        return;
      case State::kStopping: {
        const int code = fleet_->Entry(n).Wait(milliseconds(0));
        if (code < 0 && now < it.next_at) {
          return;
        }
        if (code < 0) {
          ledger_->OnFault(fmt::format("e{} did not stop in time", n));
          fleet_->Entry(n).Kill();
        } else if (code > ToInt(ExitCode::kFailed)) {  // Calls were given up.
          ledger_->OnFault(fmt::format("e{} stopped with {}", n, code));
        }
        Note(fmt::format("stopped e{} {}", n, code));
        it.state = State::kDown;
        it.next_at = now + MsBetween(&random_, 0, 1000);
        ledger_->Disrupt(n, it.next_at + kContact);
        return;
      }
      case State::kDown:
        if (now >= it.next_at) {
          Note(fmt::format("start e{}", n));
          fleet_->StartEntry(n);
          it.state = State::kUp;
        }
        return;
      case State::kFrozen:
        if (now >= it.next_at) {
          Note(fmt::format("thaw e{}", n));
          fleet_->Entry(n).Signal(SIGCONT);
          it.state = State::kUp;
        }
        return;
    }
  }

  EntryFleet* const fleet_;
  Ledger* const ledger_;
  Random random_;
  std::array<Instance, kInstances> instances_;
  std::vector<Episode> episodes_;
  Time next_at_ = BootClock::now() + milliseconds(500);
  std::string story_;
};

/// @return Accepted jobs that are not completed in time.
std::vector<std::string> FindIncomplete(const EntryFleet& fleet,
                                        Ledger* ledger) {
  const auto accepted = ledger->Accepted();
  const Time limit = BootClock::now() + kEndTimeout;
  std::mutex mutex;
  std::vector<std::string> out;
  std::atomic<size_t> next = 0;
  std::vector<std::jthread> threads;
  threads.reserve(kCheckers);
  for (int n = 0; n < kCheckers; ++n) {
    threads.emplace_back([&, n] {
      for (size_t i = next++; i < accepted.size(); i = next++) {
        std::string state;
        int tries = 0;
        do {
          if (tries > 0) {
            std::this_thread::sleep_for(milliseconds(20));
          }
          state = CheckedState(fleet, ledger, (n + tries++) % kInstances,
                               accepted[i]);
        } while (state != "completed" && BootClock::now() < limit);
        if (state != "completed") {
          std::lock_guard lock(mutex);
          out.push_back(accepted[i] + " " + state);
        }
      }
    });
  }
  threads.clear();
  return out;
}

}  // namespace

TEST_GROUP(LinkSoak){};

TEST(LinkSoak, NothingIsLostOrDoubledAndCallsEnd) {
  const auto seed =
      static_cast<uint64_t>(NumberFromEnvironment("BW_SOAK_SEED", 1));
  const milliseconds duration{
      1000 * NumberFromEnvironment("BW_SOAK_SECONDS", kDefaultSeconds)};
  EntryFleetOptions options;
  options.instances = kInstances;
  options.backends = kBackends;
  options.proxied = true;
  EntryFleet fleet(options);
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
  for (const auto& it : FindIncomplete(fleet, &ledger)) {
    ledger.OnFault("accepted job is not completed: " + it);
  }
  disruptor.CheckProcesses();
  if (const std::string doubled = fleet.Audit(); !doubled.empty()) {
    ledger.OnFault(doubled);
  }
  const auto refused = ledger.Refused();
  for (const auto& it : fleet.AllRuns()) {
    const std::string task = it["task"];
    if (refused.contains(task.substr(0, task.find('.')))) {
      ledger.OnFault("refused, but ran: " + task);
    }
  }
  CHECK(ledger.Accepted().size() > 20);
  const std::string faults = ledger.Faults();
  STRCMP_EQUAL(
      "", faults.empty() ? "" : (faults + "\n" + disruptor.Story()).c_str());
}

}  // namespace bw::test
