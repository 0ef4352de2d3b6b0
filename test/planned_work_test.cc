// Planned work on a fleet as it is deployed: stops, reloads, changes of the
// configuration and of the instances, while callers with sockets of their own
// check that no connection ends without a response. Seeded.
//
//   BW_PLANNED_SEED=N BW_PLANNED_SECONDS=N tools/test '^PlannedWork'
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <signal.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "support/entry_fleet.h"
#include "support/raw_caller.h"

namespace bw::test {
namespace {

using Random = std::mt19937_64;

constexpr int kInstances = 9;
constexpr int kSpare = 3;
constexpr int kZones = 4;
constexpr int kBackends = 12;
constexpr int kCallers = 14;
constexpr int kGraceS = 6;
constexpr int kDefaultSeconds = 8;
/// A connection that ends this soon after a request may take it along
/// (`lossSlackMs`).
constexpr milliseconds kLossSlack{200};
/// Without a response this long after the caller's deadline, a call is given
/// up.
constexpr milliseconds kAfterDeadline{2000};
/// Accepted jobs are asked for until this long after the end (`finish_s`).
constexpr milliseconds kFinish{14'000};
/// Outages of the store may last this long.
constexpr int kMaxOutageMs = 4000;

int64_t NumberFromEnvironment(const char* name, int64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoll(text, nullptr, 10);
}

int64_t Between(Random* random, int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(*random);
}

void SleepBetween(Random* random, int64_t low_ms, int64_t high_ms) {
  std::this_thread::sleep_for(milliseconds(Between(random, low_ms, high_ms)));
}

/// What callers have seen. Thread-safe.
class Ledger {
 public:
  void OnFault(const std::string& text) {
    std::lock_guard lock(mutex_);
    faults_.push_back(text);
  }
  void Count(const std::string& what) {
    std::lock_guard lock(mutex_);
    ++counts_[what];
  }
  void OnAccepted(const std::string& job) {
    std::lock_guard lock(mutex_);
    accepted_.insert(job);
  }
  void OnCancel(const std::string& job) {
    std::lock_guard lock(mutex_);
    cancelled_.insert(job);
  }
  /// From now on, connections to this instance may end at any time.
  void OnKill(int instance) {
    std::lock_guard lock(mutex_);
    killed_.insert(instance);
  }
  bool IsKilled(int instance) {
    std::lock_guard lock(mutex_);
    return killed_.contains(instance);
  }
  std::set<std::string> AcceptedForGood() {
    std::lock_guard lock(mutex_);
    std::set<std::string> out;
    for (const auto& it : accepted_) {
      if (!cancelled_.contains(it)) {
        out.insert(it);
      }
    }
    return out;
  }
  std::string Faults() {
    std::lock_guard lock(mutex_);
    constexpr size_t kShown = 20;
    std::string out;
    for (size_t n = 0; n < std::min(kShown, faults_.size()); ++n) {
      out += faults_[n] + "\n";
    }
    return faults_.empty() ? ""
                           : fmt::format("{} in all:\n{}", faults_.size(), out);
  }
  std::string Counts() {
    std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& it : counts_) {
      out += fmt::format("{} {}, ", it.first, it.second);
    }
    return out;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> counts_;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;
  std::set<int> killed_;
  std::vector<std::string> faults_;
};

/// One request of a caller.
struct Request {
  std::string method;
  std::string job;  ///< Empty: the queue's count.
  milliseconds deadline{0};

  std::string ToBytes(const std::string& body,
                      const std::string& prefix,
                      const std::string& key) const {
    return fmt::format(
        "{} {}{} HTTP/1.1\r\nHost: h\r\nBilberrywing-Credential: {}\r\n"
        "Bilberrywing-Deadline-Ms: {}\r\nContent-Type: application/json\r\n"
        "Content-Length: {}\r\n\r\n{}",
        method, prefix, job, key, deadline.count(), body.size(), body);
  }
};

/// Sends requests over connections that it keeps until the peer ends them.
class RawCaller {
 public:
  RawCaller(const EntryFleet* fleet, Ledger* ledger, int number, uint64_t seed)
      : fleet_(fleet), ledger_(ledger), number_(number), random_(seed) {}

  /// @param targets The number of the first instances that are called.
  void Run(const std::atomic<int>& targets, const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      instance_ = static_cast<int>(Between(&random_, 0, targets - 1));
      RawConnection connection;
      switch (connection.Open(fleet_->FrontOf(instance_))) {
        case RawConnection::OpenResult::kOpen:
          UseConnection(&connection, stop);
          break;
        case RawConnection::OpenResult::kNoReply:
          ledger_->OnFault(fmt::format(
              "instance {} neither accepted nor refused a connection",
              instance_));
          break;
        case RawConnection::OpenResult::kRefused:
          ledger_->Count("refused connections");
          SleepBetween(&random_, 5, 50);
      }
    }
  }

 private:
  void UseConnection(RawConnection* connection, const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      const auto batch = MakeBatch();
      if (!SendBatch(batch, connection)) {
        ledger_->Count("closed before the request was sent");
        return;
      }
      const Time sent = BootClock::now();
      milliseconds wait = kAfterDeadline;
      for (const auto& it : batch) {
        wait += it.deadline;
      }
      const auto statuses = connection->Read(batch.size(), sent + wait);
      for (size_t n = 0; n < statuses.size(); ++n) {
        OnStatus(batch[n], statuses[n]);
      }
      if (connection->HowEnded() != RawConnection::End::kNone) {
        OnEnd(batch, statuses.size(), connection->HowEnded(), sent);
        return;
      }
      if (connection->IsClosing()) {
        connection->AwaitEnd(BootClock::now() + kAfterDeadline);
        return;
      }
      if (Between(&random_, 0, 2) == 0) {
        SleepBetween(&random_, 0, 200);
      }
    }
  }

  std::vector<Request> MakeBatch() {
    std::vector<Request> out(Between(&random_, 0, 4) == 0
                                 ? static_cast<size_t>(Between(&random_, 2, 4))
                                 : 1);
    static const std::vector<int> deadlines = {300, 700, 1500, 3000, 10'000};
    for (auto& it : out) {
      it.deadline = milliseconds(deadlines[static_cast<size_t>(
          Between(&random_, 0, static_cast<int64_t>(deadlines.size()) - 1))]);
      switch (Between(&random_, 0, 7)) {
        case 0:
        case 1:
        case 2:
          it.method = "POST";
          it.job = last_job_ =
              fmt::format("{:08x}{:08x}", number_ + 1, ++jobs_);
          break;
        case 3:
          it.method = "DELETE";
          it.job = last_job_;
          ledger_->OnCancel(it.job);
          break;
        case 4:
          it.method = "GET";
          break;
        default:
          it.method = "GET";
          it.job = last_job_;
      }
    }
    return out;
  }

  /// @return False if the peer ended the connection before the last byte.
  bool SendBatch(const std::vector<Request>& batch, RawConnection* connection) {
    std::string bytes;
    for (const auto& it : batch) {
      const std::string body =
          it.method == "POST"
              ? EntryJob(static_cast<int>(Between(&random_, 1, 2)),
                         static_cast<int>(Between(&random_, 50, 500)))
              : "";
      const bool other = it.job.empty() && Between(&random_, 0, 2) == 0;
      bytes += it.ToBytes(body, other ? "/p1/" : "/p/", other ? "k1" : "k0");
    }
    if (Between(&random_, 0, 3) != 0) {
      return connection->Send(bytes);
    }
    const auto split = static_cast<size_t>(
        Between(&random_, 1, static_cast<int64_t>(bytes.size()) - 1));
    if (!connection->Send(bytes.substr(0, split))) {
      return false;
    }
    SleepBetween(&random_, 1, 600);
    return connection->Send(bytes.substr(split));
  }

  void OnStatus(const Request& request, int status) {
    ledger_->Count(fmt::format("{} {}", request.method, status));
    if (request.method == "POST" && status == 200) {
      ledger_->OnAccepted(request.job);
    }
  }

  /// Judges a connection that ended before all responses came.
  void OnEnd(const std::vector<Request>& batch,
             size_t responses,
             RawConnection::End end,
             Time sent) {
    const int64_t after_ms = AgeMs(sent, BootClock::now());
    if (ledger_->IsKilled(instance_)) {
      ledger_->Count("ended by a kill");
      return;
    }
    if (milliseconds(after_ms) <= kLossSlack) {
      ledger_->Count("ended within the slack");
      return;
    }
    ledger_->OnFault(fmt::format(
        "{} {} at instance {}: {} {} ms after the last byte, {} of {} "
        "requests answered, deadline {} ms, at {} ms",
        batch[responses].method, batch[responses].job, instance_,
        end == RawConnection::End::kTimeout  ? "no response"
        : end == RawConnection::End::kClosed ? "closed"
                                             : "reset",
        after_ms, responses, batch.size(), batch[responses].deadline.count(),
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count()));
  }

  const EntryFleet* const fleet_;
  Ledger* const ledger_;
  const int number_;
  Random random_;
  int instance_ = 0;
  int jobs_ = 0;
  std::string last_job_ = "0000000000000000";
};

/// A fleet, callers and what planned work needs.
class Stage {
 public:
  Stage()
      : seed_(
            static_cast<uint64_t>(NumberFromEnvironment("BW_PLANNED_SEED", 1))),
        random_(seed_),
        fleet_({.instances = kInstances,
                .backends = kBackends,
                .grace_s = kGraceS,
                .as_deployed = true,
                .zones = kZones,
                .spare = kSpare}) {}

  /// Runs `work` again and again for the time of the test, with callers, and
  /// checks what they saw.
  void Play(const std::function<void()>& work) {
    CHECK(fleet_.Start());
    {
      std::vector<std::jthread> callers;
      callers.reserve(kCallers);
      for (int n = 0; n < kCallers; ++n) {
        callers.emplace_back([this, n](const std::stop_token& stop) {
          RawCaller(&fleet_, &ledger_, n,
                    seed_ * kCallers + static_cast<uint64_t>(n))
              .Run(targets_, stop);
        });
      }
      const Time until =
          BootClock::now() + std::chrono::seconds(NumberFromEnvironment(
                                 "BW_PLANNED_SECONDS", kDefaultSeconds));
      while (BootClock::now() < until) {
        work();
      }
      AwaitStops();
      fleet_.Control({{"mood", "well"}});
    }
    UT_PRINT(ledger_.Counts().c_str());
    STRCMP_EQUAL("", ledger_.Faults().c_str());
    CheckAcceptedJobs();
    STRCMP_EQUAL("", fleet_.Audit().c_str());
  }

  void Term(int n) {
    if (!stopping_.contains(n)) {
      fleet_.Entry(n).Signal(SIGTERM);
      stopping_[n] = BootClock::now();
    }
  }

  /// Restarts instances that have stopped, and checks how they did.
  void Restart() {
    for (auto it = stopping_.begin(); it != stopping_.end();) {
      const int n = it->first;
      const int code = fleet_.Entry(n).Wait(milliseconds(0));
      if (code < 0 &&
          BootClock::now() - it->second < std::chrono::seconds(kGraceS)) {
        ++it;
        continue;
      }
      ledger_.Count(fmt::format("exit {}", code));
      if (code < 0) {
        ledger_.OnFault(fmt::format("instance {} did not stop in time", n));
        ledger_.OnKill(n);
        fleet_.Entry(n).Kill();
      } else if (code > 1) {
        ledger_.OnFault(fmt::format("instance {} exits with {}", n, code));
      }
      if (!removed_.contains(n)) {
        fleet_.StartEntry(n);
      }
      it = stopping_.erase(it);
    }
    for (int n = 0; n < targets_; ++n) {
      if (!stopping_.contains(n) && !removed_.contains(n)) {
        if (const int code = fleet_.Entry(n).Wait(milliseconds(0)); code >= 0) {
          ledger_.OnFault(
              fmt::format("instance {} ended by itself with {}", n, code));
          fleet_.StartEntry(n);
        }
      }
    }
  }

  /// Restarts what has stopped, for `ms`.
  void Pause(int64_t ms) {
    const Time until = BootClock::now() + milliseconds(ms);
    do {
      Restart();
      std::this_thread::sleep_for(milliseconds(10));
    } while (BootClock::now() < until);
  }

  /// The settings of instance `n` change; up to four SIGHUP.
  void HangUp(int n) {
    const auto mode =
        static_cast<EntryFleet::WriteMode>(Between(&random_, 0, 2));
    fleet_.ChangeSettings(n,
                          fmt::format("[bounds]\nrevoke_ms = {}\n",
                                      Between(&random_, 4000, 6000)),
                          mode);
    const int64_t signals = Between(&random_, 1, 4);
    for (int64_t i = 0; i < signals; ++i) {
      fleet_.Entry(n).Signal(SIGHUP);
      SleepBetween(&random_, 0, 8);
    }
  }

  /// Queues and keys come and go; "k0" stays.
  void Configure() {
    ++version_;
    fleet_.Configure(version_, {"k0", version_ % 3 == 0 ? "k1" : "k2"},
                     static_cast<int>(Between(&random_, 0, 2)));
  }

  /// Removes instance `n` for good.
  void Remove(int n, bool with_term) {
    removed_.insert(n);
    if (with_term) {
      Term(n);
    } else {
      ledger_.OnKill(n);
      fleet_.Entry(n).Kill();
    }
  }

  /// Adds an instance at a new address.
  void Add() {
    fleet_.StartEntry(targets_);
    ++targets_;
  }

  void AwaitStops() {
    while (!stopping_.empty()) {
      Pause(10);
    }
  }

  bool IsRemoved(int n) const { return removed_.contains(n); }
  EntryFleet& Fleet() { return fleet_; }
  Random* Rng() { return &random_; }
  /// The first instances, by number; some may be removed.
  int Targets() const { return targets_; }

 private:
  void CheckAcceptedJobs() {
    const Time limit = BootClock::now() + kFinish;
    const auto jobs = ledger_.AcceptedForGood();
    CHECK(!jobs.empty());
    for (const auto& job : jobs) {
      std::string state;
      int instance = 0;
      do {
        while (IsRemoved(instance)) {
          ++instance;
        }
        state = fleet_.State(instance, job);
      } while (state != "completed" && BootClock::now() < limit);
      STRCMP_EQUAL((job + " completed").c_str(), (job + " " + state).c_str());
    }
  }

  const uint64_t seed_;
  Random random_;
  EntryFleet fleet_;
  Ledger ledger_;
  std::atomic<int> targets_{kInstances};
  std::map<int, Time> stopping_;
  std::set<int> removed_;
  int version_ = 1;
};

}  // namespace

TEST_GROUP(PlannedWork){int Any(Stage * stage){
    return static_cast<int>(Between(stage->Rng(), 0, kInstances - 1));
}  // namespace bw::test

/// SIGTERM to `count` instances, one after the other.
void Roll(Stage* stage, int count) {
  constexpr int kGapMs = 1300;
  const int first = Any(stage);
  for (int n = 0; n < count; ++n) {
    stage->Term((first + n) % kInstances);
    stage->Pause(kGapMs);
  }
}
}
;

TEST(PlannedWork, RollingRestartOfAShare) {
  Stage stage;
  stage.Play([&] { Roll(&stage, 4); });
}

TEST(PlannedWork, RollingRestartOfAll) {
  Stage stage;
  stage.Play([&] { Roll(&stage, kInstances); });
}

TEST(PlannedWork, ReloadsOfMostInstances) {
  constexpr int kGapMs = 2000;
  constexpr int kShare = 6;
  Stage stage;
  stage.Play([&] {
    const int first = Any(&stage);
    for (int n = 0; n < kShare; ++n) {
      stage.HangUp((first + n) % kInstances);
    }
    stage.Pause(Between(stage.Rng(), 200, kGapMs));
  });
}

TEST(PlannedWork, StormOfConfigurationsWithStops) {
  constexpr int kGapMs = 330;
  Stage stage;
  stage.Play([&] {
    stage.Configure();
    if (Between(stage.Rng(), 0, 5) == 0) {
      stage.Term(Any(&stage));
    }
    stage.Pause(kGapMs);
  });
}

TEST(PlannedWork, InstancesAreReplaced) {
  Stage stage;
  stage.Play([&] {
    const int added = stage.Targets() - kInstances;
    if (added < kSpare) {
      stage.Add();
      stage.Pause(Between(stage.Rng(), 0, 500));
      stage.Remove(added, added % 2 == 0);
    }
    stage.Pause(2000);
  });
}

TEST(PlannedWork, OwnersStopWhileTheyTakeOver) {
  constexpr int kOwners = 3;
  Stage stage;
  stage.Play([&] {
    for (int n = 0; n < kOwners; ++n) {
      const int owner = stage.Fleet().WaitForOwner();
      CHECK(owner >= 0);
      stage.Term(owner);
      stage.Pause(Between(stage.Rng(), 0, 100));
    }
    stage.AwaitStops();
    stage.Pause(1000);
  });
}

TEST(PlannedWork, StopsWhileTheStoreFails) {
  Stage stage;
  static const std::array<const char*, 3> moods = {"refuses", "loses",
                                                   "silent"};
  stage.Play([&] {
    stage.Fleet().Control(
        {{"mood", moods[static_cast<size_t>(Between(stage.Rng(), 0, 2))]}});
    const int64_t before = Between(stage.Rng(), 0, kMaxOutageMs / 2);
    stage.Pause(before);
    for (int n = 0; n < 3; ++n) {
      stage.Term(Any(&stage));
    }
    stage.Pause(Between(stage.Rng(), 300, kMaxOutageMs - before));
    stage.Fleet().Control({{"mood", "well"}});
    stage.AwaitStops();
    stage.Pause(1500);
  });
}

}  // namespace bw::test
