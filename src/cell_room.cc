// The cell's resource accounting: what a step may use on each server, quotas,
// and reservations for gangs.

#include <algorithm>
#include <limits>

#include "cell_pass.h"

namespace bw {
namespace {

/// While less than half of a service's capacity is in use, only steps that need
/// particular servers wait. There a step heeds reservations for gangs for at
/// most this long, which is below the 3 s of RULES, "LOST".
constexpr milliseconds kStarvedAfter{1500};
/// A reservation counts as held this long after the pass that made it.
constexpr milliseconds kReservationTtl{200};
/// How long a step waits for a server of usual speed before it uses one that is
/// several times slower; about the run time of most tasks.
constexpr milliseconds kMaxWaitForFastServer{1000};
/// Safety factor on stated estimates where a task must not delay a gang.
constexpr double kOverrunFactor = 2;

uint64_t EstimateOrDefault(uint64_t estimate_ms) {
  return estimate_ms > 0 ? estimate_ms
                         : static_cast<uint64_t>(kDefaultEstimateMs);
}

/// @return Upper estimate of the run time of a task of the step.
int64_t ExpectedMs(const StepSpec& spec) {
  if (spec.perpetual) {
    return std::numeric_limits<int64_t>::max();
  }
  if (spec.upper_ms > 0) {
    return SignedMs(spec.upper_ms);
  }
  return static_cast<int64_t>(
      kOverrunFactor *
      static_cast<double>(EstimateOrDefault(spec.estimate_ms)));
}

/// @return True if the server has the label. An empty label matches any.
bool HasLabel(const BackendEntry& entry, const std::string& label) {
  return label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                    label) != entry.labels.end();
}

}  // namespace

Resources Cell::OccupiedResources(const StepSpec& spec) const {
  Resources out = spec.need;
  if (spec.best_effort) {
    out.millicores = 0;
  }
  return out;
}

/// Marks servers as unusable whose ticket is not valid after `valid_at`.
void Cell::LimitToTickets(Pass* pass, const Step& step, Time valid_at) {
  std::vector<uint32_t> admitted;
  for (const auto& it : step.advice.admitted) {
    auto server = servers_.find(it.first);
    if (it.second.until > valid_at && server != servers_.end() &&
        server->second.pass_index != kNoServer &&
        pass->candidates[server->second.pass_index].usable) {
      admitted.push_back(server->second.pass_index);
    }
  }
  for (auto& it : pass->candidates) {
    it.usable = false;
  }
  for (uint32_t n : admitted) {
    pass->candidates[n].usable = true;
  }
}

/// @return Run time to assume for a task of the step when it backfills room
/// reserved for a gang; 0: it may ignore reservations.
int64_t Cell::BackfillMs(const Pass& pass,
                         const Job& job,
                         const StepSpec& spec,
                         const Step& step) const {
  const auto service = service_numbers_.find(job.policy.service);
  const bool half_empty = service != service_numbers_.end() &&
                          pass.services[service->second].IsHalfEmpty();
  const bool starved =
      half_empty && pass.now - step.waiting_since > kStarvedAfter;
  return starved ? 0 : ExpectedMs(spec);
}

/// @return Free resources of server `n` for a task.
/// @param task_ms Assumed run time, see BackfillMs.
Resources Cell::FreeFor(const Pass& pass, size_t n, int64_t task_ms) {
  return pass.free[n].Without(ReservedDuring(pass.reserved[n], task_ms));
}

void Cell::FillCandidates(Pass* pass,
                          const Job& job,
                          const StepRef& ref,
                          const Step& step) {
  const StepSpec& spec = job.spec.steps[ref.step];
  const int64_t task_ms = BackfillMs(*pass, job, spec, step);
  const uint32_t service = ServiceNumber(job.policy.service);
  pass->candidates.resize(pass->servers.size());
  std::unordered_map<BackendId, uint32_t> step_tasks;
  std::unordered_set<BackendId> failed_on;
  for (const auto& it : step.tasks) {
    if (it.phase == TaskPhase::kLive &&
        (spec.per_server > 0 || spec.perpetual)) {
      ++step_tasks[it.backend];
    }
    if (it.phase == TaskPhase::kWaiting && it.failed_on.IsValid()) {
      failed_on.insert(it.failed_on);
    }
  }
  for (size_t n = 0; n < pass->servers.size(); ++n) {
    const Server& server = *pass->servers[n];
    ServerCandidate& candidate = pass->candidates[n];
    candidate = {};
    candidate.total = server.entry.capacity;
    candidate.free = FreeFor(*pass, n, task_ms);
    candidate.rack = server.rack;
    candidate.slow =
        server.slow || (pass->avoid_cold && server.cold_until > pass->now);
    candidate.lag = server.lag;
    if (!step_tasks.empty()) {
      const auto it = step_tasks.find(server.entry.id);
      candidate.step_tasks = it == step_tasks.end() ? 0 : it->second;
    }
    candidate.penalty = server.strikes;
    if (!failed_on.empty() && failed_on.contains(server.entry.id)) {
      candidate.penalty += 1;
    }
    candidate.usable = server.avoid_until <= pass->now &&
                       server.service == service &&
                       HasLabel(server.entry, spec.label);
    candidate.near_data = HasLabel(server.entry, spec.rack);
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
  if (auto it = maybe_running_usage_.find(job.team);
      it != maybe_running_usage_.end()) {
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

/// @return Requirements of the step's waiting tasks. Rack preferences are
/// dropped once the step has waited about as long as the slowdown would cost.
StepNeed Cell::NeedOf(const Job& job,
                      const StepRef& ref,
                      const Step& step,
                      uint32_t count,
                      Time now) const {
  const StepSpec& spec = job.spec.steps[ref.step];
  StepNeed out;
  if (!spec.perpetual && !spec.best_effort) {
    const WaitingStep rank = RankOf(job, ref, step, now);
    out.speed = SpeedWishOf(spec.gang, rank.remaining_ms, rank.objective_in_ms);
  }
  out.avoid_slow = now - step.waiting_since < kMaxWaitForFastServer;
  out.task = OccupiedResources(spec);
  out.count = count;
  out.gang = spec.gang;
  out.per_server = spec.per_server;
  out.spread = spec.perpetual;
  const auto waited = static_cast<double>(AgeMs(step.waiting_since, now));
  const double max_rack_wait_ms =
      (options_.far_factor - 1) * static_cast<double>(spec.estimate_ms) / 2;
  out.same_rack = spec.same_rack && waited < 2 * max_rack_wait_ms;
  out.near_only = !spec.rack.empty() && waited < max_rack_wait_ms;
  return out;
}

/// @return True if some listed server could run a task of the step if it were
/// empty.
bool Cell::IsPossible(const Job& job, const StepSpec& spec) const {
  StepNeed need;
  need.task = OccupiedResources(spec);
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
    const BackendEntry& entry = it.second.entry;
    return it.second.listed && entry.service == job.policy.service &&
           HasLabel(entry, spec.label) && SlotsIn({}, entry.capacity, need) > 0;
  });
}

bool Cell::HasReservation(const Step& step, Time now) {
  return now - step.reserved_at < kReservationTtl;
}

/// Reserves room for a gang against later steps of this pass.
/// @return False if the gang would not fit even on empty servers.
bool Cell::Reserve(Pass* pass, const StepNeed& need) {
  if (pass->releases.empty()) {
    for (const Server* it : pass->servers) {
      pass->releases.push_back(ReleasesOf(*it, pass->now));
    }
  }
  constexpr int64_t kForever = std::numeric_limits<int64_t>::max();
  for (size_t n = 0; n < pass->candidates.size(); ++n) {
    const Resources reserved = ReservedDuring(pass->reserved[n], kForever);
    pass->candidates[n].free = pass->free[n].Without(reserved);
    pass->candidates[n].over_reserved = reserved.Without(pass->free[n]);
  }
  const GangReservation gang =
      ReserveForGang(pass->candidates, pass->releases, need);
  if (gang.tasks.empty()) {
    return false;
  }
  ++pass->reservations;
  for (size_t n = 0; n < gang.tasks.size(); ++n) {
    if (gang.tasks[n] > 0) {
      const Resources reserved = need.task.Times(gang.tasks[n]);
      pass->reserved[n].push_back({reserved, gang.start_in_ms});
      Resources& free = pass->services[pass->servers[n]->service].free;
      free = free.Without(reserved);
    }
  }
  return true;
}

/// @return When the server's runs are expected to release their resources. A
/// run past its estimate is expected to take a quarter of it more.
std::vector<Release> Cell::ReleasesOf(const Server& server, Time now) {
  constexpr int64_t kOverdueDivisor = 4;
  std::vector<Release> out;
  for (const auto& [run, live] : server.runs) {
    const int64_t estimate = SignedMs(EstimateOrDefault(live.estimate_ms));
    const int64_t ran = live.start_sent_at == kNever
                            ? 0
                            : SignedMs(AgeMs(live.start_sent_at, now));
    const bool stopping = live.phase == RunPhase::kStopping;
    out.push_back(
        {stopping ? 0 : std::max(estimate - ran, estimate / kOverdueDivisor),
         live.need});
  }
  return out;
}

void Cell::ClearMaybeRunning(const Job& job, const TaskRef& ref, Task* task) {
  task->maybe_running = false;
  ReleaseMaybeRunning(job.team, job.spec.steps[ref.step].need);
}

void Cell::ReleaseMaybeRunning(const TeamId& team, const Resources& need) {
  --maybe_running_count_;
  Resources& usage = maybe_running_usage_[team];
  usage = usage.Without(need);
}

/// Notes the tasks of an ended job that may be running, so that their resources
/// count until their backend server's lists are read.
void Cell::KeepMaybeRunning(const Job& ended) {
  for (const auto& occurrence : ended.occurrences) {
    for (uint32_t n = 0; n < occurrence.second.steps.size(); ++n) {
      const auto& tasks = occurrence.second.steps[n].tasks;
      const StepSpec& spec = ended.spec.steps[n];
      for (uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].maybe_running) {
          ended_maybe_running_[tasks[index].backend].push_back(
              {{ended.id, occurrence.first, n, index},
               ended.team,
               spec.need,
               OccupiedResources(spec)});
        }
      }
    }
  }
}

}  // namespace bw
