// The cell's jobs: acceptance, state, cancelling, steps and occurrences.

#include <algorithm>
#include <utility>

#include "cell_base.h"
#include "event_log_func.h"
#include "platform/ingress.h"
#include "platform/store.h"
#include "proto/bw.pb.h"

namespace bw {
namespace {

/// Retry-After of a refusal during a take-over or an outage.
constexpr uint32_t kRetryAfterMs = 1000;
/// How long fronts refuse new jobs of a queue themselves after a refusal. An
/// owner that is short of processor time spends as much of it on refusing a job
/// as on accepting one.
constexpr uint32_t kRefusalAppliesMs = 500;
/// A job whose record could not be sent to the store within this time is
/// refused.
constexpr milliseconds kStoreTimeout{800};

/// Minimum time between two placing passes, as events come in bursts.
constexpr milliseconds kMinPassInterval{5};
/// Pause after a pass, as a multiple of its duration: orders and reports need
/// most of the processor time.
constexpr int kPauseFactor = 4;

/// While servers are free, new jobs are refused if the waiting steps take
/// longer than this to place: an owner recovers from any load within this time.
constexpr milliseconds kMaxBacklogTime{5000};

/// New jobs that would be late are accepted for this long, as after a
/// take-over: a late response is better than none. If the delay lasts, others
/// would be late for them.
constexpr milliseconds kMaxLateTime{2000};
/// Refusing them makes the next ones be in time: a shorter pause ends no delay.
constexpr milliseconds kMaxLatePause{5000};

/// Occurrences of a job that are open at a time; further ones wait.
constexpr size_t kMaxOpenOccurrences = 200;

CellOutcome Accept(const char* state) {
  CellOutcome out;
  out.state = state;
  return out;
}

}  // namespace

const char* StateName(JobState state) {
  switch (state) {
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
    case JobState::kActive:
      break;
  }
  return "running";
}

const char* OrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kSuperseded:
      return "superseded";
    case OrderResult::kExpired:
      return "expired";
    case OrderResult::kNoRoom:
      return "no_room";
    case OrderResult::kNoTicket:
      return "no_ticket";
    case OrderResult::kUnhealthy:
      return "unhealthy";
    case OrderResult::kInvalid:
      return "invalid";
    case OrderResult::kOtherIncarnation:
      return "other_incarnation";
    case OrderResult::kUnknown:
      return "no_answer";
    case OrderResult::kNotSent:
      return "not_sent";
  }
  return "no_answer";
}

Cell::Cell(CellOptions options, CellPort* port)
    : options_(options), port_(port), wall_ms_(options.wall_ms) {}

void Cell::SetConfig(std::shared_ptr<const CellConfig> config) {
  config_ = std::move(config);
  for (const auto& it : config_->queues) {
    services_in_use_.insert(ServiceNumber(it.service));
  }
  for (auto& it : jobs_) {
    if (const auto* queue = config_->FindQueue(it.second.queue)) {
      it.second.policy = *queue;
    }
  }
}

Cell::Job* Cell::FindJob(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Cell::Step* Cell::FindStep(const StepRef& ref, Job** job) {
  *job = FindJob(ref.job);
  if (*job == nullptr) {
    return nullptr;
  }
  auto it = (*job)->occurrences.find(ref.occurrence);
  if (it == (*job)->occurrences.end() || ref.step >= it->second.steps.size()) {
    return nullptr;
  }
  return &it->second.steps[ref.step];
}

Cell::Task* Cell::FindTask(const TaskRef& ref, Job** job, Step** step) {
  *step = FindStep({ref.job, ref.occurrence, ref.step}, job);
  if (*step == nullptr || ref.index >= (*step)->tasks.size()) {
    return nullptr;
  }
  return &(*step)->tasks[ref.index];
}

CellOutcome Cell::Refuse(CellStatus status, const char* reason) const {
  CellOutcome out;
  out.status = status;
  out.reason = reason;
  out.retry_after_ms = kRetryAfterMs;
  return out;
}

bool Cell::Knows(const JobId& id) const {
  return ended_.contains(id) || jobs_.contains(id);
}

CellOutcome Cell::RefuseOverload(const JobId& id, const char* reason) const {
  LogEvent(Part::kPlacer, "job_refused",
           {{"job", id.value},
            {"why", reason},
            {"waiting_steps", ready_.Size()},
            {"servers", servers_.size()}});
  CellOutcome out = Refuse(CellStatus::kOverloaded, reason);
  out.retry_after_ms = SpreadRetryAfterMs(id, kRetryAfterMs);
  out.applies_ms = kRefusalAppliesMs;
  return out;
}

void Cell::Submit(const JobId& id,
                  const TeamId& team,
                  const QueueId& queue,
                  const std::string& body,
                  Time now,
                  CellDone done) {
  if (auto ended = ended_.find(id); ended != ended_.end()) {
    const bool own = ended->second.team == team;
    done(own ? Accept(StateName(ended->second.state))
             : Refuse(CellStatus::kOtherAccount, "job of another account"));
    return;
  }
  if (Job* known = FindJob(id)) {
    if (known->team != team) {
      done(Refuse(CellStatus::kOtherAccount, "job of another account"));
    } else if (known->stored) {
      done(Accept("queued"));
    } else {
      known->waiting_accept.push_back(std::move(done));
    }
    return;
  }
  if (RefuseCancelled(id, team, &done)) {
    return;
  }
  const CellQueue* policy = config_ ? config_->FindQueue(queue) : nullptr;
  if (policy == nullptr) {
    done(Refuse(CellStatus::kUnknownQueue, "queue not known yet"));
    return;
  }
  if (!port_->IsStoreResponsive()) {
    done(Refuse(CellStatus::kStoreUnavailable, "store does not answer"));
    return;
  }
  Job job;
  if (platform::ReadBatchSpec(body, &job.spec) != platform::SpecError::kNone) {
    done(Refuse(CellStatus::kMalformed, "job cannot be read"));
    return;
  }
  for (auto& it : job.spec.steps) {
    it.stated_ms = it.estimate_ms;
  }
  job.id = id;
  job.team = team;
  job.queue = queue;
  job.body = body;
  job.policy = *policy;
  job.accepted_ms = wall_ms_;
  job.accepted = now;
  job.arrival = ++last_arrival_;
  UpdateEstimates(&job, now);
  job.objective = ObjectiveOf(*policy, LongestChainMs(job.spec, {}));
  if (const char* reason = OverloadReason(job, now); reason != nullptr) {
    done(RefuseOverload(id, reason));
    return;
  }
  job.rate_limited = IsRateLimited(id, team, now);
  if (ShouldRejectJob(job.rate_limited, ready_.CountRateLimited(queue))) {
    LogEvent(Part::kPlacer, "job_refused",
             {{"job", id.value},
              {"team", team.value},
              {"queue", queue.value},
              {"why", "account beyond its rate"},
              {"waiting_steps", ready_.Size()}});
    done(Refuse(CellStatus::kOverloaded, "account beyond its rate"));
    return;
  }
  if (!job.rate_limited) {
    placing_delay_.OnNewStep(policy->priority);
  }
  job.waiting_accept.push_back(std::move(done));
  std::vector<std::string> records;
  AddRecords("s:" + id.value, SerializeJob(job), &job.body_parts, &records);
  Job& added = jobs_[id] = std::move(job);
  added.store_request =
      port_->StoreRecords(std::move(records), [this, id](bool stored) {
        stored ? OnAccepted(id) : OnAcceptanceRefused(id);
      });
  // Placing need not wait until the job is stored: each start waits for its
  // own record, which is stored after this one.
  OpenJob(&added, now);
}

/// Handles a new job that is expected to be late. @return True if such jobs of
/// its priority have been for long.
bool Cell::HasBeenLate(uint32_t priority, Time now) {
  LateSpan& span = late_spans_[priority];
  if (now - span.last > kMaxLatePause) {
    span.since = now;
  }
  span.last = now;
  return now - span.since >= kMaxLateTime;
}

/// @return Why a new job is rejected, or null if it can be placed in time.
const char* Cell::OverloadReason(const Job& job, Time now) {
  const auto found = service_numbers_.find(job.policy.service);
  const bool half_empty = found == service_numbers_.end() ||
                          found->second >= half_empty_.size() ||
                          half_empty_[found->second];
  if (IsBacklogFull(ready_.CountWithinRate(), servers_.size(), half_empty)) {
    return "too many steps are waiting";
  }
  if (half_empty && placing_delay_.BacklogTime() > kMaxBacklogTime) {
    return "too many steps are waiting";
  }
  const bool timed = job.spec.start_at_ms > 0 || job.spec.repeat_count > 0;
  PlacingDelay::Need need;
  if (job.policy.advice) {
    // The first pass queries the advice service, the next one places the tasks.
    ++need.passes;
    ++need.round_trips;
  }
  if (timed) {
    return nullptr;
  }
  switch (DeadlineClassAfter(
      job.objective, LongestChainMs(job.spec, {}),
      placing_delay_.Expected(job.policy.priority, need, now))) {
    case DeadlineClass::kInTime:
      return nullptr;
    case DeadlineClass::kLate:
      if (!HasBeenLate(job.policy.priority, now)) {
        return nullptr;
      }
      break;
    case DeadlineClass::kPastCutoff:
      break;
  }
  return "it could not be placed in time";
}

void Cell::OpenJob(Job* job, Time now) {
  if (job->spec.repeat_count > 0 || job->spec.start_at_ms > 0) {
    scheduled_jobs_.insert(job->id);
    OpenDueOccurrences(job, wall_ms_, now);
  } else if (job->occurrences.empty()) {
    AddOccurrence(job, 0, now);
  }
}

void Cell::OnAccepted(const JobId& id) {
  Job* job = FindJob(id);
  if (job == nullptr) {
    return;
  }
  job->stored = true;
  LogEvent(Part::kPlacer, "job_accepted",
           {{"job", id.value},
            {"team", job->team.value},
            {"queue", job->queue.value},
            {"steps", job->spec.steps.size()},
            {"over_share", job->rate_limited},
            {"config", config_ ? config_->version : 0}});
  auto waiting = std::move(job->waiting_accept);
  job->waiting_accept.clear();
  for (auto& it : waiting) {
    it(Accept("queued"));
  }
}

/// The store will never accept the job's record.
void Cell::OnAcceptanceRefused(const JobId& id) {
  // If it was cancelled meanwhile, its end is being stored.
  if (const Job* job = FindJob(id);
      job != nullptr && job->state == JobState::kActive) {
    DropUnstored(id, "the store refuses its record");
  }
}

/// Refuses a job whose acceptance is not stored.
void Cell::DropUnstored(const JobId& id, const char* why) {
  const auto node = jobs_.extract(id);
  LogEvent(Part::kPlacer, "job_refused",
           {{"job", id.value},
            {"why", why},
            {"waited_ms", AgeMs(node.mapped().accepted, now_)}});
  RemoveRuns(id);
  scheduled_jobs_.erase(id);
  for (const auto& done : node.mapped().waiting_accept) {
    done(Refuse(CellStatus::kStoreUnavailable, why));
  }
}

/// Removes the runs of a refused job. None was sent: a start is sent only after
/// its own record is stored, which happens after the job's record.
void Cell::RemoveRuns(const JobId& id) {
  for (auto& it : servers_) {
    std::vector<RunRef> placed;
    auto run = it.second.runs.lower_bound({TaskRef{id, 0, 0, 0}, 0});
    for (; run != it.second.runs.end() && run->first.task.job == id; ++run) {
      placed.push_back(run->first);
    }
    for (const auto& ref : placed) {
      EraseRun(&it.second, ref);
    }
  }
}

/// Refuses jobs whose record was not sent yet while the store is unavailable.
/// The end of one that was cancelled is queued, too, so that one is kept.
void Cell::RefuseUnstoredJobs(Time now) {
  if (port_->IsStoreResponsive()) {
    return;
  }
  std::vector<JobId> unsent;
  for (const auto& it : jobs_) {
    const Job& job = it.second;
    if (!job.stored && job.state == JobState::kActive &&
        now - job.accepted >= kStoreTimeout &&
        port_->CancelUnsent(job.store_request)) {
      unsent.push_back(it.first);
    }
  }
  for (const auto& id : unsent) {
    DropUnstored(id, "store does not answer");
  }
}

void Cell::AddOccurrence(Job* job, uint32_t number, Time now) {
  Occurrence& added = job->occurrences[number];
  added.steps.resize(job->spec.steps.size());
  for (size_t n = 0; n < added.steps.size(); ++n) {
    added.steps[n].tasks.resize(job->spec.steps[n].count);
  }
  job->next_occurrence = std::max(job->next_occurrence, number + 1);
  UpdateReady(job, number, now);
}

void Cell::UpdateRemaining(const Job& job, Occurrence* occurrence) {
  std::vector<bool> still_to_do;
  for (const auto& it : occurrence->steps) {
    still_to_do.push_back(it.done < it.tasks.size());
  }
  occurrence->remaining_ms = LongestChainMs(job.spec, still_to_do);
}

/// Marks steps as ready whose dependencies are done.
void Cell::UpdateReady(Job* job, uint32_t occurrence, Time now) {
  auto found = job->occurrences.find(occurrence);
  if (found == job->occurrences.end() || job->state != JobState::kActive) {
    return;
  }
  UpdateEstimates(job, now);
  UpdateRemaining(*job, &found->second);
  auto& steps = found->second.steps;
  for (uint32_t n = 0; n < steps.size(); ++n) {
    if (steps[n].ready) {
      continue;
    }
    const auto& depends_on = job->spec.steps[n].depends_on;
    const bool ready = std::all_of(
        depends_on.begin(), depends_on.end(),
        [&](uint32_t b) { return steps[b].done == steps[b].tasks.size(); });
    if (ready) {
      steps[n].ready = true;
      steps[n].waiting_since = now;
      if (steps[n].done < steps[n].tasks.size()) {
        ready_.Insert({job->id, occurrence, n}, job->queue, job->rate_limited);
      }
    }
  }
}

void Cell::OpenDueOccurrences(Job* job, uint64_t wall_ms, Time now) {
  const uint64_t count = std::max<uint64_t>(1, job->spec.repeat_count);
  while (job->state == JobState::kActive && job->next_occurrence < count &&
         job->occurrences.size() < kMaxOpenOccurrences &&
         wall_ms >= job->spec.start_at_ms +
                        job->next_occurrence * job->spec.interval_ms) {
    AddOccurrence(job, job->next_occurrence, now);
  }
  if (job->next_occurrence >= count || job->state != JobState::kActive) {
    scheduled_jobs_.erase(job->id);
  }
}

CellOutcome Cell::State(const JobId& id, const TeamId& team) const {
  CellOutcome out;
  if (auto ended = ended_.find(id); ended != ended_.end()) {
    if (ended->second.team != team) {
      return Refuse(CellStatus::kOtherAccount, "job of another account");
    }
    out.state = StateName(ended->second.state);
    return out;
  }
  auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return Refuse(CellStatus::kUnknownJob, "no such job");
  }
  if (it->second.team != team) {
    return Refuse(CellStatus::kOtherAccount, "job of another account");
  }
  if (!it->second.stored) {
    return Refuse(CellStatus::kStoreUnavailable,
                  "its acceptance is not stored yet");
  }
  out.state = it->second.started ? "running" : "queued";
  return out;
}

void Cell::Cancel(const JobId& id,
                  const TeamId& team,
                  Time now,
                  CellDone done) {
  if (ended_.contains(id)) {
    done(State(id, team));
    return;
  }
  Job* job = FindJob(id);
  if (job == nullptr) {
    CancelUnknown(id, team, std::move(done));
    return;
  }
  if (job->team != team) {
    done(Refuse(CellStatus::kOtherAccount, "job of another account"));
    return;
  }
  if (job->state != JobState::kActive && job->state != JobState::kCancelled) {
    // Its end is already being stored and its runs are stopped.
    job->waiting_cancel.push_back(std::move(done));
    return;
  }
  job->waiting_cancel.push_back(std::move(done));
  if (job->state == JobState::kActive) {
    LogEvent(Part::kPlacer, "job_cancelled", {{"job", id.value}});
    EndJob(job, JobState::kCancelled, now);
  }
}

/// Ends a job: stops its runs and stores its final state.
void Cell::EndJob(Job* job, JobState state, Time now) {
  job->state = state;
  scheduled_jobs_.erase(job->id);
  StopJobRuns(job, now);
  StoreEnd(job);
}

void Cell::StoreEnd(Job* job) {
  const JobId id = job->id;
  const JobState state = job->state;
  const EndedJob ended{job->team, job->queue, state, wall_ms_};
  std::vector<std::string> records;
  AddRecords("p:" + id.value, SerializeProgress(*job), &job->progress_parts,
             &records);
  AddRecords("s:" + id.value, "", &job->body_parts, &records);
  changed_jobs_.erase(id);
  job->progress_changed = false;
  port_->StoreRecords(std::move(records), [this, id, ended](bool stored) {
    if (stored) {
      OnEndStored(id, ended);
    } else {
      refused_jobs_[id] = now_ + kRefusedRecordPause;
    }
  });
}

void Cell::OnEndStored(const JobId& id, const EndedJob& ended) {
  auto node = jobs_.extract(id);
  if (node.empty()) {
    return;
  }
  KeepMaybeRunning(node.mapped());
  refused_jobs_.erase(id);
  ended_[id] = ended;
  LogEvent(Part::kPlacer, "job_ended",
           {{"job", id.value}, {"state", StateName(ended.state)}});
  const CellOutcome outcome = Accept(StateName(ended.state));
  for (auto& it : node.mapped().waiting_accept) {
    it(outcome);
  }
  for (auto& it : node.mapped().waiting_cancel) {
    it(outcome);
  }
}

/// Stops every run of a job and removes its steps from `ready_`.
void Cell::StopJobRuns(Job* job, Time now) {
  for (auto& occurrence : job->occurrences) {
    for (uint32_t n = 0; n < occurrence.second.steps.size(); ++n) {
      ready_.Erase({job->id, occurrence.first, n});
    }
  }
  const TaskRef first{job->id, 0, 0, 0};
  for (auto& it : servers_) {
    auto run = it.second.runs.lower_bound({first, 0});
    for (; run != it.second.runs.end() && run->first.task.job == job->id;
         ++run) {
      SendStop(&it.second, run->first, &run->second, "job ended", now);
    }
  }
}

/// @return True if the job exceeds its account's rate limit. A job found over
/// the limit stays so when it is submitted again, so that a retry does not
/// displace a new job.
bool Cell::IsRateLimited(const JobId& id, const TeamId& team, Time now) {
  const AccountPolicy* account = config_->FindAccount(team);
  if (account == nullptr) {
    return false;
  }
  if (rate_limited_at_.contains(id)) {
    return true;
  }
  const bool over = rate_limiter_.ExceedsRate(team, account->weight, now);
  if (over) {
    rate_limited_at_[id] = now;
  }
  return over;
}

uint64_t Cell::CountWaiting(const QueueId& queue) const {
  uint64_t out = 0;
  for (const auto& it : jobs_) {
    if (it.second.queue == queue && it.second.stored && !it.second.started &&
        it.second.state == JobState::kActive) {
      ++out;
    }
  }
  return out;
}

void Cell::Tick(Time now, uint64_t wall_ms) {
  now_ = now;
  wall_ms_ = wall_ms;
  RefuseUnstoredJobs(now);
  RetryRefused(now);
  const std::set<JobId> timed = scheduled_jobs_;  // Changed by the calls.
  for (const auto& id : timed) {
    if (Job* job = FindJob(id); job != nullptr) {
      OpenDueOccurrences(job, wall_ms, now);
    }
  }
  std::vector<BackendId> unlisted;
  for (auto& it : servers_) {
    CheckServer(&it.second, now);
    if (!it.second.listed) {
      unlisted.push_back(it.first);
    }
  }
  for (const auto& id : unlisted) {
    DropServerIfIdle(id);
  }
  if (!settled_ && maybe_running_count_ == 0) {
    settled_ = true;
    LogEvent(Part::kPlacer, "cell_settled",
             {{"after_ms", AgeMs(loaded_at_, now)}});
  }
  constexpr milliseconds kPrefetchInterval{100};
  if (now >= next_prefetch_) {
    next_prefetch_ = now + kPrefetchInterval;
    PrefetchAdvice(now);
  }
  MoveServices(now);
  constexpr milliseconds kWaitLogInterval{2000};
  if (now >= next_wait_log_) {
    next_wait_log_ = now + kWaitLogInterval;
    LogLongWaits(now);
  }
  constexpr milliseconds kSweepInterval{5000};
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    constexpr milliseconds kRetryWindow{20'000};
    std::erase_if(rate_limited_at_, [&](const auto& it) {
      return now - it.second > kRetryWindow;
    });
    DropExpiredJobs(wall_ms);
    DropExpiredCancels(wall_ms);
  }
}

void Cell::Run(Time now) {
  now_ = now;
  // While records cannot be stored, placed tasks would occupy resources without
  // being started until their tickets expire.
  if (port_->MayAct() && port_->IsStoreResponsive() && now >= next_pass_) {
    const Time began = port_->ReadClock();
    Place(now);
    const Duration took = port_->ReadClock() - began;
    ++counters_.passes;
    counters_.pass_us += static_cast<uint64_t>(took.count());
    next_pass_ =
        now + took + std::max<Duration>(kMinPassInterval, kPauseFactor * took);
  }
  StoreChanges();
}

std::map<ZoneId, size_t> Cell::CountServersByZone() const {
  std::map<ZoneId, size_t> out;
  for (const auto& it : servers_) {
    if (it.second.listed && IsInUse(it.second)) {
      ++out[it.second.entry.zone];
    }
  }
  return out;
}

Cell::Counts Cell::Count() const {
  Counts out = counters_;
  out.jobs = jobs_.size();
  out.servers = servers_.size();
  out.waiting_steps = ready_.Size();
  out.early_cancels = early_cancels_.size();
  for (const auto& it : servers_) {
    const Server& server = it.second;
    out.runs += server.runs.size();
    if (server.lists_read && server.listed && !server.entry.draining) {
      ++out.usable_servers;
      out.total_millicores += server.entry.capacity.millicores;
      out.free_millicores +=
          server.entry.capacity.millicores -
          std::min(server.used.millicores, server.entry.capacity.millicores);
    }
  }
  return out;
}

}  // namespace bw
