#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "work_func.h"

namespace bw {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 3> kJobKinds = {"service", "batch", "gang"};
constexpr std::array<const char*, 7> kRecordKinds = {
    "accepted", "cancelled", "started", "done", "failed", "intent", "void"};
constexpr size_t kMaxCommandBytes = 16'384;

/// A numeric field of a job specification and its permitted range.
struct SpecField {
  const char* name;
  uint64_t min;
  uint64_t max;
  uint64_t default_value;
  void (*set)(JobSpec*, uint64_t);
  uint64_t (*get)(const JobSpec&);
};

constexpr SpecField kSpecFields[] = {
    {"tasks", 1, 10'000, 1,
     [](JobSpec* s, uint64_t n) { s->tasks = static_cast<uint32_t>(n); },
     [](const JobSpec& s) -> uint64_t { return s.tasks; }},
    {"millicores", 1, 1'024'000, 1000,
     [](JobSpec* s, uint64_t n) { s->need.millicores = n; },
     [](const JobSpec& s) { return s.need.millicores; }},
    {"memory_mb", 0, 64'000'000, 0,
     [](JobSpec* s, uint64_t n) { s->need.memory_mb = n; },
     [](const JobSpec& s) { return s.need.memory_mb; }},
    {"accelerators", 0, 1024, 0,
     [](JobSpec* s, uint64_t n) { s->need.accelerators = n; },
     [](const JobSpec& s) { return s.need.accelerators; }},
    {"run_ms", 0, 31'536'000'000, 0,
     [](JobSpec* s, uint64_t n) { s->run_ms = n; },
     [](const JobSpec& s) { return s.run_ms; }},
};

template <size_t N>
std::optional<size_t> IndexOf(const std::array<const char*, N>& names,
                              const Json& value) {
  for (size_t n = 0; n < N; ++n) {
    if (value.is_string() && value == names[n]) {
      return n;
    }
  }
  return std::nullopt;
}

leaf::result<void> ReadSpecNumber(const SpecField& field,
                                  const Json& in,
                                  JobSpec* out) {
  auto it = in.find(field.name);
  if (it == in.end()) {
    field.set(out, field.default_value);
    return {};
  }
  if (!it->is_number_unsigned() || it->get<uint64_t>() < field.min ||
      it->get<uint64_t>() > field.max) {
    return Fail(ErrorCode::kOutOfRange, std::string(field.name) +
                                            ": wanted a whole number from " +
                                            std::to_string(field.min) + " to " +
                                            std::to_string(field.max));
  }
  field.set(out, it->get<uint64_t>());
  return {};
}

Json SpecJson(const JobSpec& spec) {
  Json out = {{"kind", kJobKinds[static_cast<size_t>(spec.kind)]},
              {"restart", spec.restart},
              {"command", spec.command}};
  for (const auto& it : kSpecFields) {
    out[it.name] = it.get(spec);
  }
  return out;
}

Json FullSpecJson(const JobSpec& spec) {
  Json out = SpecJson(spec);
  out["id"] = spec.id.value;
  out["team"] = spec.origin.team.value;
  out["queue"] = spec.origin.queue.value;
  out["key_hash"] = spec.origin.key_hash;
  out["idempotency_key"] = spec.origin.idempotency_key;
  return out;
}

/// @throws Json::exception
JobSpec FullSpecFrom(const Json& in) {
  JobSpec out =
      HandleFailure([&] { return ReadJobSpec(in.dump()); },
                    [](const Failure&) -> JobSpec {
                      throw Json::other_error::create(501, "bad job", nullptr);
                    });
  out.id = JobId(in.at("id"));
  out.origin = {TeamId(in.at("team")), QueueId(in.at("queue")),
                in.at("key_hash"), in.at("idempotency_key")};
  return out;
}

JobEvent EventFrom(const Json& in) {
  JobEvent out;
  const auto kind = IndexOf(kRecordKinds, in.at("kind"));
  if (!kind) {
    throw Json::other_error::create(501, "unknown kind", nullptr);
  }
  out.kind = static_cast<JobRecordKind>(*kind);
  out.id = in.at("id");
  out.shard = in.at("shard");
  out.job = JobId(in.value("job", ""));
  out.task = in.value("task", 0U);
  if (out.kind == JobRecordKind::kAccepted) {
    out.spec = FullSpecFrom(in.at("spec"));
  }
  if (in.contains("key")) {
    out.key = {TeamId(in.at("team")), in.at("key")};
    out.body_hash = in.value("body_hash", uint64_t{0});
  }
  return out;
}

void ApplyAccepted(JobsState* state, const JobEvent& event) {
  auto [it, added] = state->jobs.try_emplace(event.job);
  if (!added) {
    return;
  }
  it->second.shard = event.shard;
  it->second.spec = event.spec;
  const auto& origin = event.spec.origin;
  if (!origin.idempotency_key.empty()) {
    state->job_keys.try_emplace({origin.team, origin.idempotency_key},
                                event.job);
  }
}

void ApplyToJob(JobRecord* job, const JobEvent& event) {
  switch (event.kind) {
    case JobRecordKind::kCancelled:
      job->cancelled = true;
      break;
    case JobRecordKind::kStarted:
      job->started.insert(event.task);
      break;
    case JobRecordKind::kDone:
      job->done.insert(event.task);
      break;
    case JobRecordKind::kFailed:
      job->failed.insert(event.task);
      break;
    default:
      break;
  }
}

}  // namespace

leaf::result<JobSpec> ReadJobSpec(const std::string& json) {
  const Json in = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!in.is_object()) {
    return Fail(ErrorCode::kMalformed, "wanted a JSON object");
  }
  JobSpec out;
  const auto kind = IndexOf(kJobKinds, in.value("kind", Json("batch")));
  if (!kind) {
    return Fail(ErrorCode::kMalformed, "kind: service, batch or gang");
  }
  out.kind = static_cast<JobKind>(*kind);
  for (const auto& it : kSpecFields) {
    BOOST_LEAF_CHECK(ReadSpecNumber(it, in, &out));
  }
  const Json restart = in.value("restart", Json(true));
  const Json command = in.value("command", Json(""));
  if (!restart.is_boolean() || !command.is_string()) {
    return Fail(ErrorCode::kMalformed, "restart or command");
  }
  out.restart = restart.get<bool>();
  out.command = command.get<std::string>();
  if (out.command.size() > kMaxCommandBytes) {
    return Fail(ErrorCode::kOutOfRange, "command: at most 16384 bytes");
  }
  return out;
}

std::string WriteJobSpec(const JobSpec& spec) {
  return SpecJson(spec).dump();
}

std::string WriteJobEvent(const JobEvent& event) {
  Json out = {{"id", event.id},
              {"kind", kRecordKinds[static_cast<size_t>(event.kind)]},
              {"shard", event.shard}};
  if (event.job.IsValid()) {
    out["job"] = event.job.value;
    out["task"] = event.task;
  }
  if (event.kind == JobRecordKind::kAccepted) {
    out["spec"] = FullSpecJson(event.spec);
  }
  if (event.key.first.IsValid()) {
    out["team"] = event.key.first.value;
    out["key"] = event.key.second;
    out["body_hash"] = event.body_hash;
  }
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<JobEvent> ReadJobEvent(const std::string& record) {
  try {
    return EventFrom(Json::parse(record));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::optional<JobEvent> ApplyJobRecord(JobsState* state,
                                       Offset offset,
                                       const std::string& record) {
  state->version = offset + 1;
  auto event = ReadJobEvent(record);
  if (!event) {
    return std::nullopt;
  }
  if (event->kind == JobRecordKind::kAccepted) {
    ApplyAccepted(state, *event);
  } else if (event->kind == JobRecordKind::kWriteAhead) {
    state->write_ahead_records[event->key] = {event->shard, event->body_hash};
  } else if (event->kind == JobRecordKind::kWriteAheadVoided) {
    state->write_ahead_records.erase(event->key);
  } else if (auto it = state->jobs.find(event->job); it != state->jobs.end()) {
    ApplyToJob(&it->second, *event);
  }
  return event;
}

std::string WriteJobsSnapshot(const std::string& id, const JobsState& state) {
  Json out = {{"id", id}, {"kind", "snapshot"}, {"version", state.version}};
  out["jobs"] = Json::array();
  for (const auto& it : state.jobs) {
    const JobRecord& job = it.second;
    out["jobs"].push_back({{"shard", job.shard},
                           {"spec", FullSpecJson(job.spec)},
                           {"cancelled", job.cancelled},
                           {"done", job.done},
                           {"failed", job.failed},
                           {"started", job.started}});
  }
  out["intents"] = Json::array();
  for (const auto& it : state.write_ahead_records) {
    out["intents"].push_back({it.first.first.value, it.first.second,
                              it.second.shard, it.second.body_hash});
  }
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<JobsState> ReadJobsSnapshot(const std::string& record) {
  try {
    const Json in = Json::parse(record);
    if (in.at("kind") != "snapshot") {
      return std::nullopt;
    }
    JobsState out;
    out.version = in.at("version");
    for (const auto& it : in.at("jobs")) {
      JobRecord job;
      job.shard = it.at("shard");
      job.spec = FullSpecFrom(it.at("spec"));
      job.cancelled = it.at("cancelled");
      it.at("done").get_to(job.done);
      it.at("failed").get_to(job.failed);
      it.at("started").get_to(job.started);
      const auto& origin = job.spec.origin;
      if (!origin.idempotency_key.empty()) {
        out.job_keys[{origin.team, origin.idempotency_key}] = job.spec.id;
      }
      out.jobs[job.spec.id] = std::move(job);
    }
    for (const auto& it : in.at("intents")) {
      out.write_ahead_records[{TeamId(it.at(0)), it.at(1)}] = {it.at(2),
                                                               it.at(3)};
    }
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bw
