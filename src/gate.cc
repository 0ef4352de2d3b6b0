#include "gate_base.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "admit_func.h"
#include "control_func.h"
#include "log_func.h"
#include "peer_func.h"
#include "proto_func.h"
#include "state_fetch_func.h"
#include "text_func.h"
#include "work_func.h"

namespace bw {
namespace {

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kClockGapThreshold{400};
constexpr milliseconds kHelloInterval{400};
constexpr milliseconds kHelloTimeout{1000};
constexpr milliseconds kStateFetchInterval{500};
constexpr milliseconds kParkedRetryInterval{50};
/// Age up to which a placer's reply to a hello is used for routing.
constexpr milliseconds kReplyValidity{1500};
constexpr milliseconds kRemoteReplyValidity{5000};
/// Time without a reply after which calls sent to a placer count as lost.
constexpr milliseconds kRemovedPlacerTimeout{3000};
constexpr milliseconds kMemberTimeout{5000};
constexpr milliseconds kOutcomeQueryInterval{1000};
constexpr milliseconds kOutcomeQueryTimeout{1000};
constexpr milliseconds kContactRetention{30'000};
/// Time allowed for the reply beyond the deadline and run time of a request.
constexpr milliseconds kReplyMargin{3000};
constexpr milliseconds kJobReplyTimeout{5000};
constexpr size_t kMaxParkedCalls = 5000;
constexpr size_t kMaxShardsTried = 4;
constexpr milliseconds kDefaultMaxWait{10'000};
/// Shortest time before a call's deadline at which it is still retried.
constexpr milliseconds kMinTimeToSend{500};
constexpr size_t kMaxIdempotencyKeyBytes = 128;

/// @return True if another shard may accept work that was refused with `error`.
bool CanRetryOnOtherShard(ErrorCode error) {
  switch (error) {
    case ErrorCode::kNotOwner:
    case ErrorCode::kNoOwner:
    case ErrorCode::kQueueFull:
    case ErrorCode::kOverloaded:
    case ErrorCode::kDraining:
    case ErrorCode::kCanNeverRun:
    case ErrorCode::kExpired:
      return true;
    default:
      return false;
  }
}

/// @return True if the refusal is temporary, for example while a shard changes
/// its owner.
bool IsTransient(ErrorCode error) {
  return error == ErrorCode::kNotOwner || error == ErrorCode::kNoOwner ||
         error == ErrorCode::kDraining;
}

std::string ApiKeyOf(const net::HttpRequest& request) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string bearer = request.Header("authorization");
  return bearer.starts_with(kBearer) ? Trim(bearer.substr(kBearer.size()))
                                     : request.Header("bw-key");
}

}  // namespace

net::HttpResponse ProblemResponse(const WorkOutcome& outcome) {
  constexpr std::array<const char*, 3> kWorkStatus = {"not_run", "unknown",
                                                      "none"};
  constexpr uint32_t kMsPerSecond = 1000;
  const ErrorDesc& desc = Describe(outcome.error);
  net::HttpResponse out;
  out.status = desc.http_status;
  out.content_type = "application/problem+json";
  nlohmann::ordered_json body = {
      {"type", std::string("urn:bilberrywing:error:") + desc.name},
      {"title", desc.title},
      {"status", desc.http_status},
      {"code", desc.name},
      {"work", kWorkStatus[static_cast<size_t>(desc.execution)]}};
  if (!outcome.detail.empty()) {
    body["detail"] = outcome.detail;
  }
  out.body = body.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
  if (desc.http_status == 503 || desc.http_status == 429) {
    const uint32_t ms = std::max(outcome.retry_after_ms, kMsPerSecond);
    out.headers.emplace_back(
        "Retry-After", std::to_string((ms + kMsPerSecond - 1) / kMsPerSecond));
  }
  return out;
}

Gate::Gate(GateOptions options, GateParts parts)
    : options_(std::move(options)),
      parts_(parts),
      state_(control_.state()),
      keys_(options_.max_key_age, options_.serve_in_outage),
      call_prefix_(options_.instance.value + "." + RandomHex() + ":"),
      loop_(
          kTickInterval,
          kClockGapThreshold,
          [this] { Tick(); },
          [this] { OnClockGap(); }) {}

Gate::~Gate() = default;

void Gate::Start(Kernel&) {
  mesh_ = net::MakeMesh({"", options_.instance.value}, &parts_.events->clock(),
                        [](const proto::Envelope&, const net::Mesh::Reply&) {});
  control_.SetListener([this](const ControlFollower::StatePtr& state, bool tail,
                              Time read_began) {
    loop_.PostBlocking([this, state, tail, read_began] {
      if (state->version >= state_->version) {
        state_ = state;
      }
      if (tail) {
        keys_.OnTailRead(read_began);
      }
    });
  });
  parts_.events->Write(EventKind::kStarted, options_.instance.value);
  loop_.Start();
  follower_ = std::make_unique<StreamFollower>(
      parts_.log, "control", options_.log_poll_timeout, &control_);
}

void Gate::Drain() {
  busy_ = true;
  draining_ = true;
  loop_.PostBlocking([this] {
    drain_began_ = BootClock::now();
    parts_.events->Write(EventKind::kDrainBegan, options_.instance.value);
  });
}

void Gate::Stop() {
  follower_.reset();
  loop_.Stop();
  mesh_.reset();
  parts_.events->Write(EventKind::kStopped, options_.instance.value);
}

void Gate::Serve(const net::HttpRequest& request, net::Responder responder) {
  const auto refuse = [&](ErrorCode error, std::string detail = {}) {
    responder(ProblemResponse({error, 0, {}, {}, 0, std::move(detail)}));
  };
  auto call = std::make_shared<Call>();
  const auto path = SplitList(request.path, '/');
  const bool is_job = path.size() >= 2 && path[1] == "jobs";
  if (path.empty() || path[0] != "v1" || path.size() < 2 ||
      (path[1] != "requests" && !is_job) || path.size() > (is_job ? 3U : 2U)) {
    return refuse(ErrorCode::kNotFound);
  }
  if (path.size() == 3) {
    call->kind = CallKind::kJobQuery;
    call->job = JobId(path[2]);
    call->cancel = request.method == "DELETE";
    if (!call->cancel && request.method != "GET") {
      return refuse(ErrorCode::kMethodNotAllowed);
    }
  } else if (request.method != "POST") {
    return refuse(ErrorCode::kMethodNotAllowed);
  } else if (request.body.size() > options_.max_body_bytes) {
    return refuse(ErrorCode::kTooLarge);
  } else if (is_job) {
    call->kind = CallKind::kJob;
    const Failure failure = HandleFailure(
        [&]() -> leaf::result<Failure> {
          BOOST_LEAF_CHECK(ReadJobSpec(request.body));
          return Failure{};
        },
        [](const Failure& e) { return e; });
    if (failure.code != ErrorCode::kNone) {
      return refuse(failure.code, failure.detail);
    }
  }
  const std::string key = ApiKeyOf(request);
  call->origin.key_hash = key.empty() ? "" : HashApiKey(key);
  call->origin.queue = QueueId(request.Query("queue"));
  call->origin.idempotency_key = request.Header("idempotency-key");
  if (call->origin.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return refuse(ErrorCode::kOutOfRange, "Idempotency-Key: at most 128 bytes");
  }
  call->body = request.body;
  call->content_type = request.Header("content-type");
  call->began = BootClock::now();
  call->responder = std::move(responder);
  if (open_ >= options_.max_open_calls) {
    call->responder(
        ProblemResponse({ErrorCode::kOverloaded, 0, {}, {}, 0, {}}));
    return;
  }
  ++open_;
  const bool posted = loop_.Post(
      [this, call, team = request.Query("team")] { AcceptCall(call, team); });
  if (!posted) {
    --open_;
    call->responder(
        ProblemResponse({ErrorCode::kOverloaded, 0, {}, {}, 0, {}}));
  }
}

/// Determines the team: from the API key, or from the request's parameter if
/// the queue is open to callers without a key.
/// @return kNone if the caller may go on.
ErrorCode Gate::ResolveOrigin(Call* call,
                              const std::string& requested_team) const {
  WorkOrigin& origin = call->origin;
  if (!origin.key_hash.empty()) {
    auto it = state_->teams_by_key.find(origin.key_hash);
    if (it == state_->teams_by_key.end()) {
      return ErrorCode::kUnknownKey;
    }
    if (!requested_team.empty() && requested_team != it->second.value) {
      return ErrorCode::kKeyOfOtherTeam;
    }
    origin.team = it->second;
  } else if (requested_team.empty()) {
    return ErrorCode::kUnknownKey;
  } else {
    origin.team = TeamId(requested_team);
  }
  const bool keys_current =
      keys_.MayAcceptKeyed(state_->zones, BootClock::now());
  if (call->kind == CallKind::kJobQuery) {
    return origin.key_hash.empty() ? ErrorCode::kUnknownKey
           : keys_current          ? ErrorCode::kNone
                                   : ErrorCode::kZoneCutOff;
  }
  return CheckOrigin(*state_, origin, keys_current);
}

void Gate::AcceptCall(const CallPtr& call, const std::string& requested_team) {
  call->number = ++last_number_;
  const ErrorCode error = ResolveOrigin(call.get(), requested_team);
  if (error != ErrorCode::kNone) {
    Finish(call, {error, 0, {}, {}, 0, {}});
    return;
  }
  Duration wait = kDefaultMaxWait;
  if (call->kind == CallKind::kRequest) {
    wait = milliseconds(PolicyOf(*state_, call->origin).max_wait_ms);
  }
  call->valid_until = call->began + wait;
  Route(call);
}

std::string Gate::AddressOf(const Member& member) const {
  auto it = options_.address_overrides.find(member.id.value);
  return it == options_.address_overrides.end() ? member.address : it->second;
}

bool Gate::IsCurrent(const Contact& contact, Time now) const {
  auto it = state_->members.find(contact.member.id);
  return it != state_->members.end() &&
         it->second.incarnation == contact.member.incarnation &&
         now - contact.last_reply < (contact.member.zone == options_.zone
                                         ? kReplyValidity
                                         : kRemoteReplyValidity);
}

/// @return The contact that owns `shard`, or nullptr if its last reply is not
/// recent or does not report that it acts on the shard.
Gate::Contact* Gate::FindActingOwner(uint32_t shard) {
  if (shard >= state_->shards.size()) {
    return nullptr;
  }
  auto member = state_->members.find(state_->shards[shard].owner);
  if (member == state_->members.end()) {
    return nullptr;
  }
  const Time now = BootClock::now();
  Contact& contact = contacts_[member->first];
  if (contact.member != member->second) {
    contact = Contact{};
    contact.member = member->second;
  }
  if (contact.last_reply == kNever &&
      now - contact.last_used > kHelloInterval) {
    contact.last_used = now;
    SendHello(member->second);
  }
  contact.last_used = now;
  auto report = contact.shards.find(shard);
  const bool acts = report != contact.shards.end() && report->second.acting();
  return acts && IsCurrent(contact, now) ? &contact : nullptr;
}

/// Chooses a placer and shard for the call. Job queries and keyed calls are
/// bound to one shard. Other calls go to a shard with free slots if there is
/// one, then to the own zone, then to the shard with the most free slots less
/// waiting work.
/// @return nullptr if no placer can accept the call now.
Gate::Contact* Gate::PickContact(const Call& call, uint32_t* shard) {
  if (call.kind == CallKind::kJobQuery) {
    const std::string& id = call.job.value;
    *shard =
        id.size() > 1 && id[0] == 'j'
            ? static_cast<uint32_t>(std::strtoul(id.c_str() + 1, nullptr, 10))
            : ToIndex(INVALID_SHARD);
    return FindActingOwner(*shard);
  }
  if (!call.origin.idempotency_key.empty()) {
    *shard = ToIndex(
        HomeShard(*state_, call.origin.team, call.origin.idempotency_key));
    return FindActingOwner(*shard);
  }
  const Time now = BootClock::now();
  Contact* best = nullptr;
  std::tuple<bool, bool, int64_t> best_rank;
  for (auto& it : contacts_) {
    Contact& contact = it.second;
    if (!IsCurrent(contact, now)) {
      continue;
    }
    const bool own_zone = contact.member.zone == options_.zone;
    for (const auto& [n, report] : contact.shards) {
      if (!report.acting() || call.tried.contains(n)) {
        continue;
      }
      const std::tuple rank(
          report.free_slots() > 0, own_zone,
          int64_t{report.free_slots()} - int64_t{report.waiting()});
      if (best == nullptr || rank > best_rank) {
        best = &contact;
        best_rank = rank;
        *shard = n;
      }
    }
  }
  return best;
}

void Gate::Route(const CallPtr& call) {
  uint32_t shard = 0;
  Contact* contact = PickContact(*call, &shard);
  if (contact != nullptr) {
    SendTo(call, contact, shard);
  } else if (call->kind == CallKind::kJobQuery &&
             shard >= state_->shards.size()) {
    Finish(call, {ErrorCode::kUnknownJob, 0, {}, {}, 0, {}});
  } else {
    Park(call, call->last_error);
  }
}

/// Holds back a call that no placer can accept now. Tick retries it until its
/// deadline. Finishes the call at once if the refusal is not temporary, too
/// many calls are parked or its deadline is close.
void Gate::Park(const CallPtr& call, ErrorCode error) {
  call->last_error = error;
  const Time now = BootClock::now();
  if (!IsTransient(error) || parked_.size() >= kMaxParkedCalls ||
      now + kMinTimeToSend >= call->valid_until) {
    Finish(call, {error, 0, {}, {}, 0, {}});
    return;
  }
  call->tried.clear();
  parked_.push_back(call);
}

proto::Envelope Gate::MakeRequest(const Call& call,
                                  const Contact& contact,
                                  uint32_t shard) const {
  const Time now = BootClock::now();
  // Lower bound of the placer's current clock: its clock in the last reply plus
  // the time since that reply arrived.
  const uint64_t clock_us =
      contact.placer_clock_us +
      static_cast<uint64_t>((now - contact.last_reply).count());
  const uint64_t valid_until_us =
      clock_us + static_cast<uint64_t>((call.valid_until - now).count());
  proto::Envelope request;
  if (call.kind == CallKind::kJobQuery) {
    auto* query = request.mutable_job_query();
    query->set_job(call.job.value);
    query->set_team(call.origin.team.value);
    query->set_cancel(call.cancel);
    return request;
  }
  const auto fill = [&](auto* it) {
    it->set_shard(shard);
    it->set_team(call.origin.team.value);
    it->set_queue(call.origin.queue.value);
    it->set_key_hash(call.origin.key_hash);
    it->set_idempotency_key(call.origin.idempotency_key);
    it->set_valid_until_us(valid_until_us);
    it->set_incarnation(contact.member.incarnation);
    it->set_call(MakeCallId(call));
  };
  if (call.kind == CallKind::kJob) {
    fill(request.mutable_submit_job());
    request.mutable_submit_job()->set_spec(call.body);
  } else {
    fill(request.mutable_submit());
    request.mutable_submit()->set_body(call.body);
    request.mutable_submit()->set_content_type(call.content_type);
    request.mutable_submit()->set_max_run_ms(
        static_cast<uint32_t>(options_.max_run.count()));
  }
  return request;
}

void Gate::SendTo(const CallPtr& call, Contact* contact, uint32_t shard) {
  auto& report = contact->shards[shard];
  if (report.free_slots() > 0) {
    report.set_free_slots(report.free_slots() - 1);
  } else {
    report.set_waiting(report.waiting() + 1);
  }
  ++call->sends;
  sent_[call->number] = {call, contact->member.id, contact->member.incarnation,
                         BootClock::now(), shard};
  const auto left = std::chrono::duration_cast<milliseconds>(call->valid_until -
                                                             BootClock::now());
  const milliseconds timeout = call->kind == CallKind::kRequest
                                   ? left + options_.max_run + kReplyMargin
                                   : kJobReplyTimeout;
  mesh_->SendRequest(
      AddressOf(contact->member), MakeRequest(*call, *contact, shard), timeout,
      [this, call, shard, sends = call->sends](const proto::Envelope* reply) {
        // Without a reply the work may or may not have run.
        WorkOutcome outcome{ErrorCode::kOutcomeUnknown, 0, {}, {}, 0,
                            "no answer from the placer"};
        if (reply != nullptr && reply->has_outcome()) {
          outcome = FromMessage(reply->outcome());
        }
        PostOutcome(call, sends, shard, outcome);
      },
      [this, call, shard, sends = call->sends] {
        // The message was definitely not sent.
        PostOutcome(call, sends, shard,
                    {ErrorCode::kNoOwner, 0, {}, {}, 0, {}});
      });
}

/// Passes an outcome to the core thread. Outcomes of an earlier send are
/// dropped if the call has been sent again since.
void Gate::PostOutcome(const CallPtr& call,
                       uint32_t sends,
                       uint32_t shard,
                       const WorkOutcome& outcome) {
  loop_.PostBlocking([this, call, sends, shard, outcome] {
    if (call->sends == sends) {
      OnOutcome(call, shard, outcome);
    }
  });
}

void Gate::OnOutcome(const CallPtr& call, uint32_t shard, WorkOutcome outcome) {
  if (sent_.erase(call->number) == 0) {
    return;  // Already handled, for example by FailLostCalls.
  }
  if (!CanRetryOnOtherShard(outcome.error)) {
    Finish(call, outcome);
    return;
  }
  call->tried.insert(shard);
  call->last_error = outcome.error;
  const bool bound_to_shard = !call->origin.idempotency_key.empty() ||
                              call->kind == CallKind::kJobQuery;
  const bool time_left = BootClock::now() + kMinTimeToSend < call->valid_until;
  uint32_t next = 0;
  if (!bound_to_shard && time_left && call->tried.size() < kMaxShardsTried &&
      PickContact(*call, &next) != nullptr) {
    Route(call);
  } else if (IsTransient(outcome.error)) {
    Park(call, outcome.error);
  } else {
    Finish(call, outcome);
  }
}

/// @return The ID of the call's newest send. Each send has its own ID, so each
/// placer treats it as a new call.
std::string Gate::MakeCallId(const Call& call) const {
  return call_prefix_ + std::to_string(call.number) + "." +
         std::to_string(call.sends);
}

/// Queries the outcomes of calls whose reply is overdue. Replies may be lost or
/// late; placers store outcomes for a limited time for this purpose.
void Gate::QueryOverdueOutcomes() {
  const Time now = BootClock::now();
  for (auto& it : sent_) {
    if (it.second.call->kind != CallKind::kJobQuery &&
        now - it.second.outcome_queried_at >= kOutcomeQueryInterval) {
      it.second.outcome_queried_at = now;
      QueryOutcome(&it.second);
    }
  }
}

void Gate::QueryOutcome(SentCall* sent) {
  auto contact = contacts_.find(sent->placer);
  if (contact == contacts_.end()) {
    return;
  }
  proto::Envelope request;
  request.mutable_settle()->set_call(MakeCallId(*sent->call));
  request.mutable_settle()->set_incarnation(sent->incarnation);
  mesh_->SendRequest(
      AddressOf(contact->second.member), std::move(request),
      kOutcomeQueryTimeout,
      [this, call = sent->call, sends = sent->call->sends,
       shard = sent->shard](const proto::Envelope* reply) {
        if (reply != nullptr && reply->has_outcome() &&
            !reply->outcome().pending()) {
          PostOutcome(call, sends, shard, FromMessage(reply->outcome()));
        }
      },
      nullptr);
}

/// @return True if a reply is not expected any more: the placer restarted, or
/// it has not replied to a hello within the time-out, which is shorter for a
/// placer that is no longer a member.
bool Gate::IsPlacerLost(const SentCall& sent, Time now) const {
  auto member = state_->members.find(sent.placer);
  const bool is_member = member != state_->members.end();
  if (is_member && member->second.incarnation != sent.incarnation) {
    return true;
  }
  auto contact = contacts_.find(sent.placer);
  const Duration timeout = is_member ? kMemberTimeout : kRemovedPlacerTimeout;
  return contact == contacts_.end() ||
         now - contact->second.last_reply > timeout;
}

/// Finishes the calls sent to lost placers with an unknown outcome.
void Gate::FailLostCalls() {
  const Time now = BootClock::now();
  std::vector<CallPtr> lost;
  for (const auto& it : sent_) {
    if (IsPlacerLost(it.second, now)) {
      lost.push_back(it.second.call);
    }
  }
  for (const auto& it : lost) {
    sent_.erase(it->number);
    Finish(it,
           {ErrorCode::kOutcomeUnknown, 0, {}, {}, 0, "the placer was lost"});
  }
}

void Gate::Finish(const CallPtr& call, const WorkOutcome& outcome) {
  const auto duration = BootClock::now() - call->began;
  const char* code = Describe(outcome.error).name;
  // Callers may send any team name; only existing teams become metric labels.
  const bool known = state_->accounts.contains(call->origin.team);
  const std::string team = known ? call->origin.team.value : "";
  parts_.metrics->Count("bw_gate_calls_total",
                        fmt::format("code=\"{}\"", code));
  parts_.metrics->Observe("bw_gate_seconds", fmt::format("team=\"{}\"", team),
                          static_cast<double>(duration.count()));
  if (outcome.error == ErrorCode::kNone) {
    net::HttpResponse response;
    response.status = outcome.status;
    response.content_type = outcome.content_type.empty()
                                ? "application/octet-stream"
                                : outcome.content_type;
    response.body = outcome.body;
    call->responder(std::move(response));
  } else {
    parts_.events->Write(
        EventKind::kRequestRefused,
        fmt::format("{}:{}", options_.instance.value, call->number), code);
    call->responder(ProblemResponse(outcome));
  }
  --open_;
}

void Gate::OnClockGap() {
  keys_.OnClockGap();
  contacts_.clear();
  health_.Clear();
  parts_.events->Write(EventKind::kClockGap, options_.instance.value);
}

void Gate::Tick() {
  const Time now = BootClock::now();
  if (now >= next_hello_) {
    next_hello_ = now + kHelloInterval;
    SendHellos();
    FailLostCalls();
    QueryOverdueOutcomes();
  }
  if (now >= next_parked_retry_) {
    next_parked_retry_ = now + kParkedRetryInterval;
    std::vector<CallPtr> calls;
    calls.swap(parked_);
    for (const auto& it : calls) {
      Route(it);
    }
  }
  ready_ = !state_->zones.empty() &&
           std::any_of(contacts_.begin(), contacts_.end(),
                       [&](auto& it) { return IsCurrent(it.second, now); });
  parts_.metrics->Set("bw_mesh_bytes_total", "",
                      static_cast<double>(mesh_->BytesTransferred()));
  parts_.metrics->Set("bw_log_bytes_total", "",
                      static_cast<double>(parts_.log->BytesTransferred()));
  parts_.metrics->Set("bw_gate_open_calls", "", static_cast<double>(open_));
  if (draining_ && drain_began_ != kNever) {
    busy_ = open_ > 0 || now - drain_began_ < options_.drain_grace;
  }
}

void Gate::SendHellos() {
  const Time now = BootClock::now();
  keys_.OnPeerReport(options_.zone, state_->version, state_->version,
                     AgeMs(control_.tail_asked(), now), now);
  std::erase_if(contacts_, [&](const auto& it) {
    return now - it.second.last_used > kContactRetention;
  });
  // The own ID differs from the instance name, so that the placer on the gate's
  // own instance is treated as a peer.
  const InstanceId self("gate/" + options_.instance.value);
  for (const auto& it : PickPeers(*state_, self, options_.zone,
                                  health_.UnresponsivePeers(now))) {
    Contact& contact = contacts_[it.id];
    if (contact.member != it) {
      contact = Contact{};
      contact.member = it;
    }
    contact.last_used = now;
  }
  for (auto& it : contacts_) {
    Contact& contact = it.second;
    const Duration every = contact.member.zone == options_.zone
                               ? Duration(kHelloInterval)
                               : kCrossZoneHeartbeatInterval;
    if (now - contact.last_hello >= every) {
      contact.last_hello = now;
      health_.OnRequestSent(it.first, now);
      SendHello(contact.member);
    }
  }
  if ((control_.HasGap() || control_.tail_asked() == kNever) &&
      now >= next_state_fetch_) {
    next_state_fetch_ = now + kStateFetchInterval;
    for (const auto& it : options_.seeds) {
      bw::FetchControlState(mesh_.get(), it, &control_);
    }
  }
}

void Gate::SendHello(const Member& member) {
  const Time now = BootClock::now();
  proto::Envelope request;
  request.mutable_hello()->set_zone(options_.zone.value);
  mesh_->SendRequest(
      AddressOf(member), std::move(request), kHelloTimeout,
      [this, member, now](const proto::Envelope* reply) {
        if (reply != nullptr && reply->has_ticket()) {
          loop_.Post([this, member, now, ticket = reply->ticket()] {
            OnHelloReply(member, now, ticket);
          });
        }
      },
      nullptr);
}

void Gate::OnHelloReply(const Member& member,
                        Time sent_at,
                        const proto::Ticket& ticket) {
  auto it = contacts_.find(member.id);
  if (it == contacts_.end() ||
      ticket.incarnation() != it->second.member.incarnation) {
    return;
  }
  health_.OnResponse(member.id);
  Contact& contact = it->second;
  contact.last_reply = BootClock::now();
  contact.placer_clock_us = ticket.clock_us();
  contact.shards.clear();
  for (const auto& report : ticket.shards()) {
    contact.shards[report.shard()] = report;
  }
  keys_.OnPeerReport(member.zone, ticket.version(), state_->version,
                     ticket.log_age_ms(), sent_at);
  if (ticket.version() > state_->version &&
      BootClock::now() >= next_state_fetch_) {
    next_state_fetch_ = BootClock::now() + kStateFetchInterval;
    bw::FetchControlState(mesh_.get(), AddressOf(member), &control_);
  }
}

std::string Gate::StatusText() const {
  const auto state = control_.state();
  return nlohmann::json{
      {"instance", options_.instance.value},
      {"zone", options_.zone.value},
      {"version", state->version},
      {"open_calls", open_.load()},
      {"ready", IsReady()},
      {"log_age_ms", AgeMs(control_.tail_asked(), BootClock::now())}}
      .dump();
}

}  // namespace bw
