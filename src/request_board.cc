#include <fmt/format.h>

#include <algorithm>

#include "admit_func.h"
#include "platform/runner_type.h"
#include "request_board_base.h"
#include "text_func.h"

namespace bw {
namespace {

/// Time after a send within which the runner may start the request.
constexpr Duration kMaxStartDelay = milliseconds(1000);
/// Added to the longest run for the time-out of the call.
constexpr milliseconds kResponseMargin{500};
constexpr milliseconds kPollInterval{1000};
/// For runners not polled yet or with requests of unknown outcome.
constexpr milliseconds kUnresolvedPollInterval{200};
/// Longest run of a request sent by a former owner.
constexpr Duration kMaxRunTime = milliseconds(120'000);
/// A response is lost if it does not arrive within this time after the runner
/// finished the request.
constexpr Duration kResponseTransitTime = milliseconds(2000);
constexpr milliseconds kKeyRetention{600'000};
constexpr uint32_t kFailuresBeforeAvoid = 3;
constexpr milliseconds kAvoidDuration{2000};
constexpr uint32_t kRetryAfterMs = 1000;
constexpr size_t kMaxKeyedRequests = 100'000;

/// @param id Request id, "team:instance:number".
TeamId TeamOfRequest(const std::string& id) {
  return TeamId(id.substr(0, id.find(':')));
}

}  // namespace

RequestBoard::RequestBoard(ShardId shard, ShardPort* port, TeamUsage* usage)
    : shard_(shard), port_(port), usage_(usage) {}

void RequestBoard::Submit(RequestWork work) {
  work.accepted = port_->Now();
  WorkOutcome refusal = CheckAdmission(work);
  if (refusal.error != ErrorCode::kNone) {
    RecordRefusal(work, refusal.error);
    work.reply(std::move(refusal));
    return;
  }
  if (work.origin.idempotency_key.empty()) {
    Enqueue(std::move(work));
    SendQueued();
  } else if (SubmitKeyed(&work)) {
    AppendWriteAheadRecord(std::make_shared<RequestWork>(std::move(work)));
  }
}

/// @return The reason for an immediate refusal, or kNone.
WorkOutcome RequestBoard::CheckAdmission(const RequestWork& work) {
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
  const bool would_expire = now + wait >= work.valid_until;
  if (!would_expire &&
      queue.size() < PolicyOf(state, work.origin).max_waiting) {
    return refuse(ErrorCode::kNone);
  }
  // The queue is full, or the request would expire in it: refusing it now lets
  // the caller retry without waiting.
  WorkOutcome out = refuse(ErrorCode::kQueueFull);
  out.retry_after_ms =
      std::max(kRetryAfterMs,
               static_cast<uint32_t>(
                   std::chrono::duration_cast<milliseconds>(wait).count()));
  return out;
}

/// @return True if the request is new and needs a write-ahead record. Otherwise
/// its reply was called or is attached to the first request with the key.
bool RequestBoard::SubmitKeyed(RequestWork* work) {
  const IdempotencyId key{work->origin.team, work->origin.idempotency_key};
  const uint64_t body_hash = StableHash(work->body);
  if (auto it = keyed_.find(key); it != keyed_.end()) {
    return HandleDuplicate(&it->second, work, body_hash);
  }
  const auto& write_ahead_records = port_->Jobs().write_ahead_records;
  if (auto it = write_ahead_records.find(key);
      it != write_ahead_records.end()) {
    // A former owner stored the write-ahead record; whether it sent the request
    // is not known.
    const bool reused = it->second.body_hash != body_hash;
    work->reply({reused ? ErrorCode::kKeyReused : ErrorCode::kOutcomeUnknown,
                 0,
                 {},
                 {},
                 0,
                 reused ? "" : "an earlier owner may have sent it"});
    return false;
  }
  if (keyed_.size() >= kMaxKeyedRequests) {
    RecordRefusal(*work, ErrorCode::kOverloaded);
    work->reply({ErrorCode::kOverloaded, 0, {}, {}, kRetryAfterMs, {}});
    return false;
  }
  keyed_[key].body_hash = body_hash;
  return true;
}

/// Replies with the outcome of the first request with the key, now or when that
/// has ended. @return False always.
bool RequestBoard::HandleDuplicate(KeyedRequest* keyed,
                                   RequestWork* work,
                                   uint64_t body_hash) {
  if (keyed->body_hash != body_hash) {
    work->reply({ErrorCode::kKeyReused, 0, {}, {}, 0, {}});
  } else if (keyed->state == KeyedState::kDone ||
             keyed->state == KeyedState::kUnknown) {
    work->reply(keyed->outcome);
  } else {
    keyed->duplicate_replies.push_back(std::move(work->reply));
  }
  return false;
}

/// Stores the key before the request is queued, so that a later owner does not
/// run the request a second time.
void RequestBoard::AppendWriteAheadRecord(
    const std::shared_ptr<RequestWork>& work) {
  JobEvent event;
  event.kind = JobRecordKind::kWriteAhead;
  event.id = RandomHex();
  event.shard = ToIndex(shard_);
  event.key = {work->origin.team, work->origin.idempotency_key};
  event.body_hash = StableHash(work->body);
  port_->Append(event, [this, work](platform::AppendStatus status) {
    if (status != platform::AppendStatus::kStored) {
      Refuse(work.get(), ErrorCode::kLogUnavailable);
    } else if (port_->Now() >= work->valid_until) {
      Refuse(work.get(), ErrorCode::kExpired);
    } else {
      Enqueue(std::move(*work));
      SendQueued();
    }
  });
}

void RequestBoard::Enqueue(RequestWork work) {
  port_->Events().Write(EventKind::kRequestAccepted, work.id);
  RequestQueue& queue = waiting_[{work.origin.team, work.origin.queue}];
  queue.Push(std::move(work), port_->Now());
  ++waiting_count_;
}

void RequestBoard::RecordRefusal(const RequestWork& work, ErrorCode error) {
  port_->Counters().Count("bw_requests_refused_total",
                          fmt::format("code=\"{}\"", Describe(error).name));
  port_->Events().Write(EventKind::kRequestRefused, work.id,
                        Describe(error).name);
}

/// Ends an accepted request that did not run and will not.
void RequestBoard::Refuse(RequestWork* work,
                          ErrorCode error,
                          std::string detail) {
  RecordRefusal(*work, error);
  End(work, {error, 0, {}, {}, kRetryAfterMs, std::move(detail)});
}

void RequestBoard::End(RequestWork* work, WorkOutcome outcome) {
  const IdempotencyId key{work->origin.team, work->origin.idempotency_key};
  auto it = key.second.empty() ? keyed_.end() : keyed_.find(key);
  if (it != keyed_.end()) {
    auto replies = std::move(it->second.duplicate_replies);
    if (Describe(outcome.error).execution == ExecutionStatus::kNotRun &&
        outcome.error != ErrorCode::kNone) {
      // It did not run, so the key may be used again.
      keyed_.erase(it);
      JobEvent event;
      event.kind = JobRecordKind::kWriteAheadVoided;
      event.id = RandomHex();
      event.shard = ToIndex(shard_);
      event.key = key;
      port_->Append(event, [](platform::AppendStatus) {});
    } else {
      it->second.state = outcome.error == ErrorCode::kNone
                             ? KeyedState::kDone
                             : KeyedState::kUnknown;
      it->second.outcome = outcome;
      it->second.ended_at = port_->Now();
      it->second.duplicate_replies.clear();
    }
    for (const auto& reply : replies) {
      reply(outcome);
    }
  }
  if (work->reply) {
    auto reply = std::move(work->reply);
    work->reply = nullptr;
    reply(std::move(outcome));
  }
}

void RequestBoard::SendQueued() {
  while (waiting_count_ > 0 && port_->MayAct() && SendNext()) {
  }
}

/// Chooses the queue with the highest priority, then the one whose team runs
/// least relative to its share. Skips teams at their limit, so that they do not
/// block others.
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
    if (usage_->AvailableUnits(state, key.first) == 0) {
      port_->RequestAllowance(key.first, queue.size());
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

/// @return The usable runner with the fewest requests, or nullptr.
RequestBoard::Runner* RequestBoard::PickRunner() {
  const Time now = port_->Now();
  Runner* best = nullptr;
  size_t n = 0;
  size_t best_rank = 0;
  for (auto& it : runners_) {
    // Round-robin among equally loaded runners.
    const size_t turn = (n++ + next_runner_) % runners_.size();
    const size_t rank = it.second.requests.size() * runners_.size() + turn;
    if (it.second.IsUsable(now) && (best == nullptr || rank < best_rank)) {
      best = &it.second;
      best_rank = rank;
    }
  }
  ++next_runner_;
  return best;
}

/// Sends or refuses one queued request. @return False if none can be handled.
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
  const auto since_response =
      std::chrono::duration_cast<milliseconds>(now - runner->last_response_at);
  const auto start_window = std::chrono::duration_cast<milliseconds>(
      std::min<Duration>(kMaxStartDelay, work.valid_until - now));
  AssignedRequest entry;
  entry.team = work.origin.team;
  entry.start_deadline_ms =
      runner->clock_ms +
      static_cast<uint64_t>((since_response + start_window).count());
  runner->requests[work.id] = entry;
  usage_->Add(work.origin.team, 1);
  ++in_flight_;
  auto call = platform::MakeRunCall(
      runner->info.address,
      {work.id, work.origin.queue.value, work.body, work.content_type,
       entry.start_deadline_ms},
      std::chrono::duration_cast<milliseconds>(work.max_run) + kResponseMargin);
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
  AssignedRequest& placed = runner->requests.at(shared->id);
  placed.sent_at = now;
  placed.work = shared;
  port_->Call(
      std::move(call), /*unfenced=*/false,
      [this, shared, name = runner->info.name](const net::HttpResult& result) {
        OnRunResponse(name, shared, result);
      });
}

void RequestBoard::OnRunResponse(const std::string& name,
                                 const std::shared_ptr<RequestWork>& work,
                                 const net::HttpResult& result) {
  --in_flight_;
  Runner& runner = runners_.at(name);
  UpdateHealth(&runner, result);
  if (!runner.requests.contains(work->id)) {
    return;  // Already ended by a poll of the runner.
  }
  if (result.delivery == net::DeliveryStatus::kNotSent ||
      platform::IsRunnerRefusal(result)) {
    ReleaseSlot(&runner, work->id);
    if (port_->MayAct() && port_->Now() < work->valid_until) {
      Enqueue(std::move(*work));  // Did not run; may go to another runner.
    } else {
      Refuse(work.get(), ErrorCode::kExpired, "no runner could be reached");
    }
  } else if (result.delivery == net::DeliveryStatus::kResponded) {
    ReleaseSlot(&runner, work->id);
    port_->Events().Write(EventKind::kRequestEnded, work->id,
                          std::to_string(result.status));
    End(work.get(), {ErrorCode::kNone,
                     result.status,
                     result.body,
                     result.content_type,
                     0,
                     {}});
  } else {
    // The request may still run: the slot stays occupied until a poll of the
    // runner shows that it does not.
    AssignedRequest& entry = runner.requests[work->id];
    entry.outcome_unknown = true;
    entry.call_ended_at = port_->Now();
    port_->Events().Write(EventKind::kRequestEnded, work->id, "unknown");
    End(work.get(), {ErrorCode::kOutcomeUnknown, 0, {}, {}, 0, {}});
    Poll(&runner);
  }
  SendQueued();
}

void RequestBoard::ReleaseSlot(Runner* runner, const std::string& id) {
  auto it = runner->requests.find(id);
  if (it != runner->requests.end()) {
    usage_->Remove(it->second.team, 1);
    runner->requests.erase(it);
  }
}

void RequestBoard::UpdateHealth(Runner* runner, const net::HttpResult& result) {
  if (result.delivery == net::DeliveryStatus::kResponded) {
    runner->failures = 0;
    return;
  }
  if (++runner->failures >= kFailuresBeforeAvoid) {
    runner->avoid_until = port_->Now() + kAvoidDuration;
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
    runner.inherited |= added && may_inherit_work_;
    runner.info = it;
    runner.listed = true;
    if (!runner.reported) {
      Poll(&runner);
    }
  }
  std::erase_if(runners_, [](const auto& it) {
    return !it.second.listed && it.second.requests.empty() &&
           !it.second.poll_in_flight;
  });
  may_inherit_work_ = false;
  UpdateUnreportedSlots();
}

void RequestBoard::Poll(Runner* runner) {
  if (runner->poll_in_flight || !port_->MayAct()) {
    return;
  }
  runner->poll_in_flight = true;
  port_->Call(platform::MakeRunnerReportCall(runner->info.address),
              /*unfenced=*/true,
              [this, name = runner->info.name,
               poll_sent_at = port_->Now()](const net::HttpResult& result) {
                OnLoadResponse(name, poll_sent_at, result);
              });
}

void RequestBoard::OnLoadResponse(const std::string& name,
                                  Time poll_sent_at,
                                  const net::HttpResult& result) {
  Runner& runner = runners_.at(name);
  runner.poll_in_flight = false;
  const auto report = platform::ParseRunnerReport(result);
  if (!report) {
    return;
  }
  runner.last_poll_at = poll_sent_at;
  runner.last_response_at = port_->Now();
  runner.clock_ms = report->now_ms;
  const auto& running = report->running;
  AdoptRunningRequests(&runner, running);
  EndMissingRequests(&runner, poll_sent_at, running);
  std::vector<std::string> cleared;
  for (const auto& it : runner.requests) {
    const bool has_ended = it.second.outcome_unknown &&
                           poll_sent_at > it.second.call_ended_at &&
                           runner.clock_ms > it.second.start_deadline_ms &&
                           !running.contains(it.first);
    if (has_ended) {
      cleared.push_back(it.first);
    }
  }
  for (const auto& it : cleared) {
    ReleaseSlot(&runner, it);
  }
  SendQueued();
}

/// Ends requests whose response was lost: they were sent before the poll, can
/// no longer start, and have been missing from the runner's list for
/// kResponseTransitTime.
void RequestBoard::EndMissingRequests(Runner* runner,
                                      Time poll_sent_at,
                                      const std::set<std::string>& running) {
  std::vector<std::shared_ptr<RequestWork>> lost;
  for (auto& [id, entry] : runner->requests) {
    const bool has_ended =
        !entry.outcome_unknown && entry.work && poll_sent_at > entry.sent_at &&
        runner->clock_ms > entry.start_deadline_ms && !running.contains(id);
    if (!has_ended) {
      entry.missing_since = kNever;
    } else if (entry.missing_since == kNever) {
      entry.missing_since = poll_sent_at;
    } else if (poll_sent_at - entry.missing_since >= kResponseTransitTime) {
      lost.push_back(entry.work);
    }
  }
  for (const auto& it : lost) {
    ReleaseSlot(runner, it->id);
    port_->Events().Write(EventKind::kRequestEnded, it->id, "answer lost");
    End(it.get(), {ErrorCode::kOutcomeUnknown,
                   0,
                   {},
                   {},
                   0,
                   "the runner's answer was lost"});
  }
}

/// On the first poll by this owner, occupies slots for the requests that a
/// former owner left running.
void RequestBoard::AdoptRunningRequests(Runner* runner,
                                        const std::set<std::string>& running) {
  if (runner->reported) {
    return;
  }
  runner->reported = true;
  UpdateUnreportedSlots();
  for (const auto& it : running) {
    AssignedRequest entry;
    entry.team = TeamOfRequest(it);
    entry.outcome_unknown = true;
    entry.call_ended_at = port_->Now();
    if (runner->requests.try_emplace(it, entry).second) {
      usage_->Add(entry.team, 1);
    }
  }
}

void RequestBoard::Tick() {
  UpdateUnreportedSlots();
  DropExpired();
  EvictOldKeys();
  const Time now = port_->Now();
  for (auto& it : runners_) {
    Runner& runner = it.second;
    const bool unknown =
        std::any_of(runner.requests.begin(), runner.requests.end(),
                    [](const auto& r) { return r.second.outcome_unknown; });
    const auto every =
        unknown || !runner.reported ? kUnresolvedPollInterval : kPollInterval;
    if (runner.last_poll_at == kNever || now - runner.last_poll_at >= every) {
      Poll(&runner);
    }
  }
  SendQueued();
}

void RequestBoard::DropExpired() {
  const Time now = port_->Now();
  std::vector<RequestWork> expired;
  for (auto& it : waiting_) {
    it.second.UpdateRate(now);
    for (auto& work : it.second.TakeExpired(now)) {
      expired.push_back(std::move(work));
    }
  }
  waiting_count_ -= expired.size();
  for (auto& it : expired) {
    const bool at_limit =
        usage_->AvailableUnits(port_->State(), it.origin.team) == 0;
    Refuse(&it, at_limit ? ErrorCode::kOverLimit : ErrorCode::kExpired);
  }
}

void RequestBoard::EvictOldKeys() {
  const Time now = port_->Now();
  std::erase_if(keyed_, [&](const auto& it) {
    return it.second.ended_at != kNever &&
           now - it.second.ended_at > kKeyRetention;
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

void RequestBoard::OnOwnershipGained(bool inherits) {
  owner_since_ = port_->Now();
  may_inherit_work_ = inherits;
  for (auto& it : runners_) {
    Runner& runner = it.second;
    runner.reported = false;
    runner.inherited = inherits;
    std::vector<std::string> stale;
    for (const auto& request : runner.requests) {
      if (request.second.outcome_unknown) {
        stale.push_back(request.first);
      }
    }
    for (const auto& id : stale) {
      ReleaseSlot(&runner, id);
    }
  }
  keyed_.clear();
  UpdateUnreportedSlots();
}

/// Counts inherited runners that have not reported yet as full for every team,
/// for at most the longest run of a former owner's request.
void RequestBoard::UpdateUnreportedSlots() {
  const bool inherited_over = port_->Now() - owner_since_ > kMaxRunTime;
  uint64_t units = 0;
  for (const auto& it : runners_) {
    const bool unreported =
        it.second.inherited && !it.second.reported && !inherited_over;
    units += unreported ? it.second.info.slots : 0;
  }
  usage_->SetUnreportedOnRunners(units);
}

uint32_t RequestBoard::FreeSlots() const {
  const Time now = port_->Now();
  size_t sum = 0;
  for (const auto& it : runners_) {
    if (it.second.IsUsable(now)) {
      sum += it.second.info.slots - it.second.requests.size();
    }
  }
  return static_cast<uint32_t>(sum);
}

}  // namespace bw
