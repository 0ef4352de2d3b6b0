#include "fake_backend.h"

#include <algorithm>
#include <charconv>

#include "../../fake/timer_thread.h"
#include "../../text_func.h"

namespace bw::fake {
namespace {

constexpr uint64_t kBackendCpu = 8000;
constexpr uint64_t kBackendMemoryMb = 16'000;
constexpr uint64_t kMaxLeaseMs = 10'000;
constexpr uint64_t kGangWaitMs = 3000;
constexpr uint64_t kLateMs = 2000;
constexpr uint64_t kTicketMs = 2000;
constexpr uint64_t kCheckpointMs = 500;
constexpr size_t kMaxListedEnds = 500;
constexpr char kTicketSeparator = '@';
constexpr char kCheckpointSeparator = '|';

uint64_t ToNumber(const std::string& text) {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

void Reject(const char* reason, const net::Responder& respond) {
  respond(JsonResponse(409, {{"clockMs", NowMs()}, {"reason", reason}}));
}

/// @return "ID.K.STEP" of a task's name.
std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

}  // namespace

net::HttpResponse JsonResponse(int status, const Json& body) {
  net::HttpResponse out;
  out.status = status;
  out.body = body.dump();
  return out;
}

TaskScript ScriptOf(const std::string& spec, uint32_t step) {
  TaskScript out;
  const auto steps = SplitList(spec, ';');
  if (steps.empty()) {
    return out;
  }
  for (const auto& it :
       SplitList(steps[std::min<size_t>(step, steps.size() - 1)], ',')) {
    const size_t at = it.find('=');
    if (at == std::string::npos) {
      continue;
    }
    const std::string key = it.substr(0, at);
    const uint64_t n = ToNumber(it.substr(at + 1));
    if (key == "ms") {
      out.duration_ms = n;
    } else if (key == "dies") {
      out.dies_ms = n;
    } else if (key == "fail") {
      out.failures = static_cast<uint32_t>(n);
    } else if (key == "gang") {
      out.gang = static_cast<uint32_t>(n);
    } else if (key == "save") {
      out.saves = n != 0;
    } else if (key == "cpu") {
      out.cpu = n;
    }
  }
  return out;
}

void FakeBackend::Serve(const net::HttpRequest& request,
                        const net::Responder& respond) {
  std::lock_guard lock(shared_->mutex);
  if (silent_ || gone_) {
    return;
  }
  const std::string name = request.path.substr(request.path.rfind('/') + 1);
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return respond(JsonResponse(400, Json::object()));
  }
  if (late_ && name != "hold") {
    late_orders_.push_back({NowMs() + kLateMs, name, body});
    return;
  }
  Execute(name, body, /*late=*/false, respond);
}

void FakeBackend::Execute(const std::string& name,
                          const Json& body,
                          bool late,
                          const net::Responder& respond) {
  const uint64_t token = body.value("fencingToken", uint64_t{0});
  if (token < fencing_token_) {
    return Reject("fence", respond);
  }
  fencing_token_ = token;
  if (name == "run-start") {
    Start(body, late, respond);
  } else if (name == "run-stop") {
    Stop(body, respond);
  } else if (name == "hold") {
    Poll(body, respond);
  } else {
    respond(JsonResponse(404, Json::object()));
  }
}

void FakeBackend::Reset() {
  for (const auto& it : ended_) {
    run_records_[it.record].forgotten = true;
  }
  ended_.clear();
  late_orders_.clear();
  last_end_number_ = 0;
  fencing_token_ = 0;
  lease_end_ms_ = 0;
  highest_ended_run_.clear();
}

void FakeBackend::Crash() {
  std::lock_guard lock(shared_->mutex);
  while (!running_.empty()) {
    End(running_.begin()->first, "crashed");
  }
  Reset();
  gone_ = false;
  leaves_ms_ = 0;
  announcements_ = 0;
  incarnation_ = NowMs();
}

void FakeBackend::Drain(uint64_t ms) {
  std::lock_guard lock(shared_->mutex);
  if (!gone_) {
    leaves_ms_ = NowMs() + ms;
  }
}

void FakeBackend::SetSilent(bool on) {
  std::lock_guard lock(shared_->mutex);
  silent_ = on;
}

void FakeBackend::SetLate(bool on) {
  std::lock_guard lock(shared_->mutex);
  late_ = on;
}

void FakeBackend::Tick() {
  std::lock_guard lock(shared_->mutex);
  const uint64_t now = NowMs();
  if (leaves_ms_ != 0 && now >= leaves_ms_ && !gone_) {
    while (!running_.empty()) {
      End(running_.begin()->first, "left");
    }
    Reset();
    gone_ = true;
    announce_(id_, "");
  }
  if (now > lease_end_ms_) {
    for (const auto& it : ended_) {
      run_records_[it.record].lapsed_unread = true;
    }
  }
  std::vector<std::pair<RunKey, const char*>> ended;
  for (const auto& it : running_) {
    const char* how =
        now > lease_end_ms_ ? "lapsed" : EndOf(it.first, it.second, now);
    if (how != nullptr) {
      ended.emplace_back(it.first, how);
    }
  }
  for (const auto& it : ended) {
    End(it.first, it.second);
  }
  auto orders = std::move(late_orders_);
  late_orders_.clear();
  for (auto& it : orders) {
    if (now < it.due_ms) {
      late_orders_.push_back(std::move(it));
    } else {
      Execute(it.name, it.body, /*late=*/true, [](const auto&) {});
    }
  }
  auto polls = std::move(pending_polls_);
  pending_polls_.clear();
  for (auto& it : polls) {
    TryFinishPoll(std::move(it), now);
  }
}

SharedState::Gang* FakeBackend::GangOf(const RunKey& key,
                                       const ActiveRun& run) {
  return run.script.gang == 0 ? nullptr
                              : &shared_->gangs[{run.step, key.second}];
}

uint64_t FakeBackend::ProgressOf(const ActiveRun& run,
                                 const SharedState::Gang* gang,
                                 uint64_t now) {
  const uint64_t since = gang == nullptr ? run.began_ms : gang->complete_ms;
  return run.progress_ms + (since == 0 ? 0 : now - since);
}

const char* FakeBackend::EndOf(const RunKey& key,
                               const ActiveRun& run,
                               uint64_t now) {
  SharedState::Gang* gang = GangOf(key, run);
  if (gang != nullptr) {
    if (!gang->ended.empty()) {
      return gang->ended == "done" ? "done" : "broken";
    }
    if (gang->complete_ms == 0) {
      return now > run.began_ms + kGangWaitMs ? "alone" : nullptr;
    }
  }
  const uint64_t progress = ProgressOf(run, gang, now);
  if (run.script.dies_ms != 0 && progress >= run.script.dies_ms) {
    return "failed";
  }
  const std::string& unit = gang == nullptr ? key.first : run.step;
  if (run.script.failures > 0 && (gang == nullptr || run.index == 0) &&
      shared_->failures[unit] < run.script.failures &&
      progress >= run.script.duration_ms / 2) {
    ++shared_->failures[unit];
    return "failed";
  }
  return run.script.duration_ms != 0 && progress >= run.script.duration_ms
             ? "done"
             : nullptr;
}

void FakeBackend::Announce() {
  std::lock_guard lock(shared_->mutex);
  if (gone_) {
    return;
  }
  const uint64_t now = NowMs();
  Json entry = {
      {"service", "s"},
      {"address", address_},
      {"zone", zone_},
      {"state", leaves_ms_ == 0 ? "ready" : "draining"},
      {"sequence", ++announcements_},
      {"born", incarnation_},
      {"labels", {"a", rack_}},
      {"capacity",
       {{"cpu", kBackendCpu}, {"memMb", kBackendMemoryMb}, {"gpu", 0}}}};
  if (leaves_ms_ != 0) {
    entry["remainingMs"] = leaves_ms_ - std::min(now, leaves_ms_);
  }
  announce_(id_, entry.dump());
}

void FakeBackend::AppendRunRecords(Json* out) {
  std::lock_guard lock(shared_->mutex);
  for (const auto& it : run_records_) {
    out->push_back({{"task", it.task},
                    {"run", it.run},
                    {"backend", id_},
                    {"spec", it.spec},
                    {"cpu", it.cpu},
                    {"began_ms", it.began_ms},
                    {"ended_ms", it.ended_ms},
                    {"how", it.how},
                    {"forgotten", it.forgotten},
                    {"lapsed_unread", it.lapsed_unread},
                    {"late", it.late},
                    {"over", it.over},
                    {"bad_saved", it.bad_saved}});
  }
}

std::string FakeBackend::TicketFor(const std::string& step) {
  std::lock_guard lock(shared_->mutex);
  constexpr uint64_t kPercent = 100;
  if (std::hash<std::string>()(step + id_) % kPercent >=
      shared_->advice_share) {
    return {};
  }
  return step + kTicketSeparator + id_ + kTicketSeparator +
         std::to_string(incarnation_) + kTicketSeparator +
         std::to_string(NowMs());
}

bool FakeBackend::IsTicketGood(const std::string& ticket,
                               const std::string& step) const {
  const auto parts = SplitList(ticket, kTicketSeparator);
  return parts.size() == 4 && parts[0] == step && parts[1] == id_ &&
         parts[2] == std::to_string(incarnation_) &&
         NowMs() <= ToNumber(parts[3]) + kTicketMs;
}

void FakeBackend::ExtendLease(const Json& body) {
  const uint64_t wanted = body.value("deadlineMs", uint64_t{0});
  lease_end_ms_ =
      std::max(lease_end_ms_, std::min(wanted, NowMs() + kMaxLeaseMs));
}

void FakeBackend::Start(const Json& body,
                        bool late,
                        const net::Responder& respond) {
  const std::string task = body.value("task", "");
  const uint64_t run = body.value("run", uint64_t{0});
  const uint64_t now = NowMs();
  if (body.value("deadlineMs", uint64_t{0}) < now) {
    return Reject("late", respond);
  }
  ExtendLease(body);
  if (highest_ended_run_.contains(task) && highest_ended_run_[task] >= run) {
    return Reject("old", respond);
  }
  const std::string step = StepOf(task);
  if (shared_->tickets_required &&
      !IsTicketGood(body.value("ticket", ""), step)) {
    return Reject("ticket", respond);
  }
  const RunKey key{task, run};
  if (!running_.contains(key)) {
    const std::string spec = body.value("spec", "");
    ActiveRun added;
    added.step = step;
    added.index =
        static_cast<uint32_t>(ToNumber(task.substr(task.rfind('.') + 1)));
    added.script = ScriptOf(
        spec,
        static_cast<uint32_t>(ToNumber(step.substr(step.rfind('.') + 1))));
    added.began_ms = now;
    added.record = run_records_.size();
    RunRecord record;
    record.task = task;
    record.run = run;
    record.spec = spec;
    record.cpu = added.script.cpu;
    record.began_ms = now;
    record.late = late;
    if (const std::string saved = body.value("saved", ""); !saved.empty()) {
      const auto parts = SplitList(saved, kCheckpointSeparator);
      record.bad_saved = parts.size() != 2 || parts[0] != step;
      added.progress_ms = record.bad_saved ? 0 : ToNumber(parts[1]);
    }
    uint64_t used = added.script.cpu;
    for (const auto& it : running_) {
      used += it.second.script.cpu;
    }
    record.over = used > kBackendCpu;
    run_records_.push_back(record);
    if (SharedState::Gang* gang = GangOf(key, added)) {
      gang->present.insert(task);
      if (gang->present.size() == added.script.gang) {
        gang->complete_ms = now;
      }
    }
    running_[key] = added;
  }
  respond(JsonResponse(200, {{"clockMs", now}}));
}

void FakeBackend::Stop(const Json& body, const net::Responder& respond) {
  const std::string task = body.value("task", "");
  const uint64_t run = body.value("run", uint64_t{0});
  highest_ended_run_[task] = std::max(highest_ended_run_[task], run);
  if (running_.contains({task, run})) {
    End({task, run}, "stopped");
  }
  respond(JsonResponse(200, {{"clockMs", NowMs()}}));
}

void FakeBackend::Poll(const Json& body, const net::Responder& respond) {
  ExtendLease(body);
  const uint64_t acknowledged = body.value("ackCursor", uint64_t{0});
  std::erase_if(ended_, [&](const EndRow& it) {
    return it.row[0].get<uint64_t>() <= acknowledged;
  });
  TryFinishPoll({NowMs() + body.value("waitMs", uint64_t{0}), respond},
                NowMs());
}

/// Responds to a poll. Queues it instead if no run has ended yet and its wait
/// has not elapsed.
void FakeBackend::TryFinishPoll(PendingPoll poll, uint64_t now) {
  if (ended_.empty() && now < poll.until_ms) {
    pending_polls_.push_back(std::move(poll));
    return;
  }
  Json running = Json::array();
  for (const auto& it : running_) {
    std::string saved;
    if (it.second.script.saves) {
      const uint64_t progress =
          ProgressOf(it.second, GangOf(it.first, it.second), now) /
          kCheckpointMs * kCheckpointMs;
      if (progress > 0) {
        saved =
            it.second.step + kCheckpointSeparator + std::to_string(progress);
      }
    }
    running.push_back({it.first.first, it.first.second, saved, 100, 1000});
  }
  Json ended = Json::array();
  for (size_t n = 0; n < std::min(ended_.size(), kMaxListedEnds); ++n) {
    ended.push_back(ended_[n].row);
  }
  poll.respond(JsonResponse(200, {{"clockMs", now},
                                  {"born", incarnation_},
                                  {"running", running},
                                  {"ended", ended}}));
}

void FakeBackend::End(RunKey key, const char* how) {
  const ActiveRun run = running_.at(key);
  if (SharedState::Gang* gang = GangOf(key, run)) {
    gang->present.erase(key.first);
    if (gang->complete_ms != 0 && gang->ended.empty()) {
      gang->ended = how;
    }
  }
  running_.erase(key);
  highest_ended_run_[key.first] =
      std::max(highest_ended_run_[key.first], key.second);
  run_records_[run.record].ended_ms = NowMs();
  run_records_[run.record].how = how;
  ended_.push_back(
      {Json::array({++last_end_number_, key.first, key.second, how, ""}),
       run.record});
}

}  // namespace bw::fake
