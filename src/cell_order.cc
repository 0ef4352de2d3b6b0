// The cell's orders to backend servers: starts, stops and what their responses,
// or their absence, mean.

#include <algorithm>

#include "cell_pass.h"
#include "event_log_func.h"

namespace bw {
namespace {

/// Pause of a step whose start order was rejected.
constexpr milliseconds kRejectedPause{200};
/// Advice settings of a queue that is not configured any more, if its record
/// has none: expected duration of a query and validity of a ticket, in ms.
constexpr AdvicePolicy kAssumedAdvice{100, 5, 1000};

}  // namespace

/// Sends a start whose record is stored, unless it is obsolete by now.
void Cell::SendStart(const UnsentStart& start, Time now) {
  const RunRef& run = start.run;
  auto found = servers_.find(start.backend);
  if (found == servers_.end()) {
    return;
  }
  Server* server = &found->second;
  auto it = server->runs.find(run);
  if (it == server->runs.end() || it->second.serial != start.serial) {
    return;  // Dropped, or placed again, while the record was being stored.
  }
  LiveRun* live = &it->second;
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = FindTask(run.task, &job, &step);
  const char* why_not = nullptr;
  if (task == nullptr || job->state != JobState::kActive ||
      live->phase != RunPhase::kStarting) {
    why_not = "obsolete before it was sent";
  } else if (refused_jobs_.contains(run.task.job)) {
    why_not = "the store refused its record";
  } else if (!server->lists_read || server->entry.draining ||
             server->suspect_until > now) {
    why_not = "backend server draining or not responding";
  } else if (!MayStartIn(*server, now)) {
    why_not = "its zone is evacuated or may be";
    port_->OnStartHeldBack(server->entry.zone, now);
  } else if (job->policy.advice) {
    const auto ticket = step->advice.admitted.find(server->entry.id);
    if (ticket == step->advice.admitted.end() ||
        ticket->second.until <= now + ticket_margin_.ForSending()) {
      why_not = "advice ticket expired";
    }
  }
  if (why_not != nullptr) {
    OnRunGone(server, run, why_not, now);
    return;
  }
  live->start_sent_at = now;
  live->from_scratch = task->checkpoint.empty();
  platform::StartOrder order = MakeStartOrder(server, run, *job, *task, now);
  live->fencing_token = order.fencing_token;
  LogEvent(Part::kPlacer, "run_start",
           {{"task", platform::TaskName(run.task)},
            {"run", run.number},
            {"backend", server->entry.id.value},
            {"free", server->entry.capacity.Without(server->used).millicores},
            {"waited_ms", AgeMs(step->waiting_since, now)}});
  port_->Start(server->entry, std::move(order), /*repeated=*/false);
}

platform::StartOrder Cell::MakeStartOrder(Server* server,
                                          const RunRef& run,
                                          const Job& job,
                                          const Task& task,
                                          Time now) const {
  platform::StartOrder out;
  out.run = run;
  out.payload = job.spec.payload;
  out.fencing_token = FencingToken(*server);
  out.checkpoint = task.checkpoint;
  out.lease_end_ms = ServerClockMs(*server, now) +
                     static_cast<uint64_t>(options_.lease.count());
  server->lease_end_ms = std::max(server->lease_end_ms, out.lease_end_ms);
  const Step& step =
      job.occurrences.at(run.task.occurrence).steps[run.task.step];
  const auto ticket = step.advice.admitted.find(server->entry.id);
  if (ticket != step.advice.admitted.end()) {
    out.ticket = ticket->second.text;
  }
  return out;
}

/// Sends a start order without a response a second time. A backend server
/// executes a run at most once, so the repeated order starts the run or
/// confirms that it runs.
/// @return False if the order must not or need not be repeated.
bool Cell::RepeatStart(Server* server,
                       const RunRef& run,
                       LiveRun* live,
                       Time now) {
  Job* job = nullptr;
  Step* step = nullptr;
  const Task* task = FindTask(run.task, &job, &step);
  if (live->repeated || live->phase != RunPhase::kStarting || task == nullptr ||
      job->state != JobState::kActive || step->tearing_down ||
      task->phase != TaskPhase::kLive || task->run != run.number ||
      !server->lists_read || server->entry.draining ||
      server->suspect_until > now || !port_->MayAct()) {
    return false;
  }
  if (!MayStartIn(*server, now)) {
    port_->OnStartHeldBack(server->entry.zone, now);
    return false;
  }
  live->repeated = true;
  LogEvent(Part::kPlacer, "start_repeated",
           {{"task", platform::TaskName(run.task)},
            {"run", run.number},
            {"backend", server->entry.id.value},
            {"after_ms", AgeMs(live->start_sent_at, now)}});
  platform::StartOrder order = MakeStartOrder(server, run, *job, *task, now);
  live->fencing_token = order.fencing_token;
  port_->Start(server->entry, std::move(order), /*repeated=*/true);
  return true;
}

void Cell::SendStop(Server* server,
                    const RunRef& run,
                    LiveRun* live,
                    const char* why,
                    Time now) {
  if (live->phase != RunPhase::kUnconfirmed) {
    live->phase = RunPhase::kStopping;
  }
  if (live->stop_in_flight || live->start_sent_at == kNever) {
    return;  // A start that was not sent yet is dropped in SendStart.
  }
  if (live->stop_sent_at == kNever) {
    LogEvent(Part::kPlacer, "run_stop",
             {{"task", platform::TaskName(run.task)},
              {"run", run.number},
              {"backend", server->entry.id.value},
              {"why", why},
              {"ran_ms", AgeMs(live->start_sent_at, now)}});
  }
  live->stop_in_flight = true;
  live->stop_sent_at = now;
  port_->Stop(server->entry, run, FencingToken(*server));
}

void Cell::OnStopResponse(const BackendId& backend,
                          const RunRef& run,
                          OrderResult result,
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
  if (result == OrderResult::kDone) {
    live->second.stop_confirmed_at = now;
    it->second.next_poll_at = kNever;
  } else if (result == OrderResult::kFenced) {
    OnOrderFenced(&it->second, now);
  }
}

/// Handles the rejection of a start or stop for its fencing token. The token
/// may have been raised since the order was sent; a poll has the newest one.
void Cell::OnOrderFenced(Server* server, Time now) {
  if (server->token_raises == 0) {
    port_->OnFenced();
    return;
  }
  server->lists_read = false;
  server->next_poll_at = now;
}

/// Handles a start that may have been executed and may still be.
void Cell::OnStartUnknown(Server* server,
                          const RunRef& run,
                          LiveRun* live,
                          Time sent,
                          Time now) {
  LogEvent(Part::kPlacer, "start_unknown",
           {{"task", platform::TaskName(run.task)},
            {"run", run.number},
            {"backend", server->entry.id.value},
            {"after_ms", AgeMs(sent, now)}});
  live->phase = RunPhase::kUnconfirmed;
  server->suspect_until = now + kSuspectDuration;
  SendStop(server, run, live, "start unanswered", now);
  Job* job = nullptr;
  Step* step = nullptr;
  if (FindTask(run.task, &job, &step) != nullptr &&
      job->spec.steps[run.task.step].gang) {
    // The other members cannot proceed without it.
    TearDownGang(job, run.task, now);
  }
}

void Cell::OnStartResponse(const BackendId& backend,
                           const RunRef& run,
                           OrderResult result,
                           Time sent,
                           Time now) {
  auto it = servers_.find(backend);
  if (it == servers_.end()) {
    return;
  }
  Server* server = &it->second;
  if (result == OrderResult::kFenced) {
    OnOrderFenced(server, now);
    if (server->token_raises == 0) {
      return;
    }
  }
  auto found = server->runs.find(run);
  if (found == server->runs.end()) {
    return;
  }
  LiveRun* live = &found->second;
  if (!live->repeated && live->placed_at != kNever &&
      result != OrderResult::kUnknown && result != OrderResult::kNotSent) {
    ticket_margin_.OnResponse(now - live->placed_at);
    placing_delay_.OnRoundTrip(now - sent, now);
  }
  const bool ended_after_first =
      live->repeated && result == OrderResult::kSuperseded;
  if (result == OrderResult::kDone || ended_after_first) {
    live->start_confirmed_at = now;
    MarkStarted(run.task.job);
    if (live->phase == RunPhase::kStarting) {
      live->phase = RunPhase::kRunning;
    }
    return;
  }
  if (live->phase == RunPhase::kRunning) {
    return;  // Its backend server has listed it meanwhile.
  }
  if (result == OrderResult::kUnknown && RepeatStart(server, run, live, now)) {
    return;
  }
  // A rejected repetition says nothing about the first order.
  if (result == OrderResult::kUnknown || live->repeated) {
    OnStartUnknown(server, run, live, sent, now);
    return;
  }
  OnStartRejected(server, run, result, now);
}

/// Handles a start that was certainly not executed.
void Cell::OnStartRejected(Server* server,
                           const RunRef& run,
                           OrderResult result,
                           Time now) {
  Job* job = nullptr;
  Step* step = nullptr;
  if (FindTask(run.task, &job, &step) != nullptr) {
    if (result == OrderResult::kNoTicket) {
      step->advice.admitted.erase(server->entry.id);
      if (!job->policy.advice) {
        // Its queue requires tickets since the record was stored.
        job->policy.advice = kAssumedAdvice;
      }
    }
    if (result == OrderResult::kInvalid || result == OrderResult::kNoRoom) {
      step->not_before = now + kRejectedPause;
    }
  }
  if (result == OrderResult::kUnhealthy) {
    AddStrike(server, now);
  }
  if (result == OrderResult::kNotSent ||
      result == OrderResult::kOtherIncarnation ||
      result == OrderResult::kExpired || result == OrderResult::kNoRoom) {
    server->lists_read = false;  // Requires a new poll before the next start.
    server->suspect_until = now + kSuspectDuration;
  }
  OnRunGone(server, run, OrderResultName(result), now);
}

}  // namespace bw
