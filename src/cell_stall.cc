// The cell's runs that use no processor time.

#include <algorithm>

#include "cell_base.h"
#include "event_log_func.h"

namespace bw {
namespace {

/// Reports that are older say nothing about a run: a server with runs responds
/// to each poll within 1 s.
constexpr milliseconds kMaxReportAge{2'500};
/// Interval between checks of a gang with idle members.
constexpr milliseconds kGangCheckInterval{500};

}  // namespace

/// Handles a row of a report: stops the run if it stands still, or that member
/// of its gang which does.
void Cell::CheckIdleRun(Server* server,
                        const ListedRun& row,
                        LiveRun* live,
                        Time now) {
  const bool busy = row.load_metric > 0 || row.percent == 0;
  live->activity.OnReport(busy, live->start_confirmed_at, now);
  Job* job = nullptr;
  Step* step = nullptr;
  if (live->phase != RunPhase::kRunning || !live->activity.IsIdle() ||
      FindTask(row.run.task, &job, &step) == nullptr) {
    return;
  }
  const StepSpec& spec = job->spec.steps[row.run.task.step];
  if (spec.target_ms > 0 || spec.best_effort) {
    return;
  }
  if (spec.gang) {
    CheckIdleGang(row.run.task, step, now);
  } else if (IsStalled(live->activity, now - live->start_confirmed_at)) {
    StopStalled(server, row.run, live, now);
  }
}

void Cell::CheckIdleGang(const TaskRef& member, Step* step, Time now) {
  if (step->tearing_down || now < step->next_stall_check) {
    return;
  }
  step->next_stall_check = now + kGangCheckInterval;
  struct Found {
    Server* server;
    RunRef run;
    LiveRun* live;
  };
  std::vector<Found> found(step->tasks.size());
  std::vector<GangMember> members(step->tasks.size());
  for (uint32_t n = 0; n < step->tasks.size(); ++n) {
    const Task& task = step->tasks[n];
    const RunRef run{{member.job, member.occurrence, member.step, n}, task.run};
    const auto server = servers_.find(task.backend);
    if (task.phase != TaskPhase::kLive || server == servers_.end()) {
      continue;
    }
    auto& runs = server->second.runs;
    const auto live = runs.find(run);
    if (live == runs.end()) {
      continue;
    }
    found[n] = {&server->second, run, &live->second};
    GangMember& it = members[n];
    it.activity = live->second.activity;
    it.known = live->second.phase == RunPhase::kRunning &&
               now - it.activity.reported_at < kMaxReportAge;
    // Runs of a former owner were adopted without a serial number.
    it.seen_from_start = live->second.serial != 0;
    it.ran = now - live->second.start_confirmed_at;
    it.server_busy = std::any_of(runs.begin(), runs.end(), [](const auto& row) {
      return row.second.activity.reported_at != kNever &&
             row.second.activity.idle_since == kNever;
    });
  }
  if (const auto n = FindStalledMember(members)) {
    StopStalled(found[*n].server, found[*n].run, found[*n].live, now);
  }
}

void Cell::StopStalled(Server* server,
                       const RunRef& run,
                       LiveRun* live,
                       Time now) {
  const auto ms = [](Duration it) {
    return std::chrono::duration_cast<milliseconds>(it).count();
  };
  LogEvent(Part::kPlacer, "run_stands_still",
           {{"task", platform::TaskName(run.task)},
            {"run", run.number},
            {"backend", server->entry.id.value},
            {"worked_ms", ms(live->activity.most_worked)},
            {"idle_ms", ms(live->activity.IdleFor())}});
  AvoidServer(server, now);
  SendStop(server, run, live, "stands still", now);
}

}  // namespace bw
