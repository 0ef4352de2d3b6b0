// The cell's service tasks in evacuated availability zones: they move one at a
// time, so that their services go on.

#include <algorithm>

#include "cell_pass.h"
#include "event_log_func.h"

namespace bw {
namespace {

/// Interval between looks for tasks to move.
constexpr milliseconds kMoveInterval{500};
/// A service task counts as at work this long after its start was confirmed.
constexpr milliseconds kServiceStartup{2000};

}  // namespace

/// @return True if all tasks of the step have been at work for some time, so
/// that one of them may be away.
bool Cell::AreAllAtWork(const StepRef& ref, const Step& step, Time now) const {
  for (uint32_t n = 0; n < step.tasks.size(); ++n) {
    const Task& task = step.tasks[n];
    const auto server = servers_.find(task.backend);
    if (task.phase != TaskPhase::kLive || server == servers_.end()) {
      return false;
    }
    const auto live = server->second.runs.find(
        {{ref.job, ref.occurrence, ref.step, n}, task.run});
    if (live == server->second.runs.end() ||
        live->second.phase != RunPhase::kRunning ||
        now - live->second.start_confirmed_at < kServiceStartup ||
        server->second.suspect_until > now) {
      return false;
    }
  }
  return true;
}

/// Stops service tasks in evacuated zones, so that they start elsewhere: of
/// each step one at a time, while the others work and there is room for it. A
/// task has one run at a time, so it is away in between.
void Cell::MoveServices(Time now) {
  if (now < next_move_ || !port_->MayAct() || !port_->IsStoreResponsive()) {
    return;
  }
  next_move_ = now + kMoveInterval;
  std::map<StepRef, std::pair<Server*, RunRef>> leaving;
  for (auto& it : servers_) {
    Server& server = it.second;
    if (server.runs.empty() || port_->CheckStart(server.entry.zone, now) !=
                                   StartPermission::kEvacuated) {
      continue;
    }
    for (const auto& [run, live] : server.runs) {
      Job* job = nullptr;
      Step* step = nullptr;
      const Task* task = FindTask(run.task, &job, &step);
      if (task == nullptr || task->run != run.number ||
          live.phase != RunPhase::kRunning) {
        continue;
      }
      const StepSpec& spec = job->spec.steps[run.task.step];
      if (spec.perpetual && !spec.gang && spec.max_unavailable != 0U) {
        leaving.try_emplace({run.task.job, run.task.occurrence, run.task.step},
                            std::pair(&server, run));
      }
    }
  }
  if (leaving.empty()) {
    return;
  }
  Pass pass;
  pass.now = now;
  OpenPass(&pass);
  for (const auto& [ref, from] : leaving) {
    Job* job = nullptr;
    Step* step = FindStep(ref, &job);
    if (job->state == JobState::kActive && AreAllAtWork(ref, *step, now) &&
        TakeRoom(&pass, *job, ref, *step)) {
      LogEvent(Part::kPlacer, "run_evacuated",
               {{"task", platform::TaskName(from.second.task)},
                {"run", from.second.number},
                {"backend", from.first->entry.id.value},
                {"zone", from.first->entry.zone.value}});
      SendStop(from.first, from.second, &from.first->runs.at(from.second),
               "zone evacuated", now);
    }
  }
}

/// Takes room for one task of the step from the pass. @return False if it has
/// none that the task may use now.
bool Cell::TakeRoom(Pass* pass,
                    const Job& job,
                    const StepRef& ref,
                    const Step& step) {
  FillCandidates(pass, job, ref, step);
  if (job.policy.advice) {
    LimitToTickets(pass, step, pass->now + ticket_margin_.ForPlacing());
  }
  const StepNeed need = NeedOf(job, ref, step, 1, pass->now);
  const auto fit = FitStep(pass->candidates, need);
  if (fit.empty() || fit[0] == kNoServer) {
    return false;
  }
  pass->free[fit[0]] = pass->free[fit[0]].Without(need.task);
  return true;
}

}  // namespace bw
