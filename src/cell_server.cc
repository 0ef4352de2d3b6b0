// The cell's backend servers: their lists, leases and runs.

#include <algorithm>

#include "cell_base.h"
#include "event_log_func.h"
#include "platform/store.h"

namespace bw {
namespace {

/// Backend servers' clocks may be this slow: PROTOCOL, "Running tasks".
constexpr double kSlowestClock = 0.98;
/// Between the end of a lease on that clock and the certainty that it ended.
constexpr uint64_t kLapseSlackMs = 100;
/// A look at a backend server that runs something waits this long for an end.
constexpr uint64_t kLookWaitMs = 1000;
/// Pause after a look that brought ends, so that the next brings several.
constexpr milliseconds kLookPause{60};
/// Pause after a look that got no answer.
constexpr milliseconds kLookRetry{300};
/// A stop without an answer is sent again after this.
constexpr milliseconds kStopRetry{500};
/// A backend server that did not answer gets no work for this long, unless it
/// answers before.
constexpr milliseconds kSuspectFor{10'000};
/// A running task that used no processor time for this long stands still.
constexpr milliseconds kIdleLimit{1'500};
/// A gang's member without processor time may be done with its own work from
/// this part of the estimate on, up to this multiple of it.
constexpr double kGangIdlePart = 0.5;
constexpr double kGangIdleFactor = 4;

/// Work without a checkpoint is given up on a leaving backend server only if it
/// would end this long after the server may leave, as that often takes longer.
constexpr uint64_t kEvacuateSlackMs = 1000;
}  // namespace

void Cell::SetBackend(const BackendEntry& entry, Time now) {
  auto [it, added] = servers_.try_emplace(entry.id);
  Server& server = it->second;
  const bool dated = entry.incarnation != 0;
  if (!added && dated && entry.incarnation < server.entry.incarnation) {
    return;
  }
  const bool reborn = !added && dated && server.entry.incarnation != 0 &&
                      entry.incarnation != server.entry.incarnation;
  if (reborn) {
    ForgetIncarnation(&server, now);
  }
  if (added || reborn || !server.listed ||
      entry.draining != server.entry.draining) {
    LogEvent(Part::kPlacer, "backend_listed",
             {{"backend", entry.id.value},
              {"service", entry.service},
              {"incarnation", entry.incarnation},
              {"draining", entry.draining},
              {"millicores", entry.capacity.millicores},
              {"labels", entry.labels}});
  }
  const bool same = server.kept && entry.address == server.entry.address &&
                    entry.capacity == server.entry.capacity && !reborn;
  const uint64_t incarnation =
      dated ? entry.incarnation : server.entry.incarnation;
  server.entry = entry;
  server.entry.incarnation = incarnation;
  server.rack = RackNumber(entry.rack);
  if (entry.draining) {
    server.leaves_at =
        now +
        milliseconds(static_cast<int64_t>(entry.remaining_ms.value_or(0)));
  }
  server.listed = true;
  if (!same && !server.keeping) {
    server.kept = false;
  }
}

uint32_t Cell::RackNumber(const std::string& rack) {
  return racks_.try_emplace(rack, static_cast<uint32_t>(racks_.size()))
      .first->second;
}

void Cell::DropBackend(const BackendId& id) {
  auto it = servers_.find(id);
  if (it == servers_.end() || !it->second.listed) {
    return;
  }
  it->second.listed = false;
  LogEvent(Part::kPlacer, "backend_unlisted",
           {{"backend", id.value}, {"runs", it->second.runs.size()}});
}

void Cell::DropBackendsBut(const std::set<std::string>& listed) {
  std::vector<BackendId> gone;
  for (const auto& it : servers_) {
    if (!listed.contains(it.first.value)) {
      gone.push_back(it.first);
    }
  }
  for (const auto& id : gone) {
    DropBackend(id);
  }
}

/// The backend server crashed and started again: it runs nothing of before.
/// Orders without an answer may still be executed there.
void Cell::ForgetIncarnation(Server* server, Time now) {
  std::vector<RunRef> lost;
  for (auto& it : server->runs) {
    if (it.second.phase == RunPhase::kDoubt ||
        it.second.phase == RunPhase::kStarting) {
      it.second.stop_answered = kNever;
      it.second.stop_sent = kNever;
    } else {
      lost.push_back(it.first);
    }
  }
  speeds_.Forget(server->entry.id);
  server->known = false;
  server->kept = false;
  server->keeping = false;
  server->clock_ms = 0;
  server->clock_at = kNever;
  server->lease_end_ms = 0;
  server->last_end = 0;
  server->acknowledged = 0;
  server->strikes = 0;
  server->next_hold = kNever;
  to_acknowledge_.erase(server->entry.id);
  server->clear_at =
      now +
      std::chrono::duration_cast<Duration>(options_.hold_max / kSlowestClock) +
      milliseconds(kLapseSlackMs);
  for (const auto& it : lost) {
    OnGone(server, it, "new incarnation", now);
  }
}

void Cell::DropServerIfIdle(const BackendId& id) {
  auto it = servers_.find(id);
  if (it == servers_.end() || it->second.listed || !it->second.runs.empty() ||
      it->second.hold_in_flight) {
    return;
  }
  Server& server = it->second;
  if (!server.known && server.clear_at != kNever) {
    return;  // A former owner's runs may be hidden there.
  }
  const bool kept = server.kept || server.keeping;
  servers_.erase(it);
  if (kept) {
    port_->Keep({platform::MakeKeyedRecord("b:" + id.value, "")}, [] {});
  }
}

uint64_t Cell::ClockOf(const Server& server, Time now) const {
  return server.clock_ms + AgeMs(server.clock_at, now);
}

bool Cell::LeasesLapsed(const Server& server, Time now) const {
  if (server.clock_at == kNever) {
    return server.clear_at == kNever || now >= server.clear_at;
  }
  const auto passed = static_cast<uint64_t>(
      static_cast<double>(AgeMs(server.clock_at, now)) * kSlowestClock);
  return server.clock_ms + passed > server.lease_end_ms + kLapseSlackMs;
}

/// What a former owner may have left running on a backend server is known now:
/// what was not found there does not run.
void Cell::Unhide(const BackendId& id, Time now) {
  if (hidden_ == 0) {
    return;
  }
  for (auto& it : jobs_) {
    Job& job = it.second;
    for (auto& occurrence : job.occurrences) {
      for (uint32_t n = 0; n < occurrence.second.steps.size(); ++n) {
        Step& step = occurrence.second.steps[n];
        bool found = false;
        for (uint32_t i = 0; i < step.tasks.size(); ++i) {
          Task& task = step.tasks[i];
          if (task.hidden && task.where == id) {
            ForgetHidden(job, {it.first, occurrence.first, n, i}, &task);
            found = true;
          }
        }
        if (found && job.state == JobState::kActive) {
          BreakPartialGang(&job, {it.first, occurrence.first, n}, now);
        }
      }
    }
  }
}

void Cell::ForgetHidden(const Job& job, const TaskRef& ref, Task* task) {
  task->hidden = false;
  --hidden_;
  Resources& usage = hidden_usage_[job.team];
  usage = usage.Without(job.spec.steps[ref.step].need);
}

void Cell::CheckServer(Server* server, Time now) {
  if (!server->known && server->clear_at != kNever && now >= server->clear_at &&
      server->clock_at == kNever) {
    server->clear_at = kNever;
    Unhide(server->entry.id, now);
  }
  const bool any_sent =
      std::any_of(server->runs.begin(), server->runs.end(),
                  [](const auto& it) { return it.second.sent != kNever; });
  if (any_sent && LeasesLapsed(*server, now)) {
    std::vector<RunRef> lost;
    for (const auto& it : server->runs) {
      lost.push_back(it.first);
    }
    for (const auto& it : lost) {
      OnGone(server, it, "leases lapsed", now);
    }
    server->known = false;
  }
  // Only what may run something needs a record.
  const bool silent = !server->known && server->clear_at == kNever &&
                      server->runs.empty() && server->suspect_until > now;
  if (server->listed && !server->kept && !server->keeping && !silent) {
    KeepServer(server);
  } else if (silent && server->kept) {
    server->kept = false;
    port_->Keep({platform::MakeKeyedRecord("b:" + server->entry.id.value, "")},
                [] {});
  }
  const bool wanted = (server->listed && !server->known) ||
                      (!server->known && server->clear_at != kNever) ||
                      !server->runs.empty();
  if (wanted && !server->hold_in_flight && now >= server->next_hold) {
    SendHold(server, now);
  }
  for (auto& it : server->runs) {
    LiveRun& live = it.second;
    const bool stopping =
        live.phase == RunPhase::kStopping || live.phase == RunPhase::kDoubt;
    if (stopping && !live.stop_in_flight && live.stop_answered == kNever &&
        (live.stop_sent == kNever || now - live.stop_sent > kStopRetry)) {
      SendStop(server, it.first, &live, now);
    }
  }
  if (server->entry.draining && server->listed) {
    Evacuate(server, now);
  }
}

void Cell::SendHold(Server* server, Time now) {
  platform::HoldOrder order;
  order.fencing_token = options_.fencing_token;
  order.acknowledged = server->acknowledged;
  if (server->clock_at != kNever && server->known) {
    // A backend server that does not answer may still take the order: renewed
    // again and again, its lease would never be known to have lapsed.
    if (port_->MayRenew(options_.hold_max - options_.lease) &&
        server->suspect_until <= now) {
      order.lease_end_ms =
          ClockOf(*server, now) + static_cast<uint64_t>(options_.lease.count());
      server->lease_end_ms =
          std::max(server->lease_end_ms, *order.lease_end_ms);
    }
    order.wait_ms = server->runs.empty() ? 0 : kLookWaitMs;
  }
  server->hold_in_flight = true;
  port_->Hold(server->entry, order);
}

void Cell::SendStop(Server* server,
                    const RunRef& run,
                    LiveRun* live,
                    Time now) {
  if (live->phase != RunPhase::kDoubt) {
    live->phase = RunPhase::kStopping;
  }
  if (live->stop_in_flight || live->sent == kNever) {
    return;  // What was not sent yet will not be.
  }
  live->stop_in_flight = true;
  live->stop_sent = now;
  port_->Stop(server->entry, run);
}

void Cell::OnStopAnswer(const BackendId& backend,
                        const RunRef& run,
                        OrderVerdict verdict,
                        Time now) {
  auto it = servers_.find(backend);
  if (it == servers_.end()) {
    return;
  }
  auto live = it->second.runs.find(run);
  if (live == it->second.runs.end()) {
    return;
  }
  live->second.stop_in_flight = false;
  if (verdict == OrderVerdict::kDone) {
    live->second.stop_answered = now;
    it->second.next_hold = kNever;
  } else if (verdict == OrderVerdict::kFenced) {
    port_->OnFenced();
  }
}

void Cell::OnStartAnswer(const BackendId& backend,
                         const RunRef& run,
                         OrderVerdict verdict,
                         Time sent,
                         Time now) {
  if (verdict == OrderVerdict::kFenced) {
    port_->OnFenced();
    return;
  }
  auto it = servers_.find(backend);
  if (it == servers_.end()) {
    return;
  }
  Server* server = &it->second;
  auto found = server->runs.find(run);
  if (found == server->runs.end()) {
    return;
  }
  LiveRun* live = &found->second;
  if (verdict == OrderVerdict::kDone) {
    live->answered = now;
    if (live->phase == RunPhase::kStarting) {
      live->phase = RunPhase::kRunning;
    }
    return;
  }
  if (verdict == OrderVerdict::kUnknown) {
    LogEvent(Part::kPlacer, "start_unknown",
             {{"task", platform::TaskName(run.task)},
              {"run", run.number},
              {"backend", backend.value},
              {"after_ms", AgeMs(sent, now)}});
    live->phase = RunPhase::kDoubt;
    server->suspect_until = now + kSuspectFor;
    SendStop(server, run, live, now);
    Job* job = nullptr;
    Step* step = nullptr;
    if (FindTask(run.task, &job, &step) != nullptr &&
        job->spec.steps[run.task.step].gang) {
      BreakGang(job, run.task, now);  // The others would wait in vain.
    }
    return;
  }
  Job* job = nullptr;
  Step* step = nullptr;
  if (FindTask(run.task, &job, &step) != nullptr) {
    if (verdict == OrderVerdict::kNoTicket) {
      step->advice.good.erase(backend);
    }
    constexpr milliseconds kPause{200};
    if (verdict == OrderVerdict::kInvalid || verdict == OrderVerdict::kNoRoom) {
      step->not_before = now + kPause;
    }
  }
  if (verdict == OrderVerdict::kUnhealthy) {
    Strike(server, now);
  }
  if (verdict == OrderVerdict::kNotSent ||
      verdict == OrderVerdict::kOtherIncarnation ||
      verdict == OrderVerdict::kExpired || verdict == OrderVerdict::kNoRoom) {
    server->known = false;  // Read its lists again before the next start.
    server->suspect_until = now + kSuspectFor;
  }
  OnGone(server, run, VerdictName(verdict), now);
}

void Cell::OnReport(const BackendId& backend,
                    const BackendReport& report,
                    Time sent,
                    Time now) {
  auto it = servers_.find(backend);
  if (it == servers_.end()) {
    return;
  }
  Server* server = &it->second;
  server->hold_in_flight = false;
  if (report.verdict == OrderVerdict::kFenced) {
    port_->OnFenced();
    return;
  }
  if (report.verdict != OrderVerdict::kDone) {
    if (server->suspect_until <= now) {
      LogEvent(Part::kPlacer, "backend_lost",
               {{"backend", backend.value},
                {"verdict", VerdictName(report.verdict)},
                {"runs", server->runs.size()},
                {"last_answer_ms", AgeMs(server->clock_at, now)}});
    }
    server->suspect_until = now + kSuspectFor;
    server->next_hold = now + kLookRetry;
    return;
  }
  if (server->entry.incarnation == 0) {
    server->entry.incarnation = report.incarnation;
  }
  if (report.incarnation != 0 &&
      report.incarnation != server->entry.incarnation) {
    if (report.incarnation < server->entry.incarnation) {
      server->next_hold = now + kLookRetry;
      return;
    }
    LogEvent(Part::kPlacer, "backend_reborn",
             {{"backend", backend.value},
              {"incarnation", report.incarnation},
              {"was", server->entry.incarnation}});
    ForgetIncarnation(server, now);
    server->entry.incarnation = report.incarnation;
    server->listed = false;  // Its new entry says what it is now.
  }
  if (server->suspect_until > now) {
    LogEvent(Part::kPlacer, "backend_back", {{"backend", backend.value}});
  }
  server->suspect_until = kNever;
  if (server->clock_at == kNever && server->clear_at != kNever) {
    // A former owner may have renewed its leases until just now.
    server->lease_end_ms =
        report.clock_ms + static_cast<uint64_t>(options_.hold_max.count());
  }
  server->known = true;
  server->clear_at = kNever;
  server->clock_ms = report.clock_ms;
  server->clock_at = now;
  server->next_hold = report.ended.empty() ? now : now + kLookPause;
  TakeEnds(server, report, now);
  TakeRunning(server, report, sent, now);
  Unhide(backend, now);
}

void Cell::TakeEnds(Server* server, const BackendReport& report, Time now) {
  auto ends = report.ended;
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.number < b.number; });
  for (const auto& it : ends) {
    if (it.number <= server->last_end) {
      continue;
    }
    server->last_end = it.number;
    OnEnd(server, it, now);
    to_acknowledge_[server->entry.id] = it.number;
  }
}

void Cell::TakeRunning(Server* server,
                       const BackendReport& report,
                       Time sent,
                       Time now) {
  std::set<RunRef> listed;
  for (const auto& row : report.running) {
    listed.insert(row.run);
    auto found = server->runs.find(row.run);
    if (found == server->runs.end()) {
      Adopt(server, row, now);
      continue;
    }
    LiveRun* live = &found->second;
    live->saved = row.saved;
    if (live->phase == RunPhase::kDoubt && live->stop_sent == kNever) {
      live->phase = RunPhase::kRunning;
      live->answered = now;
    }
    NoteIdle(server, row, live, now);
    const StepSpec* spec = SpecOfTimedRun(row.run, *live);
    if (spec != nullptr && live->phase == RunPhase::kRunning) {
      speeds_.OnRunning(jobs_.at(row.run.task.job).queue, server->entry.id,
                        static_cast<double>(spec->estimate_ms),
                        1 + AgeMs(live->sent, now), now);
    }
  }
  std::vector<RunRef> gone;
  for (const auto& it : server->runs) {
    const LiveRun& live = it.second;
    const Time sure_from =
        live.phase == RunPhase::kDoubt ? live.stop_answered : live.answered;
    if (!listed.contains(it.first) && sure_from != kNever && sure_from < sent) {
      gone.push_back(it.first);
    }
  }
  for (const auto& it : gone) {
    OnGone(server, it, "not on the backend server's lists", now);
  }
}

/// A run that this owner did not start, or had given up.
void Cell::Adopt(Server* server, const ListedRun& row, Time now) {
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = FindTask(row.run.task, &job, &step);
  LiveRun live;
  live.phase = RunPhase::kRunning;
  live.sent = now;
  live.answered = now;
  live.saved = row.saved;
  if (task == nullptr) {
    live.foreign = true;
    ++server->foreign_runs;
  } else {
    const StepSpec& spec = job->spec.steps[row.run.task.step];
    live.need = spec.need;
    live.team = job->team;
    live.estimate_ms = spec.estimate_ms;
    const Resources room = RoomOf(spec);
    server->used = server->used + room;
    usage_[live.team] = usage_[live.team] + live.need;
  }
  const bool wanted = task != nullptr && job->state == JobState::kActive &&
                      task->phase == TaskPhase::kWaiting && task->hidden &&
                      task->where == server->entry.id &&
                      task->run == row.run.number;
  auto& added = server->runs[row.run] = live;
  LogEvent(Part::kPlacer, wanted ? "run_adopted" : "run_unwanted",
           {{"task", platform::TaskName(row.run.task)},
            {"run", row.run.number},
            {"backend", server->entry.id.value}});
  if (!wanted) {
    SendStop(server, row.run, &added, now);
    return;
  }
  ForgetHidden(*job, row.run.task, task);
  task->phase = TaskPhase::kLive;
  step->live += 1;
  step->started = now;
  job->started = true;
}

void Cell::NoteIdle(Server* server,
                    const ListedRun& row,
                    LiveRun* live,
                    Time now) {
  Job* job = nullptr;
  Step* step = nullptr;
  if (row.figure > 0 || row.percent == 0 || live->phase != RunPhase::kRunning ||
      FindTask(row.run.task, &job, &step) == nullptr) {
    live->idle_since = kNever;
    return;
  }
  const StepSpec& spec = job->spec.steps[row.run.task.step];
  const double ran_ms = AgeMs(live->answered, now);
  // A member of a gang whose own work is done waits for the others.
  const bool may_be_done =
      spec.gang &&
      ran_ms > kGangIdlePart * static_cast<double>(spec.estimate_ms) &&
      ran_ms < kGangIdleFactor * static_cast<double>(spec.estimate_ms);
  if (spec.target_ms > 0 || spec.fills || may_be_done) {
    live->idle_since = kNever;
    return;
  }
  if (live->idle_since == kNever) {
    live->idle_since = now;
  } else if (now - live->idle_since > kIdleLimit &&
             now - live->answered > 2 * kIdleLimit) {
    LogEvent(Part::kPlacer, "run_stands_still",
             {{"task", platform::TaskName(row.run.task)},
              {"run", row.run.number},
              {"backend", server->entry.id.value},
              {"idle_ms", AgeMs(live->idle_since, now)}});
    Avoid(server, now);
    SendStop(server, row.run, live, now);
  }
}

/// Work that will not be done before a leaving backend server goes is moved
/// while others have room for it.
void Cell::Evacuate(Server* server, Time now) {
  if (!port_->MayAct()) {
    return;
  }
  const uint64_t left = AgeMs(now, server->leaves_at);
  for (auto& it : server->runs) {
    LiveRun& live = it.second;
    Job* job = nullptr;
    Step* step = nullptr;
    if (live.phase != RunPhase::kRunning ||
        FindTask(it.first.task, &job, &step) == nullptr) {
      continue;
    }
    const StepSpec& spec = job->spec.steps[it.first.task.step];
    const uint64_t ran = AgeMs(live.answered, now);
    const uint64_t to_go = live.estimate_ms > ran ? live.estimate_ms - ran : 0;
    const uint64_t slack = spec.checkpoint ? 0 : kEvacuateSlackMs;
    if (spec.perpetual || to_go > left + slack) {
      LogEvent(Part::kPlacer, "run_evacuated",
               {{"task", platform::TaskName(it.first.task)},
                {"run", it.first.number},
                {"backend", server->entry.id.value},
                {"to_go_ms", to_go},
                {"left_ms", left}});
      SendStop(server, it.first, &live, now);
    }
  }
}

}  // namespace bw
