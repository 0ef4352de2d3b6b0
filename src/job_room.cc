// How urgent jobs and gangs get room: the part of JobBoard that decides who
// gives way.

#include <algorithm>

#include "job_board_base.h"
#include "task_name_func.h"

namespace bw {
namespace {

constexpr int kUrgentPriority = 8;
constexpr int kPriorityGap = 3;  ///< Between urgent work and what gives way.
constexpr Duration kGangPatience = milliseconds(1500);
constexpr Duration kReservation = milliseconds(6000);
constexpr Duration kReservationPause = milliseconds(6000);

}  // namespace

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

/// While room is kept for a gang, other jobs start only if they are urgent or
/// say that they end before the reservation does.
bool JobBoard::IsHeldFor(const LiveJob& job, Time now) const {
  if (now >= reserved_until_ || job.spec.id == reserved_for_ ||
      PriorityOf(job.spec) >= kUrgentPriority) {
    return false;
  }
  const bool ends_in_time =
      job.spec.run_ms > 0 &&
      now + milliseconds(job.spec.run_ms) <= reserved_until_;
  return !ends_in_time;
}

/// A job found no room: gangs get a reservation after a while, one at a time
/// and with an end; urgent jobs make others give way.
void JobBoard::NoteNoRoom(LiveJob* job, Time now) {
  if (job->first_tried == kNever) {
    job->first_tried = now;
  }
  if (PriorityOf(job->spec) >= kUrgentPriority) {
    MakeRoom(job);
  } else if (job->spec.kind == JobKind::kGang &&
             now - job->first_tried >= kGangPatience &&
             now >= reserved_until_ + kReservationPause) {
    reserved_for_ = job->spec.id;
    reserved_until_ = now + kReservation;
  }
}

/// Only batch tasks that can be started again give way.
bool JobBoard::MayBePreempted(const TaskKey& key, int priority) const {
  auto job = jobs_.find(key.first);
  return job != jobs_.end() && job->second.spec.kind == JobKind::kBatch &&
         job->second.spec.restart && !job->second.cancelled &&
         job->second.tasks[key.second].state == TaskState::kRunning &&
         !job->second.tasks[key.second].preempted &&
         PriorityOf(job->second.spec) + kPriorityGap <= priority;
}

/// @return The fewest tasks whose end makes room for `need`, or none if all of
/// them would not.
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

/// @return True if tasks that are already giving way leave enough room.
bool JobBoard::RoomIsComing(const Worker& worker, const Resources& need) const {
  Resources room = worker.info.total - worker.used;
  for (const auto& it : worker.tasks) {
    auto job = jobs_.find(it.first.first);
    if (job != jobs_.end() && job->second.tasks[it.first.second].preempted) {
      room = room + it.second.need;
    }
  }
  return need.Fits(room);
}

void JobBoard::MakeRoom(LiveJob* job) {
  const uint64_t units = job->spec.UnitsPerTask();
  if (usage_->Room(port_->State(), job->spec.origin.team) < units) {
    return;  // Its limit is in the way, not the workers.
  }
  const Time now = port_->Now();
  const int priority = PriorityOf(job->spec);
  Worker* best = nullptr;
  std::vector<TaskKey> victims;
  for (auto& it : workers_) {
    Worker& worker = it.second;
    const bool usable =
        worker.listed && worker.known && !worker.lost && !worker.info.leaving &&
        now >= worker.quarantined_until && worker.used.Fits(worker.info.total);
    if (!usable) {
      continue;
    }
    if (RoomIsComing(worker, job->spec.need)) {
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

/// Lets the worker take a checkpoint first, then stops the task.
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
                  it->second.stops.push_back(name);
                  AskWorker(&it->second);
                }
              });
}

}  // namespace bw
