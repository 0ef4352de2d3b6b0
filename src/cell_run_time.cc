// What the cell learns from its runs, and what it expects of others.

#include <algorithm>

#include "cell_base.h"

namespace bw {
namespace {

/// Confidence from which a learned run time replaces the stated one.
constexpr double kMinConfidence = 0.66;

/// @return True if a run's time says how long others of its class take. Data
/// may be on another rack.
bool IsTypical(const StepSpec& spec) {
  return !spec.perpetual && !spec.best_effort && !spec.same_rack &&
         spec.rack.empty();
}

}  // namespace

RunClass Cell::RunClassOf(const Job& job, const StepSpec& spec) {
  RunClass out;
  out.queue = job.queue;
  out.team = job.team;
  out.image = spec.image;
  out.gang = spec.gang;
  out.width_bucket = spec.gang ? WidthBucketOf(spec.count) : 0;
  return out;
}

/// Sets the estimates of the job's steps to what was learned, if that is used.
void Cell::UpdateEstimates(Job* job, Time now) {
  if (!options_.learn_run_times) {
    return;
  }
  for (auto& spec : job->spec.steps) {
    if (spec.perpetual) {
      continue;
    }
    const RunExpectation expected = run_times_.Expect(
        RunClassOf(*job, spec), static_cast<double>(spec.stated_ms), now);
    if (expected.confidence >= kMinConfidence) {
      spec.estimate_ms =
          std::max<uint64_t>(1, static_cast<uint64_t>(expected.median_ms));
      spec.upper_ms = static_cast<uint64_t>(expected.p90_ms);
    }
  }
}

/// Sets the expected run time of a run on a backend server.
void Cell::ExpectRun(const Job& job,
                     const StepSpec& spec,
                     const BackendId& backend,
                     LiveRun* live,
                     Time now) const {
  live->stated_ms = spec.stated_ms;
  live->estimate_ms = spec.estimate_ms;
  live->expected = run_times_.Expect(RunClassOf(job, spec),
                                     static_cast<double>(spec.stated_ms), now);
  if (!options_.learn_run_times || live->expected.confidence < kMinConfidence) {
    return;
  }
  const double speed = spec.gang ? 1 : speed_meter_.RelativeSpeed(backend, now);
  live->estimate_ms = std::max<uint64_t>(
      1, static_cast<uint64_t>(live->expected.median_ms / speed));
}

/// @pre The run was not removed yet.
void Cell::LearnFromEnd(Server* server,
                        const ListedEnd& end,
                        const LiveRun& live,
                        Time now) {
  Job* job = nullptr;
  Step* step = nullptr;
  const Task* task = FindTask(end.run.task, &job, &step);
  if (task == nullptr || !live.from_scratch || live.start_sent_at == kNever) {
    return;
  }
  const StepSpec& spec = job->spec.steps[end.run.task.step];
  const double ran_ms = AgeMs(live.start_sent_at, now);
  if (!IsTypical(spec) || ran_ms <= 0) {
    return;
  }
  const RunClass run_class = RunClassOf(*job, spec);
  const auto stated_ms = static_cast<double>(spec.stated_ms);
  const bool done = end.end == RunEnd::kDone;
  // The first end of a gang's member completes the whole gang.
  const bool counts =
      task->phase == TaskPhase::kLive && task->run == end.run.number;
  if (spec.gang && !counts) {
    return;
  }
  if (spec.gang && done) {
    run_times_.OnEnd(run_class, stated_ms, ran_ms, now, step->progress);
  } else if (spec.gang) {
    run_times_.OnRunning(run_class, stated_ms, ran_ms, &step->progress, now);
  } else if (!spec.gang && done) {
    speed_meter_.OnDone(run_class, server->entry.id, stated_ms, ran_ms, now,
                        live.progress);
  } else if (!spec.gang) {
    run_times_.OnCensored(run_class, stated_ms,
                          speed_meter_.NormalMs(server->entry.id, ran_ms, now),
                          now, live.progress);
  }
}

void Cell::LearnFromRunning(Server* server,
                            const RunRef& run,
                            LiveRun* live,
                            Time now) {
  Job* job = nullptr;
  Step* step = nullptr;
  const Task* task = FindTask(run.task, &job, &step);
  if (task == nullptr || live->phase != RunPhase::kRunning ||
      !live->from_scratch || live->start_sent_at == kNever) {
    return;
  }
  const StepSpec& spec = job->spec.steps[run.task.step];
  if (!IsTypical(spec)) {
    return;
  }
  const double ran_ms = 1 + AgeMs(live->start_sent_at, now);
  const RunClass run_class = RunClassOf(*job, spec);
  const auto stated_ms = static_cast<double>(spec.stated_ms);
  if (spec.gang) {
    if (task->run == run.number && task->phase == TaskPhase::kLive) {
      run_times_.OnRunning(run_class, stated_ms, ran_ms, &step->progress, now);
    }
    return;
  }
  if (live->expected.confidence < kMinConfidence) {
    live->expected = run_times_.Expect(run_class, stated_ms, now);
  }
  speed_meter_.OnRunning(server->entry.id, live->expected, ran_ms, now);
  run_times_.OnRunning(run_class, stated_ms,
                       speed_meter_.NormalMs(server->entry.id, ran_ms, now),
                       &live->progress, now);
}

}  // namespace bw
