// Leases between a shard and its workers: the part of JobBoard that renews
// them, reads the workers' lists and settles what became of tasks.

#include <algorithm>
#include <utility>

#include "job_board_base.h"
#include "task_name_func.h"

namespace bw {
namespace {

constexpr milliseconds kActionTime{1000};
constexpr milliseconds kAskUnknownEvery{250};
constexpr milliseconds kAskIdleEvery{2000};
constexpr Duration kClockMargin = milliseconds(500);
constexpr uint32_t kWorkerFailures = 3;  ///< In a row, then quarantine.
constexpr uint32_t kJobFailures = 3;     ///< Workers that failed it.
constexpr milliseconds kQuarantine{15'000};

bool Settled(TaskState state) {
  return state == TaskState::kDone || state == TaskState::kFailed ||
         state == TaskState::kUnknown;
}

}  // namespace

void JobBoard::Tick() {
  if (gained_ == kNever || !port_->MayAct()) {
    return;
  }
  const Time now = port_->Now();
  for (auto& it : workers_) {
    Worker& worker = it.second;
    const bool unsure =
        !worker.known || !worker.stops.empty() || !worker.acks.empty() ||
        std::any_of(worker.tasks.begin(), worker.tasks.end(),
                    [](const auto& t) { return t.second.ended != kNever; });
    const Duration every = unsure ? Duration(kAskUnknownEvery)
                           : worker.tasks.empty()
                               ? Duration(kAskIdleEvery)
                               : std::min<Duration>(lease_ / 4, kAskIdleEvery);
    if (worker.asked == kNever || now - worker.asked >= every) {
      AskWorker(&worker);
    }
  }
  FindLostWorkers();
  Pump();
}

/// Renews all leases on a worker, or only reads its list while it has not
/// answered lately: a renewal nobody answers would prolong the leases.
void JobBoard::AskWorker(Worker* worker) {
  if (worker->asking || !port_->MayAct()) {
    return;
  }
  const Time now = port_->Now();
  const bool renews = worker->known && now - worker->answered < lease_ / 2;
  worker->asking = true;
  worker->asked = now;
  auto call = platform::MakeListCall(worker->info.address);
  if (renews) {
    platform::WorkerRenewal renewal;
    renewal.lease_ms = static_cast<uint64_t>(
        std::chrono::duration_cast<milliseconds>(lease_).count());
    const auto since =
        std::chrono::duration_cast<milliseconds>(now - worker->answered);
    renewal.not_after_ms =
        worker->clock_ms + static_cast<uint64_t>((since + kActionTime).count());
    for (const auto& it : worker->tasks) {
      renewal.renew.push_back(TaskName(it.first.first, it.first.second));
    }
    // What a lost message asked for is asked again when the next list shows it.
    renewal.stop = std::exchange(worker->stops, {});
    renewal.acknowledge = std::exchange(worker->acks, {});
    call = platform::MakeRenewCall(worker->info.address, renewal);
    worker->lease_sent = now + kActionTime;
  }
  port_->Call(
      std::move(call), /*unfenced=*/!renews,
      [this, name = worker->info.name, now](const net::HttpResult& result) {
        OnReport(name, now, result);
      });
}

void JobBoard::OnReport(const std::string& name,
                        Time asked,
                        const net::HttpResult& result) {
  auto found = workers_.find(name);
  if (found == workers_.end()) {
    return;
  }
  Worker& worker = found->second;
  worker.asking = false;
  auto report =
      result.Ok() ? platform::ReadWorkerReport(result.body) : std::nullopt;
  if (!report || gained_ == kNever || asked < gained_) {
    return;
  }
  ApplyReport(&worker, asked, *report);
}

void JobBoard::ApplyReport(Worker* worker,
                           Time asked,
                           const platform::WorkerReport& report) {
  worker->answered = port_->Now();
  worker->clock_ms = report.now_ms;
  worker->lost = false;
  std::set<std::string> seen;
  worker->ended_jobs.clear();
  for (const auto& it : report.tasks) {
    seen.insert(it.id);
    if (it.ended) {
      // Until it has forgotten the task it would refuse to start it again.
      if (auto key = ParseTaskName(it.id)) {
        worker->ended_jobs.insert(key->first);
      }
      OnEnded(worker, it.id, it.ok);
      worker->acks.push_back(it.id);
    } else {
      OnRunning(worker, it.id);
    }
  }
  worker->known = true;
  CountUnseen();
  FindNeverStarted(worker, asked, seen);
  Pump();
}

/// A task the worker says it runs: ours, inherited, or to be stopped.
void JobBoard::OnRunning(Worker* worker, const std::string& name) {
  auto key = ParseTaskName(name);
  LiveJob* job = key ? FindJob(key->first) : nullptr;
  if (job == nullptr || key->second >= job->tasks.size()) {
    worker->stops.push_back(name);
    return;
  }
  Task& task = job->tasks[key->second];
  const bool elsewhere =
      !task.worker.empty() && task.worker != worker->info.name;
  const bool settled = task.state == TaskState::kDone ||
                       (task.state == TaskState::kFailed && !job->cancelled);
  if (elsewhere || settled) {
    worker->stops.push_back(name);
    return;
  }
  if (task.worker.empty()) {  // Inherited from the former owner.
    Reserve(job, key->second, worker);
  }
  worker->tasks.at(*key).ended = kNever;
  if (job->cancelled) {
    task.state = TaskState::kStopping;
    worker->stops.push_back(name);
  } else if (task.preempted) {
    worker->stops.push_back(name);
  } else if (task.state != TaskState::kRunning) {
    task.state = TaskState::kRunning;
    task.changed = port_->Now();
    port_->Events().Write(EventKind::kTaskRunning, name, worker->info.name);
  }
}

void JobBoard::OnEnded(Worker* worker, const std::string& name, bool ok) {
  auto key = ParseTaskName(name);
  LiveJob* job = key ? FindJob(key->first) : nullptr;
  if (job == nullptr || key->second >= job->tasks.size()) {
    return;
  }
  Task& task = job->tasks[key->second];
  const bool elsewhere =
      !task.worker.empty() && task.worker != worker->info.name;
  if (elsewhere || task.state == TaskState::kDone ||
      task.state == TaskState::kFailed) {
    return;
  }
  Unreserve(worker, *key);
  waiting_.erase(*key);
  if (ok) {
    worker->failures = 0;
    EndTask(*key, true);
    return;
  }
  if (!job->cancelled && !task.preempted) {
    NoteWorkerFailure(worker, job);
  }
  if (task.preempted && !job->cancelled) {
    task.preempted = false;
    task.state = TaskState::kWaiting;
    waiting_.insert(*key);
    return;
  }
  const bool give_up =
      job->cancelled || !job->spec.restart || job->failures >= kJobFailures;
  if (give_up) {
    EndTask(*key, false);
  } else {
    task.state = TaskState::kWaiting;
    waiting_.insert(*key);
  }
}

void JobBoard::EndTask(const TaskKey& key, bool ok) {
  LiveJob* job = FindJob(key.first);
  job->tasks[key.second].state = ok ? TaskState::kDone : TaskState::kFailed;
  AppendTask(ok ? JobRecordKind::kDone : JobRecordKind::kFailed, key);
  port_->Events().Write(EventKind::kTaskEnded, TaskName(key.first, key.second),
                        ok ? "ok" : "failed");
  EraseIfEnded(key.first);
}

void JobBoard::EraseIfEnded(const JobId& id) {
  LiveJob* job = FindJob(id);
  const bool ended = std::all_of(
      job->tasks.begin(), job->tasks.end(),
      [](const Task& it) { return Settled(it.state) && it.worker.empty(); });
  const bool any_unknown = std::any_of(
      job->tasks.begin(), job->tasks.end(),
      [](const Task& it) { return it.state == TaskState::kUnknown; });
  if (ended && (!any_unknown || job->cancelled)) {
    port_->Events().Write(EventKind::kJobEnded, id.value);
    jobs_.erase(id);
  }
}

/// Starts without an answer: once the worker's clock has passed the start's
/// deadline and its list lacks the task, it surely never started.
void JobBoard::FindNeverStarted(Worker* worker,
                                Time asked,
                                const std::set<std::string>& seen) {
  std::vector<TaskKey> gone;
  for (const auto& [key, entry] : worker->tasks) {
    if (seen.contains(TaskName(key.first, key.second))) {
      continue;
    }
    LiveJob* job = FindJob(key.first);
    const TaskState state = job->tasks[key.second].state;
    const bool never_started = state == TaskState::kSent &&
                               entry.ended != kNever && asked > entry.ended &&
                               worker->clock_ms > entry.not_after_ms;
    const bool vanished =
        (state == TaskState::kRunning || state == TaskState::kStopping) &&
        asked > job->tasks[key.second].changed;
    if (never_started || vanished) {
      gone.push_back(key);
    }
  }
  for (const auto& key : gone) {
    LiveJob* job = FindJob(key.first);
    if (job == nullptr) {
      continue;
    }
    Unreserve(worker, key);
    Task& task = job->tasks[key.second];
    if (job->cancelled) {
      EndTask(key, false);
    } else if (job->spec.restart) {
      task.state = TaskState::kWaiting;
      waiting_.insert(key);
    } else {
      // The worker may have run and forgotten it.
      task.state = TaskState::kUnknown;
      port_->Events().Write(EventKind::kTaskUnknown,
                            TaskName(key.first, key.second));
    }
  }
}

/// A worker that has not answered until its leases have surely lapsed runs
/// nothing of ours any more.
void JobBoard::FindLostWorkers() {
  const Time now = port_->Now();
  for (auto& it : workers_) {
    Worker& worker = it.second;
    const bool lapsed = now > worker.lease_sent + lease_ + kClockMargin;
    const bool silent =
        worker.answered == kNever || now - worker.answered > lease_;
    if (!worker.lost && lapsed && silent) {
      worker.lost = true;
      worker.known = false;
      CountUnseen();
      DropWorkerTasks(&worker);
    }
  }
}

void JobBoard::DropWorkerTasks(Worker* worker) {
  while (!worker->tasks.empty()) {
    const TaskKey key = worker->tasks.begin()->first;
    Unreserve(worker, key);
    LiveJob* job = FindJob(key.first);
    Task& task = job->tasks[key.second];
    if (job->cancelled) {
      EndTask(key, false);
    } else if (job->spec.restart || task.state == TaskState::kLogging) {
      task.state = TaskState::kWaiting;
      waiting_.insert(key);
    } else {
      task.state = TaskState::kUnknown;
      port_->Events().Write(EventKind::kTaskUnknown,
                            TaskName(key.first, key.second));
    }
  }
}

void JobBoard::NoteWorkerFailure(Worker* worker, LiveJob* job) {
  if (job != nullptr) {
    job->failed_on.insert(worker->info.name);
    ++job->failures;
  }
  if (++worker->failures >= kWorkerFailures) {
    // One more failure after the quarantine sends it back at once: the next
    // task is the probe.
    worker->failures = kWorkerFailures - 1;
    worker->quarantined_until = port_->Now() + kQuarantine;
    port_->Events().Write(EventKind::kBackendQuarantined, worker->info.name);
  }
}

}  // namespace bw
