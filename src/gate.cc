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

constexpr milliseconds kTickEvery{50};
constexpr milliseconds kClockGap{400};
constexpr milliseconds kHelloEvery{400};
constexpr milliseconds kHelloTimeout{1000};
constexpr milliseconds kFetchPause{500};
constexpr milliseconds kUnparkEvery{50};
constexpr milliseconds kTicketFresh{1500};
constexpr milliseconds kFarTicketFresh{5000};
constexpr milliseconds kSilence{3000};
constexpr milliseconds kSilenceOfMember{5000};
constexpr milliseconds kSettleEvery{1000};
constexpr milliseconds kSettleTimeout{1000};
constexpr milliseconds kContactKept{30'000};
constexpr milliseconds kAnswerSlack{3000};
constexpr milliseconds kJobAnswerTime{5000};
constexpr size_t kMaxParked = 5000;
constexpr size_t kMaxShardsTried = 4;
constexpr milliseconds kDefaultWait{10'000};
constexpr milliseconds kHandOverTime{500};
constexpr size_t kMaxIdempotencyKey = 128;

/// Refusals after which another shard may take the work.
bool OthersMayTakeIt(ErrorCode error) {
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

/// Refusals that pass by themselves, as when a shard changes its owner.
bool IsPassing(ErrorCode error) {
  return error == ErrorCode::kNotOwner || error == ErrorCode::kNoOwner ||
         error == ErrorCode::kDraining;
}

std::string KeyOf(const net::HttpRequest& request) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string bearer = request.Header("authorization");
  return bearer.starts_with(kBearer) ? Trim(bearer.substr(kBearer.size()))
                                     : request.Header("bw-key");
}

}  // namespace

net::HttpResponse ProblemResponse(const WorkOutcome& outcome) {
  constexpr std::array<const char*, 3> kFates = {"not_run", "unknown", "none"};
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
      {"work", kFates[static_cast<size_t>(desc.fate)]}};
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
      keys_(options_.key_bound, options_.serve_in_outage),
      call_prefix_(options_.instance.value + "." + RandomHex() + ":"),
      loop_(
          kTickEvery,
          kClockGap,
          [this] { Tick(); },
          [this] { OnGap(); }) {}

Gate::~Gate() = default;

void Gate::Start(Kernel&) {
  mesh_ = net::MakeMesh({"", options_.instance.value}, &parts_.events->clock(),
                        [](const proto::Envelope&, const net::Mesh::Reply&) {});
  control_.SetListener(
      [this](const ControlFollower::StatePtr& state, bool tail, Time asked) {
        loop_.PostWaiting([this, state, tail, asked] {
          if (state->version >= state_->version) {
            state_ = state;
          }
          if (tail) {
            keys_.OnTailRead(asked);
          }
        });
      });
  parts_.events->Write(EventKind::kStarted, options_.instance.value);
  loop_.Start();
  follower_ = std::make_unique<StreamFollower>(parts_.log, "control",
                                               options_.log_wait, &control_);
}

void Gate::Drain() {
  busy_ = true;
  draining_ = true;
  loop_.PostWaiting([this] {
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
    const Failure failure = Handle(
        [&]() -> leaf::result<Failure> {
          BOOST_LEAF_CHECK(ReadJobSpec(request.body));
          return Failure{};
        },
        [](const Failure& e) { return e; });
    if (failure.code != ErrorCode::kNone) {
      return refuse(failure.code, failure.detail);
    }
  }
  const std::string key = KeyOf(request);
  call->origin.key_hash = key.empty() ? "" : HashKey(key);
  call->origin.queue = QueueId(request.Query("queue"));
  call->origin.idempotency_key = request.Header("idempotency-key");
  if (call->origin.idempotency_key.size() > kMaxIdempotencyKey) {
    return refuse(ErrorCode::kOutOfRange, "Idempotency-Key: at most 128 bytes");
  }
  call->body = request.body;
  call->content_type = request.Header("content-type");
  call->began = BootClock::now();
  call->responder = std::move(responder);
  if (open_ >= options_.max_open) {
    call->responder(
        ProblemResponse({ErrorCode::kOverloaded, 0, {}, {}, 0, {}}));
    return;
  }
  ++open_;
  const bool posted = loop_.Post(
      [this, call, team = request.Query("team")] { Take(call, team); });
  if (!posted) {
    --open_;
    call->responder(
        ProblemResponse({ErrorCode::kOverloaded, 0, {}, {}, 0, {}}));
  }
}

/// Finds the team: from the key, or as named on a queue open to all.
ErrorCode Gate::FindOrigin(Call* call, const std::string& team_asked) const {
  WorkOrigin& origin = call->origin;
  if (!origin.key_hash.empty()) {
    auto it = state_->teams_by_key.find(origin.key_hash);
    if (it == state_->teams_by_key.end()) {
      return ErrorCode::kUnknownKey;
    }
    if (!team_asked.empty() && team_asked != it->second.value) {
      return ErrorCode::kKeyOfOtherTeam;
    }
    origin.team = it->second;
  } else if (team_asked.empty()) {
    return ErrorCode::kUnknownKey;
  } else {
    origin.team = TeamId(team_asked);
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

void Gate::Take(const CallPtr& call, const std::string& team_asked) {
  call->number = ++last_number_;
  const ErrorCode error = FindOrigin(call.get(), team_asked);
  if (error != ErrorCode::kNone) {
    Finish(call, {error, 0, {}, {}, 0, {}});
    return;
  }
  Duration wait = kDefaultWait;
  if (call->kind == CallKind::kRequest) {
    wait = milliseconds(PolicyOf(*state_, call->origin).max_wait_ms);
  }
  call->valid_until = call->began + wait;
  Route(call);
}

std::string Gate::AddressOf(const Member& member) const {
  auto it = options_.links.find(member.id.value);
  return it == options_.links.end() ? member.address : it->second;
}

bool Gate::IsCurrent(const Contact& contact, Time now) const {
  auto it = state_->members.find(contact.member.id);
  return it != state_->members.end() &&
         it->second.incarnation == contact.member.incarnation &&
         now - contact.received < (contact.member.zone == options_.zone
                                       ? kTicketFresh
                                       : kFarTicketFresh);
}

/// @return The contact that owns `shard`, or nullptr while it is not heard.
Gate::Contact* Gate::ContactOf(uint32_t shard) {
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
  if (contact.received == kNever && now - contact.wanted > kHelloEvery) {
    contact.wanted = now;
    Greet(member->second);
  }
  contact.wanted = now;
  auto report = contact.shards.find(shard);
  const bool acts = report != contact.shards.end() && report->second.acting();
  return acts && IsCurrent(contact, now) ? &contact : nullptr;
}

/// Own zone first, then the shard with the most free room.
Gate::Contact* Gate::PickContact(const Call& call, uint32_t* shard) {
  if (call.kind == CallKind::kJobQuery) {
    const std::string& id = call.job.value;
    *shard =
        id.size() > 1 && id[0] == 'j'
            ? static_cast<uint32_t>(std::strtoul(id.c_str() + 1, nullptr, 10))
            : ToIndex(INVALID_SHARD);
    return ContactOf(*shard);
  }
  if (!call.origin.idempotency_key.empty()) {
    *shard = ToIndex(
        HomeShard(*state_, call.origin.team, call.origin.idempotency_key));
    return ContactOf(*shard);
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

/// Keeps work that no placer can take at this moment until its deadline.
void Gate::Park(const CallPtr& call, ErrorCode error) {
  call->last_error = error;
  const Time now = BootClock::now();
  if (!IsPassing(error) || parked_.size() >= kMaxParked ||
      now + kHandOverTime >= call->valid_until) {
    Finish(call, {error, 0, {}, {}, 0, {}});
    return;
  }
  call->tried.clear();
  parked_.push_back(call);
}

proto::Envelope Gate::MakeQuestion(const Call& call,
                                   const Contact& contact,
                                   uint32_t shard) const {
  const Time now = BootClock::now();
  // The placer's clock is at least this far by now.
  const uint64_t clock_us =
      contact.clock_us +
      static_cast<uint64_t>((now - contact.received).count());
  const uint64_t valid_until_us =
      clock_us + static_cast<uint64_t>((call.valid_until - now).count());
  proto::Envelope question;
  if (call.kind == CallKind::kJobQuery) {
    auto* query = question.mutable_job_query();
    query->set_job(call.job.value);
    query->set_team(call.origin.team.value);
    query->set_cancel(call.cancel);
    return question;
  }
  const auto fill = [&](auto* it) {
    it->set_shard(shard);
    it->set_team(call.origin.team.value);
    it->set_queue(call.origin.queue.value);
    it->set_key_hash(call.origin.key_hash);
    it->set_idempotency_key(call.origin.idempotency_key);
    it->set_valid_until_us(valid_until_us);
    it->set_incarnation(contact.member.incarnation);
    it->set_call(NameOf(call));
  };
  if (call.kind == CallKind::kJob) {
    fill(question.mutable_submit_job());
    question.mutable_submit_job()->set_spec(call.body);
  } else {
    fill(question.mutable_submit());
    question.mutable_submit()->set_body(call.body);
    question.mutable_submit()->set_content_type(call.content_type);
    question.mutable_submit()->set_max_run_ms(
        static_cast<uint32_t>(options_.max_run.count()));
  }
  return question;
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
                                   ? left + options_.max_run + kAnswerSlack
                                   : kJobAnswerTime;
  mesh_->Ask(
      AddressOf(contact->member), MakeQuestion(*call, *contact, shard), timeout,
      [this, call, shard, sends = call->sends](const proto::Envelope* answer) {
        // Without an answer the work may have run.
        WorkOutcome outcome{ErrorCode::kOutcomeUnknown, 0, {}, {}, 0,
                            "no answer from the placer"};
        if (answer != nullptr && answer->has_outcome()) {
          outcome = FromMessage(answer->outcome());
        }
        PostOutcome(call, sends, shard, outcome);
      },
      [this, call, shard, sends = call->sends] {
        // The message surely did not leave.
        PostOutcome(call, sends, shard,
                    {ErrorCode::kNoOwner, 0, {}, {}, 0, {}});
      });
}

/// Answers to an earlier send of a call that went on are dropped.
void Gate::PostOutcome(const CallPtr& call,
                       uint32_t sends,
                       uint32_t shard,
                       const WorkOutcome& outcome) {
  loop_.PostWaiting([this, call, sends, shard, outcome] {
    if (call->sends == sends) {
      OnOutcome(call, shard, outcome);
    }
  });
}

void Gate::OnOutcome(const CallPtr& call, uint32_t shard, WorkOutcome outcome) {
  if (sent_.erase(call->number) == 0) {
    return;  // The caller was told before that the outcome is unknown.
  }
  if (!OthersMayTakeIt(outcome.error)) {
    Finish(call, outcome);
    return;
  }
  call->tried.insert(shard);
  call->last_error = outcome.error;
  const bool bound_to_shard = !call->origin.idempotency_key.empty() ||
                              call->kind == CallKind::kJobQuery;
  const bool time_left = BootClock::now() + kHandOverTime < call->valid_until;
  uint32_t next = 0;
  if (!bound_to_shard && time_left && call->tried.size() < kMaxShardsTried &&
      PickContact(*call, &next) != nullptr) {
    Route(call);
  } else if (IsPassing(outcome.error)) {
    Park(call, outcome.error);
  } else {
    Finish(call, outcome);
  }
}

/// A call tried at several shards is a new call at each of them.
std::string Gate::NameOf(const Call& call) const {
  return call_prefix_ + std::to_string(call.number) + "." +
         std::to_string(call.sends);
}

/// Answers may be lost or late; the placer keeps the outcomes for a while.
void Gate::SettleOverdue() {
  const Time now = BootClock::now();
  for (auto& it : sent_) {
    if (it.second.call->kind != CallKind::kJobQuery &&
        now - it.second.asked >= kSettleEvery) {
      it.second.asked = now;
      AskFate(&it.second);
    }
  }
}

void Gate::AskFate(Sent* sent) {
  auto contact = contacts_.find(sent->placer);
  if (contact == contacts_.end()) {
    return;
  }
  proto::Envelope question;
  question.mutable_settle()->set_call(NameOf(*sent->call));
  question.mutable_settle()->set_incarnation(sent->incarnation);
  mesh_->Ask(
      AddressOf(contact->second.member), std::move(question), kSettleTimeout,
      [this, call = sent->call, sends = sent->call->sends,
       shard = sent->shard](const proto::Envelope* answer) {
        if (answer != nullptr && answer->has_outcome() &&
            !answer->outcome().pending()) {
          PostOutcome(call, sends, shard, FromMessage(answer->outcome()));
        }
      },
      nullptr);
}

/// A placer that is no member any more and silent will hardly answer.
bool Gate::IsLost(const Sent& sent, Time now) const {
  auto member = state_->members.find(sent.placer);
  const bool is_member = member != state_->members.end();
  if (is_member && member->second.incarnation != sent.incarnation) {
    return true;
  }
  auto contact = contacts_.find(sent.placer);
  const Duration silence = is_member ? kSilenceOfMember : kSilence;
  return contact == contacts_.end() || now - contact->second.received > silence;
}

/// Callers of lost placers are told that the outcome is unknown.
void Gate::GiveUpLost() {
  const Time now = BootClock::now();
  std::vector<CallPtr> lost;
  for (const auto& it : sent_) {
    if (IsLost(it.second, now)) {
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
  const auto took = BootClock::now() - call->began;
  const char* code = Describe(outcome.error).name;
  // Callers may write any name; only real ones become labels.
  const bool known = state_->accounts.contains(call->origin.team);
  const std::string team = known ? call->origin.team.value : "";
  parts_.metrics->Count("bw_gate_calls_total",
                        fmt::format("code=\"{}\"", code));
  parts_.metrics->Observe("bw_gate_seconds", fmt::format("team=\"{}\"", team),
                          static_cast<double>(took.count()));
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

void Gate::OnGap() {
  keys_.OnClockGap();
  contacts_.clear();
  health_.Clear();
  parts_.events->Write(EventKind::kClockGap, options_.instance.value);
}

void Gate::Tick() {
  const Time now = BootClock::now();
  if (now >= next_hello_) {
    next_hello_ = now + kHelloEvery;
    SendHellos();
    GiveUpLost();
    SettleOverdue();
  }
  if (now >= next_unpark_) {
    next_unpark_ = now + kUnparkEvery;
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
                      static_cast<double>(mesh_->BytesMoved()));
  parts_.metrics->Set("bw_log_bytes_total", "",
                      static_cast<double>(parts_.log->BytesMoved()));
  parts_.metrics->Set("bw_gate_open_calls", "", static_cast<double>(open_));
  if (draining_ && drain_began_ != kNever) {
    busy_ = open_ > 0 || now - drain_began_ < options_.drain_grace;
  }
}

void Gate::SendHellos() {
  const Time now = BootClock::now();
  keys_.OnHeard(options_.zone, state_->version, state_->version,
                AgeMs(control_.tail_asked(), now), now);
  std::erase_if(contacts_, [&](const auto& it) {
    return now - it.second.wanted > kContactKept;
  });
  // The placer on the gate's own instance is a peer like any other.
  const InstanceId self("gate/" + options_.instance.value);
  for (const auto& it :
       PickPeers(*state_, self, options_.zone, health_.Silent(now))) {
    Contact& contact = contacts_[it.id];
    if (contact.member != it) {
      contact = Contact{};
      contact.member = it;
    }
    contact.wanted = now;
  }
  for (auto& it : contacts_) {
    Contact& contact = it.second;
    const Duration every = contact.member.zone == options_.zone
                               ? Duration(kHelloEvery)
                               : kFarHeartbeatEvery;
    if (now - contact.greeted >= every) {
      contact.greeted = now;
      health_.OnAsked(it.first, now);
      Greet(contact.member);
    }
  }
  if ((control_.HasGap() || control_.tail_asked() == kNever) &&
      now >= next_fetch_) {
    next_fetch_ = now + kFetchPause;
    for (const auto& it : options_.seeds) {
      bw::FetchFold(mesh_.get(), it, &control_);
    }
  }
}

void Gate::Greet(const Member& member) {
  const Time now = BootClock::now();
  proto::Envelope question;
  question.mutable_hello()->set_zone(options_.zone.value);
  mesh_->Ask(
      AddressOf(member), std::move(question), kHelloTimeout,
      [this, member, now](const proto::Envelope* answer) {
        if (answer != nullptr && answer->has_ticket()) {
          loop_.Post([this, member, now, ticket = answer->ticket()] {
            OnTicket(member, now, ticket);
          });
        }
      },
      nullptr);
}

void Gate::OnTicket(const Member& member,
                    Time asked,
                    const proto::Ticket& ticket) {
  auto it = contacts_.find(member.id);
  if (it == contacts_.end() ||
      ticket.incarnation() != it->second.member.incarnation) {
    return;
  }
  health_.OnAnswered(member.id);
  Contact& contact = it->second;
  contact.received = BootClock::now();
  contact.clock_us = ticket.clock_us();
  contact.shards.clear();
  for (const auto& report : ticket.shards()) {
    contact.shards[report.shard()] = report;
  }
  keys_.OnHeard(member.zone, ticket.version(), state_->version,
                ticket.log_age_ms(), asked);
  if (ticket.version() > state_->version && BootClock::now() >= next_fetch_) {
    next_fetch_ = BootClock::now() + kFetchPause;
    bw::FetchFold(mesh_.get(), AddressOf(member), &control_);
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
