// A cell with simulated backend servers, which implement leases, fencing tokens
// and the lists of runs and ends as the platform's do.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_cell_port.h"

namespace bw::test {

/// A simulated backend server. Its runs go on until a test ends them.
struct FakeBackend {
  BackendEntry entry;
  uint64_t token = 0;
  uint64_t clock_ms = 1000;
  uint64_t lease_end_ms = 0;
  uint64_t last_end = 0;
  bool reachable = true;
  bool needs_ticket = false;  ///< Starts without a ticket are rejected.
  bool holds_polls = false;   ///< Polls are executed but not answered yet.
  bool slow_stops = false;    ///< Stopped runs go on until it is false again.
  bool listed = true;         ///< A new owner finds its entry.
  int lost_answers = 0;       ///< So many starts are executed but not answered.
  int held_up = 0;  ///< So many starts are neither executed nor answered.
  size_t max_listed_ends = 500;           ///< Ends in one report.
  std::set<RunRef> idle_runs;             ///< Runs that use no processor time.
  std::map<RunRef, std::string> running;  ///< Latest checkpoint of each run.
  std::map<RunRef, uint64_t> stopped;     ///< Runs that may not start again.
  std::vector<ListedEnd> ended;

  OrderResult Start(const platform::StartOrder& order) {
    if (order.fencing_token < token) {
      return OrderResult::kFenced;
    }
    token = order.fencing_token;
    if (order.lease_end_ms <= clock_ms) {
      return OrderResult::kExpired;
    }
    for (const auto& it : stopped) {
      if (it.first.task == order.run.task &&
          it.first.number >= order.run.number) {
        return OrderResult::kSuperseded;
      }
    }
    lease_end_ms = std::max(lease_end_ms, order.lease_end_ms);
    if (needs_ticket && order.ticket.empty()) {
      return OrderResult::kNoTicket;
    }
    running[order.run] = order.checkpoint;
    return OrderResult::kDone;
  }

  void End(const RunRef& run, RunEnd how) {
    running.erase(run);
    stopped[run] = 1;
    ended.push_back({++last_end, run, how, {}});
  }

  OrderResult Stop(const RunRef& run, uint64_t fencing_token) {
    if (fencing_token < token) {
      return OrderResult::kFenced;
    }
    token = fencing_token;
    if (running.contains(run) && !slow_stops) {
      End(run, RunEnd::kStopped);
    }
    stopped[run] = 1;
    return OrderResult::kDone;
  }

  void SetSlowStops(bool slow) {
    slow_stops = slow;
    for (const auto& it : stopped) {
      if (!slow && running.contains(it.first)) {
        End(it.first, RunEnd::kStopped);
      }
    }
  }

  BackendReport Poll(const platform::PollRequest& request) {
    BackendReport out;
    if (request.fencing_token < token) {
      out.result = OrderResult::kFenced;
      return out;
    }
    token = request.fencing_token;
    if (request.lease_end_ms) {
      lease_end_ms = std::max(lease_end_ms, *request.lease_end_ms);
    }
    std::erase_if(ended, [&](const ListedEnd& it) {
      return it.number <= request.acknowledged;
    });
    out.result = OrderResult::kDone;
    out.clock_ms = clock_ms;
    out.incarnation = entry.incarnation;
    for (const auto& it : running) {
      const bool idle = idle_runs.contains(it.first);
      out.running.push_back({it.first, it.second, 100, idle ? 0U : 1000U});
    }
    const size_t listed = std::min(ended.size(), max_listed_ends);
    out.ended.assign(ended.begin(),
                     ended.begin() + static_cast<ptrdiff_t>(listed));
    out.more_ends = listed < ended.size();
    return out;
  }

  /// Simulates a crash and restart.
  void Restart() {
    entry.incarnation += 1;
    token = 0;
    clock_ms = 0;
    lease_end_ms = 0;
    last_end = 0;
    running.clear();
    stopped.clear();
    ended.clear();
  }
};

/// A cell with backend servers of 8 cores, two to a rack, the account "t0" and
/// the queue "q" (two attempts).
class CellHarness {
 public:
  explicit CellHarness(int backends, uint64_t token = 1) {
    config = std::make_shared<CellConfig>();
    config->version = 1;
    CellQueue queue;
    queue.name = QueueId("q");
    queue.service = "s";
    queue.max_attempts = 2;
    queue.stretch = 2;
    queue.target_latency_ms = 1000;
    queue.priority = 1;
    config->queues.push_back(queue);
    AccountPolicy account;
    account.name = TeamId("t0");
    account.weight = 1000;
    config->accounts.push_back(account);
    for (int n = 0; n < backends; ++n) {
      AddBackend(n);
    }
    StartOwner(token);
  }

  void AddBackend(int n) {
    FakeBackend added;
    added.entry.id = BackendId("b" + std::to_string(n));
    added.entry.service = "s";
    added.entry.address = "10.0.0.1:80";
    added.entry.incarnation = 100;
    added.entry.capacity = {8000, 8000, 0};
    added.entry.rack = "r" + std::to_string(n / 2);
    added.entry.labels = {"a", added.entry.rack};
    this->backends[added.entry.id] = added;
  }

  /// Replaces the cell by a new owner's, loaded from the stored records.
  void StartOwner(uint64_t token) {
    port.starts.clear();
    port.stops.clear();
    port.polls.clear();
    port.advice_queries.clear();
    port.pending_batches.clear();
    CellOptions options;
    options.owner_number = token;
    options.wall_ms = wall_ms;
    options.max_record_bytes = max_record_bytes;
    options.learn_run_times = learn_run_times;
    cell = std::make_unique<Cell>(options, &port);
    cell->SetConfig(config);
    for (const auto& it : port.stored) {
      cell->Load(it.first, it.second, now);
    }
    cell->OnLoaded(now);
    for (auto& it : backends) {
      if (it.second.listed) {
        cell->SetBackend(it.second.entry, now);
      }
    }
    DeliverAll();
  }

  /// Submits a job. @return The response to its caller, if there is one yet.
  std::optional<CellOutcome> Submit(const std::string& name,
                                    const std::string& body,
                                    const std::string& queue = "q") {
    auto outcome = std::make_shared<std::optional<CellOutcome>>();
    cell->Submit(JobId(name), TeamId("t0"), QueueId(queue), body, now,
                 [outcome](const CellOutcome& it) { *outcome = it; });
    constexpr int kSubmitWaitMs = 60;
    Advance(kSubmitWaitMs);
    return *outcome;
  }

  static std::string Tasks(int count, int cpu, const std::string& more = {}) {
    return R"({"spec":"x","steps":[{"count":)" + std::to_string(count) +
           R"(,"cpu":)" + std::to_string(cpu) +
           R"(,"memMb":100,"estimateMs":1000)" + more + "}]}";
  }

  /// Advances time by `ms`; reachable backend servers answer all orders.
  void Advance(int ms) {
    constexpr int kStep = 20;
    for (int passed = 0; passed < ms; passed += kStep) {
      now += milliseconds(kStep);
      wall_ms += kStep;
      for (auto& it : backends) {
        FakeBackend& backend = it.second;
        backend.clock_ms += kStep;
        if (backend.clock_ms > backend.lease_end_ms) {
          while (!backend.running.empty()) {
            backend.End(backend.running.begin()->first, RunEnd::kLapsed);
          }
        }
      }
      DeliverAll();
    }
  }

  /// Runs the cell and delivers its orders until responses are processed.
  void DeliverAll() {
    cell->Tick(now, wall_ms);
    cell->Run(now);
    for (int round = 0; round < 4; ++round) {
      Deliver();
      if (store_enabled) {
        port.StorePending();
      }
      cell->Run(now);
    }
  }

  void Deliver() {
    auto starts = std::move(port.starts);
    port.starts.clear();
    for (auto& it : starts) {
      start_log.push_back(it);
      FakeBackend& backend = backends.at(it.backend);
      OrderResult result = OrderResult::kUnknown;
      if (backend.reachable && backend.held_up > 0) {
        --backend.held_up;
        unanswered_starts.push_back(it);
      } else if (backend.reachable) {
        result = backend.Start(it.order);
        if (backend.lost_answers > 0) {
          --backend.lost_answers;
          result = OrderResult::kUnknown;
        }
      } else {
        unanswered_starts.push_back(it);
      }
      cell->OnStartResponse(it.backend, it.order.run, result, now, now);
    }
    auto stops = std::move(port.stops);
    port.stops.clear();
    for (auto& it : stops) {
      stop_log.emplace_back(it.backend, it.run);
      FakeBackend& backend = backends.at(it.backend);
      const auto result = backend.reachable
                              ? backend.Stop(it.run, it.fencing_token)
                              : OrderResult::kUnknown;
      cell->OnStopResponse(it.backend, it.run, result, now);
    }
    auto polls = std::move(port.polls);
    port.polls.clear();
    for (auto& it : polls) {
      FakeBackend& backend = backends.at(it.backend);
      BackendReport report;
      if (backend.reachable) {
        report = backend.Poll(it.request);
      }
      if (backend.holds_polls) {
        held_reports.emplace_back(it.backend, report);
        held_since.push_back(now);
        continue;
      }
      cell->OnPollResponse(it.backend, report, now, now);
    }
  }

  /// @return Number of active runs of a task on all backend servers.
  int Running(const TaskRef& task) const {
    int out = 0;
    for (const auto& it : backends) {
      for (const auto& run : it.second.running) {
        out += run.first.task == task ? 1 : 0;
      }
    }
    return out;
  }

  /// @return A backend server that runs a task, and the run.
  std::optional<std::pair<BackendId, RunRef>> Find(const TaskRef& task) const {
    for (const auto& it : backends) {
      for (const auto& run : it.second.running) {
        if (run.first.task == task) {
          return std::pair(it.first, run.first);
        }
      }
    }
    return std::nullopt;
  }

  std::string State(const std::string& name) const {
    const auto out = cell->State(JobId(name), TeamId("t0"));
    return out.status == CellStatus::kOk ? out.state : "";
  }

  FakeCellPort port;
  std::shared_ptr<CellConfig> config;
  std::map<BackendId, FakeBackend> backends;
  std::unique_ptr<Cell> cell;
  Time now{std::chrono::hours(1)};
  uint64_t wall_ms = 1'700'000'000'000;
  size_t max_record_bytes = 256 << 10;
  bool learn_run_times = false;  ///< Of owners that start later.
  bool store_enabled = true;     ///< False: the store accepts nothing.
  std::vector<FakeCellPort::SentStart> start_log;
  /// Starts that were held up or sent to unreachable servers.
  std::vector<FakeCellPort::SentStart> unanswered_starts;
  std::vector<std::pair<BackendId, RunRef>> stop_log;
  std::vector<std::pair<BackendId, BackendReport>> held_reports;
  std::vector<Time> held_since;  ///< When these polls were executed.
};

}  // namespace bw::test
