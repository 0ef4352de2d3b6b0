// The cell's persisted records, by key: "s:JOB" is a job as submitted, until it
// ends; "p:JOB" is its progress, then its final state; "b:BACKEND" is a backend
// server that may run tasks. "KEY/1" and so on hold the value of a key that is
// too large for one record.

#include <algorithm>
#include <utility>

#include "cell_base.h"
#include "event_log_func.h"
#include "platform/ingress.h"
#include "platform/store.h"
#include "proto/bw.pb.h"

namespace bw {
namespace {

/// Added to the guaranteed retention time of ended jobs, as clocks differ.
constexpr uint64_t kClockSkewMs = 30'000;

/// Length of the kind that a key begins with.
constexpr size_t kKindLength = 2;
/// Upper bound of the bytes that a key takes in its record.
constexpr size_t kMaxKeyBytes = 256;
/// Between a key and the number of a further record.
constexpr char kPartSeparator = '/';

std::string PartKey(const std::string& key, uint32_t n) {
  return key + kPartSeparator + std::to_string(n);
}

/// @return The value of a key whose value is in `parts` further records.
template <typename T>
std::string MakeHead(uint32_t parts) {
  T out;
  out.set_continued_in(parts);
  return out.SerializeAsString();
}

std::string PackDone(const std::vector<bool>& done) {
  std::string out((done.size() + 7) / 8, '\0');
  for (size_t n = 0; n < done.size(); ++n) {
    if (done[n]) {
      out[n / 8] = static_cast<char>(out[n / 8] | (1 << (n % 8)));
    }
  }
  return out;
}

bool IsDone(const std::string& packed, size_t n) {
  return n / 8 < packed.size() && ((packed[n / 8] >> (n % 8)) & 1) != 0;
}

Resources ToResources(const proto::BackendRecord& in) {
  return {in.millicores(), in.memory_mb(), in.accelerators()};
}

/// @return The policy of a job's queue when it was accepted, which applies if
/// the queue was removed since.
CellQueue PolicyOf(const proto::JobRecord& record) {
  CellQueue out;
  out.name = QueueId(record.queue());
  out.service = record.service();
  out.max_attempts = record.max_attempts();
  out.priority = record.priority();
  out.stretch = record.stretch();
  out.target_latency_ms = record.target_latency_ms();
  if (record.has_advice()) {
    out.advice = AdvicePolicy{record.advice().query_ms(),
                              record.advice().query_ms_per_server(),
                              record.advice().valid_ms()};
  }
  return out;
}

}  // namespace

std::string Cell::SerializeJob(const Job& job) {
  proto::JobRecord out;
  out.set_team(job.team.value);
  out.set_queue(job.queue.value);
  out.set_body(job.body);
  out.set_accepted_ms(job.accepted_ms);
  out.set_over_share(job.rate_limited);
  out.set_service(job.policy.service);
  out.set_max_attempts(job.policy.max_attempts);
  out.set_priority(job.policy.priority);
  out.set_stretch(job.policy.stretch);
  out.set_target_latency_ms(job.policy.target_latency_ms);
  if (const auto& advice = job.policy.advice) {
    auto* it = out.mutable_advice();
    it->set_query_ms(advice->query_ms);
    it->set_query_ms_per_server(advice->query_ms_per_server);
    it->set_valid_ms(advice->valid_ms);
  }
  return out.SerializeAsString();
}

std::string Cell::SerializeProgress(const Job& job) const {
  proto::JobProgress out;
  out.set_state(static_cast<uint32_t>(job.state));
  out.set_team(job.team.value);
  out.set_queue(job.queue.value);
  out.set_started(job.started);
  out.set_first_occurrence(job.first_occurrence);
  if (job.state != JobState::kActive) {
    out.set_ended_ms(wall_ms_);
    return out.SerializeAsString();
  }
  for (const auto& occurrence : job.occurrences) {
    for (uint32_t n = 0; n < occurrence.second.steps.size(); ++n) {
      const Step& step = occurrence.second.steps[n];
      auto* it = out.add_steps();
      it->set_occurrence(occurrence.first);
      it->set_step(n);
      it->mutable_failed_runs()->Add(step.failed_runs.begin(),
                                     step.failed_runs.end());
      std::vector<bool> done;
      for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        done.push_back(task.phase == TaskPhase::kDone);
        if (!task.failed_runs.empty()) {
          auto* failed = it->add_failed();
          failed->set_index(i);
          failed->mutable_runs()->Add(task.failed_runs.begin(),
                                      task.failed_runs.end());
        }
        if (task.phase == TaskPhase::kLive || task.maybe_running) {
          auto* placed = it->add_placed();
          placed->set_index(i);
          placed->set_backend(task.backend.value);
          placed->set_run(task.run);
        }
        if (!task.checkpoint.empty() && task.phase != TaskPhase::kDone) {
          auto* saved = it->add_saved();
          saved->set_index(i);
          saved->set_checkpoint(task.checkpoint);
        }
      }
      it->set_done(PackDone(done));
    }
  }
  return out.SerializeAsString();
}

/// Adds the records of a key: one, or if the value is too large for one, a head
/// and further records that hold its parts.
/// @param value Empty: removes the key.
/// @param parts Number of further records; those not needed any more are
/// removed.
void Cell::AddRecords(const std::string& key,
                      const std::string& value,
                      uint32_t* parts,
                      std::vector<std::string>* out) const {
  const size_t max_bytes = options_.max_record_bytes - kMaxKeyBytes;
  uint32_t count = 0;
  if (value.size() <= max_bytes) {
    out->push_back(platform::MakeKeyedRecord(key, value));
  } else {
    count = static_cast<uint32_t>((value.size() + max_bytes - 1) / max_bytes);
    out->push_back(platform::MakeKeyedRecord(
        key, key.starts_with("s:") ? MakeHead<proto::JobRecord>(count)
                                   : MakeHead<proto::JobProgress>(count)));
  }
  for (uint32_t n = 0; n < count; ++n) {
    out->push_back(platform::MakeKeyedRecord(
        PartKey(key, n + 1), value.substr(n * max_bytes, max_bytes)));
  }
  for (uint32_t n = count; n < *parts; ++n) {
    out->push_back(platform::MakeKeyedRecord(PartKey(key, n + 1), ""));
  }
  *parts = count;
}

/// Stores the progress of changed jobs. Once it is durable, sends the starts it
/// records and lets the ends it covers be acknowledged.
void Cell::StoreChanges() {
  if (changed_jobs_.empty() && ends_to_acknowledge_.empty()) {
    return;
  }
  auto starts = std::move(unsent_starts_);
  unsent_starts_.clear();
  for (const auto& id : changed_jobs_) {
    if (Job* job = FindJob(id); job != nullptr && job->progress_changed) {
      job->progress_changed = false;
      // A batch for each job, as a call of the store may not hold all.
      std::vector<std::string> records;
      AddRecords("p:" + id.value, SerializeProgress(*job), &job->progress_parts,
                 &records);
      port_->StoreRecords(std::move(records), [] {});
    }
  }
  changed_jobs_.clear();
  auto ends = std::move(ends_to_acknowledge_);
  ends_to_acknowledge_.clear();
  std::vector<std::pair<uint64_t, std::pair<BackendId, uint64_t>>> stored;
  for (const auto& it : ends) {
    if (auto server = servers_.find(it.first); server != servers_.end()) {
      stored.push_back(
          {server->second.entry.incarnation, {it.first, it.second}});
    }
  }
  port_->StoreRecords({}, [this, stored, starts] {
    for (const auto& it : starts) {
      SendStart(it, now_);
    }
    for (const auto& it : stored) {
      auto server = servers_.find(it.second.first);
      if (server != servers_.end() &&
          server->second.entry.incarnation == it.first) {
        server->second.acknowledged =
            std::max(server->second.acknowledged, it.second.second);
      }
    }
  });
}

void Cell::StoreServerRecord(Server* server) {
  server->storing_record = true;
  const BackendEntry& entry = server->entry;
  proto::BackendRecord record;
  record.set_service(entry.service);
  record.set_address(entry.address);
  record.set_zone(entry.zone.value);
  record.set_incarnation(entry.incarnation);
  record.set_millicores(entry.capacity.millicores);
  record.set_memory_mb(entry.capacity.memory_mb);
  record.set_accelerators(entry.capacity.accelerators);
  record.set_rack(entry.rack);
  for (const auto& it : entry.labels) {
    record.add_labels(it);
  }
  const uint64_t incarnation = entry.incarnation;
  port_->StoreRecords(
      {platform::MakeKeyedRecord("b:" + entry.id.value,
                                 record.SerializeAsString())},
      [this, id = entry.id, incarnation] {
        auto it = servers_.find(id);
        // It may have become known since.
        if (it != servers_.end() &&
            (it->second.entry.incarnation == incarnation || incarnation == 0)) {
          it->second.record_stored = true;
          it->second.storing_record = false;
        }
      });
}

void Cell::Load(const std::string& key, const std::string& value, Time now) {
  if (key.size() <= kKindLength || value.empty()) {
    return;
  }
  const std::string name = key.substr(kKindLength);
  if (key.starts_with("b:")) {
    LoadBackend(BackendId(name), value, now);
  } else if (key.find(kPartSeparator) != std::string::npos) {
    loaded_parts_[key] = value;
  } else if (key.starts_with("s:")) {
    LoadJob(JobId(name), value, now);
  } else if (key.starts_with("p:")) {
    LoadProgress(JobId(name), value);
  } else {
    LogEvent(Part::kPlacer, "record_unreadable", {{"key", key}});
  }
}

/// Loads the values that take several records. @pre All records were loaded.
void Cell::LoadContinued(Time now) {
  const auto parts = std::exchange(loaded_parts_, {});
  const auto continued = std::exchange(continued_, {});
  for (const auto& [key, count] : continued) {
    std::string value;
    for (uint32_t n = 1; n <= count; ++n) {
      if (auto it = parts.find(PartKey(key, n)); it != parts.end()) {
        value += it->second;
      }
    }
    Load(key, value, now);
  }
  for (const auto& [key, count] : continued) {
    if (Job* job = FindJob(JobId(key.substr(kKindLength)))) {
      (key.starts_with("s:") ? job->body_parts : job->progress_parts) = count;
    }
  }
}

void Cell::LoadJob(const JobId& id, const std::string& value, Time now) {
  proto::JobRecord record;
  Job job;
  const bool parsed = record.ParseFromString(value);
  if (parsed && record.continued_in() > 0) {
    continued_["s:" + id.value] = record.continued_in();
    return;
  }
  if (!parsed || platform::ReadBatchSpec(record.body(), &job.spec) !=
                     platform::SpecError::kNone) {
    LogEvent(Part::kPlacer, "record_unreadable", {{"job", id.value}});
    return;
  }
  for (auto& it : job.spec.steps) {
    it.stated_ms = it.estimate_ms;
  }
  job.id = id;
  job.team = TeamId(record.team());
  job.queue = QueueId(record.queue());
  job.body = record.body();
  job.accepted_ms = record.accepted_ms();
  job.accepted =
      now -
      milliseconds(wall_ms_ > job.accepted_ms ? wall_ms_ - job.accepted_ms : 0);
  job.rate_limited = record.over_share();
  job.arrival = ++last_arrival_;
  job.from_former_owner = true;
  job.stored = true;
  const CellQueue* policy = config_ ? config_->FindQueue(job.queue) : nullptr;
  if (policy != nullptr) {
    job.policy = *policy;
  } else {
    job.policy = PolicyOf(record);
  }
  job.objective = ObjectiveOf(job.policy, LongestChainMs(job.spec, {}));
  jobs_[id] = std::move(job);
}

void Cell::LoadProgress(const JobId& id, const std::string& value) {
  proto::JobProgress record;
  if (!record.ParseFromString(value)) {
    LogEvent(Part::kPlacer, "record_unreadable", {{"job", id.value}});
    return;
  }
  if (record.continued_in() > 0) {
    continued_["p:" + id.value] = record.continued_in();
    return;
  }
  if (record.state() != 0) {
    ended_[id] = {TeamId(record.team()), QueueId(record.queue()),
                  static_cast<JobState>(record.state()), record.ended_ms()};
  } else {
    loaded_progress_[id] = value;
  }
}

void Cell::LoadBackend(const BackendId& id,
                       const std::string& value,
                       Time now) {
  proto::BackendRecord record;
  if (!record.ParseFromString(value)) {
    LogEvent(Part::kPlacer, "record_unreadable", {{"backend", id.value}});
    return;
  }
  Server& server = servers_[id];
  server.entry.id = id;
  server.entry.service = record.service();
  server.entry.address = record.address();
  server.entry.zone = ZoneId(record.zone());
  server.entry.incarnation = record.incarnation();
  server.entry.capacity = ToResources(record);
  server.entry.labels.assign(record.labels().begin(), record.labels().end());
  server.entry.rack = record.rack();
  server.rack = RackNumber(record.rack());
  server.service = ServiceNumber(record.service());
  server.record_stored = true;
  // The longest lease that a former owner may have granted just now, on a clock
  // that is 2% slow.
  constexpr double kSlowestClock = 0.98;
  constexpr milliseconds kSlack{500};
  server.unknown_leases_lapse_at =
      now +
      std::chrono::duration_cast<Duration>(options_.max_lease / kSlowestClock) +
      kSlack;
}

void Cell::ApplyProgress(Job* job, const std::string& value, Time now) {
  proto::JobProgress record;
  record.ParseFromString(value);
  job->started = record.started();
  job->first_occurrence = record.first_occurrence();
  job->next_occurrence = record.first_occurrence();
  for (const auto& it : record.steps()) {
    if (!job->occurrences.contains(it.occurrence())) {
      AddOccurrence(job, it.occurrence(), now);
    }
    auto& steps = job->occurrences[it.occurrence()].steps;
    if (it.step() >= steps.size()) {
      continue;
    }
    Step& step = steps[it.step()];
    step.failed_runs.assign(it.failed_runs().begin(), it.failed_runs().end());
    for (uint32_t n = 0; n < step.tasks.size(); ++n) {
      if (IsDone(it.done(), n)) {
        step.tasks[n].phase = TaskPhase::kDone;
        ++step.done;
      }
    }
    for (const auto& row : it.failed()) {
      if (row.index() < step.tasks.size()) {
        step.tasks[row.index()].failed_runs.assign(row.runs().begin(),
                                                   row.runs().end());
      }
    }
    for (const auto& row : it.placed()) {
      if (row.index() < step.tasks.size()) {
        Task& task = step.tasks[row.index()];
        task.backend = BackendId(row.backend());
        task.run = row.run();
        task.maybe_running = true;
        ++maybe_running_count_;
        maybe_running_[task.backend].push_back(
            {job->id, it.occurrence(), it.step(), row.index()});
        const auto& need = job->spec.steps[it.step()].need;
        maybe_running_usage_[job->team] =
            maybe_running_usage_[job->team] + need;
      }
    }
    for (const auto& row : it.saved()) {
      if (row.index() < step.tasks.size()) {
        step.tasks[row.index()].checkpoint = row.checkpoint();
      }
    }
  }
}

/// Ends jobs whose stored progress is final: a former owner may have stored the
/// last progress but not the end.
void Cell::EndFinishedJobs(Time now) {
  for (auto& it : jobs_) {
    Job& job = it.second;
    bool done =
        !job.occurrences.empty() &&
        job.next_occurrence >= std::max<uint64_t>(1, job.spec.repeat_count);
    bool failed = false;
    for (const auto& occurrence : job.occurrences) {
      const auto& steps = occurrence.second.steps;
      done = done && occurrence.second.steps_done == steps.size();
      for (size_t n = 0; n < steps.size(); ++n) {
        size_t failures = steps[n].failed_runs.size();
        for (const auto& task : steps[n].tasks) {
          failures = std::max(failures, task.failed_runs.size());
        }
        failed = failed || (!job.spec.steps[n].perpetual &&
                            failures >= job.policy.max_attempts);
      }
    }
    if (done || failed) {
      EndJob(&job, failed ? JobState::kFailed : JobState::kCompleted, now);
    }
  }
}

void Cell::OnLoaded(Time now) {
  loaded_at_ = now;
  LoadContinued(now);
  for (auto& it : jobs_) {
    Job* job = &it.second;
    auto progress = loaded_progress_.find(it.first);
    if (progress != loaded_progress_.end()) {
      ApplyProgress(job, progress->second, now);
    }
    OpenJob(job, now);
    for (auto& occurrence : job->occurrences) {
      occurrence.second.steps_done = static_cast<uint32_t>(std::count_if(
          occurrence.second.steps.begin(), occurrence.second.steps.end(),
          [](const Step& step) { return step.done == step.tasks.size(); }));
      for (uint32_t n = 0; n < occurrence.second.steps.size(); ++n) {
        const Step& step = occurrence.second.steps[n];
        if (step.done == step.tasks.size()) {
          ready_.Erase({it.first, occurrence.first, n});
        }
      }
      UpdateReady(job, occurrence.first, now);
    }
  }
  loaded_progress_.clear();
  EndFinishedJobs(now);
  std::vector<BackendId> without_record;
  for (const auto& it : maybe_running_) {
    if (!servers_.contains(it.first)) {
      without_record.push_back(it.first);
    }
  }
  for (const auto& id : without_record) {
    ResolveMaybeRunning(id, now);  // Its leases have lapsed.
  }
  LogEvent(Part::kPlacer, "cell_loaded",
           {{"jobs", jobs_.size()},
            {"ended", ended_.size()},
            {"backends", servers_.size()},
            {"token", options_.fencing_token}});
}

void Cell::DropExpiredJobs(uint64_t wall_ms) {
  const uint64_t retention_ms =
      static_cast<uint64_t>(options_.ended_job_retention.count()) +
      kClockSkewMs;
  std::vector<std::string> records;
  for (auto it = ended_.begin(); it != ended_.end();) {
    if (wall_ms > it->second.ended_ms + retention_ms) {
      records.push_back(platform::MakeKeyedRecord("p:" + it->first.value, ""));
      it = ended_.erase(it);
    } else {
      ++it;
    }
  }
  if (!records.empty()) {
    port_->StoreRecords(std::move(records), [] {});
  }
}

}  // namespace bw
