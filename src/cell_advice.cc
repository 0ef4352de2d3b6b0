// The cell's queries to the advice service.

#include <algorithm>

#include "advice_func.h"
#include "cell_pass.h"
#include "event_log_func.h"
#include "text_func.h"

namespace bw {
namespace {

/// Minimum time between two queries about one step.
constexpr milliseconds kMinQueryInterval{30};
/// Time after which a step that needed no query is looked at again.
constexpr milliseconds kRecheckInterval{100};
/// Initial estimate of the share of servers that are admitted for a step.
constexpr double kInitialAdmittedShare = 0.5;
constexpr double kAdmittedShareWeight = 0.1;  ///< Of the latest response.

}  // namespace

bool Cell::MayQueryAdvice(const Pass& pass,
                          const Job& job,
                          const Step& step,
                          bool urgent) {
  const auto& busy = pass.busy_queues[urgent ? 1 : 0];
  return step.advice.queries_in_flight == 0 &&
         step.advice.next_query_at <= pass.now &&
         std::find(busy.begin(), busy.end(), job.queue) == busy.end();
}

/// @return What the advice service said about each server of the pass.
std::vector<Cell::TicketState> Cell::TicketStates(const Pass& pass,
                                                  const AdviceState& advice,
                                                  Time renew_at) const {
  std::vector<TicketState> out(pass.servers.size(), TicketState::kUnknown);
  const auto set = [&](const BackendId& id, TicketState state) {
    const auto server = servers_.find(id);
    if (server != servers_.end() && server->second.pass_index != kNoServer) {
      out[server->second.pass_index] = state;
    }
  };
  for (const auto& it : advice.admitted) {
    set(it.first, it.second.until > renew_at ? TicketState::kValidTicket
                                             : TicketState::kAdmitted);
  }
  for (const auto& it : advice.rejected) {
    set(it, TicketState::kRejected);
  }
  return out;
}

void Cell::QueryAdvice(Pass* pass,
                       Job* job,
                       const StepRef& ref,
                       Step* step,
                       const StepNeed& need,
                       bool urgent) {
  if (!MayQueryAdvice(*pass, *job, *step, urgent)) {
    step->wait_reason =
        step->advice.queries_in_flight > 0 ? "advice" : "advice service busy";
    return;
  }
  AdviceState& advice = step->advice;
  const AdvicePolicy& policy = *job->policy.advice;
  const auto ahead = std::chrono::duration<double, std::milli>(
      IsSlow(policy) ? policy.query_ms : 0);
  const Time renew_at = pass->now + ticket_margin_.ForPlacing() +
                        std::chrono::duration_cast<Duration>(ahead);
  const auto tickets = TicketStates(*pass, advice, renew_at);
  std::vector<AdviceCandidate> candidates;
  std::vector<uint32_t> indices;
  for (uint32_t n = 0; n < pass->candidates.size(); ++n) {
    const ServerCandidate& server = pass->candidates[n];
    if (!MayUse(server, need) || tickets[n] == TicketState::kRejected) {
      continue;
    }
    candidates.push_back({SlotsIn(server, server.free, need),
                          SlotsIn(server, server.total, need),
                          server.free.millicores,
                          tickets[n] == TicketState::kValidTicket,
                          tickets[n] != TicketState::kUnknown,
                          UnwantedSpeed(need.speed, server.lag)});
    indices.push_back(n);
  }
  const double share =
      admitted_share_.try_emplace(job->queue, kInitialAdmittedShare)
          .first->second;
  const AdviceChoice choice = ChooseServersToQuery(
      candidates,
      {need.count, need.gang, policy, share, port_->CountAdviceInstances(),
       port_->CountIdleAdviceInstances(), HasReservation(*step, pass->now)});
  if (choice.servers.empty()) {
    step->wait_reason = choice.enough ? "room on admitted servers"
                                      : "no further server to query about";
    advice.next_query_at = pass->now + kRecheckInterval;
    return;
  }
  advice.queried_at = pass->now;
  std::vector<BackendId> names;
  for (uint32_t n : choice.servers) {
    names.push_back(pass->servers[indices[n]]->entry.id);
    const bool last = n == choice.servers.back();
    if (names.size() < choice.per_query && !last) {
      continue;
    }
    ++advice.queries_in_flight;  // The response may arrive within the call.
    if (!port_->QueryAdvice(ref, names, choice.expected, urgent)) {
      --advice.queries_in_flight;
      pass->busy_queues[urgent ? 1 : 0].push_back(job->queue);
      ++counters_.advice_busy;
      break;
    }
    ++counters_.advice_queries;
    counters_.advice_query_ms += static_cast<uint64_t>(choice.expected.count());
    names.clear();
  }
  step->wait_reason =
      advice.queries_in_flight > 0 ? "advice" : "advice service busy";
}

void Cell::OnAdviceResponse(const StepRef& ref,
                            const std::vector<BackendId>& queried,
                            const platform::AdviceResponse& response,
                            Time now) {
  Job* job = nullptr;
  Step* step = FindStep(ref, &job);
  if (step == nullptr) {
    return;
  }
  AdviceState& advice = step->advice;
  advice.queries_in_flight -= std::min(advice.queries_in_flight, 1U);
  if (!job->policy.advice) {
    return;
  }
  if (!response.not_sent) {
    advice.next_query_at =
        now + (response.answered ? kMinQueryInterval : 4 * kMinQueryInterval);
  }
  LogEvent(Part::kPlacer, "advice",
           {{"step", platform::StepName(ref)},
            {"queue", job->queue.value},
            {"named", queried.size()},
            {"answered", response.answered},
            {"good", response.recommended.size()},
            {"took_ms", AgeMs(advice.queried_at, now)},
            {"waited_ms", step->ready ? AgeMs(step->waiting_since, now) : 0}});
  if (!response.answered) {
    return;
  }
  const uint64_t valid_ms =
      response.valid_ms > 0 ? response.valid_ms : job->policy.advice->valid_ms;
  uint32_t new_names = 0;
  uint32_t new_recommended = 0;
  for (const auto& id : queried) {
    const bool known = advice.admitted.contains(id);
    const bool recommended =
        std::any_of(response.recommended.begin(), response.recommended.end(),
                    [&](const Ticket& it) { return it.backend == id; });
    new_names += known ? 0 : 1;
    new_recommended += !known && recommended ? 1 : 0;
    if (!recommended) {
      advice.rejected.insert(id);
      advice.admitted.erase(id);
    }
  }
  for (const auto& it : response.recommended) {
    advice.admitted[it.backend] = {it.text, now + milliseconds(valid_ms)};
  }
  if (new_names > 0) {
    double& share = admitted_share_[job->queue];
    share += kAdmittedShareWeight *
             (static_cast<double>(new_recommended) / new_names - share);
    constexpr double kMinAdmittedShare = 0.05;
    share = std::max(share, kMinAdmittedShare);
  }
}

/// Queries advice for steps that become ready soon, so that their tickets are
/// available by then.
void Cell::PrefetchAdvice(Time now) {
  if (!port_->MayAct()) {
    return;
  }
  Pass pass;
  pass.now = now;
  OpenPass(&pass);
  for (auto& it : jobs_) {
    Job& job = it.second;
    if (job.spec.steps.size() < 2 || !job.policy.advice ||
        job.state != JobState::kActive) {
      continue;
    }
    for (auto& occurrence : job.occurrences) {
      auto& steps = occurrence.second.steps;
      for (uint32_t n = 0; n < steps.size(); ++n) {
        Step& step = steps[n];
        if (step.ready || !MayQueryAdvice(pass, job, step, true)) {
          continue;
        }
        const auto& depends_on = job.spec.steps[n].depends_on;
        const bool soon =
            std::all_of(depends_on.begin(), depends_on.end(), [&](uint32_t b) {
              const Step& before = steps[b];
              const bool running =
                  before.done + before.live == before.tasks.size();
              const double left =
                  static_cast<double>(job.spec.steps[b].estimate_ms) -
                  static_cast<double>(AgeMs(before.started, now));
              constexpr double kPrefetchMs = 300;
              return before.done == before.tasks.size() ||
                     (running &&
                      left < job.policy.advice->query_ms + kPrefetchMs);
            });
        if (!soon) {
          continue;
        }
        const StepRef ref{job.id, occurrence.first, n};
        const StepNeed need =
            NeedOf(job, ref, step, job.spec.steps[n].count, now);
        FillCandidates(&pass, job, ref, step);
        QueryAdvice(&pass, &job, ref, &step, need, true);
      }
    }
  }
}

}  // namespace bw
