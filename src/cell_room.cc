// The cell's view of room: what a step may take on each server, what is kept
// for gangs, and when it is free.

#include <algorithm>
#include <limits>

#include "cell_pass.h"

namespace bw {
namespace {

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

/// @return True if the server has the label; any has the empty one.
bool HasLabel(const BackendEntry& entry, const std::string& label) {
  return label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                    label) != entry.labels.end();
}

bool IsServedBy(const BackendEntry& entry,
                const std::string& service,
                const StepSpec& spec) {
  return entry.service == service && HasLabel(entry, spec.label);
}

}  // namespace

Resources Cell::RoomOf(const StepSpec& spec) const {
  Resources out = spec.need;
  if (spec.fills) {
    out.millicores = 0;
  }
  return out;
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

/// @return Room of a server that a task may take. @param task_ms See
/// BackfillMs.
Resources Cell::FreeFor(const Pass& pass, size_t n, int64_t task_ms) {
  return pass.free[n].Without(KeptAgainst(pass.kept[n], task_ms));
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
    ServerRoom& room = pass->rooms[n];
    room = {};
    room.total = server.entry.capacity;
    room.free = FreeFor(*pass, n, task_ms);
    room.rack = server.rack;
    room.bad = pass->bad[n];
    if (auto it = of_step.find(server.entry.id); it != of_step.end()) {
      room.of_step = it->second;
    }
    room.penalty = server.strikes;
    if (!failed_on.empty() && failed_on.contains(server.entry.id)) {
      room.penalty += 1;
    }
    room.usable = server.avoid_until <= pass->now &&
                  IsServedBy(server.entry, job.policy.service, spec);
    room.near_data = HasLabel(server.entry, spec.rack);
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

/// @return True if an empty server of those listed could run a task of the
/// step.
bool Cell::IsPossible(const Job& job, const StepSpec& spec) const {
  StepNeed need;
  need.task = RoomOf(spec);
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
    const BackendEntry& entry = it.second.entry;
    return it.second.listed && IsServedBy(entry, job.policy.service, spec) &&
           SlotsIn({}, entry.capacity, need) > 0;
  });
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

}  // namespace bw
