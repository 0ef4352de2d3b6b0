// The cell's persisted records, by key: "s:JOB" is a job as submitted, until it
// ends; "p:JOB" is its progress, then its final state; "c:JOB" is a job that
// was cancelled before it was submitted; "b:BACKEND" is a backend server that
// may run tasks. "KEY/SET/1" and so on hold the value of a key that is too
// large for one record.

#include <algorithm>
#include <charconv>
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

/// @param set Number of the set of records; 0 is not part of the key.
/// @param n Number of the record in its set, from 1 on.
std::string PartKey(const std::string& key, uint64_t set, uint32_t n) {
  std::string out = key + kPartSeparator;
  if (set > 0) {
    out += std::to_string(set) + kPartSeparator;
  }
  return out + std::to_string(n);
}

/// @return The set of a further record; 0 if its key names none.
uint64_t PartSetOf(const std::string& part_key) {
  const size_t first = part_key.find(kPartSeparator);
  const size_t last = part_key.rfind(kPartSeparator);
  uint64_t out = 0;
  if (first < last) {
    std::from_chars(part_key.data() + first + 1, part_key.data() + last, out);
  }
  return out;
}

/// @return The value of a key whose value is in `count` further records.
template <typename T>
std::string MakeHead(uint64_t set, uint32_t count) {
  T out;
  out.set_continued_in(count);
  out.set_continued_set(set);
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
/// and further records that hold its parts. The parts come first, under keys of
/// their own, and those of the former value are removed last: each of the
/// records leaves the former value or the new one.
/// @param value Empty: removes the key.
/// @param parts The further records of the former value, then of the new one.
void Cell::AddRecords(const std::string& key,
                      const std::string& value,
                      PartSet* parts,
                      std::vector<std::string>* out) {
  const size_t max_bytes = options_.max_record_bytes - kMaxKeyBytes;
  const PartSet former = *parts;
  *parts = {};
  if (value.size() <= max_bytes) {
    out->push_back(platform::MakeKeyedRecord(key, value));
  } else {
    parts->number = ++last_part_set_;
    parts->count =
        static_cast<uint32_t>((value.size() + max_bytes - 1) / max_bytes);
    for (uint32_t n = 0; n < parts->count; ++n) {
      out->push_back(
          platform::MakeKeyedRecord(PartKey(key, parts->number, n + 1),
                                    value.substr(n * max_bytes, max_bytes)));
    }
    out->push_back(platform::MakeKeyedRecord(
        key, key.starts_with("s:")
                 ? MakeHead<proto::JobRecord>(parts->number, parts->count)
                 : MakeHead<proto::JobProgress>(parts->number, parts->count)));
  }
  for (uint32_t n = 0; n < former.count; ++n) {
    out->push_back(
        platform::MakeKeyedRecord(PartKey(key, former.number, n + 1), ""));
  }
}

/// What is done once the records of one StoreChanges call are stored.
struct Cell::Changes {
  /// Of an incarnation of a backend server.
  struct Ends {
    BackendId backend;
    uint64_t incarnation = 0;
    PendingEnds ends;
  };
  std::vector<UnsentStart> starts;
  std::vector<Ends> ends;
};

/// Stores the progress of changed jobs. Once it is durable, sends the starts it
/// records and lets the ends it covers be acknowledged.
void Cell::StoreChanges() {
  if ((changed_jobs_.empty() && ends_to_acknowledge_.empty()) ||
      port_->HasStoreBacklog()) {
    return;
  }
  Changes changes;
  changes.starts = std::exchange(unsent_starts_, {});
  for (const auto& id : std::exchange(changed_jobs_, {})) {
    if (Job* job = FindJob(id); job != nullptr && job->progress_changed) {
      job->progress_changed = false;
      // A batch for each job, as a call of the store may not hold all.
      std::vector<std::string> records;
      AddRecords("p:" + id.value, SerializeProgress(*job), &job->progress_parts,
                 &records);
      port_->StoreRecords(std::move(records), [this, id](bool stored) {
        OnProgressStored(id, stored);
      });
    }
  }
  for (auto& it : std::exchange(ends_to_acknowledge_, {})) {
    if (auto server = servers_.find(it.first); server != servers_.end()) {
      changes.ends.push_back(
          {it.first, server->second.entry.incarnation, std::move(it.second)});
    }
  }
  port_->StoreRecords({}, [this, changes = std::move(changes)](bool) {
    OnChangesStored(changes);
  });
}

void Cell::OnProgressStored(const JobId& id, bool stored) {
  if (stored) {
    refused_jobs_.erase(id);
  } else {
    refused_jobs_[id] = now_ + kRefusedRecordPause;
  }
}

/// @pre The outcome of each of the records is known.
void Cell::OnChangesStored(const Changes& changes) {
  for (const auto& it : changes.starts) {
    SendStart(it, now_);
  }
  for (const auto& it : changes.ends) {
    auto server = servers_.find(it.backend);
    if (server == servers_.end() ||
        server->second.entry.incarnation != it.incarnation) {
      continue;
    }
    const bool refused = std::any_of(
        it.ends.jobs.begin(), it.ends.jobs.end(),
        [&](const JobId& id) { return refused_jobs_.contains(id); });
    if (refused) {
      PendingEnds& pending = ends_to_acknowledge_[it.backend];
      pending.last = std::max(pending.last, it.ends.last);
      pending.jobs.insert(it.ends.jobs.begin(), it.ends.jobs.end());
    } else {
      server->second.acknowledged =
          std::max(server->second.acknowledged, it.ends.last);
    }
  }
}

/// Stores the progress and the ends again that the store refused.
void Cell::RetryRefused(Time now) {
  for (auto it = refused_jobs_.begin(); it != refused_jobs_.end();) {
    Job* job = FindJob(it->first);
    if (job == nullptr) {
      it = refused_jobs_.erase(it);
      continue;
    }
    if (now >= it->second) {
      it->second = now + kRefusedRecordPause;
      if (job->state != JobState::kActive) {
        StoreEnd(job);
      } else {
        job->progress_changed = true;
        changed_jobs_.insert(job->id);
      }
    }
    ++it;
  }
}

/// Stores the record of a backend server that may get tasks. One that never
/// answered has none: any writer can put an entry into the store.
void Cell::StoreServerRecordIfNeeded(Server* server, Time now) {
  if (!server->listed || !server->lists_read || server->record_stored ||
      server->storing_record || now < server->next_record_at) {
    return;
  }
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
  const uint64_t incarnation = entry.incarnation;
  port_->StoreRecords(
      {platform::MakeKeyedRecord("b:" + entry.id.value,
                                 record.SerializeAsString())},
      [this, id = entry.id, incarnation](bool stored) {
        auto it = servers_.find(id);
        // It may have become known since.
        if (it != servers_.end() &&
            (it->second.entry.incarnation == incarnation || incarnation == 0)) {
          it->second.record_stored = stored;
          it->second.storing_record = false;
          it->second.next_record_at =
              stored ? kNever : now_ + kRefusedRecordPause;
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
    last_part_set_ = std::max(last_part_set_, PartSetOf(key));
  } else if (key.starts_with("s:")) {
    LoadJob(JobId(name), value, now);
  } else if (key.starts_with("p:")) {
    LoadProgress(JobId(name), value);
  } else if (key.starts_with("c:")) {
    LoadEarlyCancel(JobId(name), value);
  } else {
    LogEvent(Part::kPlacer, "record_unreadable", {{"key", key}});
  }
}

/// Loads the values that take several records. @pre All records were loaded.
void Cell::LoadContinued(Time now) {
  auto parts = std::exchange(loaded_parts_, {});
  const auto continued = std::exchange(continued_, {});
  for (const auto& [key, set] : continued) {
    std::string value;
    uint32_t found = 0;
    for (uint32_t n = 1; n <= set.count; ++n) {
      if (auto node = parts.extract(PartKey(key, set.number, n));
          !node.empty()) {
        value += node.mapped();
        ++found;
      }
    }
    if (found < set.count) {
      LogEvent(Part::kPlacer, "record_incomplete",
               {{"key", key}, {"parts", set.count}, {"found", found}});
      continue;
    }
    Load(key, value, now);
  }
  for (const auto& [key, set] : continued) {
    if (Job* job = FindJob(JobId(key.substr(kKindLength)))) {
      (key.starts_with("s:") ? job->body_parts : job->progress_parts) = set;
    }
  }
  for (const auto& it : parts) {
    leftover_keys_.push_back(it.first);
  }
}

/// Removes records that a former owner left as it stored only some of those of
/// a job.
void Cell::RemoveLeftovers() {
  std::vector<std::string> records;
  for (const auto& key : std::exchange(leftover_keys_, {})) {
    records.push_back(platform::MakeKeyedRecord(key, ""));
  }
  for (const auto& it : ended_) {
    if (auto job = jobs_.extract(it.first); !job.empty()) {
      AddRecords("s:" + it.first.value, "", &job.mapped().body_parts, &records);
    }
  }
  if (!records.empty()) {
    LogEvent(Part::kPlacer, "leftovers_removed", {{"records", records.size()}});
    port_->StoreRecords(std::move(records), [](bool) {});
  }
}

void Cell::LoadJob(const JobId& id, const std::string& value, Time now) {
  proto::JobRecord record;
  Job job;
  const bool parsed = record.ParseFromString(value);
  if (parsed && record.continued_in() > 0) {
    continued_["s:" + id.value] = {record.continued_set(),
                                   record.continued_in()};
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
  services_in_use_.insert(ServiceNumber(job.policy.service));
  jobs_[id] = std::move(job);
}

void Cell::LoadProgress(const JobId& id, const std::string& value) {
  proto::JobProgress record;
  if (!record.ParseFromString(value)) {
    LogEvent(Part::kPlacer, "record_unreadable", {{"job", id.value}});
    return;
  }
  if (record.continued_in() > 0) {
    continued_["p:" + id.value] = {record.continued_set(),
                                   record.continued_in()};
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
  RemoveLeftovers();
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
            {"owner_number", options_.owner_number}});
}

/// @return How long ended jobs are known, in ms of the wall clock.
uint64_t Cell::RetentionMs() const {
  return static_cast<uint64_t>(options_.ended_job_retention.count()) +
         kClockSkewMs;
}

void Cell::DropExpiredJobs(uint64_t wall_ms) {
  const uint64_t retention_ms = RetentionMs();
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
    port_->StoreRecords(std::move(records), [](bool) {});
  }
}

}  // namespace bw
