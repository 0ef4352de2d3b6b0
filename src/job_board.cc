#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "admit_func.h"
#include "job_board_base.h"
#include "place_func.h"
#include "task_name_func.h"
#include "text_func.h"

namespace bw {
namespace {

using Json = nlohmann::json;

/// Time after a send within which the worker may start the task.
constexpr milliseconds kMaxStartDelay{1000};
/// Delay before a job is placed again after a failed append.
constexpr milliseconds kAppendRetryDelay{1000};
constexpr uint32_t kMaxPlacedPerPump = 256;
constexpr uint32_t kRetryAfterMs = 1000;

/// Names of TaskState values as reported to callers.
constexpr std::array<const char*, 8> kStateNames = {
    "waiting",  "waiting", "sent",   "running",
    "stopping", "done",    "failed", "unknown"};

}  // namespace

JobBoard::JobBoard(ShardId shard,
                   ShardPort* port,
                   TeamUsage* usage,
                   Duration lease)
    : shard_(shard), port_(port), usage_(usage), lease_(lease) {}

JobBoard::ActiveJob* JobBoard::FindJob(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void JobBoard::Submit(JobSpec spec, Time valid_until, OutcomeReply reply) {
  const auto refuse = [&](ErrorCode error, std::string detail = {}) {
    reply({error, 0, {}, {}, kRetryAfterMs, std::move(detail)});
  };
  if (!port_->MayAct()) {
    return refuse(ErrorCode::kNotOwner);
  }
  const ControlState& state = port_->State();
  const ErrorCode error =
      CheckOrigin(state, spec.origin, port_->MayAcceptKeyed());
  if (error != ErrorCode::kNone) {
    return refuse(error);
  }
  if (port_->Now() >= valid_until) {
    return refuse(ErrorCode::kExpired);
  }
  const auto& keys = port_->Jobs().job_keys;
  auto known = keys.find({spec.origin.team, spec.origin.idempotency_key});
  if (!spec.origin.idempotency_key.empty() && known != keys.end()) {
    return reply({ErrorCode::kNone,
                  202,
                  Json{{"job", known->second.value}}.dump(),
                  "application/json",
                  0,
                  {}});
  }
  if (!CanEverFit(spec)) {
    return refuse(ErrorCode::kCanNeverRun,
                  "no worker of the zone is large enough");
  }
  const uint64_t min_units =
      spec.UnitsPerTask() * (spec.kind == JobKind::kGang ? spec.tasks : 1);
  if (min_units > state.accounts.at(spec.origin.team).upper_limit) {
    return refuse(ErrorCode::kCanNeverRun, "larger than the upper limit");
  }
  if (waiting_.size() >= PolicyOf(state, spec.origin).max_waiting * 100ULL) {
    return refuse(ErrorCode::kQueueFull);
  }
  JobEvent event;
  event.kind = JobRecordKind::kAccepted;
  event.id = RandomHex();
  event.shard = ToIndex(shard_);
  event.job = spec.id;
  event.spec = std::move(spec);
  pending_submits_[event.job] = std::move(reply);
  port_->Append(event, [this, id = event.job](platform::AppendStatus status) {
    auto it = pending_submits_.find(id);
    if (it == pending_submits_.end() ||
        status == platform::AppendStatus::kStored) {
      return;  // OnEvent replies when the stored record is read back.
    }
    const auto code = status == platform::AppendStatus::kNotStored
                          ? ErrorCode::kLogUnavailable
                          : ErrorCode::kOutcomeUnknown;
    it->second({code, 0, {}, {}, kRetryAfterMs, "job " + id.value});
    pending_submits_.erase(it);
  });
}

/// @return True if the workers, when idle, can run all tasks of a gang, or at
/// least one task of another job.
bool JobBoard::CanEverFit(const JobSpec& spec) const {
  uint64_t places = 0;
  for (const auto& it : workers_) {
    Resources room = it.second.info.total;
    while (places < spec.tasks && spec.need.Fits(room)) {
      room = room - spec.need;
      ++places;
    }
  }
  return spec.kind == JobKind::kGang ? places >= spec.tasks : places > 0;
}

WorkOutcome JobBoard::Query(const JobId& id, const TeamId& team, bool cancel) {
  const auto& all = port_->Jobs().jobs;
  auto record = all.find(id);
  if (record == all.end() || record->second.spec.origin.team != team) {
    return {ErrorCode::kUnknownJob, 0, {}, {}, 0, id.value};
  }
  ActiveJob* job = FindJob(id);
  if (cancel && job != nullptr && !job->cancelled) {
    if (!port_->MayAct()) {
      return {ErrorCode::kNotOwner, 0, {}, {}, kRetryAfterMs, {}};
    }
    AppendTaskRecord(JobRecordKind::kCancelled, {id, 0});
    unread_cancels_.insert(id);
    Cancel(job);
    job = FindJob(id);  // Erased if none of its tasks was on a worker.
  }
  std::map<std::string, uint32_t> counts;
  if (job != nullptr) {
    for (const auto& it : job->tasks) {
      ++counts[kStateNames[static_cast<size_t>(it.state)]];
    }
  } else {
    counts["done"] = static_cast<uint32_t>(record->second.done.size());
    counts["failed"] = static_cast<uint32_t>(record->second.failed.size());
  }
  const bool cancelled =
      record->second.cancelled || unread_cancels_.contains(id);
  const char* state = cancelled               ? "cancelled"
                      : job == nullptr        ? "ended"
                      : counts["running"] > 0 ? "running"
                                              : "waiting";
  return {ErrorCode::kNone,
          200,
          Json{{"job", id.value}, {"state", state}, {"tasks", counts}}.dump(),
          "application/json",
          0,
          {}};
}

void JobBoard::OnEvent(const JobEvent& event) {
  if (event.shard != ToIndex(shard_)) {
    return;
  }
  if (event.kind == JobRecordKind::kAccepted) {
    if (owner_since_ != kNever && FindJob(event.job) == nullptr) {
      AddJob(port_->Jobs().jobs.at(event.job));
    }
    if (auto it = pending_submits_.find(event.job);
        it != pending_submits_.end()) {
      it->second({ErrorCode::kNone,
                  202,
                  Json{{"job", event.job.value}}.dump(),
                  "application/json",
                  0,
                  {}});
      pending_submits_.erase(it);
    }
    PlaceWaiting();
  } else if (event.kind == JobRecordKind::kStarted) {
    const TaskKey key{event.job, event.task};
    ActiveJob* job = FindJob(event.job);
    if (job != nullptr && event.task < job->tasks.size() &&
        job->tasks[event.task].state == TaskState::kLogging) {
      SendStart(key);
    }
  } else if (event.kind == JobRecordKind::kCancelled) {
    unread_cancels_.erase(event.job);
  }
}

void JobBoard::AddJob(const JobRecord& record) {
  if (record.Ended()) {
    return;
  }
  ActiveJob& job = jobs_[record.spec.id];
  job.spec = record.spec;
  job.cancelled = record.cancelled;
  job.accepted_at = port_->Now();
  job.tasks.assign(record.spec.tasks, Task());
  for (uint32_t n = 0; n < record.spec.tasks; ++n) {
    Task& task = job.tasks[n];
    if (record.done.contains(n)) {
      task.state = TaskState::kDone;
    } else if (record.failed.contains(n) || record.cancelled) {
      task.state = TaskState::kFailed;
    } else if (!record.spec.restart && record.started.contains(n)) {
      // A former owner recorded its only start. It becomes kRunning if a worker
      // reports it.
      task.state = TaskState::kUnknown;
    } else {
      waiting_.insert({record.spec.id, n});
    }
  }
  port_->Events().Write(EventKind::kJobAccepted, record.spec.id.value);
}

void JobBoard::OnOwnershipGained(bool inherits) {
  owner_since_ = port_->Now();
  may_inherit_work_ = inherits;
  jobs_.clear();
  waiting_.clear();
  unread_cancels_.clear();
  for (auto& it : workers_) {
    while (!it.second.tasks.empty()) {
      Unreserve(&it.second, it.second.tasks.begin()->first);
    }
    it.second.reported = false;
    it.second.lost = false;
    it.second.inherited = inherits;
    it.second.lease_renewed_at = owner_since_;
  }
  for (const auto& it : port_->Jobs().jobs) {
    if (it.second.shard == ToIndex(shard_)) {
      AddJob(it.second);
    }
  }
  for (auto& it : jobs_) {
    it.second.inherited = inherits;
  }
  UpdateUnreportedUnits();
}

void JobBoard::OnInstances(
    const std::vector<platform::ListedInstance>& listed) {
  for (auto& it : workers_) {
    it.second.listed = false;
  }
  for (const auto& it : listed) {
    auto [worker, added] = workers_.try_emplace(it.name);
    worker->second.info = it;
    worker->second.listed = true;
    if (added) {
      worker->second.lease_renewed_at = port_->Now();
      worker->second.inherited = may_inherit_work_;
    }
  }
  may_inherit_work_ = false;
  UpdateUnreportedUnits();
  std::erase_if(workers_, [](const auto& it) {
    return !it.second.listed && it.second.tasks.empty() &&
           !it.second.poll_in_flight;
  });
}

/// @return True if every worker that a former owner could have used has
/// reported its tasks or is lost (its leases have expired). Before that,
/// inherited tasks must not be started, as they may be running.
bool JobBoard::IsInheritedStateKnown() const {
  return !may_inherit_work_ &&
         std::all_of(workers_.begin(), workers_.end(), [](const auto& it) {
           return !it.second.inherited || it.second.reported || it.second.lost;
         });
}

/// Counts inherited workers that have not reported yet as full for every team.
void JobBoard::UpdateUnreportedUnits() {
  uint64_t units = 0;
  for (const auto& it : workers_) {
    const Worker& worker = it.second;
    const bool unreported =
        worker.inherited && !worker.reported && !worker.lost;
    units += unreported ? worker.info.total.millicores / 1000 : 0;
  }
  usage_->SetUnreportedOnWorkers(units);
}

void JobBoard::PlaceWaiting() {
  if (waiting_.empty() || owner_since_ == kNever || !port_->MayAct()) {
    return;
  }
  const bool may_restart = IsInheritedStateKnown();
  const Time now = port_->Now();
  // By priority, then the team that runs least relative to its share, then age.
  using Rank = std::tuple<int, double, Time, JobId>;
  const ControlState& state = port_->State();
  std::set<Rank> order;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const JobId id = it->first;
    ActiveJob* job = FindJob(id);
    auto account = state.accounts.find(job->spec.origin.team);
    const bool deferred =
        now < job->retry_at || (job->inherited && !may_restart);
    if (account != state.accounts.end() && !deferred &&
        !IsBlockedByReservation(*job, now)) {
      order.emplace(
          -PriorityOf(job->spec),
          static_cast<double>(usage_->Running(job->spec.origin.team)) /
              static_cast<double>(account->second.share),
          job->accepted_at, id);
    }
    it = waiting_.lower_bound({id, UINT32_MAX});
  }
  uint32_t placed = 0;
  for (const auto& it : order) {
    if (placed >= kMaxPlacedPerPump) {
      return;
    }
    ActiveJob* job = FindJob(std::get<JobId>(it));
    if (PlaceJob(job, &placed)) {
      job->unplaced_since = kNever;
    } else {
      OnPlacementFailed(job, now);
    }
  }
}

/// Places waiting tasks of a job within the team's limit.
/// @return True if any task was placed.
bool JobBoard::PlaceJob(ActiveJob* job, uint32_t* placed) {
  std::vector<uint32_t> wanted;
  for (auto it = waiting_.lower_bound({job->spec.id, 0});
       it != waiting_.end() && it->first == job->spec.id; ++it) {
    wanted.push_back(it->second);
  }
  const TeamId& team = job->spec.origin.team;
  const uint64_t units = job->spec.UnitsPerTask();
  const uint64_t available =
      usage_->AvailableUnits(port_->State(), team) / units;
  if (available < wanted.size()) {
    port_->RequestAllowance(team, (wanted.size() - available) * units);
    if (job->spec.kind == JobKind::kGang) {
      return false;
    }
    wanted.resize(available);
  }
  return !wanted.empty() && PlaceTasks(job, wanted, placed);
}

std::vector<WorkerCandidate> JobBoard::ListCandidates(
    const ActiveJob& job,
    std::vector<Worker*>* workers) {
  const Time now = port_->Now();
  std::map<uint32_t, uint32_t> racks;
  std::map<std::string, uint32_t> same;
  for (const auto& it : job.tasks) {
    auto worker = workers_.find(it.worker);
    if (worker != workers_.end()) {
      ++racks[worker->second.info.rack];
      ++same[it.worker];
    }
  }
  std::vector<WorkerCandidate> out;
  for (auto& [name, it] : workers_) {
    WorkerCandidate room;
    room.total = it.info.total;
    room.usable =
        it.listed && it.reported && !it.lost && !it.info.leaving &&
        now >= it.quarantined_until && !job.failed_on.contains(name) &&
        !it.ended_jobs.contains(job.spec.id) && it.used.Fits(it.info.total);
    room.free = room.usable ? room.total - it.used : Resources{};
    room.rack = it.info.rack;
    auto count = same.find(name);
    room.same_job = count == same.end() ? 0 : count->second;
    auto rack = racks.find(room.rack);
    room.same_rack = rack == racks.end() ? 0 : rack->second;
    out.push_back(room);
    workers->push_back(&it);
  }
  return out;
}

/// Places all tasks of a gang or none; of other jobs, as many as fit.
/// @return True if any task was placed.
bool JobBoard::PlaceTasks(ActiveJob* job,
                          const std::vector<uint32_t>& wanted,
                          uint32_t* placed) {
  const ControlState& state = port_->State();
  const auto& account = state.accounts.at(job->spec.origin.team);
  auto queue = account.queues.find(job->spec.origin.queue);
  const Strategy* strategy = FindStrategy(
      queue == account.queues.end() ? "spread" : queue->second.strategy);
  std::vector<Worker*> workers;
  auto rooms = ListCandidates(*job, &workers);
  std::vector<std::pair<uint32_t, size_t>> chosen;
  for (const uint32_t task : wanted) {
    auto n = PickWorker(rooms, job->spec.need, *strategy);
    if (!n) {
      break;
    }
    rooms[*n].free = rooms[*n].free - job->spec.need;
    ++rooms[*n].same_job;
    for (auto& it : rooms) {
      it.same_rack += it.rack == rooms[*n].rack ? 1 : 0;
    }
    chosen.emplace_back(task, *n);
  }
  if (job->spec.kind == JobKind::kGang && chosen.size() < wanted.size()) {
    return false;
  }
  for (const auto& it : chosen) {
    Reserve(job, it.first, workers[it.second]);
    ++*placed;
    const TaskKey key{job->spec.id, it.first};
    if (job->spec.restart) {
      SendStart(key);
    } else {
      AppendStartRecord(key);
    }
  }
  return !chosen.empty();
}

void JobBoard::Reserve(ActiveJob* job, uint32_t task, Worker* worker) {
  const TaskKey key{job->spec.id, task};
  Assignment entry{job->spec.origin.team, job->spec.need,
                   job->spec.UnitsPerTask(), 0, kNever};
  worker->tasks[key] = entry;
  worker->used = worker->used + entry.need;
  usage_->Add(entry.team, entry.units);
  waiting_.erase(key);
  job->tasks[task].worker = worker->info.name;
  job->tasks[task].state = TaskState::kLogging;
  job->tasks[task].changed_at = port_->Now();
}

void JobBoard::Unreserve(Worker* worker, const TaskKey& key) {
  auto it = worker->tasks.find(key);
  if (it == worker->tasks.end()) {
    return;
  }
  worker->used = worker->used - it->second.need;
  usage_->Remove(it->second.team, it->second.units);
  worker->tasks.erase(it);
  if (ActiveJob* job = FindJob(key.first)) {
    job->tasks[key.second].worker.clear();
  }
}

void JobBoard::AppendTaskRecord(JobRecordKind kind, const TaskKey& key) {
  JobEvent event;
  event.kind = kind;
  event.id = RandomHex();
  event.shard = ToIndex(shard_);
  event.job = key.first;
  event.task = key.second;
  port_->Append(event, [](platform::AppendStatus) {});
}

/// Appends the start record of a run-once task. OnEvent sends the start when
/// the stored record is read back.
void JobBoard::AppendStartRecord(const TaskKey& key) {
  JobEvent event;
  event.kind = JobRecordKind::kStarted;
  event.id = RandomHex();
  event.shard = ToIndex(shard_);
  event.job = key.first;
  event.task = key.second;
  port_->Append(event, [this, key](platform::AppendStatus status) {
    ActiveJob* job = FindJob(key.first);
    if (job == nullptr || status != platform::AppendStatus::kNotStored) {
      return;
    }
    Task& task = job->tasks[key.second];
    if (task.state == TaskState::kLogging) {
      Unreserve(&workers_.at(task.worker), key);
      task.state = TaskState::kWaiting;
      waiting_.insert(key);
      job->retry_at = port_->Now() + kAppendRetryDelay;
    }
  });
}

void JobBoard::SendStart(const TaskKey& key) {
  ActiveJob& job = *FindJob(key.first);
  Task& task = job.tasks[key.second];
  Worker& worker = workers_.at(task.worker);
  Assignment& entry = worker.tasks.at(key);
  const auto since = std::chrono::duration_cast<milliseconds>(
      port_->Now() - worker.last_response_at);
  entry.start_deadline_ms =
      worker.clock_ms + static_cast<uint64_t>((since + kMaxStartDelay).count());
  task.state = TaskState::kSent;
  task.preempted = false;
  worker.lease_renewed_at =
      std::max(worker.lease_renewed_at, port_->Now() + kMaxStartDelay);
  platform::WorkerStart start{
      TaskName(key.first, key.second),
      job.spec.origin.team.value,
      job.spec.need.millicores,
      job.spec.need.memory_mb,
      job.spec.need.accelerators,
      static_cast<uint64_t>(
          std::chrono::duration_cast<milliseconds>(lease_).count()),
      entry.start_deadline_ms,
      job.spec.run_ms,
      job.spec.command};
  auto call = platform::MakeStartCall(worker.info.address, start);
  port_->Events().Write(EventKind::kTaskSent, start.id, worker.info.name);
  port_->Counters().Count("bw_task_starts_total");
  port_->Counters().Observe(
      "bw_wait_seconds",
      "class=\"task\",team=\"" + job.spec.origin.team.value + "\"",
      static_cast<double>((port_->Now() - job.accepted_at).count()));
  port_->Call(
      std::move(call), /*unfenced=*/false,
      [this, key, name = worker.info.name](const net::HttpResult& result) {
        OnStartResponse(key, name, result);
      });
}

void JobBoard::OnStartResponse(const TaskKey& key,
                               const std::string& name,
                               const net::HttpResult& result) {
  auto found = workers_.find(name);
  ActiveJob* job = FindJob(key.first);
  if (found == workers_.end() || job == nullptr) {
    return;
  }
  Worker& worker = found->second;
  Task& task = job->tasks[key.second];
  auto entry = worker.tasks.find(key);
  if (entry == worker.tasks.end() || task.worker != name ||
      task.state != TaskState::kSent) {
    return;  // Already resolved by a poll of the worker.
  }
  if (result.Ok()) {
    OnTaskRunning(&worker, TaskName(key.first, key.second));
  } else if (result.delivery == net::DeliveryStatus::kNotSent ||
             (result.delivery == net::DeliveryStatus::kResponded &&
              result.status / 100 == 4)) {
    OnStartFailed(key, &worker);
  } else {
    entry->second.start_call_ended_at = port_->Now();
    PollWorker(&worker);
  }
}

/// Handles a start that the worker did not receive or rejected.
void JobBoard::OnStartFailed(const TaskKey& key, Worker* worker) {
  ActiveJob* job = FindJob(key.first);
  Unreserve(worker, key);
  Task& task = job->tasks[key.second];
  if (job->cancelled) {
    task.state = TaskState::kFailed;
    EraseIfEnded(key.first);
    return;
  }
  task.state = TaskState::kWaiting;
  waiting_.insert(key);
  RecordWorkerFailure(worker, nullptr);
}

void JobBoard::Cancel(ActiveJob* job) {
  job->cancelled = true;
  const JobId id = job->spec.id;
  waiting_.erase(waiting_.lower_bound({id, 0}),
                 waiting_.upper_bound({id, UINT32_MAX}));
  for (uint32_t n = 0; n < job->tasks.size(); ++n) {
    Task& task = job->tasks[n];
    if (task.state == TaskState::kWaiting) {
      task.state = TaskState::kFailed;
    } else if (task.state == TaskState::kRunning) {
      task.state = TaskState::kStopping;
      workers_.at(task.worker).pending_stops.push_back(TaskName(id, n));
    }
  }
  EraseIfEnded(id);
}

}  // namespace bw
