// The cell's runs: how the end, loss or failure of a run changes its task.

#include <algorithm>
#include <cmath>

#include "cell_base.h"
#include "event_log_func.h"

namespace bw {
namespace {

/// Consecutive failures after which a backend server is avoided.
constexpr uint32_t kStrikesToAvoid = 2;
/// How long it is avoided.
constexpr milliseconds kAvoidDuration{4'000};
/// Maximum recorded failures of one task; only perpetual tasks have more.
constexpr size_t kMaxFailures = 64;

/// Counts the failure of a run, unless this or a former owner counted it.
void NoteFailure(std::vector<uint64_t>* failed_runs, uint64_t run) {
  if (std::find(failed_runs->begin(), failed_runs->end(), run) ==
          failed_runs->end() &&
      failed_runs->size() < kMaxFailures) {
    failed_runs->push_back(run);
  }
}

}  // namespace

/// Notes that a run of the job has started, if the job is known.
void Cell::MarkStarted(const JobId& id) {
  if (Job* job = FindJob(id)) {
    job->started = true;
  }
}

void Cell::EraseRun(Server* server, const RunRef& run) {
  auto it = server->runs.find(run);
  if (it == server->runs.end()) {
    return;
  }
  const LiveRun& live = it->second;
  if (live.job_unknown) {
    --server->unknown_job_runs;
  } else {
    server->used = server->used.Without(live.room);
    Resources& usage = usage_[live.team];
    usage = usage.Without(live.need);
  }
  server->runs.erase(it);
}

void Cell::OnRunEnd(Server* server, const ListedEnd& end, Time now) {
  const auto live = server->runs.find(end.run);
  const uint32_t ran_ms =
      live == server->runs.end() ? 0 : AgeMs(live->second.start_sent_at, now);
  LiveRun ended;
  if (live != server->runs.end()) {
    LearnFromEnd(server, end, live->second, now);
    ended = live->second;
  }
  EraseRun(server, end.run);
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = FindTask(end.run.task, &job, &step);
  LogEvent(Part::kPlacer, "run_ended",
           {{"task", platform::TaskName(end.run.task)},
            {"run", end.run.number},
            {"backend", server->entry.id.value},
            {"how", static_cast<int>(end.end)},
            {"ran_ms", ran_ms},
            {"from_start", ended.from_scratch},
            {"stated_ms", ended.stated_ms},
            {"estimate_ms", ended.estimate_ms},
            {"expected_ms", std::lround(ended.expected.median_ms)},
            {"p90_ms", std::lround(ended.expected.p90_ms)},
            {"confidence", ended.expected.confidence}});
  if (end.end == RunEnd::kDone) {
    server->strikes = 0;
  }
  if (job != nullptr) {
    job->started = true;
  }
  if (task == nullptr || job->state != JobState::kActive ||
      task->phase == TaskPhase::kDone) {
    return;
  }
  const bool current = task->phase == TaskPhase::kLive &&
                       task->backend == server->entry.id &&
                       task->run == end.run.number;
  const StepSpec& spec = job->spec.steps[end.run.task.step];
  // Any run may complete a task. A perpetual task starts anew instead, but only
  // after its latest run: an end is listed until it is acknowledged, also to
  // later owners.
  if (end.end == RunEnd::kDone && !spec.perpetual) {
    OnTaskDone(job, end.run.task, now);
    return;
  }
  const std::string checkpoint =
      end.end == RunEnd::kDone ? std::string() : end.checkpoint;
  if (task->maybe_running && task->backend == server->entry.id &&
      task->run == end.run.number) {
    ClearMaybeRunning(*job, end.run.task, task);
    if (!checkpoint.empty() && spec.checkpoint) {
      task->checkpoint = checkpoint;
    }
  }
  if (end.end == RunEnd::kFailed) {
    OnTaskFailed(server, job, end.run, now);
  }
  if (current && job->state == JobState::kActive) {
    RequeueTask(job, end.run.task, checkpoint, now);
  }
}

/// Handles a run that certainly does not and will not run, although no end was
/// reported.
void Cell::OnRunGone(Server* server,
                     const RunRef& run,
                     const char* why,
                     Time now) {
  const auto live = server->runs.find(run);
  const std::string checkpoint =
      live == server->runs.end() ? std::string() : live->second.checkpoint;
  EraseRun(server, run);
  LogEvent(Part::kPlacer, "run_gone",
           {{"task", platform::TaskName(run.task)},
            {"run", run.number},
            {"backend", server->entry.id.value},
            {"why", why}});
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = FindTask(run.task, &job, &step);
  if (task != nullptr && job->state == JobState::kActive &&
      task->phase == TaskPhase::kLive && task->backend == server->entry.id &&
      task->run == run.number) {
    RequeueTask(job, run.task, checkpoint, now);
  }
}

/// @pre The task is not perpetual.
void Cell::OnTaskDone(Job* job, const TaskRef& ref, Time now) {
  Occurrence& occurrence = job->occurrences.at(ref.occurrence);
  Step& step = occurrence.steps[ref.step];
  const StepSpec& spec = job->spec.steps[ref.step];
  const auto finish = [&](uint32_t index) {
    Task& task = step.tasks[index];
    if (task.phase == TaskPhase::kDone) {
      return;
    }
    if (task.phase == TaskPhase::kLive) {
      --step.live;
      auto server = servers_.find(task.backend);
      const TaskRef other{ref.job, ref.occurrence, ref.step, index};
      if (!spec.gang && server != servers_.end()) {
        auto live = server->second.runs.find({other, task.run});
        if (live != server->second.runs.end()) {
          SendStop(&server->second, live->first, &live->second, "copy done",
                   now);
        }
      }
    }
    if (task.maybe_running) {
      ClearMaybeRunning(*job, {ref.job, ref.occurrence, ref.step, index},
                        &task);
    }
    task.phase = TaskPhase::kDone;
    ++step.done;
  };
  if (spec.gang) {
    for (uint32_t n = 0; n < step.tasks.size(); ++n) {
      finish(n);
    }
  } else {
    finish(ref.index);
  }
  job->progress_changed = true;
  changed_jobs_.insert(job->id);
  if (step.done < step.tasks.size()) {
    return;
  }
  ready_.Erase({job->id, ref.occurrence, ref.step});
  ++occurrence.steps_done;
  UpdateReady(job, ref.occurrence, now);
  if (occurrence.steps_done < occurrence.steps.size()) {
    return;
  }
  const uint64_t count = std::max<uint64_t>(1, job->spec.repeat_count);
  while (true) {
    auto first = job->occurrences.find(job->first_occurrence);
    if (first == job->occurrences.end() ||
        first->second.steps_done < first->second.steps.size()) {
      break;
    }
    job->occurrences.erase(first);
    ++job->first_occurrence;
  }
  if (job->first_occurrence >= count) {
    EndJob(job, JobState::kCompleted, now);
  }
}

void Cell::OnTaskFailed(Server* server, Job* job, const RunRef& run, Time now) {
  Step& step = job->occurrences.at(run.task.occurrence).steps[run.task.step];
  Task& task = step.tasks[run.task.index];
  const StepSpec& spec = job->spec.steps[run.task.step];
  task.failed_on = server->entry.id;
  NoteFailure(&task.failed_runs, run.number);
  if (spec.gang) {
    NoteFailure(&step.failed_runs, run.number);
  }
  job->progress_changed = true;
  changed_jobs_.insert(job->id);
  AddStrike(server, now);
  const size_t failures =
      std::max(task.failed_runs.size(), step.failed_runs.size());
  if (!spec.perpetual && failures >= job->policy.max_attempts) {
    LogEvent(Part::kPlacer, "job_failed",
             {{"job", job->id.value},
              {"task", platform::TaskName(run.task)},
              {"failures", failures}});
    EndJob(job, JobState::kFailed, now);
  }
}

/// Gives the backend server no work for kAvoidDuration.
void Cell::AvoidServer(Server* server, Time now) {
  server->avoid_until = now + kAvoidDuration;
}

void Cell::AddStrike(Server* server, Time now) {
  server->strikes += 1;
  if (server->strikes >= kStrikesToAvoid) {
    AvoidServer(server, now);
    LogEvent(
        Part::kPlacer, "backend_avoided",
        {{"backend", server->entry.id.value}, {"strikes", server->strikes}});
  }
}

void Cell::RequeueTask(Job* job,
                       const TaskRef& ref,
                       const std::string& checkpoint,
                       Time now) {
  Step& step = job->occurrences.at(ref.occurrence).steps[ref.step];
  Task& task = step.tasks[ref.index];
  const StepSpec& spec = job->spec.steps[ref.step];
  if (task.phase == TaskPhase::kLive) {
    --step.live;
  }
  task.phase = TaskPhase::kWaiting;
  step.waiting_since = now;
  if (!checkpoint.empty() && spec.checkpoint) {
    if (spec.gang) {
      for (auto& it : step.tasks) {
        it.checkpoint = checkpoint;
      }
    } else {
      task.checkpoint = checkpoint;
    }
    job->progress_changed = true;
    changed_jobs_.insert(job->id);
  }
  if (spec.gang) {
    TearDownGang(job, ref, now);
  } else {
    ready_.Insert({ref.job, ref.occurrence, ref.step}, job->rate_limited);
  }
}

/// Tears a gang down if only some members were found running; the others never
/// started.
void Cell::TearDownPartialGang(Job* job, const StepRef& ref, Time now) {
  Step& step = job->occurrences.at(ref.occurrence).steps[ref.step];
  const bool any_maybe_running =
      std::any_of(step.tasks.begin(), step.tasks.end(),
                  [](const Task& it) { return it.maybe_running; });
  if (job->spec.steps[ref.step].gang && !any_maybe_running && step.live > 0 &&
      step.live + step.done < step.tasks.size()) {
    TearDownGang(job, {ref.job, ref.occurrence, ref.step, 0}, now);
  }
}

/// Stops the remaining members of a gang. It restarts once all have ended.
void Cell::TearDownGang(Job* job, const TaskRef& member, Time now) {
  Step& step = job->occurrences.at(member.occurrence).steps[member.step];
  if (step.live == 0) {
    step.tearing_down = false;
    ready_.Insert({member.job, member.occurrence, member.step},
                  job->rate_limited);
    return;
  }
  if (step.tearing_down) {
    return;
  }
  step.tearing_down = true;
  for (uint32_t n = 0; n < step.tasks.size(); ++n) {
    const Task& task = step.tasks[n];
    auto server = servers_.find(task.backend);
    if (task.phase != TaskPhase::kLive || server == servers_.end()) {
      continue;
    }
    const TaskRef ref{member.job, member.occurrence, member.step, n};
    auto live = server->second.runs.find({ref, task.run});
    if (live != server->second.runs.end() &&
        live->second.phase != RunPhase::kStarting) {
      SendStop(&server->second, live->first, &live->second, "gang broken", now);
    } else if (live != server->second.runs.end()) {
      live->second.phase = RunPhase::kStopping;
    }
  }
}

}  // namespace bw
