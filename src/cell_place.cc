// The cell's placing pass: which waiting steps get room, and where.

#include <algorithm>

#include "cell_pass.h"
#include "event_log_func.h"
#include "text_func.h"

namespace bw {
namespace {

/// Gangs that room is kept for at once.
constexpr uint32_t kMaxReservations = 3;
/// Room counts as kept if a pass kept it this recently.
constexpr milliseconds kReservationLife{200};
/// Steps without room that one pass looks at, in their order.
constexpr uint32_t kMaxUnplaced = 100;
/// And of those behind them, which the next passes would never reach.
constexpr uint32_t kMaxUnplacedBehind = 50;
/// A step that no listed server can run is looked at again after this.
constexpr milliseconds kImpossiblePause{1000};
}  // namespace

WaitingStep Cell::Describe(const Job& job,
                           const StepRef& ref,
                           const Step& step,
                           Time now) const {
  WaitingStep out;
  out.arrival = job.arrival;
  out.step = ref.step;
  out.priority = job.policy.priority;
  out.over_share = job.over_share;
  out.room_kept = now - step.room_kept < kReservationLife;
  out.remaining_ms = SignedMs(job.occurrences.at(ref.occurrence).remaining_ms);
  const bool timed = job.spec.start_at_ms > 0 || job.spec.repeat_count > 0;
  const auto age =
      SignedMs(AgeMs(timed ? step.waits_since : job.accepted, now));
  out.objective_in_ms = SignedMs(job.objective.in_time_ms) - age;
  out.worthless_in_ms = SignedMs(job.objective.late_ms) - age;
  return out;
}

/// Takes in the servers that may get work now.
void Cell::OpenPass(Pass* pass) {
  for (auto& it : servers_) {
    Server& server = it.second;
    server.pass_index = kNoServer;
    const bool open = server.listed && server.known && server.kept &&
                      !server.entry.draining && server.foreign_runs == 0 &&
                      server.suspect_until <= pass->now;
    if (open) {
      server.pass_index = static_cast<uint32_t>(pass->servers.size());
      pass->servers.push_back(&server);
      pass->free.push_back(server.entry.capacity.Without(server.used));
      pass->kept.emplace_back();
      const bool bad = speeds_.IsBad(server.entry.id, pass->now);
      if (bad != server.bad) {
        server.bad = bad;
        LogEvent(Part::kPlacer, bad ? "backend_slow" : "backend_usual",
                 {{"backend", server.entry.id.value},
                  {"slowness", speeds_.SlownessOf(server.entry.id, pass->now)},
                  {"runs", server.runs.size()}});
      }
      pass->bad.push_back(bad);
      ServiceRoom& room = pass->services[server.entry.service];
      room.total = room.total + server.entry.capacity;
      room.free = room.free + pass->free.back();
    }
  }
}

void Cell::Place(Time now) {
  if (ready_.empty() || servers_.empty()) {
    return;
  }
  Pass pass;
  pass.now = now;
  OpenPass(&pass);
  std::vector<RankedStep> order;
  for (auto it = ready_.begin(); it != ready_.end();) {
    Job* job = nullptr;
    Step* step = FindStep(*it, &job);
    if (step == nullptr || job->state != JobState::kActive) {
      it = ready_.erase(it);
      continue;
    }
    order.push_back({Describe(*job, *it, *step, now), &*it, step->looked_at});
    ++it;
  }
  std::sort(order.begin(), order.end(),
            [](const RankedStep& a, const RankedStep& b) {
              return ComesBefore(a.rank, b.rank);
            });
  const auto behind = PlaceInOrder(&pass, order, kMaxUnplaced);
  if (behind.empty()) {
    return;
  }
  std::vector<RankedStep> oldest(behind.begin(), behind.end());
  std::stable_sort(oldest.begin(), oldest.end(),
                   [](const RankedStep& a, const RankedStep& b) {
                     return a.looked_at < b.looked_at;
                   });
  PlaceInOrder(&pass, oldest, kMaxUnplacedBehind);
}

/// Places steps until `most` of them found no room. @return Those behind.
std::span<const Cell::RankedStep> Cell::PlaceInOrder(
    Pass* pass,
    std::span<const RankedStep> order,
    uint32_t most) {
  uint32_t unplaced = 0;
  for (size_t n = 0; n < order.size(); ++n) {
    const RankedStep& it = order[n];
    Job* job = nullptr;
    const StepRef ref = *it.ref;  // PlaceStep may take it out of `ready_`.
    Step* step = FindStep(ref, &job);
    if (step == nullptr || step->not_before > pass->now) {
      continue;  // Costs nothing, and must not keep others from being looked
                 // at.
    }
    if (unplaced == most) {
      return order.subspan(n);
    }
    step->looked_at = pass->now;
    const bool urgent =
        !it.rank.over_share && OutlookOf(it.rank) == Outlook::kInTime;
    unplaced += PlaceStep(pass, ref, urgent) ? 0 : 1;
  }
  return {};
}

/// Places as many of the step's waiting tasks as fit. @return How many.
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
  const auto fit = FitStep(pass->rooms, need);
  for (size_t n = 0; n < fit.size(); ++n) {
    if (fit[n] == kNoServer) {
      continue;
    }
    const Task& task = step->tasks[waiting[n]];
    const TaskRef task_ref{ref.job, ref.occurrence, ref.step, waiting[n]};
    StartTask(pass, job, task_ref, step, pass->servers[fit[n]],
              need.gang ? gang_run : NextRun(*job, task));
    pass->free[fit[n]] = pass->free[fit[n]].Without(need.task);
    ++placed;
  }
  return placed;
}

/// @return Indices of the tasks that may start. @param hidden How many more
/// wait until it is known whether a former owner's runs of them go on.
std::vector<uint32_t> Cell::WaitingTasks(const Step& step, uint32_t* hidden) {
  std::vector<uint32_t> out;
  for (uint32_t n = 0; n < step.tasks.size(); ++n) {
    const Task& task = step.tasks[n];
    if (task.phase == TaskPhase::kWaiting && task.hidden) {
      ++*hidden;
    } else if (task.phase == TaskPhase::kWaiting) {
      out.push_back(n);
    }
  }
  return out;
}

/// @return True if nothing of the step waits any more.
bool Cell::PlaceStep(Pass* pass, const StepRef& ref, bool urgent) {
  Job* job = nullptr;
  Step* step = FindStep(ref, &job);
  if (step == nullptr || step->not_before > pass->now || step->breaking) {
    return false;
  }
  const StepSpec& spec = job->spec.steps[ref.step];
  uint32_t hidden = 0;
  const auto waiting = WaitingTasks(*step, &hidden);
  if (waiting.empty() && hidden == 0) {
    ready_.erase(ref);
    return true;
  }
  if (waiting.empty() || (spec.gang && step->live + hidden > 0)) {
    step->why = hidden > 0 ? "runs of a former owner" : "rest of the gang";
    return false;
  }
  StepNeed need =
      NeedOf(spec, *step, static_cast<uint32_t>(waiting.size()), pass->now);
  const uint32_t allowed = QuotaSlots(*job, spec.need);
  if (allowed == 0 || (spec.gang && allowed < need.count)) {
    step->why = "account at its maximum";
    return false;
  }
  need.count = std::min(need.count, allowed);
  if (!IsPossible(*job, spec)) {
    step->why = "no backend server can ever run it";
    step->not_before = pass->now + kImpossiblePause;
    return false;
  }
  FillRooms(pass, *job, ref, *step);
  auto rooms = pass->rooms;
  if (job->policy.advice) {
    LimitToTickets(pass, *step, pass->now + kTicketMargin);
  }
  const uint32_t placed = StartFitting(pass, job, ref, step, waiting, need);
  if (placed == waiting.size()) {
    if (hidden == 0) {
      ready_.erase(ref);
    }
    return true;
  }
  need.count -= placed;
  if (need.count > 0) {
    const int64_t task_ms = BackfillMs(*pass, *job, spec, *step);
    for (size_t n = 0; n < rooms.size(); ++n) {
      rooms[n].free = FreeFor(*pass, n, task_ms);
    }
    pass->rooms = std::move(rooms);
    PrepareRoom(pass, job, ref, step, need, urgent);
  }
  return false;
}

/// The step does not fit now: asks where it may run, and keeps room for a gang.
void Cell::PrepareRoom(Pass* pass,
                       Job* job,
                       const StepRef& ref,
                       Step* step,
                       const StepNeed& need,
                       bool urgent) {
  step->why = "room";
  if (job->policy.advice) {
    AskForAdvice(pass, job, ref, step, need, urgent);
    LimitToTickets(pass, *step, kNever);
  }
  if (need.gang && pass->reservations < kMaxReservations &&
      Reserve(pass, need)) {
    step->room_kept = pass->now;
  }
}

void Cell::StartTask(Pass* pass,
                     Job* job,
                     const TaskRef& ref,
                     Step* step,
                     Server* server,
                     uint64_t run) {
  const StepSpec& spec = job->spec.steps[ref.step];
  Task& task = step->tasks[ref.index];
  task.phase = TaskPhase::kLive;
  task.where = server->entry.id;
  task.run = run;
  step->live += 1;
  step->started = pass->now;
  job->started = true;
  LiveRun live;
  live.need = spec.need;
  live.team = job->team;
  live.estimate_ms = spec.estimate_ms;
  live.serial = ++serials_;
  server->runs[{ref, run}] = live;
  server->used = server->used + RoomOf(spec);
  usage_[job->team] = usage_[job->team] + spec.need;
  unsent_.push_back({{ref, run}, server->entry.id, live.serial});
  job->changed = true;
  changed_.insert(job->id);
}

/// Run numbers of a new owner start so far apart that they are higher than any
/// that a former owner gave, of which not all stay in its records.
uint64_t Cell::NextRun(const Job& job, const Task& task) const {
  constexpr uint64_t kRunsPerOwner = 1000;
  const uint64_t base =
      job.inherited ? options_.fencing_token * kRunsPerOwner : 0;
  return std::max(task.run, base) + 1;
}

/// Sends a start whose record is stored, unless it is not wanted any more.
void Cell::SendStart(const UnsentStart& start, Time now) {
  const RunRef& run = start.run;
  auto found = servers_.find(start.backend);
  if (found == servers_.end()) {
    return;
  }
  Server* server = &found->second;
  auto it = server->runs.find(run);
  if (it == server->runs.end() || it->second.serial != start.serial) {
    return;  // Given up, and perhaps placed anew, while the store was away.
  }
  LiveRun* live = &it->second;
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = FindTask(run.task, &job, &step);
  const char* why_not = nullptr;
  if (task == nullptr || job->state != JobState::kActive ||
      live->phase != RunPhase::kStarting) {
    why_not = "not wanted any more";
  } else if (!server->known || server->entry.draining ||
             server->suspect_until > now) {
    why_not = "the backend server was lost";
  }
  platform::StartOrder order;
  if (why_not == nullptr && job->policy.advice) {
    auto ticket = step->advice.good.find(server->entry.id);
    if (ticket != step->advice.good.end() &&
        ticket->second.until > now + kTicketMargin / 2) {
      order.ticket = ticket->second.text;
    } else {
      why_not = "the ticket ran out";
    }
  }
  if (why_not != nullptr) {
    OnGone(server, run, why_not, now);
    return;
  }
  live->sent = now;
  live->timed = task->saved.empty();
  order.run = run;
  order.payload = job->spec.payload;
  order.fencing_token = options_.fencing_token;
  order.saved = task->saved;
  order.lease_end_ms =
      ClockOf(*server, now) + static_cast<uint64_t>(options_.lease.count());
  server->lease_end_ms = std::max(server->lease_end_ms, order.lease_end_ms);
  LogEvent(Part::kPlacer, "run_start",
           {{"task", platform::TaskName(run.task)},
            {"run", run.number},
            {"backend", server->entry.id.value},
            {"free", server->entry.capacity.Without(server->used).millicores},
            {"waited_ms", AgeMs(step->waits_since, now)}});
  port_->Start(server->entry, std::move(order));
}

/// One line for each of the steps that wait longest, with what they lack.
void Cell::LogLongWaits(Time now) const {
  constexpr milliseconds kLong{3000};
  constexpr uint32_t kMaxLines = 5;
  uint32_t lines = 0;
  for (const auto& ref : ready_) {
    auto job = jobs_.find(ref.job);
    if (job == jobs_.end()) {
      continue;
    }
    const Step& step =
        job->second.occurrences.at(ref.occurrence).steps[ref.step];
    if (now - step.waits_since < kLong || ++lines > kMaxLines) {
      continue;
    }
    LogEvent(Part::kPlacer, "step_waits",
             {{"step", platform::StepName(ref)},
              {"queue", job->second.queue.value},
              {"tasks", step.tasks.size()},
              {"done", step.done},
              {"live", step.live},
              {"why", step.why},
              {"label", job->second.spec.steps[ref.step].label},
              {"rack", job->second.spec.steps[ref.step].rack},
              {"good", step.advice.good.size()},
              {"bad", step.advice.bad.size()},
              {"breaking", step.breaking},
              {"asking", step.advice.asking},
              {"waited_ms", AgeMs(step.waits_since, now)}});
  }
}

}  // namespace bw
