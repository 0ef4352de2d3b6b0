// Preemption for urgent jobs and reservations for gangs: the part of JobBoard
// that handles jobs that do not fit.

#include <algorithm>

#include "job_board_base.h"
#include "task_name_func.h"

namespace bw {
namespace {

/// Jobs from this priority on preempt others and ignore reservations.
constexpr int kUrgentPriority = 8;
constexpr int kMinPriorityGap = 3;  ///< Between an urgent job and its victims.
/// Time a gang must fail to fit before it gets a reservation.
constexpr Duration kReservationDelay = milliseconds(1500);
constexpr Duration kReservationTime = milliseconds(6000);
/// Minimum time between two reservations.
constexpr Duration kReservationCooldown = milliseconds(6000);

}  // namespace

/// @return The priority of the job's queue; 0 if the queue does not exist.
int JobBoard::PriorityOf(const JobSpec& spec) const {
  const ControlState& state = port_->State();
  auto account = state.accounts.find(spec.origin.team);
  if (account == state.accounts.end()) {
    return 0;
  }
  auto queue = account->second.queues.find(spec.origin.queue);
  return queue == account->second.queues.end()
             ? 0
             : static_cast<int>(queue->second.priority);
}

/// @return True if the current reservation prevents the start of the job. It
/// does not affect the gang itself, urgent jobs, and jobs whose declared run
/// time ends before the reservation.
bool JobBoard::IsBlockedByReservation(const ActiveJob& job, Time now) const {
  if (now >= reserved_until_ || job.spec.id == reserved_for_ ||
      PriorityOf(job.spec) >= kUrgentPriority) {
    return false;
  }
  const bool ends_in_time =
      job.spec.run_ms > 0 &&
      now + milliseconds(job.spec.run_ms) <= reserved_until_;
  return !ends_in_time;
}

/// Handles a job that does not fit. Urgent jobs preempt others. A gang gets a
/// reservation after kReservationDelay; there is one reservation at a time, for
/// a limited time.
void JobBoard::OnPlacementFailed(ActiveJob* job, Time now) {
  if (job->unplaced_since == kNever) {
    job->unplaced_since = now;
  }
  if (PriorityOf(job->spec) >= kUrgentPriority) {
    PreemptFor(job);
  } else if (job->spec.kind == JobKind::kGang &&
             now - job->unplaced_since >= kReservationDelay &&
             now >= reserved_until_ + kReservationCooldown) {
    reserved_for_ = job->spec.id;
    reserved_until_ = now + kReservationTime;
  }
}

/// @return True if the task can be preempted by a job of the given priority.
/// Only running, restartable batch tasks can.
bool JobBoard::MayBePreempted(const TaskKey& key, int priority) const {
  auto job = jobs_.find(key.first);
  return job != jobs_.end() && job->second.spec.kind == JobKind::kBatch &&
         job->second.spec.restart && !job->second.cancelled &&
         job->second.tasks[key.second].state == TaskState::kRunning &&
         !job->second.tasks[key.second].preempted &&
         PriorityOf(job->second.spec) + kMinPriorityGap <= priority;
}

/// Chooses tasks of a worker to preempt so that `need` fits, largest first.
/// @return The tasks, or an empty list if preempting all of them is not enough.
std::vector<JobBoard::TaskKey> JobBoard::FindVictims(const Worker& worker,
                                                     const Resources& need,
                                                     int priority) const {
  std::vector<std::pair<Resources, TaskKey>> candidates;
  for (const auto& it : worker.tasks) {
    if (MayBePreempted(it.first, priority)) {
      candidates.emplace_back(it.second.need, it.first);
    }
  }
  std::sort(candidates.rbegin(), candidates.rend());
  Resources room = worker.info.total - worker.used;
  std::vector<TaskKey> out;
  for (const auto& it : candidates) {
    if (need.Fits(room)) {
      break;
    }
    room = room + it.first;
    out.push_back(it.second);
  }
  return need.Fits(room) ? out : std::vector<TaskKey>();
}

/// @return True if `need` fits once the tasks already preempted have ended.
bool JobBoard::FitsAfterPreemptions(const Worker& worker,
                                    const Resources& need) const {
  Resources room = worker.info.total - worker.used;
  for (const auto& it : worker.tasks) {
    auto job = jobs_.find(it.first.first);
    if (job != jobs_.end() && job->second.tasks[it.first.second].preempted) {
      room = room + it.second.need;
    }
  }
  return need.Fits(room);
}

/// Preempts tasks on the worker where the fewest have to end for one task of
/// the job to fit.
void JobBoard::PreemptFor(ActiveJob* job) {
  const uint64_t units = job->spec.UnitsPerTask();
  if (usage_->AvailableUnits(port_->State(), job->spec.origin.team) < units) {
    return;  // The team's limit blocks the job; preemption would not help.
  }
  const Time now = port_->Now();
  const int priority = PriorityOf(job->spec);
  Worker* best = nullptr;
  std::vector<TaskKey> victims;
  for (auto& it : workers_) {
    Worker& worker = it.second;
    const bool usable = worker.listed && worker.reported && !worker.lost &&
                        !worker.info.leaving &&
                        now >= worker.quarantined_until &&
                        worker.used.Fits(worker.info.total);
    if (!usable) {
      continue;
    }
    if (FitsAfterPreemptions(worker, job->spec.need)) {
      return;
    }
    auto found = FindVictims(worker, job->spec.need, priority);
    if (!found.empty() && (best == nullptr || found.size() < victims.size())) {
      best = &worker;
      victims = std::move(found);
    }
  }
  for (const auto& it : victims) {
    Preempt(best, it);
  }
}

/// Requests a checkpoint of the task, then stops it.
void JobBoard::Preempt(Worker* worker, const TaskKey& key) {
  const std::string name = TaskName(key.first, key.second);
  FindJob(key.first)->tasks[key.second].preempted = true;
  port_->Events().Write(EventKind::kTaskPreempted, name, worker->info.name);
  port_->Counters().Count("bw_task_preemptions_total");
  port_->Call(platform::MakeCheckpointCall(worker->info.address, name),
              /*unfenced=*/false,
              [this, name, at = worker->info.name](const net::HttpResult&) {
                auto it = workers_.find(at);
                if (it != workers_.end()) {
                  it->second.pending_stops.push_back(name);
                  PollWorker(&it->second);
                }
              });
}

}  // namespace bw
