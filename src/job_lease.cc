// Leases of tasks on workers: the part of JobBoard that polls the workers,
// renews their leases and updates task states from their reports.

#include <algorithm>
#include <utility>

#include "job_board_base.h"
#include "task_name_func.h"

namespace bw {
namespace {

/// Time after a send within which the worker may apply a renewal.
constexpr milliseconds kMaxRenewalDelay{1000};
/// For workers that have not reported, and for those with stops or
/// acknowledgements to send or with starts of unknown outcome.
constexpr milliseconds kUnresolvedPollInterval{250};
constexpr milliseconds kIdlePollInterval{2000};
/// Added to a lease before it counts as expired.
constexpr Duration kClockMargin = milliseconds(500);
/// Consecutive failures after which a worker is quarantined.
constexpr uint32_t kMaxWorkerFailures = 3;
/// Failed task runs of a job after which its tasks are not restarted.
constexpr uint32_t kMaxJobFailures = 3;
constexpr milliseconds kQuarantineTime{15'000};

/// @return True if the task will not be started again.
bool IsFinal(TaskState state) {
  return state == TaskState::kDone || state == TaskState::kFailed ||
         state == TaskState::kUnknown;
}

}  // namespace

void JobBoard::Tick() {
  if (owner_since_ == kNever || !port_->MayAct()) {
    return;
  }
  const Time now = port_->Now();
  for (auto& it : workers_) {
    Worker& worker = it.second;
    const bool unresolved =
        !worker.reported || !worker.pending_stops.empty() ||
        !worker.pending_acks.empty() ||
        std::any_of(worker.tasks.begin(), worker.tasks.end(),
                    [](const auto& t) {
                      return t.second.start_call_ended_at != kNever;
                    });
    const Duration every =
        unresolved ? Duration(kUnresolvedPollInterval)
        : worker.tasks.empty()
            ? Duration(kIdlePollInterval)
            : std::min<Duration>(lease_ / 4, kIdlePollInterval);
    if (worker.last_poll_at == kNever || now - worker.last_poll_at >= every) {
      PollWorker(&worker);
    }
  }
  DetectLostWorkers();
  PlaceWaiting();
}

/// Polls a worker and renews its leases. If it has not responded recently it is
/// only polled: a renewal that arrives without a response would extend the
/// leases and delay the restart of its tasks elsewhere.
void JobBoard::PollWorker(Worker* worker) {
  if (worker->poll_in_flight || !port_->MayAct()) {
    return;
  }
  const Time now = port_->Now();
  const bool renews =
      worker->reported && now - worker->last_response_at < lease_ / 2;
  worker->poll_in_flight = true;
  worker->last_poll_at = now;
  auto call = platform::MakeListCall(worker->info.address);
  if (renews) {
    platform::WorkerRenewal renewal;
    renewal.lease_ms = static_cast<uint64_t>(
        std::chrono::duration_cast<milliseconds>(lease_).count());
    const auto since = std::chrono::duration_cast<milliseconds>(
        now - worker->last_response_at);
    renewal.not_after_ms =
        worker->clock_ms +
        static_cast<uint64_t>((since + kMaxRenewalDelay).count());
    for (const auto& it : worker->tasks) {
      renewal.renew.push_back(TaskName(it.first.first, it.first.second));
    }
    // If this message is lost, the next report lists the same tasks again and
    // the stops and acknowledgements are repeated.
    renewal.stop = std::exchange(worker->pending_stops, {});
    renewal.acknowledge = std::exchange(worker->pending_acks, {});
    call = platform::MakeRenewCall(worker->info.address, renewal);
    worker->lease_renewed_at = now + kMaxRenewalDelay;
  }
  port_->Call(
      std::move(call), /*unfenced=*/!renews,
      [this, name = worker->info.name, now](const net::HttpResult& result) {
        OnPollResponse(name, now, result);
      });
}

void JobBoard::OnPollResponse(const std::string& name,
                              Time poll_sent_at,
                              const net::HttpResult& result) {
  auto found = workers_.find(name);
  if (found == workers_.end()) {
    return;
  }
  Worker& worker = found->second;
  worker.poll_in_flight = false;
  auto report =
      result.Ok() ? platform::ReadWorkerReport(result.body) : std::nullopt;
  if (!report || owner_since_ == kNever || poll_sent_at < owner_since_) {
    return;
  }
  ApplyReport(&worker, poll_sent_at, *report);
}

void JobBoard::ApplyReport(Worker* worker,
                           Time poll_sent_at,
                           const platform::WorkerReport& report) {
  worker->last_response_at = port_->Now();
  worker->clock_ms = report.now_ms;
  worker->lost = false;
  std::set<std::string> seen;
  worker->ended_jobs.clear();
  for (const auto& it : report.tasks) {
    seen.insert(it.id);
    if (it.ended) {
      // The worker rejects another start of the task until it has processed the
      // acknowledgement; see ListCandidates.
      if (auto key = ParseTaskName(it.id)) {
        worker->ended_jobs.insert(key->first);
      }
      OnTaskEnded(worker, it.id, it.ok);
      worker->pending_acks.push_back(it.id);
    } else {
      OnTaskRunning(worker, it.id);
    }
  }
  worker->reported = true;
  UpdateUnreportedUnits();
  ResolveMissingTasks(worker, poll_sent_at, seen);
  PlaceWaiting();
}

/// Handles a task that a worker reports as running. It is adopted if it is
/// inherited, and stopped if it should not run there.
void JobBoard::OnTaskRunning(Worker* worker, const std::string& name) {
  auto key = ParseTaskName(name);
  ActiveJob* job = key ? FindJob(key->first) : nullptr;
  if (job == nullptr || key->second >= job->tasks.size()) {
    worker->pending_stops.push_back(name);
    return;
  }
  Task& task = job->tasks[key->second];
  const bool elsewhere =
      !task.worker.empty() && task.worker != worker->info.name;
  const bool has_ended = task.state == TaskState::kDone ||
                         (task.state == TaskState::kFailed && !job->cancelled);
  if (elsewhere || has_ended) {
    worker->pending_stops.push_back(name);
    return;
  }
  if (task.worker.empty()) {  // Inherited from the former owner.
    Reserve(job, key->second, worker);
  }
  worker->tasks.at(*key).start_call_ended_at = kNever;
  if (job->cancelled) {
    task.state = TaskState::kStopping;
    worker->pending_stops.push_back(name);
  } else if (task.preempted) {
    worker->pending_stops.push_back(name);
  } else if (task.state != TaskState::kRunning) {
    task.state = TaskState::kRunning;
    task.changed_at = port_->Now();
    port_->Events().Write(EventKind::kTaskRunning, name, worker->info.name);
  }
}

/// Handles a task that a worker reports as ended.
void JobBoard::OnTaskEnded(Worker* worker, const std::string& name, bool ok) {
  auto key = ParseTaskName(name);
  ActiveJob* job = key ? FindJob(key->first) : nullptr;
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
    RecordWorkerFailure(worker, job);
  }
  if (task.preempted && !job->cancelled) {
    task.preempted = false;
    task.state = TaskState::kWaiting;
    waiting_.insert(*key);
    return;
  }
  const bool is_final =
      job->cancelled || !job->spec.restart || job->failures >= kMaxJobFailures;
  if (is_final) {
    EndTask(*key, false);
  } else {
    task.state = TaskState::kWaiting;
    waiting_.insert(*key);
  }
}

void JobBoard::EndTask(const TaskKey& key, bool ok) {
  ActiveJob* job = FindJob(key.first);
  job->tasks[key.second].state = ok ? TaskState::kDone : TaskState::kFailed;
  AppendTaskRecord(ok ? JobRecordKind::kDone : JobRecordKind::kFailed, key);
  port_->Events().Write(EventKind::kTaskEnded, TaskName(key.first, key.second),
                        ok ? "ok" : "failed");
  EraseIfEnded(key.first);
}

void JobBoard::EraseIfEnded(const JobId& id) {
  ActiveJob* job = FindJob(id);
  const bool ended = std::all_of(
      job->tasks.begin(), job->tasks.end(),
      [](const Task& it) { return IsFinal(it.state) && it.worker.empty(); });
  const bool any_unknown = std::any_of(
      job->tasks.begin(), job->tasks.end(),
      [](const Task& it) { return it.state == TaskState::kUnknown; });
  if (ended && (!any_unknown || job->cancelled)) {
    port_->Events().Write(EventKind::kJobEnded, id.value);
    jobs_.erase(id);
  }
}

/// Resolves tasks assigned to a worker but missing from its report. A start
/// whose call got no response did not and will not happen if the worker's clock
/// has passed its deadline. A running task that is missing has vanished.
void JobBoard::ResolveMissingTasks(Worker* worker,
                                   Time poll_sent_at,
                                   const std::set<std::string>& seen) {
  std::vector<TaskKey> gone;
  for (const auto& [key, entry] : worker->tasks) {
    if (seen.contains(TaskName(key.first, key.second))) {
      continue;
    }
    ActiveJob* job = FindJob(key.first);
    const TaskState state = job->tasks[key.second].state;
    const bool never_started = state == TaskState::kSent &&
                               entry.start_call_ended_at != kNever &&
                               poll_sent_at > entry.start_call_ended_at &&
                               worker->clock_ms > entry.start_deadline_ms;
    const bool vanished =
        (state == TaskState::kRunning || state == TaskState::kStopping) &&
        poll_sent_at > job->tasks[key.second].changed_at;
    if (never_started || vanished) {
      gone.push_back(key);
    }
  }
  for (const auto& key : gone) {
    ActiveJob* job = FindJob(key.first);
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
      // The worker may have run the task and discarded its record.
      task.state = TaskState::kUnknown;
      port_->Events().Write(EventKind::kTaskUnknown,
                            TaskName(key.first, key.second));
    }
  }
}

/// Marks workers as lost that have not responded until all their leases have
/// expired. They run no task of this shard any more.
void JobBoard::DetectLostWorkers() {
  const Time now = port_->Now();
  for (auto& it : workers_) {
    Worker& worker = it.second;
    const bool expired = now > worker.lease_renewed_at + lease_ + kClockMargin;
    const bool unresponsive = worker.last_response_at == kNever ||
                              now - worker.last_response_at > lease_;
    if (!worker.lost && expired && unresponsive) {
      worker.lost = true;
      worker.reported = false;
      UpdateUnreportedUnits();
      ReleaseWorkerTasks(&worker);
    }
  }
}

/// Unassigns all tasks of a lost worker. Those that may run again wait for
/// another placement.
void JobBoard::ReleaseWorkerTasks(Worker* worker) {
  while (!worker->tasks.empty()) {
    const TaskKey key = worker->tasks.begin()->first;
    Unreserve(worker, key);
    ActiveJob* job = FindJob(key.first);
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

/// @param job Null if the failure does not count against the job.
void JobBoard::RecordWorkerFailure(Worker* worker, ActiveJob* job) {
  if (job != nullptr) {
    job->failed_on.insert(worker->info.name);
    ++job->failures;
  }
  if (++worker->failures >= kMaxWorkerFailures) {
    // The first task after the quarantine is a probe: one more failure
    // quarantines the worker again.
    worker->failures = kMaxWorkerFailures - 1;
    worker->quarantined_until = port_->Now() + kQuarantineTime;
    port_->Events().Write(EventKind::kBackendQuarantined, worker->info.name);
  }
}

}  // namespace bw
