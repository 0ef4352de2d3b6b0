// The cell's backend servers: polls, reports, leases and draining.

#include <algorithm>

#include "cell_pass.h"
#include "event_log_func.h"
#include "platform/store.h"

namespace bw {
namespace {

/// Fencing tokens of one owner for one backend server.
constexpr uint32_t kTokensPerOwner = 1000;
/// Minimum rate of a backend server's clock; see PROTOCOL, "Running tasks".
constexpr double kSlowestClock = 0.98;
/// Safety margin after the end of a lease, in ms of the server's clock.
constexpr uint64_t kLapseSlackMs = 100;
/// Long-poll duration: a server with runs may delay its response this long
/// until a run ends.
constexpr uint64_t kPollWaitMs = 1000;
/// Pause after a poll that returned ends, so that the next returns several.
constexpr milliseconds kPollPause{60};
/// Pause after a poll that failed.
constexpr milliseconds kPollRetry{300};
/// Usual time-out of a poll of a server that does not respond.
constexpr milliseconds kSilentPollTimeout{700};
/// Interval between attempts to send a stop.
constexpr milliseconds kStopRetry{500};
/// Ends are acknowledged only if the last report is younger than this: a
/// restarted backend server numbers its ends anew and would drop others. No
/// process restarts faster.
constexpr milliseconds kMaxReportAgeForAck{1500};
/// A run without a checkpoint is evacuated from a draining server only if it
/// would end this much later than the earliest exit, as servers often exit
/// later than that.
constexpr uint64_t kEvacuateSlackMs = 1000;

/// @return The labels as far as they fit into a log line.
std::vector<std::string> ShortLabels(const std::vector<std::string>& labels) {
  constexpr size_t kMaxLabels = 8;
  constexpr size_t kMaxLength = 64;
  std::vector<std::string> out;
  for (const auto& it : labels) {
    if (out.size() < kMaxLabels) {
      out.push_back(it.substr(0, kMaxLength));
    }
  }
  return out;
}

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
    OnNewIncarnation(&server, now);
  }
  if (added || reborn || !server.listed ||
      entry.draining != server.entry.draining) {
    LogEvent(Part::kPlacer, "backend_listed",
             {{"backend", entry.id.value},
              {"service", entry.service},
              {"incarnation", entry.incarnation},
              {"draining", entry.draining},
              {"millicores", entry.capacity.millicores},
              {"labels", ShortLabels(entry.labels)}});
  }
  const bool same = server.record_stored &&
                    entry.address == server.entry.address &&
                    entry.capacity == server.entry.capacity && !reborn;
  const uint64_t incarnation =
      dated ? entry.incarnation : server.entry.incarnation;
  server.entry = entry;
  server.entry.incarnation = incarnation;
  server.rack = RackNumber(entry.rack);
  server.service = ServiceNumber(entry.service);
  if (entry.draining) {
    server.drain_ends_at =
        now +
        milliseconds(static_cast<int64_t>(entry.remaining_ms.value_or(0)));
  }
  server.cold_until =
      entry.cold_left_ms == 0
          ? kNever
          : now + milliseconds(static_cast<int64_t>(entry.cold_left_ms));
  server.listed = true;
  if (!same && !server.storing_record) {
    server.record_stored = false;
  }
}

uint32_t Cell::RackNumber(const std::string& rack) {
  return rack_numbers_
      .try_emplace(rack, static_cast<uint32_t>(rack_numbers_.size()))
      .first->second;
}

/// @return True if a queue sends its tasks to the server's service, or did.
bool Cell::IsInUse(const Server& server) const {
  return services_in_use_.contains(server.service);
}

uint32_t Cell::ServiceNumber(const std::string& service) {
  return service_numbers_
      .try_emplace(service, static_cast<uint32_t>(service_numbers_.size()))
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

void Cell::RetainBackends(const std::set<std::string>& listed) {
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

/// @return The fencing token of orders to a backend server. It is raised with
/// each restart: the new incarnation knows nothing of what it has refused or
/// ended before, and would execute an order that was held up until then.
uint64_t Cell::FencingToken(const Server& server) const {
  return options_.owner_number * kTokensPerOwner +
         std::min(server.token_raises, kTokensPerOwner - 1);
}

/// Handles a restart of a backend server: its earlier runs are gone. Orders
/// without a response may still be executed, also a start that was repeated
/// since, and those sent since its last report may have reached the new
/// incarnation. The answer to a poll with the raised token shows which did: it
/// refuses all others from then on.
void Cell::OnNewIncarnation(Server* server, Time now) {
  ++server->token_raises;
  std::vector<RunRef> lost;
  uint32_t in_doubt = 0;
  for (auto& it : server->runs) {
    LiveRun& live = it.second;
    const bool since_report = live.start_sent_at != kNever &&
                              live.start_sent_at >= server->report_sent_at;
    if (since_report || live.repeated || live.phase == RunPhase::kUnconfirmed ||
        live.phase == RunPhase::kStarting) {
      ++in_doubt;
      live.stop_confirmed_at = kNever;
      live.stop_sent_at = kNever;
    } else {
      lost.push_back(it.first);
    }
  }
  speed_meter_.Reset(server->entry.id);
  server->lists_read = false;
  server->more_ends = false;
  server->record_stored = false;
  server->storing_record = false;
  server->clock_ms = 0;
  server->clock_read_at = kNever;
  server->lease_end_ms = 0;
  server->last_processed_end = 0;
  server->acknowledged = 0;
  server->strikes = 0;
  server->next_poll_at = kNever;
  ends_to_acknowledge_.erase(server->entry.id);
  server->unknown_leases_lapse_at =
      now +
      std::chrono::duration_cast<Duration>(options_.max_lease / kSlowestClock) +
      milliseconds(kLapseSlackMs);
  LogEvent(Part::kPlacer, "backend_restarted",
           {{"backend", server->entry.id.value},
            {"token", FencingToken(*server)},
            {"runs_lost", lost.size()},
            {"runs_in_doubt", in_doubt}});
  for (const auto& it : lost) {
    OnRunGone(server, it, "new incarnation", now);
  }
}

void Cell::DropServerIfIdle(const BackendId& id) {
  auto it = servers_.find(id);
  if (it == servers_.end() || it->second.listed || !it->second.runs.empty() ||
      it->second.poll_in_flight) {
    return;
  }
  Server& server = it->second;
  if (!server.lists_read && server.unknown_leases_lapse_at != kNever) {
    return;  // Runs of a former owner may be active there.
  }
  const bool has_record = server.record_stored || server.storing_record;
  servers_.erase(it);
  if (has_record) {
    port_->StoreRecords({platform::MakeKeyedRecord("b:" + id.value, "")},
                        [](bool) {});
  }
}

uint64_t Cell::ServerClockMs(const Server& server, Time now) const {
  return server.clock_ms + AgeMs(server.clock_read_at, now);
}

bool Cell::LeasesLapsed(const Server& server, Time now) const {
  if (server.clock_read_at == kNever) {
    return server.unknown_leases_lapse_at == kNever ||
           now >= server.unknown_leases_lapse_at;
  }
  const auto passed = static_cast<uint64_t>(
      static_cast<double>(AgeMs(server.clock_read_at, now)) * kSlowestClock);
  return server.clock_ms + passed > server.lease_end_ms + kLapseSlackMs;
}

/// Resolves all tasks that a former owner may have left running on a backend
/// server, now that its lists were read or its leases have expired: tasks not
/// found running do not run.
void Cell::ResolveMaybeRunning(const BackendId& id, Time now) {
  if (const auto ended = ended_maybe_running_.extract(id); !ended.empty()) {
    for (const auto& it : ended.mapped()) {
      ReleaseMaybeRunning(it.team, it.need);
    }
  }
  const auto node = maybe_running_.extract(id);
  if (node.empty()) {
    return;
  }
  std::set<StepRef> steps;
  for (const auto& ref : node.mapped()) {
    Job* job = nullptr;
    Step* step = nullptr;
    Task* task = FindTask(ref, &job, &step);
    if (task == nullptr) {
      continue;
    }
    // Also if the lists resolved it: it may be the last one of its gang.
    steps.insert({ref.job, ref.occurrence, ref.step});
    if (task->maybe_running && task->backend == id) {
      ClearMaybeRunning(*job, ref, task);
    }
  }
  for (const auto& ref : steps) {
    if (Job* job = FindJob(ref.job); job->state == JobState::kActive) {
      TearDownPartialGang(job, ref, now);
    }
  }
}

/// @return True if the server did not respond to the last poll. While a poll is
/// pending, its report may be on its way or waiting to be processed.
bool Cell::IsSilent(const Server& server, Time now) {
  return server.suspect_until > now && !server.poll_in_flight;
}

void Cell::CheckServer(Server* server, Time now) {
  if (!server->lists_read && server->unknown_leases_lapse_at != kNever &&
      IsSilent(*server, now) && LeasesLapsed(*server, now)) {
    server->unknown_leases_lapse_at = kNever;
    ResolveMaybeRunning(server->entry.id, now);
  }
  const bool any_sent =
      IsSilent(*server, now) &&
      std::any_of(server->runs.begin(), server->runs.end(), [](const auto& it) {
        return it.second.start_sent_at != kNever;
      });
  if (any_sent && LeasesLapsed(*server, now)) {
    std::vector<RunRef> lost;
    for (const auto& it : server->runs) {
      lost.push_back(it.first);
    }
    for (const auto& it : lost) {
      OnRunGone(server, it, "leases lapsed", now);
    }
    server->lists_read = false;
  }
  // A record is needed only while the server may run tasks.
  const bool silent = !server->lists_read &&
                      server->unknown_leases_lapse_at == kNever &&
                      server->runs.empty() && server->suspect_until > now;
  StoreServerRecordIfNeeded(server, now);
  if (silent && server->record_stored) {
    server->record_stored = false;
    port_->StoreRecords(
        {platform::MakeKeyedRecord("b:" + server->entry.id.value, "")},
        [](bool) {});
  }
  const bool wanted =
      (server->listed && !server->lists_read && IsInUse(*server)) ||
      (!server->lists_read && server->unknown_leases_lapse_at != kNever) ||
      !server->runs.empty();
  // Tasks of a silent server start elsewhere once its leases have lapsed and no
  // report of it can be pending.
  const bool lapses_soon = IsSilent(*server, now) &&
                           !LeasesLapsed(*server, now) &&
                           LeasesLapsed(*server, now + kSilentPollTimeout);
  if (wanted && !server->poll_in_flight && now >= server->next_poll_at &&
      !lapses_soon) {
    SendPoll(server, now);
  }
  for (auto& it : server->runs) {
    LiveRun& live = it.second;
    const bool stopping = live.phase == RunPhase::kStopping ||
                          live.phase == RunPhase::kUnconfirmed;
    if (stopping && !live.stop_in_flight && live.stop_confirmed_at == kNever &&
        (live.stop_sent_at == kNever || now - live.stop_sent_at > kStopRetry)) {
      SendStop(server, it.first, &live, "stop pending", now);
    }
  }
  if (server->entry.draining && server->listed) {
    Evacuate(server, now);
  }
}

void Cell::SendPoll(Server* server, Time now) {
  platform::PollRequest request;
  request.fencing_token = FencingToken(*server);
  server->poll_token = request.fencing_token;
  const bool same_incarnation =
      server->suspect_until <= now && server->clock_read_at != kNever &&
      now - server->clock_read_at < kMaxReportAgeForAck;
  request.acknowledged = same_incarnation ? server->acknowledged : 0;
  if (server->clock_read_at != kNever &&
      (server->lists_read || server->more_ends)) {
    // An unresponsive server may still receive its polls. Its leases are not
    // renewed, or they would never be known to have lapsed.
    if (port_->MayRenew(options_.max_lease - options_.lease) &&
        server->suspect_until <= now) {
      request.lease_end_ms = ServerClockMs(*server, now) +
                             static_cast<uint64_t>(options_.lease.count());
      server->lease_end_ms =
          std::max(server->lease_end_ms, *request.lease_end_ms);
    }
    const bool wait = !server->runs.empty() && server->suspect_until <= now;
    request.wait_ms = wait ? kPollWaitMs : 0;
  }
  server->poll_in_flight = true;
  port_->Poll(server->entry, request);
}

void Cell::OnPollResponse(const BackendId& backend,
                          const BackendReport& report,
                          Time sent,
                          Time now) {
  auto it = servers_.find(backend);
  if (it == servers_.end()) {
    return;
  }
  Server* server = &it->second;
  server->poll_in_flight = false;
  const bool token_raised = server->poll_token < FencingToken(*server);
  if (report.result == OrderResult::kFenced && !token_raised) {
    port_->OnFenced();
    return;
  }
  if (token_raised && (report.result == OrderResult::kDone ||
                       report.result == OrderResult::kFenced)) {
    // Sent before a restart was noticed: other late orders may follow it.
    server->next_poll_at = now;
    return;
  }
  if (report.result != OrderResult::kDone) {
    if (server->suspect_until <= now) {
      LogEvent(Part::kPlacer, "backend_lost",
               {{"backend", backend.value},
                {"verdict", OrderResultName(report.result)},
                {"runs", server->runs.size()},
                {"last_answer_ms", AgeMs(server->clock_read_at, now)}});
    }
    server->suspect_until = now + kSuspectDuration;
    server->next_poll_at = now + kPollRetry;
    return;
  }
  if (server->entry.incarnation == 0) {
    server->entry.incarnation = report.incarnation;
  }
  if (report.incarnation != 0 &&
      report.incarnation != server->entry.incarnation) {
    if (report.incarnation < server->entry.incarnation) {
      server->next_poll_at = now + kPollRetry;
      return;
    }
    LogEvent(Part::kPlacer, "backend_reborn",
             {{"backend", backend.value},
              {"incarnation", report.incarnation},
              {"was", server->entry.incarnation}});
    OnNewIncarnation(server, now);
    server->entry.incarnation = report.incarnation;
    server->listed = false;  // Until its new entry arrives.
    server->suspect_until = kNever;
    return;
  }
  if (server->suspect_until > now) {
    LogEvent(Part::kPlacer, "backend_back", {{"backend", backend.value}});
  }
  server->suspect_until = kNever;
  if (server->clock_read_at == kNever &&
      server->unknown_leases_lapse_at != kNever) {
    // A former owner may have renewed its leases until now.
    server->lease_end_ms =
        report.clock_ms + static_cast<uint64_t>(options_.max_lease.count());
  }
  server->more_ends = report.more_ends;
  if (!report.more_ends) {
    server->lists_read = true;
    server->unknown_leases_lapse_at = kNever;
  }
  server->clock_ms = report.clock_ms;
  server->clock_read_at = now;
  server->report_sent_at = sent;
  server->next_poll_at = report.ended.empty() ? now : now + kPollPause;
  ProcessEnds(server, report, now);
  ProcessRunning(server, report, now);
  if (report.more_ends) {
    LogEvent(Part::kPlacer, "ends_not_all_listed",
             {{"backend", backend.value},
              {"listed", report.ended.size()},
              {"runs", server->runs.size()}});
    return;
  }
  StoreServerRecordIfNeeded(server, now);
  RemoveUnlistedRuns(server, report, sent, now);
  ResolveMaybeRunning(backend, now);
}

void Cell::ProcessEnds(Server* server, const BackendReport& report, Time now) {
  auto ends = report.ended;
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.number < b.number; });
  for (const auto& it : ends) {
    if (it.number <= server->last_processed_end) {
      continue;
    }
    server->last_processed_end = it.number;
    OnRunEnd(server, it, now);
    PendingEnds& pending = ends_to_acknowledge_[server->entry.id];
    pending.last = it.number;
    pending.jobs.insert(it.run.task.job);
  }
}

void Cell::ProcessRunning(Server* server,
                          const BackendReport& report,
                          Time now) {
  for (const auto& row : report.running) {
    auto found = server->runs.find(row.run);
    if (found == server->runs.end()) {
      AdoptRun(server, row, now);
      continue;
    }
    LiveRun* live = &found->second;
    live->checkpoint = row.checkpoint;
    if (live->start_confirmed_at == kNever) {
      MarkStarted(row.run.task.job);
    }
    const bool unconfirmed = live->phase == RunPhase::kStarting ||
                             live->phase == RunPhase::kUnconfirmed;
    if (unconfirmed && live->stop_sent_at == kNever) {
      live->phase = RunPhase::kRunning;
      live->start_confirmed_at = now;
    }
    CheckIdleRun(server, row, live, now);
    LearnFromRunning(server, row.run, live, now);
  }
}

/// Removes runs that are on neither list. @pre The report lists all ends and
/// answers a poll with the newest fencing token.
void Cell::RemoveUnlistedRuns(Server* server,
                              const BackendReport& report,
                              Time sent,
                              Time now) {
  std::set<RunRef> listed;
  for (const auto& row : report.running) {
    listed.insert(row.run);
  }
  std::vector<RunRef> gone;
  for (const auto& it : server->runs) {
    const LiveRun& live = it.second;
    const Time confirmed_at = live.phase == RunPhase::kUnconfirmed
                                  ? live.stop_confirmed_at
                                  : live.start_confirmed_at;
    // No copy of its start order is executed any more.
    const bool fenced = live.start_sent_at != kNever &&
                        live.fencing_token < FencingToken(*server);
    if (!listed.contains(it.first) &&
        (fenced || (confirmed_at != kNever && confirmed_at < sent))) {
      gone.push_back(it.first);
    }
  }
  for (const auto& it : gone) {
    OnRunGone(server, it, "not on the backend server's lists", now);
  }
}

/// Adds a reported run that is not in `runs`. Stops it unless it is the latest
/// run of a task that a former owner may have left running.
void Cell::AdoptRun(Server* server, const ListedRun& row, Time now) {
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = FindTask(row.run.task, &job, &step);
  LiveRun live;
  live.phase = RunPhase::kRunning;
  live.start_sent_at = now;
  live.start_confirmed_at = now;
  live.checkpoint = row.checkpoint;
  if (task == nullptr) {
    const auto& ended = ended_maybe_running_[server->entry.id];
    const auto known =
        std::find_if(ended.begin(), ended.end(),
                     [&](const auto& it) { return it.task == row.run.task; });
    if (known == ended.end()) {
      live.job_unknown = true;
      ++server->unknown_job_runs;
    } else {
      live.need = known->need;
      live.room = known->room;
      live.team = known->team;
      server->used = server->used + live.room;
      usage_[live.team] = usage_[live.team] + live.need;
    }
  } else {
    const StepSpec& spec = job->spec.steps[row.run.task.step];
    live.need = spec.need;
    live.team = job->team;
    ExpectRun(*job, spec, server->entry.id, &live, now);
    live.room = OccupiedResources(spec);
    server->used = server->used + live.room;
    usage_[live.team] = usage_[live.team] + live.need;
    job->started = true;
  }
  const bool wanted =
      task != nullptr && job->state == JobState::kActive &&
      task->phase == TaskPhase::kWaiting && task->maybe_running &&
      task->backend == server->entry.id && task->run == row.run.number;
  auto& added = server->runs[row.run] = live;
  LogEvent(Part::kPlacer, wanted ? "run_adopted" : "run_unwanted",
           {{"task", platform::TaskName(row.run.task)},
            {"run", row.run.number},
            {"backend", server->entry.id.value}});
  if (!wanted) {
    SendStop(server, row.run, &added, "unwanted", now);
    return;
  }
  ClearMaybeRunning(*job, row.run.task, task);
  task->phase = TaskPhase::kLive;
  step->live += 1;
  step->started = now;
}

/// Stops runs that would outlast a draining backend server, so that they start
/// elsewhere.
void Cell::Evacuate(Server* server, Time now) {
  if (!port_->MayAct()) {
    return;
  }
  const uint64_t left = AgeMs(now, server->drain_ends_at);
  for (auto& it : server->runs) {
    LiveRun& live = it.second;
    Job* job = nullptr;
    Step* step = nullptr;
    if (live.phase != RunPhase::kRunning ||
        FindTask(it.first.task, &job, &step) == nullptr) {
      continue;
    }
    const StepSpec& spec = job->spec.steps[it.first.task.step];
    const uint64_t ran = AgeMs(live.start_confirmed_at, now);
    const uint64_t to_go = live.estimate_ms > ran ? live.estimate_ms - ran : 0;
    const uint64_t slack = spec.checkpoint ? 0 : kEvacuateSlackMs;
    if (spec.perpetual || to_go > left + slack) {
      LogEvent(Part::kPlacer, "run_evacuated",
               {{"task", platform::TaskName(it.first.task)},
                {"run", it.first.number},
                {"backend", server->entry.id.value},
                {"to_go_ms", to_go},
                {"left_ms", left}});
      SendStop(server, it.first, &live, "evacuated", now);
    }
  }
}

}  // namespace bw
