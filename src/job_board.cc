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

constexpr milliseconds kActionTime{1000};
constexpr milliseconds kLogRetry{1000};
constexpr uint32_t kMaxPlacedPerPump = 256;
constexpr uint32_t kRetryAfterMs = 1000;

constexpr std::array<const char*, 8> kStateNames = {
    "waiting",  "waiting", "sent",   "running",
    "stopping", "done",    "failed", "unknown"};

}  // namespace

JobBoard::JobBoard(ShardId shard,
                   ShardPort* port,
                   TeamUsage* usage,
                   Duration lease)
    : shard_(shard), port_(port), usage_(usage), lease_(lease) {}

JobBoard::LiveJob* JobBoard::FindJob(const JobId& id) {
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
  const uint64_t at_once =
      spec.UnitsPerTask() * (spec.kind == JobKind::kGang ? spec.tasks : 1);
  if (at_once > state.accounts.at(spec.origin.team).upper_limit) {
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
  submitting_[event.job] = std::move(reply);
  port_->Append(event, [this, id = event.job](platform::AppendFate fate) {
    auto it = submitting_.find(id);
    if (it == submitting_.end() || fate == platform::AppendFate::kStored) {
      return;  // Answered when the record is seen in the fold.
    }
    const auto code = fate == platform::AppendFate::kNotSent
                          ? ErrorCode::kLogUnavailable
                          : ErrorCode::kOutcomeUnknown;
    it->second({code, 0, {}, {}, kRetryAfterMs, "job " + id.value});
    submitting_.erase(it);
  });
}

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
  LiveJob* job = FindJob(id);
  if (cancel && job != nullptr && !job->cancelled) {
    if (!port_->MayAct()) {
      return {ErrorCode::kNotOwner, 0, {}, {}, kRetryAfterMs, {}};
    }
    AppendTask(JobRecordKind::kCancelled, {id, 0});
    Cancel(job);
    job = FindJob(id);  // A job without running tasks has ended by this.
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
      record->second.cancelled || (job != nullptr && job->cancelled);
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
    if (gained_ != kNever && FindJob(event.job) == nullptr) {
      AddJob(port_->Jobs().jobs.at(event.job));
    }
    if (auto it = submitting_.find(event.job); it != submitting_.end()) {
      it->second({ErrorCode::kNone,
                  202,
                  Json{{"job", event.job.value}}.dump(),
                  "application/json",
                  0,
                  {}});
      submitting_.erase(it);
    }
    Pump();
  } else if (event.kind == JobRecordKind::kStarted) {
    const TaskKey key{event.job, event.task};
    LiveJob* job = FindJob(event.job);
    if (job != nullptr && event.task < job->tasks.size() &&
        job->tasks[event.task].state == TaskState::kLogging) {
      SendStart(key);
    }
  }
}

void JobBoard::AddJob(const JobRecord& record) {
  if (record.Ended()) {
    return;
  }
  LiveJob& job = jobs_[record.spec.id];
  job.spec = record.spec;
  job.cancelled = record.cancelled;
  job.accepted = port_->Now();
  job.tasks.assign(record.spec.tasks, Task());
  for (uint32_t n = 0; n < record.spec.tasks; ++n) {
    Task& task = job.tasks[n];
    if (record.done.contains(n)) {
      task.state = TaskState::kDone;
    } else if (record.failed.contains(n) || record.cancelled) {
      task.state = TaskState::kFailed;
    } else if (!record.spec.restart && record.started.contains(n)) {
      // An earlier owner recorded its only start; a worker's list may still
      // tell that it runs.
      task.state = TaskState::kUnknown;
    } else {
      waiting_.insert({record.spec.id, n});
    }
  }
  port_->Events().Write(EventKind::kJobAccepted, record.spec.id.value);
}

void JobBoard::OnGained(bool inherits) {
  gained_ = port_->Now();
  inherits_ = inherits;
  jobs_.clear();
  waiting_.clear();
  for (auto& it : workers_) {
    while (!it.second.tasks.empty()) {
      Unreserve(&it.second, it.second.tasks.begin()->first);
    }
    it.second.known = false;
    it.second.lost = false;
    it.second.inherited = inherits;
    it.second.lease_sent = gained_;
  }
  for (const auto& it : port_->Jobs().jobs) {
    if (it.second.shard == ToIndex(shard_)) {
      AddJob(it.second);
    }
  }
  for (auto& it : jobs_) {
    it.second.inherited = inherits;
  }
  CountUnseen();
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
      worker->second.lease_sent = port_->Now();
      worker->second.inherited = inherits_;
    }
  }
  inherits_ = false;
  CountUnseen();
  std::erase_if(workers_, [](const auto& it) {
    return !it.second.listed && it.second.tasks.empty() && !it.second.asking;
  });
}

/// Inherited tasks start only when every worker that the former owner could
/// have used has told its tasks, or its leases have surely lapsed.
bool JobBoard::KnowsInherited() const {
  return !inherits_ &&
         std::all_of(workers_.begin(), workers_.end(), [](const auto& it) {
           return !it.second.inherited || it.second.known || it.second.lost;
         });
}

/// Workers not yet heard of count as full for every team.
void JobBoard::CountUnseen() {
  uint64_t units = 0;
  for (const auto& it : workers_) {
    const Worker& worker = it.second;
    const bool unseen = worker.inherited && !worker.known && !worker.lost;
    units += unseen ? worker.info.total.millicores / 1000 : 0;
  }
  usage_->SetUnseenOnWorkers(units);
}

void JobBoard::Pump() {
  if (waiting_.empty() || gained_ == kNever || !port_->MayAct()) {
    return;
  }
  const bool may_restart = KnowsInherited();
  const Time now = port_->Now();
  // Urgent jobs first, then the team furthest below its share, then age.
  using Rank = std::tuple<int, double, Time, JobId>;
  const ControlState& state = port_->State();
  std::set<Rank> order;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const JobId id = it->first;
    LiveJob* job = FindJob(id);
    auto account = state.accounts.find(job->spec.origin.team);
    const bool held = now < job->hold_until || (job->inherited && !may_restart);
    if (account != state.accounts.end() && !held && !IsHeldFor(*job, now)) {
      order.emplace(
          -PriorityOf(job->spec),
          static_cast<double>(usage_->Running(job->spec.origin.team)) /
              static_cast<double>(account->second.share),
          job->accepted, id);
    }
    it = waiting_.lower_bound({id, UINT32_MAX});
  }
  uint32_t placed = 0;
  for (const auto& it : order) {
    if (placed >= kMaxPlacedPerPump) {
      return;
    }
    LiveJob* job = FindJob(std::get<JobId>(it));
    if (PlaceJob(job, &placed)) {
      job->first_tried = kNever;
    } else {
      NoteNoRoom(job, now);
    }
  }
}

bool JobBoard::PlaceJob(LiveJob* job, uint32_t* placed) {
  std::vector<uint32_t> wanted;
  for (auto it = waiting_.lower_bound({job->spec.id, 0});
       it != waiting_.end() && it->first == job->spec.id; ++it) {
    wanted.push_back(it->second);
  }
  const TeamId& team = job->spec.origin.team;
  const uint64_t units = job->spec.UnitsPerTask();
  const uint64_t room = usage_->Room(port_->State(), team) / units;
  if (room < wanted.size()) {
    port_->AskAllowance(team, (wanted.size() - room) * units);
    if (job->spec.kind == JobKind::kGang) {
      return false;
    }
    wanted.resize(room);
  }
  return !wanted.empty() && PlaceTasks(job, wanted, placed);
}

std::vector<WorkerRoom> JobBoard::Rooms(const LiveJob& job,
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
  std::vector<WorkerRoom> out;
  for (auto& [name, it] : workers_) {
    WorkerRoom room;
    room.total = it.info.total;
    room.usable =
        it.listed && it.known && !it.lost && !it.info.leaving &&
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

/// Gangs are placed whole or not at all; other jobs as far as room goes.
bool JobBoard::PlaceTasks(LiveJob* job,
                          const std::vector<uint32_t>& wanted,
                          uint32_t* placed) {
  const ControlState& state = port_->State();
  const auto& account = state.accounts.at(job->spec.origin.team);
  auto queue = account.queues.find(job->spec.origin.queue);
  const Strategy* strategy = FindStrategy(
      queue == account.queues.end() ? "spread" : queue->second.strategy);
  std::vector<Worker*> workers;
  auto rooms = Rooms(*job, &workers);
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
      LogStart(key);
    }
  }
  return !chosen.empty();
}

void JobBoard::Reserve(LiveJob* job, uint32_t task, Worker* worker) {
  const TaskKey key{job->spec.id, task};
  OnWorker entry{job->spec.origin.team, job->spec.need,
                 job->spec.UnitsPerTask(), 0, kNever};
  worker->tasks[key] = entry;
  worker->used = worker->used + entry.need;
  usage_->Add(entry.team, entry.units);
  waiting_.erase(key);
  job->tasks[task].worker = worker->info.name;
  job->tasks[task].state = TaskState::kLogging;
  job->tasks[task].changed = port_->Now();
}

void JobBoard::Unreserve(Worker* worker, const TaskKey& key) {
  auto it = worker->tasks.find(key);
  if (it == worker->tasks.end()) {
    return;
  }
  worker->used = worker->used - it->second.need;
  usage_->Remove(it->second.team, it->second.units);
  worker->tasks.erase(it);
  if (LiveJob* job = FindJob(key.first)) {
    job->tasks[key.second].worker.clear();
  }
}

void JobBoard::AppendTask(JobRecordKind kind, const TaskKey& key) {
  JobEvent event;
  event.kind = kind;
  event.id = RandomHex();
  event.shard = ToIndex(shard_);
  event.job = key.first;
  event.task = key.second;
  port_->Append(event, [](platform::AppendFate) {});
}

/// The start goes on when the record is seen in the fold (OnEvent).
void JobBoard::LogStart(const TaskKey& key) {
  JobEvent event;
  event.kind = JobRecordKind::kStarted;
  event.id = RandomHex();
  event.shard = ToIndex(shard_);
  event.job = key.first;
  event.task = key.second;
  port_->Append(event, [this, key](platform::AppendFate fate) {
    LiveJob* job = FindJob(key.first);
    if (job == nullptr || fate != platform::AppendFate::kNotSent) {
      return;
    }
    Task& task = job->tasks[key.second];
    if (task.state == TaskState::kLogging) {
      Unreserve(&workers_.at(task.worker), key);
      task.state = TaskState::kWaiting;
      waiting_.insert(key);
      job->hold_until = port_->Now() + kLogRetry;
    }
  });
}

void JobBoard::SendStart(const TaskKey& key) {
  LiveJob& job = *FindJob(key.first);
  Task& task = job.tasks[key.second];
  Worker& worker = workers_.at(task.worker);
  OnWorker& entry = worker.tasks.at(key);
  const auto since =
      std::chrono::duration_cast<milliseconds>(port_->Now() - worker.answered);
  entry.not_after_ms =
      worker.clock_ms + static_cast<uint64_t>((since + kActionTime).count());
  task.state = TaskState::kSent;
  task.preempted = false;
  worker.lease_sent = std::max(worker.lease_sent, port_->Now() + kActionTime);
  platform::WorkerStart start{
      TaskName(key.first, key.second),
      job.spec.origin.team.value,
      job.spec.need.millicores,
      job.spec.need.memory_mb,
      job.spec.need.accelerators,
      static_cast<uint64_t>(
          std::chrono::duration_cast<milliseconds>(lease_).count()),
      entry.not_after_ms,
      job.spec.run_ms,
      job.spec.command};
  auto call = platform::MakeStartCall(worker.info.address, start);
  port_->Events().Write(EventKind::kTaskSent, start.id, worker.info.name);
  port_->Counters().Count("bw_task_starts_total");
  port_->Counters().Observe(
      "bw_wait_seconds",
      "class=\"task\",team=\"" + job.spec.origin.team.value + "\"",
      static_cast<double>((port_->Now() - job.accepted).count()));
  port_->Call(
      std::move(call), /*unfenced=*/false,
      [this, key, name = worker.info.name](const net::HttpResult& result) {
        OnStartAnswer(key, name, result);
      });
}

void JobBoard::OnStartAnswer(const TaskKey& key,
                             const std::string& name,
                             const net::HttpResult& result) {
  auto found = workers_.find(name);
  LiveJob* job = FindJob(key.first);
  if (found == workers_.end() || job == nullptr) {
    return;
  }
  Worker& worker = found->second;
  Task& task = job->tasks[key.second];
  auto entry = worker.tasks.find(key);
  if (entry == worker.tasks.end() || task.worker != name ||
      task.state != TaskState::kSent) {
    return;  // Settled by the worker's own list in the meantime.
  }
  if (result.Ok()) {
    OnRunning(&worker, TaskName(key.first, key.second));
  } else if (result.fate == net::CallFate::kNotSent ||
             (result.fate == net::CallFate::kAnswered &&
              result.status / 100 == 4)) {
    StartFailed(key, &worker);
  } else {
    entry->second.ended = port_->Now();
    AskWorker(&worker);
  }
}

/// The worker surely did not start the task.
void JobBoard::StartFailed(const TaskKey& key, Worker* worker) {
  LiveJob* job = FindJob(key.first);
  Unreserve(worker, key);
  Task& task = job->tasks[key.second];
  if (job->cancelled) {
    task.state = TaskState::kFailed;
    EraseIfEnded(key.first);
    return;
  }
  task.state = TaskState::kWaiting;
  waiting_.insert(key);
  NoteWorkerFailure(worker, nullptr);
}

void JobBoard::Cancel(LiveJob* job) {
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
      workers_.at(task.worker).stops.push_back(TaskName(id, n));
    }
  }
  EraseIfEnded(id);
}

}  // namespace bw
