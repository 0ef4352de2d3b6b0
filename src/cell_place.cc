// The cell's placing pass: which waiting steps get room, and where.

#include <algorithm>
#include <limits>

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
/// While less than half of a service's capacity is in use, only what few
/// servers can run waits: there a step yields to gangs for this long at most.
/// Below the 3 s of RULES, "LOST".
constexpr milliseconds kStarvedAfter{1500};
/// Work waits this long for other servers than one that is several times
/// slower; most tasks take about as long.
constexpr milliseconds kBadPatience{1000};

/// Estimates are rough: a task counts as this much longer where it must not
/// hold up a gang.
constexpr double kOverrun = 2;
/// Time of a task without an estimate.
constexpr uint64_t kUnknownMs = 3000;

int64_t SignedMs(uint64_t n) {
  return static_cast<int64_t>(n);
}

uint64_t EstimateOrUsual(uint64_t estimate_ms) {
  return estimate_ms > 0 ? estimate_ms : kUnknownMs;
}

/// @return How long a task of the step may hold its room.
int64_t ExpectedMs(const StepSpec& spec) {
  if (spec.perpetual) {
    return std::numeric_limits<int64_t>::max();
  }
  return static_cast<int64_t>(
      kOverrun * static_cast<double>(EstimateOrUsual(spec.estimate_ms)));
}

}  // namespace

Resources Cell::RoomOf(const StepSpec& spec) const {
  Resources out = spec.need;
  if (spec.fills) {
    out.millicores = 0;
  }
  return out;
}

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

/// Leaves only servers usable whose ticket is still valid at `valid_at`.
void Cell::LimitToTickets(Pass* pass, const Step& step, Time valid_at) {
  std::vector<uint32_t> admitted;
  for (const auto& it : step.advice.good) {
    auto server = servers_.find(it.first);
    if (it.second.until > valid_at && server != servers_.end() &&
        server->second.pass_index != kNoServer &&
        pass->rooms[server->second.pass_index].usable) {
      admitted.push_back(server->second.pass_index);
    }
  }
  for (auto& it : pass->rooms) {
    it.usable = false;
  }
  for (uint32_t n : admitted) {
    pass->rooms[n].usable = true;
  }
}

/// @return How long a task of the step counts as holding room that is kept for
/// a gang; 0: it need not heed the gang.
int64_t Cell::BackfillMs(const Pass& pass,
                         const Job& job,
                         const StepSpec& spec,
                         const Step& step) {
  const auto room = pass.services.find(job.policy.service);
  const bool half_empty =
      room != pass.services.end() &&
      room->second.free.millicores * 2 > room->second.total.millicores;
  const bool starved =
      half_empty && pass.now - step.waits_since > kStarvedAfter;
  return starved ? 0 : ExpectedMs(spec);
}

void Cell::FillRooms(Pass* pass,
                     const Job& job,
                     const StepRef& ref,
                     const Step& step) {
  const StepSpec& spec = job.spec.steps[ref.step];
  const int64_t task_ms = BackfillMs(*pass, job, spec, step);
  pass->rooms.resize(pass->servers.size());
  std::map<BackendId, uint32_t> of_step;
  std::set<BackendId> failed_on;
  for (const auto& it : step.tasks) {
    if (it.phase == TaskPhase::kLive &&
        (spec.per_server > 0 || spec.perpetual)) {
      ++of_step[it.where];
    }
    if (it.phase == TaskPhase::kWaiting && it.failed_on.IsValid()) {
      failed_on.insert(it.failed_on);
    }
  }
  for (size_t n = 0; n < pass->servers.size(); ++n) {
    const Server& server = *pass->servers[n];
    const auto& labels = server.entry.labels;
    ServerRoom& room = pass->rooms[n];
    room = {};
    room.total = server.entry.capacity;
    room.free = pass->free[n].Without(KeptAgainst(pass->kept[n], task_ms));
    room.rack = server.rack;
    room.bad = pass->bad[n];
    if (auto it = of_step.find(server.entry.id); it != of_step.end()) {
      room.of_step = it->second;
    }
    room.penalty = server.strikes;
    if (!failed_on.empty() && failed_on.contains(server.entry.id)) {
      room.penalty += 1;
    }
    room.usable = server.entry.service == job.policy.service &&
                  server.avoid_until <= pass->now &&
                  (spec.label.empty() || std::find(labels.begin(), labels.end(),
                                                   spec.label) != labels.end());
    room.near_data =
        spec.rack.empty() ||
        std::find(labels.begin(), labels.end(), spec.rack) != labels.end();
  }
}

uint32_t Cell::QuotaSlots(const Job& job, const Resources& need) const {
  const AccountPolicy* account =
      config_ ? config_->FindAccount(job.team) : nullptr;
  if (account == nullptr) {
    return 0xffffffff;
  }
  Resources used;
  if (auto it = usage_.find(job.team); it != usage_.end()) {
    used = it->second;
  }
  if (auto it = hidden_usage_.find(job.team); it != hidden_usage_.end()) {
    used = used + it->second;
  }
  const auto slots = [](uint64_t most, uint64_t taken,
                        uint64_t each) -> uint64_t {
    if (most == 0 || each == 0) {
      return 0xffffffff;
    }
    return taken >= most ? 0 : (most - taken) / each;
  };
  const Resources& most = account->maximum;
  return static_cast<uint32_t>(std::min<uint64_t>(
      {0xffffffff, slots(most.millicores, used.millicores, need.millicores),
       slots(most.memory_mb, used.memory_mb, need.memory_mb),
       slots(most.accelerators, used.accelerators, need.accelerators)}));
}

/// What the step's waiting tasks ask for. Wishes about racks are given up after
/// waiting about as long as being far from the data costs.
StepNeed Cell::NeedOf(const StepSpec& spec,
                      const Step& step,
                      uint32_t count,
                      Time now) const {
  StepNeed out;
  out.avoid_bad = now - step.waits_since < kBadPatience;
  out.task = RoomOf(spec);
  out.count = count;
  out.gang = spec.gang;
  out.per_server = spec.per_server;
  out.spread = spec.perpetual;
  const auto waited = static_cast<double>(AgeMs(step.waits_since, now));
  const double patience =
      (options_.far_factor - 1) * static_cast<double>(spec.estimate_ms) / 2;
  out.same_rack = spec.same_rack && waited < 2 * patience;
  out.near_only = !spec.rack.empty() && waited < patience;
  return out;
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

/// @return True if an empty server of those listed could run a task of the
/// step.
bool Cell::IsPossible(const Job& job, const StepSpec& spec) const {
  StepNeed need;
  need.task = RoomOf(spec);
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
    const BackendEntry& entry = it.second.entry;
    const auto& labels = entry.labels;
    const bool fits =
        it.second.listed && entry.service == job.policy.service &&
        (spec.label.empty() ||
         std::find(labels.begin(), labels.end(), spec.label) != labels.end());
    return fits && SlotsIn({}, entry.capacity, need) > 0;
  });
}

/// @return True if nothing of the step waits any more.
bool Cell::PlaceStep(Pass* pass, const StepRef& ref, bool urgent) {
  Job* job = nullptr;
  Step* step = FindStep(ref, &job);
  if (step == nullptr || step->not_before > pass->now || step->breaking) {
    return false;
  }
  const StepSpec& spec = job->spec.steps[ref.step];
  std::vector<uint32_t> waiting;
  uint32_t hidden = 0;
  for (uint32_t n = 0; n < step->tasks.size(); ++n) {
    const Task& task = step->tasks[n];
    if (task.phase == TaskPhase::kWaiting && task.hidden) {
      ++hidden;
    } else if (task.phase == TaskPhase::kWaiting) {
      waiting.push_back(n);
    }
  }
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
      rooms[n].free =
          pass->free[n].Without(KeptAgainst(pass->kept[n], task_ms));
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

/// Keeps room for a gang: what comes later in this pass may not take it.
/// @return False if the gang does not fit even on empty servers.
bool Cell::Reserve(Pass* pass, const StepNeed& need) {
  if (pass->releases.empty()) {
    for (const Server* it : pass->servers) {
      pass->releases.push_back(ReleasesOf(*it, pass->now));
    }
  }
  constexpr int64_t kForever = std::numeric_limits<int64_t>::max();
  for (size_t n = 0; n < pass->rooms.size(); ++n) {
    const Resources kept = KeptAgainst(pass->kept[n], kForever);
    pass->rooms[n].free = pass->free[n].Without(kept);
    pass->rooms[n].owed = kept.Without(pass->free[n]);
  }
  const GangRoom room = ReserveForGang(pass->rooms, pass->releases, need);
  if (room.tasks.empty()) {
    return false;
  }
  ++pass->reservations;
  for (size_t n = 0; n < room.tasks.size(); ++n) {
    if (room.tasks[n] > 0) {
      const Resources kept = need.task.Times(room.tasks[n]);
      pass->kept[n].push_back({kept, room.complete_in_ms});
      Resources& free = pass->services[pass->servers[n]->entry.service].free;
      free = free.Without(kept);
    }
  }
  return true;
}

/// When the server's runs give their room back, by their estimates. One that
/// has outlasted its estimate is taken to go on for a part of it.
std::vector<Release> Cell::ReleasesOf(const Server& server, Time now) {
  constexpr int64_t kOutlastPart = 4;
  std::vector<Release> out;
  for (const auto& [run, live] : server.runs) {
    const int64_t estimate = SignedMs(EstimateOrUsual(live.estimate_ms));
    const int64_t ran =
        live.sent == kNever ? 0 : SignedMs(AgeMs(live.sent, now));
    const bool stopping = live.phase == RunPhase::kStopping;
    out.push_back(
        {stopping ? 0 : std::max(estimate - ran, estimate / kOutlastPart),
         live.need});
  }
  return out;
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
