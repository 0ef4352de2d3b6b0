#include "front_base.h"

#include <algorithm>

#include "event_log_func.h"
#include "text_func.h"

namespace bw {
namespace {

/// Delay before a call is sent to the owner again.
constexpr milliseconds kRetryPause{40};
/// A call that definitely reached no owner is refused after this.
constexpr milliseconds kNoOwnerTimeout{500};
/// A call is sent again if no reply arrives within this time. The owner replies
/// in about 10 ms, or 900 ms with a slow store; a repeated call joins the
/// pending one.
constexpr milliseconds kOwnerReplyTimeout{500};
constexpr uint32_t kMaxReplyTimeoutDoublings = 2;
/// A submission that may have been accepted ends with "outcome unknown" after
/// this, so that the caller has time left to retry at another instance.
constexpr milliseconds kUnknownOutcomeTimeout{1200};
/// The response is sent this long before the caller's timeout, but at most
/// 1 / kResponseMarginDivisor of that timeout before it.
constexpr milliseconds kResponseMargin{150};
constexpr int kResponseMarginDivisor = 4;
constexpr uint32_t kRetryAfterMs = 1000;
/// API keys are trusted only while the configuration is younger than the time
/// within which revoked keys stop working, less this margin for the response.
constexpr milliseconds kRevokeMargin{1200};
/// A call with an unknown key or queue gets a final error only if the
/// configuration is younger than this; otherwise the caller may retry.
constexpr uint32_t kMaxFinalErrorAgeMs = 1800;
/// An instance with an older configuration reports not ready.
constexpr uint32_t kMaxReadyAgeMs = 2000;
constexpr size_t kMaxOpenCalls = 2000;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

CellOutcome FromReply(const proto::CellReply& reply) {
  CellOutcome out;
  out.status = static_cast<CellStatus>(reply.verdict());
  out.state = reply.state();
  out.count = reply.count();
  out.retry_after_ms = reply.retry_after_ms();
  out.reason = reply.reason();
  out.applies_ms = reply.applies_ms();
  return out;
}

}  // namespace

Front::Front(FrontOptions options, FrontParts parts)
    : options_(options), parts_(parts) {}

void Front::Serve(const net::HttpRequest& request, net::Responder responder) {
  auto call = std::make_shared<Call>();
  call->ingress = platform::ReadIngressCall(request);
  call->responder = std::move(responder);
  call->received = BootClock::now();
  call->give_up =
      call->received + call->ingress.wait -
      std::min(kResponseMargin, call->ingress.wait / kResponseMarginDivisor);
  ++open_;
  if (open_ > kMaxOpenCalls ||
      !parts_.core->Post([this, call] { Accept(call); })) {
    --open_;
    auto out =
        platform::MakeErrorResponse(kUnavailable, "overloaded", kRetryAfterMs);
    out.close = true;
    call->responder(std::move(out));
  }
}

void Front::Accept(const CallPtr& call) {
  const auto& config = parts_.config->Current();
  const uint32_t age_ms = parts_.config->ConfigAgeMs(BootClock::now());
  const auto max_age_ms =
      static_cast<uint32_t>((options_.revoke - kRevokeMargin).count());
  if (IsClosing(BootClock::now())) {
    Refuse(call, kUnavailable, "shutting down");
    return;
  }
  if (!config || age_ms > max_age_ms) {
    Refuse(call, kUnavailable, "the configuration may be out of date");
    return;
  }
  if (!BuildMessage(call) || RefuseIfOverloaded(call, call->received)) {
    return;
  }
  open_calls_[++last_number_] = call;
  Send(call);
}

/// Checks queue, API key and job name and builds the message to the owner.
/// @return False if the call was refused.
bool Front::BuildMessage(const CallPtr& call) {
  const auto& config = *parts_.config->Current();
  const bool is_fresh =
      parts_.config->ConfigAgeMs(BootClock::now()) < kMaxFinalErrorAgeMs;
  const auto& in = call->ingress;
  const CellQueue* queue = platform::FindRoute(config, in.host, in.path);
  if (queue == nullptr) {
    Refuse(call, is_fresh ? kNotFound : kUnavailable, "no such queue");
    return false;
  }
  TeamId team;
  if (!in.api_key.empty()) {
    auto it = config.teams_by_key.find(HashApiKey(in.api_key));
    if (it != config.teams_by_key.end()) {
      team = it->second;
    }
  }
  if (!team.IsValid() && !queue->anonymous) {
    Refuse(call, is_fresh ? kUnauthorized : kUnavailable, "unknown key");
    return false;
  }
  const std::string name = in.path.substr(queue->path_prefix.size());
  auto& message = call->message;
  message.set_team(team.value);
  message.set_queue(queue->name.value);
  message.set_config_version(config.version);
  message.set_wait_ms(static_cast<uint32_t>(in.wait.count()));
  if (name.empty() && in.kind == platform::IngressKind::kState) {
    message.set_kind(static_cast<uint32_t>(CellCallKind::kCount));
    return true;
  }
  if (!platform::IsJobId(name)) {
    const bool submit = in.kind == platform::IngressKind::kSubmit;
    Refuse(call, submit ? kBadRequest : kGone, "not a job's name");
    return false;
  }
  message.set_job(name);
  switch (in.kind) {
    case platform::IngressKind::kSubmit: {
      BatchSpec spec;
      if (in.body.size() > config.max_body_bytes) {
        Refuse(call, kTooLarge, "body too large");
        return false;
      }
      if (platform::ReadBatchSpec(in.body, &spec) !=
          platform::SpecError::kNone) {
        Refuse(call, kBadRequest, "the job cannot be read");
        return false;
      }
      message.set_body(in.body);
      message.set_kind(static_cast<uint32_t>(CellCallKind::kSubmit));
      return true;
    }
    case platform::IngressKind::kState:
      message.set_kind(static_cast<uint32_t>(CellCallKind::kState));
      return true;
    case platform::IngressKind::kCancel:
      message.set_kind(static_cast<uint32_t>(CellCallKind::kCancel));
      return true;
    case platform::IngressKind::kOther:
      break;
  }
  Refuse(call, kNotAllowed, "method not allowed");
  return false;
}

/// Refuses a new job if the owner refuses all of its queue for now.
bool Front::RefuseIfOverloaded(const CallPtr& call, Time now) {
  if (call->message.kind() != static_cast<uint32_t>(CellCallKind::kSubmit)) {
    return false;
  }
  const std::string* reason =
      overload_.Find(QueueId(call->message.queue()), now);
  if (reason == nullptr) {
    return false;
  }
  Respond(call,
          platform::MakeErrorResponse(
              kUnavailable, *reason,
              SpreadRetryAfterMs(JobId(call->message.job()), kRetryAfterMs)),
          reason->c_str());
  return true;
}

void Front::Send(const CallPtr& call) {
  const std::string owner = parts_.membership->OwnerAddress();
  if (owner.empty()) {
    RetryLater(call, "no owner is known");
    return;
  }
  ++call->unknown_sends;
  ++call->sends;
  call->sent_to = owner;
  if (!parts_.membership->IsSelf(owner)) {
    SendOverMesh(call, owner);
    return;
  }
  call->retry_at = BootClock::now() + ReplyTimeout(*call);
  const auto handle = [this, call](Duration queued) {
    parts_.owner->Handle(
        call->message, queued,
        [this, call](const CellOutcome& it) { OnOutcome(call, it); });
  };
  if (!IsDeferrable(call->message)) {
    handle(Duration::zero());
  } else if (!parts_.core->PostDeferrable(handle)) {
    --call->unknown_sends;
    RetryLater(call, "the owner is busy");
  }
}

/// @return Time after which a call without a reply is sent again. Grows, as a
/// busy owner must not get ever more copies of the calls it has not reached.
milliseconds Front::ReplyTimeout(const Call& call) {
  return kOwnerReplyTimeout *
         (1 << std::min(call.sends - 1, kMaxReplyTimeoutDoublings));
}

void Front::SendOverMesh(const CallPtr& call, const std::string& owner) {
  proto::Envelope request;
  *request.mutable_cell_call() = call->message;
  const auto left = std::chrono::duration_cast<milliseconds>(call->give_up -
                                                             BootClock::now());
  call->retry_at = kNever;
  mesh_->SendRequest(
      owner, std::move(request),
      std::clamp(left, kRetryPause, ReplyTimeout(*call)),
      [this, call, send = call->sends](const proto::Envelope* envelope) {
        CellOutcome out;
        out.status = CellStatus::kUnknown;
        if (envelope != nullptr && envelope->has_cell_reply()) {
          out = FromReply(envelope->cell_reply());
        }
        parts_.core->PostBlocking([this, call, out, send] {
          // A later send has a reply of its own.
          if (out.status != CellStatus::kUnknown || send == call->sends) {
            OnOutcome(call, out);
          }
        });
      },
      [this, call, send = call->sends] {
        parts_.core->PostBlocking([this, call, send] {
          --call->unknown_sends;
          if (send == call->sends) {
            RetryLater(call, "the owner is not reached");
          }
        });
      });
}

void Front::RetryLater(const CallPtr& call, const char* why) {
  if (call->done) {
    return;
  }
  parts_.membership->RecheckOwner();
  const Time now = BootClock::now();
  const bool submit =
      call->message.kind() == static_cast<uint32_t>(CellCallKind::kSubmit);
  const milliseconds timeout = submit && call->unknown_sends > 0
                                   ? kUnknownOutcomeTimeout
                                   : kNoOwnerTimeout;
  const bool timed_out = now - call->received > timeout;
  if (now >= call->give_up || timed_out) {
    GiveUp(call, why);
    return;
  }
  call->retry_at = now + kRetryPause;
}

/// Ends a call without an outcome. Responds with "unavailable" only if the call
/// definitely changed nothing, and with "gateway timeout" otherwise.
void Front::GiveUp(const CallPtr& call, const char* why) {
  const bool changes =
      call->message.kind() == static_cast<uint32_t>(CellCallKind::kSubmit) ||
      call->message.kind() == static_cast<uint32_t>(CellCallKind::kCancel);
  Refuse(call,
         changes && call->unknown_sends > 0 ? kGatewayTimeout : kUnavailable,
         why);
}

void Front::OnOutcome(const CallPtr& call, const CellOutcome& outcome) {
  if (call->done) {
    return;
  }
  switch (outcome.status) {
    case CellStatus::kOk:
      Respond(
          call,
          call->message.kind() == static_cast<uint32_t>(CellCallKind::kCount)
              ? platform::MakeCountResponse(outcome.count)
              : platform::MakeStateResponse(outcome.state),
          "ok");
      return;
    case CellStatus::kUnknownJob:
      Respond(call, platform::MakeErrorResponse(kGone, outcome.reason, 0),
              "no such job");
      return;
    case CellStatus::kCancelledBefore:
      Respond(call, platform::MakeErrorResponse(kGone, outcome.reason, 0),
              "cancelled before");
      return;
    case CellStatus::kOtherAccount:
      Refuse(call, kForbidden, "job of another account");
      return;
    case CellStatus::kMalformed:
      Refuse(call, kBadRequest, "the job cannot be read");
      return;
    case CellStatus::kNotOwner:
    case CellStatus::kUnknownQueue:
      --call->unknown_sends;
      RetryLater(call, "the owner does not act");
      return;
    case CellStatus::kUnknown:
      RetryLater(call, "the owner gave no answer");
      return;
    case CellStatus::kOverloaded:
    case CellStatus::kStoreUnavailable: {
      overload_.OnRefusal(QueueId(call->message.queue()), outcome.reason,
                          milliseconds(outcome.applies_ms), BootClock::now());
      // An earlier send of the same call may have been accepted.
      if (--call->unknown_sends > 0) {
        RetryLater(call, "the store is away");
        return;
      }
      Respond(call,
              platform::MakeErrorResponse(kUnavailable, outcome.reason,
                                          outcome.retry_after_ms),
              outcome.reason.c_str());
      return;
    }
  }
}

void Front::Refuse(const CallPtr& call, int status, const char* why) {
  const bool later = status == kUnavailable || status == kGatewayTimeout;
  auto out =
      platform::MakeErrorResponse(status, why, later ? kRetryAfterMs : 0);
  // The caller reaches another instance only over a new connection.
  out.close = status == kUnavailable &&
              parts_.config->ConfigAgeMs(BootClock::now()) > kMaxReadyAgeMs;
  Respond(call, std::move(out), why);
}

void Front::Respond(const CallPtr& call,
                    net::HttpResponse response,
                    const char* why) {
  if (call->done) {
    return;
  }
  call->done = true;
  response.close = response.close || draining_;
  if (response.status != kOk) {
    LogEvent(Part::kGate, "call_refused",
             {{"job", call->message.job()},
              {"queue", call->message.queue()},
              {"status", response.status},
              {"why", why},
              {"unknown_sends", call->unknown_sends},
              {"view_age_ms", parts_.config->ConfigAgeMs(BootClock::now())},
              {"after_ms", AgeMs(call->received, BootClock::now())}});
  }
  parts_.metrics->Count("bw_calls_total",
                        "status=\"" + std::to_string(response.status) + "\"");
  call->responder(std::move(response));
  --open_;
}

void Front::Tick(Time now) {
  ready_ = parts_.config->Current() != nullptr &&
           parts_.config->ConfigAgeMs(now) < kMaxReadyAgeMs;
  const std::string& owner = parts_.membership->OwnerAddress();
  std::vector<CallPtr> due;
  for (auto it = open_calls_.begin(); it != open_calls_.end();) {
    const CallPtr& call = it->second;
    if (call->done) {
      it = open_calls_.erase(it);
      continue;
    }
    const bool moved =
        call->retry_at == kNever && !owner.empty() && call->sent_to != owner;
    const bool retry =
        moved || (call->retry_at != kNever && now >= call->retry_at);
    if (retry || now >= call->give_up || IsClosing(now)) {
      due.push_back(call);
    }
    ++it;
  }
  for (const auto& call : due) {
    if (now >= call->give_up || IsClosing(now)) {
      GiveUp(call, IsClosing(now) ? "shutting down" : "no outcome in time");
    } else {
      Send(call);
    }
  }
}

}  // namespace bw
