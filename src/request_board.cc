#include <fmt/format.h>

#include <algorithm>

#include "admit_func.h"
#include "platform/runner_type.h"
#include "request_board_base.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr Duration kActionTime = milliseconds(1000);  ///< A send is valid.
constexpr milliseconds kAnswerSlack{500};
constexpr milliseconds kPollEvery{1000};
constexpr milliseconds kPollUnknownEvery{200};
constexpr Duration kLongestRun = milliseconds(120'000);
constexpr Duration kAnswerInTransit = milliseconds(2000);
constexpr milliseconds kKeyedKept{600'000};
constexpr uint32_t kFailuresBeforeAvoid = 3;
constexpr milliseconds kAvoidTime{2000};
constexpr uint32_t kRetryAfterMs = 1000;
constexpr size_t kMaxKeyed = 100'000;

/// Requests are named "team:instance:number".
TeamId TeamOfRequest(const std::string& id) {
  return TeamId(id.substr(0, id.find(':')));
}

}  // namespace

RequestBoard::RequestBoard(ShardId shard, ShardPort* port, TeamUsage* usage)
    : shard_(shard), port_(port), usage_(usage) {}

void RequestBoard::Submit(RequestWork work) {
  work.accepted = port_->Now();
  WorkOutcome refusal = CheckEntry(work);
  if (refusal.error != ErrorCode::kNone) {
    NoteRefusal(work, refusal.error);
    work.reply(std::move(refusal));
    return;
  }
  if (work.origin.idempotency_key.empty()) {
    Enqueue(std::move(work));
    Pump();
  } else if (SubmitKeyed(&work)) {
    LogIntent(std::make_shared<RequestWork>(std::move(work)));
  }
}

/// @return What refuses the request at once, or kNone.
WorkOutcome RequestBoard::CheckEntry(const RequestWork& work) {
  const auto refuse = [](ErrorCode error) {
    return WorkOutcome{error, 0, {}, {}, kRetryAfterMs, {}};
  };
  if (!port_->MayAct()) {
    return refuse(ErrorCode::kNotOwner);
  }
  const ControlState& state = port_->State();
  const ErrorCode error =
      CheckOrigin(state, work.origin, port_->MayAcceptKeyed());
  const Time now = port_->Now();
  if (error != ErrorCode::kNone) {
    return refuse(error);
  }
  if (now >= work.valid_until) {
    return refuse(ErrorCode::kExpired);
  }
  const auto& queue = waiting_[{work.origin.team, work.origin.queue}];
  const Duration wait = queue.ExpectedWait(now);
  const bool hopeless = now + wait >= work.valid_until;
  if (!hopeless && queue.size() < PolicyOf(state, work.origin).max_waiting) {
    return refuse(ErrorCode::kNone);
  }
  // It would only wait in vain: better the caller knows now.
  WorkOutcome out = refuse(ErrorCode::kQueueFull);
  out.retry_after_ms =
      std::max(kRetryAfterMs,
               static_cast<uint32_t>(
                   std::chrono::duration_cast<milliseconds>(wait).count()));
  return out;
}

/// @return True if the request is new and its intent has to be recorded.
bool RequestBoard::SubmitKeyed(RequestWork* work) {
  const IdempotencyId key{work->origin.team, work->origin.idempotency_key};
  const uint64_t body_hash = StableHash(work->body);
  if (auto it = keyed_.find(key); it != keyed_.end()) {
    return JoinKeyed(&it->second, work, body_hash);
  }
  const auto& intents = port_->Jobs().intents;
  if (auto it = intents.find(key); it != intents.end()) {
    // An earlier owner was about to send it; nobody knows more.
    const bool reused = it->second.body_hash != body_hash;
    work->reply({reused ? ErrorCode::kKeyReused : ErrorCode::kOutcomeUnknown,
                 0,
                 {},
                 {},
                 0,
                 reused ? "" : "an earlier owner may have sent it"});
    return false;
  }
  if (keyed_.size() >= kMaxKeyed) {
    NoteRefusal(*work, ErrorCode::kOverloaded);
    work->reply({ErrorCode::kOverloaded, 0, {}, {}, kRetryAfterMs, {}});
    return false;
  }
  keyed_[key].body_hash = body_hash;
  return true;
}

bool RequestBoard::JoinKeyed(Keyed* keyed,
                             RequestWork* work,
                             uint64_t body_hash) {
  if (keyed->body_hash != body_hash) {
    work->reply({ErrorCode::kKeyReused, 0, {}, {}, 0, {}});
  } else if (keyed->state == KeyedState::kDone ||
             keyed->state == KeyedState::kUnknown) {
    work->reply(keyed->answer);
  } else {
    keyed->extra.push_back(std::move(work->reply));
  }
  return false;
}

void RequestBoard::LogIntent(const std::shared_ptr<RequestWork>& work) {
  JobEvent event;
  event.kind = JobRecordKind::kIntent;
  event.id = RandomHex();
  event.shard = ToIndex(shard_);
  event.key = {work->origin.team, work->origin.idempotency_key};
  event.body_hash = StableHash(work->body);
  port_->Append(event, [this, work](platform::AppendFate fate) {
    if (fate != platform::AppendFate::kStored) {
      Refuse(work.get(), ErrorCode::kLogUnavailable);
    } else if (port_->Now() >= work->valid_until) {
      Refuse(work.get(), ErrorCode::kExpired);
    } else {
      Enqueue(std::move(*work));
      Pump();
    }
  });
}

void RequestBoard::Enqueue(RequestWork work) {
  port_->Events().Write(EventKind::kRequestAccepted, work.id);
  RequestQueue& queue = waiting_[{work.origin.team, work.origin.queue}];
  queue.Push(std::move(work), port_->Now());
  ++waiting_count_;
}

void RequestBoard::NoteRefusal(const RequestWork& work, ErrorCode error) {
  port_->Counters().Count("bw_requests_refused_total",
                          fmt::format("code=\"{}\"", Describe(error).name));
  port_->Events().Write(EventKind::kRequestRefused, work.id,
                        Describe(error).name);
}

/// Ends a request that was taken in and surely did not run.
void RequestBoard::Refuse(RequestWork* work,
                          ErrorCode error,
                          std::string detail) {
  NoteRefusal(*work, error);
  End(work, {error, 0, {}, {}, kRetryAfterMs, std::move(detail)});
}

void RequestBoard::End(RequestWork* work, WorkOutcome outcome) {
  const IdempotencyId key{work->origin.team, work->origin.idempotency_key};
  auto it = key.second.empty() ? keyed_.end() : keyed_.find(key);
  if (it != keyed_.end()) {
    auto extra = std::move(it->second.extra);
    if (Describe(outcome.error).fate == WorkFate::kNotRun &&
        outcome.error != ErrorCode::kNone) {
      // It surely did not run, so the key may be used again.
      keyed_.erase(it);
      JobEvent event;
      event.kind = JobRecordKind::kVoid;
      event.id = RandomHex();
      event.shard = ToIndex(shard_);
      event.key = key;
      port_->Append(event, [](platform::AppendFate) {});
    } else {
      it->second.state = outcome.error == ErrorCode::kNone
                             ? KeyedState::kDone
                             : KeyedState::kUnknown;
      it->second.answer = outcome;
      it->second.ended = port_->Now();
      it->second.extra.clear();
    }
    for (const auto& reply : extra) {
      reply(outcome);
    }
  }
  if (work->reply) {
    auto reply = std::move(work->reply);
    work->reply = nullptr;
    reply(std::move(outcome));
  }
}

void RequestBoard::Pump() {
  while (waiting_count_ > 0 && port_->MayAct() && SendNext()) {
  }
}

/// Ranks queues: urgent first, then the team furthest below its share. Teams
/// at their limit are passed over and hold nobody up.
RequestQueue* RequestBoard::PickQueue() {
  const ControlState& state = port_->State();
  RequestQueue* best = nullptr;
  std::pair<int, double> best_rank;
  for (auto& [key, queue] : waiting_) {
    auto account = state.accounts.find(key.first);
    if (queue.IsEmpty() || account == state.accounts.end()) {
      continue;
    }
    auto policy = account->second.queues.find(key.second);
    if (policy == account->second.queues.end()) {
      continue;
    }
    if (usage_->Room(state, key.first) == 0) {
      port_->AskAllowance(key.first, queue.size());
      continue;
    }
    const std::pair rank(-static_cast<int>(policy->second.priority),
                         static_cast<double>(usage_->Running(key.first)) /
                             static_cast<double>(account->second.share));
    if (best == nullptr || rank < best_rank) {
      best = &queue;
      best_rank = rank;
    }
  }
  return best;
}

RequestBoard::Runner* RequestBoard::PickRunner() {
  const Time now = port_->Now();
  Runner* best = nullptr;
  size_t n = 0;
  size_t best_rank = 0;
  for (auto& it : runners_) {
    // Equally loaded runners take turns.
    const size_t turn = (n++ + next_runner_) % runners_.size();
    const size_t rank = it.second.requests.size() * runners_.size() + turn;
    if (it.second.Usable(now) && (best == nullptr || rank < best_rank)) {
      best = &it.second;
      best_rank = rank;
    }
  }
  ++next_runner_;
  return best;
}

bool RequestBoard::SendNext() {
  auto* queue = PickQueue();
  if (queue == nullptr) {
    return false;
  }
  const RequestWork& head = queue->Front();
  ErrorCode error = ErrorCode::kNone;
  if (port_->Now() >= head.valid_until) {
    error = ErrorCode::kExpired;
  } else {
    error = CheckOrigin(port_->State(), head.origin, port_->MayAcceptKeyed());
  }
  Runner* runner = error == ErrorCode::kNone ? PickRunner() : nullptr;
  if (error == ErrorCode::kNone && runner == nullptr) {
    return false;
  }
  RequestWork work = queue->Pop();
  --waiting_count_;
  if (error != ErrorCode::kNone) {
    Refuse(&work, error);
  } else {
    SendTo(runner, std::move(work));
  }
  return true;
}

void RequestBoard::SendTo(Runner* runner, RequestWork work) {
  const Time now = port_->Now();
  const auto since_answer =
      std::chrono::duration_cast<milliseconds>(now - runner->answered);
  const auto valid = std::chrono::duration_cast<milliseconds>(
      std::min<Duration>(kActionTime, work.valid_until - now));
  OnRunner entry;
  entry.team = work.origin.team;
  entry.not_after_ms =
      runner->clock_ms + static_cast<uint64_t>((since_answer + valid).count());
  runner->requests[work.id] = entry;
  usage_->Add(work.origin.team, 1);
  ++in_flight_;
  auto call = platform::MakeRunCall(
      runner->info.address,
      {work.id, work.origin.queue.value, work.body, work.content_type,
       entry.not_after_ms},
      std::chrono::duration_cast<milliseconds>(work.max_run) + kAnswerSlack);
  if (!work.origin.idempotency_key.empty()) {
    keyed_[{work.origin.team, work.origin.idempotency_key}].state =
        KeyedState::kSent;
  }
  port_->Events().Write(EventKind::kRequestSent, work.id, runner->info.name);
  port_->Counters().Observe(
      "bw_wait_seconds",
      fmt::format("class=\"request\",team=\"{}\"", work.origin.team.value),
      static_cast<double>((now - work.accepted).count()));
  auto shared = std::make_shared<RequestWork>(std::move(work));
  OnRunner& placed = runner->requests.at(shared->id);
  placed.sent = now;
  placed.work = shared;
  port_->Call(
      std::move(call), /*unfenced=*/false,
      [this, shared, name = runner->info.name](const net::HttpResult& result) {
        OnAnswer(name, shared, result);
      });
}

void RequestBoard::OnAnswer(const std::string& name,
                            const std::shared_ptr<RequestWork>& work,
                            const net::HttpResult& result) {
  --in_flight_;
  Runner& runner = runners_.at(name);
  NoteHealth(&runner, result);
  if (!runner.requests.contains(work->id)) {
    return;  // Ended before by the runner's own list.
  }
  if (result.fate == net::CallFate::kNotSent ||
      platform::RunnerRefused(result)) {
    Release(&runner, work->id);
    if (port_->MayAct() && port_->Now() < work->valid_until) {
      Enqueue(std::move(*work));  // Surely not run: another runner may.
    } else {
      Refuse(work.get(), ErrorCode::kExpired, "no runner could be reached");
    }
  } else if (result.fate == net::CallFate::kAnswered) {
    Release(&runner, work->id);
    port_->Events().Write(EventKind::kRequestEnded, work->id,
                          std::to_string(result.status));
    End(work.get(), {ErrorCode::kNone,
                     result.status,
                     result.body,
                     result.content_type,
                     0,
                     {}});
  } else {
    // The slot stays taken until the runner's own list clears it.
    OnRunner& entry = runner.requests[work->id];
    entry.unknown = true;
    entry.ended = port_->Now();
    port_->Events().Write(EventKind::kRequestEnded, work->id, "unknown");
    End(work.get(), {ErrorCode::kOutcomeUnknown, 0, {}, {}, 0, {}});
    Poll(&runner);
  }
  Pump();
}

void RequestBoard::Release(Runner* runner, const std::string& id) {
  auto it = runner->requests.find(id);
  if (it != runner->requests.end()) {
    usage_->Remove(it->second.team, 1);
    runner->requests.erase(it);
  }
}

void RequestBoard::NoteHealth(Runner* runner, const net::HttpResult& result) {
  if (result.fate == net::CallFate::kAnswered) {
    runner->failures = 0;
    return;
  }
  if (++runner->failures >= kFailuresBeforeAvoid) {
    runner->avoid_until = port_->Now() + kAvoidTime;
    port_->Events().Write(EventKind::kBackendQuarantined, runner->info.name);
  }
}

void RequestBoard::OnInstances(
    const std::vector<platform::ListedInstance>& listed) {
  for (auto& it : runners_) {
    it.second.listed = false;
  }
  for (const auto& it : listed) {
    auto [found, added] = runners_.try_emplace(it.name);
    Runner& runner = found->second;
    runner.inherited |= added && inherits_;
    runner.info = it;
    runner.listed = true;
    if (!runner.known) {
      Poll(&runner);
    }
  }
  std::erase_if(runners_, [](const auto& it) {
    return !it.second.listed && it.second.requests.empty() &&
           !it.second.polling;
  });
  inherits_ = false;
  CountUnseen();
}

void RequestBoard::Poll(Runner* runner) {
  if (runner->polling || !port_->MayAct()) {
    return;
  }
  runner->polling = true;
  port_->Call(
      platform::MakeLoadCall(runner->info.address), /*unfenced=*/true,
      [this, name = runner->info.name, asked = port_->Now()](
          const net::HttpResult& result) { OnPolled(name, asked, result); });
}

void RequestBoard::OnPolled(const std::string& name,
                            Time asked,
                            const net::HttpResult& result) {
  Runner& runner = runners_.at(name);
  runner.polling = false;
  const auto load = platform::ReadRunnerLoad(result);
  if (!load) {
    return;
  }
  runner.polled = asked;
  runner.answered = port_->Now();
  runner.clock_ms = load->now_ms;
  const auto& running = load->running;
  AdoptListed(&runner, running);
  EndMissing(&runner, asked, running);
  std::vector<std::string> cleared;
  for (const auto& it : runner.requests) {
    const bool over = it.second.unknown && asked > it.second.ended &&
                      runner.clock_ms > it.second.not_after_ms &&
                      !running.contains(it.first);
    if (over) {
      cleared.push_back(it.first);
    }
  }
  for (const auto& it : cleared) {
    Release(&runner, it);
  }
  Pump();
}

/// A request that the runner's list lacks, although it was sent and cannot
/// start any more, is over: when its answer does not come, it is lost.
void RequestBoard::EndMissing(Runner* runner,
                              Time asked,
                              const std::set<std::string>& running) {
  std::vector<std::shared_ptr<RequestWork>> lost;
  for (auto& [id, entry] : runner->requests) {
    const bool over = !entry.unknown && entry.work && asked > entry.sent &&
                      runner->clock_ms > entry.not_after_ms &&
                      !running.contains(id);
    if (!over) {
      entry.missing = kNever;
    } else if (entry.missing == kNever) {
      entry.missing = asked;
    } else if (asked - entry.missing >= kAnswerInTransit) {
      lost.push_back(entry.work);
    }
  }
  for (const auto& it : lost) {
    Release(runner, it->id);
    port_->Events().Write(EventKind::kRequestEnded, it->id, "answer lost");
    End(it.get(), {ErrorCode::kOutcomeUnknown,
                   0,
                   {},
                   {},
                   0,
                   "the runner's answer was lost"});
  }
}

/// A new owner takes over what the former one left on the runner.
void RequestBoard::AdoptListed(Runner* runner,
                               const std::set<std::string>& running) {
  if (runner->known) {
    return;
  }
  runner->known = true;
  CountUnseen();
  for (const auto& it : running) {
    OnRunner entry;
    entry.team = TeamOfRequest(it);
    entry.unknown = true;
    entry.ended = port_->Now();
    if (runner->requests.try_emplace(it, entry).second) {
      usage_->Add(entry.team, 1);
    }
  }
}

void RequestBoard::Tick() {
  CountUnseen();
  DropExpired();
  ForgetOldKeys();
  const Time now = port_->Now();
  for (auto& it : runners_) {
    Runner& runner = it.second;
    const bool unknown =
        std::any_of(runner.requests.begin(), runner.requests.end(),
                    [](const auto& r) { return r.second.unknown; });
    const auto every =
        unknown || !runner.known ? kPollUnknownEvery : kPollEvery;
    if (runner.polled == kNever || now - runner.polled >= every) {
      Poll(&runner);
    }
  }
  Pump();
}

void RequestBoard::DropExpired() {
  const Time now = port_->Now();
  std::vector<RequestWork> expired;
  for (auto& it : waiting_) {
    it.second.Tick(now);
    for (auto& work : it.second.TakeExpired(now)) {
      expired.push_back(std::move(work));
    }
  }
  waiting_count_ -= expired.size();
  for (auto& it : expired) {
    const bool at_limit = usage_->Room(port_->State(), it.origin.team) == 0;
    Refuse(&it, at_limit ? ErrorCode::kOverLimit : ErrorCode::kExpired);
  }
}

void RequestBoard::ForgetOldKeys() {
  const Time now = port_->Now();
  std::erase_if(keyed_, [&](const auto& it) {
    return it.second.ended != kNever && now - it.second.ended > kKeyedKept;
  });
}

void RequestBoard::RefuseWaiting(ErrorCode error) {
  for (auto& it : waiting_) {
    while (!it.second.IsEmpty()) {
      RequestWork work = it.second.Pop();
      --waiting_count_;
      Refuse(&work, error);
    }
  }
}

void RequestBoard::OnGained(bool inherits) {
  gained_ = port_->Now();
  inherits_ = inherits;
  for (auto& it : runners_) {
    Runner& runner = it.second;
    runner.known = false;
    runner.inherited = inherits;
    std::vector<std::string> stale;
    for (const auto& request : runner.requests) {
      if (request.second.unknown) {
        stale.push_back(request.first);
      }
    }
    for (const auto& id : stale) {
      Release(&runner, id);
    }
  }
  keyed_.clear();
  CountUnseen();
}

/// Runners not yet heard of count as full for every team, as long as a request
/// of a former owner could last.
void RequestBoard::CountUnseen() {
  const bool over = port_->Now() - gained_ > kLongestRun;
  uint64_t units = 0;
  for (const auto& it : runners_) {
    const bool unseen = it.second.inherited && !it.second.known && !over;
    units += unseen ? it.second.info.slots : 0;
  }
  usage_->SetUnseenOnRunners(units);
}

uint32_t RequestBoard::FreeSlots() const {
  const Time now = port_->Now();
  size_t sum = 0;
  for (const auto& it : runners_) {
    if (it.second.Usable(now)) {
      sum += it.second.info.slots - it.second.requests.size();
    }
  }
  return static_cast<uint32_t>(sum);
}

}  // namespace bw
