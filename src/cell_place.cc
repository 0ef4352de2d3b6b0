// The cell's placing pass: assigns waiting steps to backend servers.

#include <algorithm>

#include "cell_pass.h"
#include "event_log_func.h"
#include "text_func.h"

namespace bw {
namespace {

/// Backend servers for each gang with a reservation, and the least maximum of
/// such gangs: room that is held for many gangs is idle for long.
constexpr size_t kServersPerReservation = 32;
constexpr size_t kMinMaxReservations = 3;
/// Maximum steps that a pass fails to place, in rank order.
constexpr uint32_t kMaxUnplaced = 100;
/// Maximum further failures among lower-ranked steps, tried in the order of
/// their last attempt so that none is starved.
constexpr uint32_t kMaxUnplacedBehind = 50;
/// Retry interval of a step that no listed server could run.
constexpr milliseconds kImpossiblePause{1000};
constexpr milliseconds kSpeedCheckInterval{200};
/// Maximum durations of placing in a pass: of the steps in rank order and of
/// all.
constexpr milliseconds kMaxRankedTime{20};
constexpr milliseconds kMaxPassTime{30};
/// Steps that are examined in rank order, and of those behind, however long it
/// takes: a process may be descheduled for longer than a pass may last.
constexpr uint32_t kMinExamined = 8;

/// @return True if the step is within its account's rate limit and can still
/// meet its objective.
bool IsUrgent(const WaitingStep& it) {
  return !it.rate_limited && DeadlineClassOf(it) == DeadlineClass::kInTime;
}

}  // namespace

WaitingStep Cell::RankOf(const Job& job,
                         const StepRef& ref,
                         const Step& step,
                         Time now) const {
  WaitingStep out;
  out.arrival = job.arrival;
  out.step = ref.step;
  out.priority = job.policy.priority;
  out.rate_limited = job.rate_limited;
  out.has_reservation = HasReservation(step, now);
  out.remaining_ms = SignedMs(job.occurrences.at(ref.occurrence).remaining_ms);
  const bool timed = job.spec.start_at_ms > 0 || job.spec.repeat_count > 0;
  const auto age =
      SignedMs(AgeMs(timed ? step.waiting_since : job.accepted, now));
  out.objective_in_ms = SignedMs(job.objective.in_time_ms) - age;
  out.cutoff_in_ms = SignedMs(job.objective.cutoff_ms) - age;
  return out;
}

/// Fills the pass with the servers that may get work now.
void Cell::OpenPass(Pass* pass) {
  pass->services.resize(service_numbers_.size());
  const bool check_speed = pass->now >= next_speed_check_;
  if (check_speed) {
    next_speed_check_ = pass->now + kSpeedCheckInterval;
  }
  size_t cold = 0;
  for (auto& it : servers_) {
    Server& server = it.second;
    server.pass_index = kNoServer;
    const bool open =
        server.listed && server.lists_read && server.record_stored &&
        !server.entry.draining && server.unknown_job_runs == 0 &&
        server.suspect_until <= pass->now && MayStartIn(server, pass->now);
    if (open) {
      server.pass_index = static_cast<uint32_t>(pass->servers.size());
      pass->servers.push_back(&server);
      pass->free.push_back(server.entry.capacity.Without(server.used));
      pass->reserved.emplace_back();
      if (check_speed) {
        CheckSpeed(&server, pass->now);
      }
      cold += server.cold_until > pass->now ? 1 : 0;
      ServiceCapacity& room = pass->services[server.service];
      room.total = room.total + server.entry.capacity;
      room.free = room.free + pass->free.back();
    }
  }
  pass->avoid_cold = 2 * cold <= pass->servers.size();
  pass->max_reservations = std::max(
      kMinMaxReservations, pass->servers.size() / kServersPerReservation);
  half_empty_.clear();
  for (const auto& it : pass->services) {
    half_empty_.push_back(it.IsHalfEmpty());
  }
}

void Cell::CheckSpeed(Server* server, Time now) {
  const double speed = speed_meter_.RelativeSpeed(server->entry.id, now);
  if (const uint32_t lag = LagOf(speed, server->lag); lag != server->lag) {
    server->lag = lag;
    LogEvent(
        Part::kPlacer, "backend_lag",
        {{"backend", server->entry.id.value}, {"speed", speed}, {"lag", lag}});
  }
  const bool slow = speed_meter_.IsSlow(server->entry.id, now);
  if (slow != server->slow) {
    server->slow = slow;
    LogEvent(Part::kPlacer, slow ? "backend_slow" : "backend_usual",
             {{"backend", server->entry.id.value},
              {"slowness", speed_meter_.SlownessOf(server->entry.id, now)},
              {"runs", server->runs.size()}});
  }
}

/// @return All waiting steps in the scheduling order.
std::vector<Cell::RankedStep> Cell::RankWaiting(Time now) {
  std::vector<RankedStep> order;
  for (auto it = ready_.All().begin(); it != ready_.All().end();) {
    Job* job = nullptr;
    Step* step = FindStep(it->first, &job);
    if (step == nullptr || job->state != JobState::kActive) {
      it = ready_.Erase(it);
      continue;
    }
    order.push_back(
        {RankOf(*job, it->first, *step, now), &it->first, step->examined_at});
    ++it;
  }
  std::sort(order.begin(), order.end(),
            [](const RankedStep& a, const RankedStep& b) {
              return ComesBefore(a.rank, b.rank);
            });
  return order;
}

void Cell::Place(Time now) {
  if (ready_.Size() == 0 || servers_.empty()) {
    placing_delay_.OnPass(0, {}, 0, now);
    return;
  }
  Pass pass;
  pass.now = now;
  OpenPass(&pass);
  const auto order = RankWaiting(now);
  for (const auto& it : order) {
    pass.in_time[it.rank.priority] += IsUrgent(it.rank) ? 1 : 0;
  }
  // Counted from here: if the time to rank a long backlog counted, it could
  // use up the pass, and nothing would be placed.
  const Time began = port_->ReadClock();
  pass.ends_at = began + kMaxRankedTime;
  const auto behind = PlaceInOrder(&pass, order, kMaxUnplaced);
  std::vector<RankedStep> oldest(behind.begin(), behind.end());
  std::stable_sort(oldest.begin(), oldest.end(),
                   [](const RankedStep& a, const RankedStep& b) {
                     return a.examined_at < b.examined_at;
                   });
  pass.ends_at = began + kMaxPassTime;
  PlaceInOrder(&pass, oldest, kMaxUnplacedBehind);
  if (pass.timed_out) {
    placing_delay_.OnPass(pass.placed, pass.in_time, ready_.Size(), now);
  } else {
    placing_delay_.OnPass(pass.placed, {}, 0, now);
  }
}

/// Places steps until `max_unplaced` of them could not be placed or the pass
/// takes too long.
/// @return The steps after those.
std::span<const Cell::RankedStep> Cell::PlaceInOrder(
    Pass* pass,
    std::span<const RankedStep> order,
    uint32_t max_unplaced) {
  uint32_t unplaced = 0;
  uint32_t examined = 0;
  for (size_t n = 0; n < order.size(); ++n) {
    const RankedStep& it = order[n];
    Job* job = nullptr;
    const StepRef ref = *it.ref;  // PlaceStep may erase it from `ready_`.
    Step* step = FindStep(ref, &job);
    if (step == nullptr || step->not_before > pass->now) {
      continue;  // Not examined, so it does not count as unplaced.
    }
    const bool timed_out =
        examined >= kMinExamined && port_->ReadClock() > pass->ends_at;
    if (unplaced == max_unplaced || timed_out) {
      pass->timed_out = pass->timed_out || timed_out;
      return order.subspan(n);
    }
    ++examined;
    step->examined_at = pass->now;
    const bool urgent = IsUrgent(it.rank);
    const PlaceResult result = PlaceStep(pass, ref, urgent);
    unplaced += result == PlaceResult::kUnplaced ? 1 : 0;
    if (result == PlaceResult::kPlaced) {
      ++pass->placed;
      pass->in_time[it.rank.priority] -= urgent ? 1 : 0;
    }
  }
  return {};
}

/// Places as many of the step's waiting tasks as fit.
/// @return The number of tasks placed.
uint32_t Cell::StartFitting(Pass* pass,
                            Job* job,
                            const StepRef& ref,
                            Step* step,
                            const std::vector<uint32_t>& waiting,
                            const StepNeed& need) {
  uint64_t gang_run = 0;
  for (const auto& it : step->tasks) {
    gang_run = std::max(gang_run, NextRun(*job, it));
  }
  uint32_t placed = 0;
  const auto fit = FitStep(pass->candidates, need);
  for (size_t n = 0; n < fit.size(); ++n) {
    if (fit[n] == kNoServer) {
      continue;
    }
    const Task& task = step->tasks[waiting[n]];
    const TaskRef task_ref{ref.job, ref.occurrence, ref.step, waiting[n]};
    PlaceTask(pass, job, task_ref, step, pass->servers[fit[n]],
              need.gang ? gang_run : NextRun(*job, task));
    pass->free[fit[n]] = pass->free[fit[n]].Without(need.task);
    ++placed;
  }
  return placed;
}

/// @return Indices of the tasks that may start.
/// @param maybe_running Incremented for each waiting task that a former owner
/// may have left running.
std::vector<uint32_t> Cell::WaitingTasks(const Step& step,
                                         uint32_t* maybe_running) {
  std::vector<uint32_t> out;
  for (uint32_t n = 0; n < step.tasks.size(); ++n) {
    const Task& task = step.tasks[n];
    if (task.phase == TaskPhase::kWaiting && task.maybe_running) {
      ++*maybe_running;
    } else if (task.phase == TaskPhase::kWaiting) {
      out.push_back(n);
    }
  }
  return out;
}

Cell::PlaceResult Cell::PlaceStep(Pass* pass, const StepRef& ref, bool urgent) {
  Job* job = nullptr;
  Step* step = FindStep(ref, &job);
  if (step == nullptr || step->not_before > pass->now || step->tearing_down ||
      refused_jobs_.contains(ref.job)) {
    return PlaceResult::kSkipped;
  }
  const StepSpec& spec = job->spec.steps[ref.step];
  uint32_t maybe_running = 0;
  const auto waiting = WaitingTasks(*step, &maybe_running);
  if (waiting.empty() && maybe_running == 0) {
    ready_.Erase(ref);
    return PlaceResult::kPlaced;
  }
  if (waiting.empty() || (spec.gang && step->live + maybe_running > 0)) {
    step->wait_reason = maybe_running > 0 ? "runs of a former owner"
                                          : "other gang members still live";
    return PlaceResult::kUnplaced;
  }
  StepNeed need = NeedOf(*job, ref, *step,
                         static_cast<uint32_t>(waiting.size()), pass->now);
  const uint32_t allowed = QuotaSlots(*job, spec.need);
  if (allowed == 0 || (spec.gang && allowed < need.count)) {
    step->wait_reason = "account quota used up";
    return PlaceResult::kUnplaced;
  }
  need.count = std::min(need.count, allowed);
  if (!IsPossible(*job, spec)) {
    step->wait_reason = "no listed backend server can run it";
    step->not_before = pass->now + kImpossiblePause;
    return PlaceResult::kUnplaced;
  }
  if (!MayChange(*pass, *job, *step, need, urgent)) {
    return PlaceResult::kSkipped;
  }
  FillCandidates(pass, *job, ref, *step);
  auto candidates = pass->candidates;
  if (job->policy.advice) {
    LimitToTickets(pass, *step, pass->now + ticket_margin_.ForPlacing());
  }
  const uint32_t placed = StartFitting(pass, job, ref, step, waiting, need);
  if (placed == waiting.size()) {
    if (maybe_running == 0) {
      ready_.Erase(ref);
    }
    return PlaceResult::kPlaced;
  }
  need.count -= placed;
  if (need.count > 0) {
    const int64_t task_ms = BackfillMs(*pass, *job, spec, *step);
    for (size_t n = 0; n < candidates.size(); ++n) {
      candidates[n].free = FreeFor(*pass, n, task_ms);
    }
    pass->candidates = std::move(candidates);
    QueryAndReserve(pass, job, ref, step, need, urgent);
  }
  return PlaceResult::kUnplaced;
}

/// @return False if the step can neither start a task nor query advice nor
/// reserve room in this pass.
bool Cell::MayChange(const Pass& pass,
                     const Job& job,
                     const Step& step,
                     const StepNeed& need,
                     bool urgent) const {
  if (!job.policy.advice || MayQueryAdvice(pass, job, step, urgent) ||
      (need.gang && pass.MayReserve())) {
    return true;
  }
  return std::any_of(
      step.advice.admitted.begin(), step.advice.admitted.end(),
      [&](const auto& it) {
        if (it.second.until <= pass.now + ticket_margin_.ForPlacing()) {
          return false;
        }
        const auto server = servers_.find(it.first);
        return server != servers_.end() &&
               server->second.pass_index != kNoServer &&
               SlotsIn({}, pass.free[server->second.pass_index], need) > 0;
      });
}

/// Handles a step that does not fit now: queries the advice service about
/// servers and reserves room for a gang.
void Cell::QueryAndReserve(Pass* pass,
                           Job* job,
                           const StepRef& ref,
                           Step* step,
                           const StepNeed& need,
                           bool urgent) {
  step->wait_reason = "room";
  if (job->policy.advice) {
    QueryAdvice(pass, job, ref, step, need, urgent);
    LimitToTickets(pass, *step, kNever);
  }
  if (need.gang && pass->MayReserve() && Reserve(pass, need)) {
    step->reserved_at = pass->now;
  }
}

void Cell::PlaceTask(Pass* pass,
                     Job* job,
                     const TaskRef& ref,
                     Step* step,
                     Server* server,
                     uint64_t run) {
  const StepSpec& spec = job->spec.steps[ref.step];
  Task& task = step->tasks[ref.index];
  task.phase = TaskPhase::kLive;
  task.backend = server->entry.id;
  task.run = run;
  step->live += 1;
  step->started = pass->now;
  step->progress = {};
  LiveRun live;
  live.need = spec.need;
  live.room = OccupiedResources(spec);
  live.team = job->team;
  ExpectRun(*job, spec, server->entry.id, &live, pass->now);
  live.progress.weight = 1.0 / spec.count;
  live.serial = ++last_serial_;
  live.placed_at = pass->now;
  server->runs[{ref, run}] = live;
  server->used = server->used + live.room;
  usage_[job->team] = usage_[job->team] + spec.need;
  unsent_starts_.push_back({{ref, run}, server->entry.id, live.serial});
  job->progress_changed = true;
  changed_jobs_.insert(job->id);
}

/// @return A run number higher than any used before. Not all numbers given by
/// former owners are in their records, so each owner has its own range.
uint64_t Cell::NextRun(const Job& job, const Task& task) const {
  constexpr uint64_t kRunsPerOwner = 1000;
  const uint64_t base =
      job.from_former_owner ? options_.owner_number * kRunsPerOwner : 0;
  return std::max(task.run, base) + 1;
}

/// Logs some of the steps that have waited for long, and why.
void Cell::LogLongWaits(Time now) const {
  constexpr milliseconds kLongWait{3000};
  constexpr uint32_t kMaxLines = 5;
  uint32_t lines = 0;
  for (const auto& [ref, entry] : ready_.All()) {
    auto job = jobs_.find(ref.job);
    if (job == jobs_.end()) {
      continue;
    }
    const Step& step =
        job->second.occurrences.at(ref.occurrence).steps[ref.step];
    if (now - step.waiting_since < kLongWait || ++lines > kMaxLines) {
      continue;
    }
    LogEvent(Part::kPlacer, "step_waits",
             {{"step", platform::StepName(ref)},
              {"queue", job->second.queue.value},
              {"tasks", step.tasks.size()},
              {"done", step.done},
              {"live", step.live},
              {"why", step.wait_reason},
              {"label", job->second.spec.steps[ref.step].label},
              {"rack", job->second.spec.steps[ref.step].rack},
              {"good", step.advice.admitted.size()},
              {"bad", step.advice.rejected.size()},
              {"breaking", step.tearing_down},
              {"asking", step.advice.queries_in_flight},
              {"waited_ms", AgeMs(step.waiting_since, now)}});
  }
}

}  // namespace bw
