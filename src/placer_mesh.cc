#include <algorithm>

#include "control_func.h"
#include "log_func.h"
#include "peer_func.h"
#include "placer_base.h"
#include "proto_func.h"
#include "state_fetch_func.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr milliseconds kHeartbeatTimeout{1000};
constexpr milliseconds kFetchPause{500};
constexpr milliseconds kAskPause{200};
constexpr milliseconds kAskTimeout{1000};
constexpr milliseconds kCallsKept{120'000};
constexpr size_t kMaxKeptBytes = 16U << 20;

}  // namespace

void Placer::OnQuestion(const proto::Envelope& question,
                        net::Mesh::Reply reply) {
  if (!loop_.Post([this, question, reply] { Handle(question, reply); })) {
    reply(ToEnvelope({ErrorCode::kOverloaded, 0, {}, {}, 0, {}}));
  }
}

void Placer::Handle(const proto::Envelope& question,
                    const net::Mesh::Reply& reply) {
  switch (question.body_case()) {
    case proto::Envelope::kHello:
      reply(MakeTicket(question));
      break;
    case proto::Envelope::kSubmit:
      OnSubmit(question.submit(), question.from(), reply);
      break;
    case proto::Envelope::kSubmitJob:
      OnSubmitJob(question.submit_job(), reply);
      break;
    case proto::Envelope::kJobQuery:
      OnJobQuery(question.job_query(), reply);
      break;
    case proto::Envelope::kSettle:
      OnSettle(question.settle(), reply);
      break;
    case proto::Envelope::kAsk:
      OnAsk(question.ask());
      break;
    case proto::Envelope::kFoldRequest: {
      proto::Envelope answer;
      answer.mutable_fold_reply()->set_version(state_->version);
      answer.mutable_fold_reply()->set_snapshot(WriteSnapshot(*state_));
      reply(std::move(answer));
      break;
    }
    default:
      break;
  }
}

proto::Envelope Placer::MakeTicket(const proto::Envelope& question) {
  const Time now = BootClock::now();
  const proto::Hello& hello = question.hello();
  const InstanceId from(question.from());
  proto::Envelope answer;
  auto* ticket = answer.mutable_ticket();
  if (hello.is_placer()) {
    authority_.OnHeard(from, hello.view(), now);
    const auto promise = authority_.PromiseTo(from, hello.view(), now);
    ticket->set_promise_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(promise).count()));
  }
  ticket->set_clock_us(ToMicros(now));
  ticket->set_incarnation(options_.self.incarnation);
  ticket->set_version(state_->version);
  ticket->set_view(authority_.view());
  ticket->set_log_age_ms(AgeMs(keys_.current_at(), now));
  for (const auto& it : shards_) {
    auto* report = ticket->add_shards();
    report->set_shard(ToIndex(it.first));
    report->set_acting(it.second->acting);
    report->set_free_slots(it.second->requests.FreeSlots());
    report->set_waiting(static_cast<uint32_t>(it.second->requests.Waiting()));
  }
  return answer;
}

std::string Placer::AddressOf(const Member& member) const {
  auto it = options_.links.find(member.id.value);
  return it == options_.links.end() ? member.address : it->second;
}

void Placer::SendHeartbeats() {
  const Time now = BootClock::now();
  keys_.OnHeard(options_.self.zone, state_->version, state_->version,
                AgeMs(control_.tail_asked(), now), now);
  const bool far_too = now >= next_far_;
  if (far_too) {
    next_far_ = now + kFarHeartbeatEvery;
  }
  const auto peers = PickPeers(*state_, options_.self.id, options_.self.zone,
                               health_.Silent(now));
  for (const auto& peer : peers) {
    if (peer.zone != options_.self.zone && !far_too) {
      continue;
    }
    health_.OnAsked(peer.id, now);
    proto::Envelope question;
    auto* hello = question.mutable_hello();
    hello->set_is_placer(true);
    hello->set_view(authority_.view());
    hello->set_zone(options_.self.zone.value);
    mesh_->Ask(
        AddressOf(peer), std::move(question), kHeartbeatTimeout,
        [this, peer, now](const proto::Envelope* answer) {
          if (answer != nullptr && answer->has_ticket()) {
            loop_.Post([this, peer, now, ticket = answer->ticket()] {
              OnTicket(peer, now, ticket);
            });
          }
        },
        nullptr);
  }
  const bool needs_fold = control_.HasGap() || control_.tail_asked() == kNever;
  if (needs_fold && now >= next_fetch_) {
    next_fetch_ = now + kFetchPause;
    for (const auto& address : options_.seeds) {
      bw::FetchFold(mesh_.get(), address, &control_);
    }
  }
}

void Placer::OnTicket(const Member& peer,
                      Time asked,
                      const proto::Ticket& ticket) {
  if (ticket.incarnation() != peer.incarnation) {
    return;  // Another incarnation answers at this address.
  }
  health_.OnAnswered(peer.id);
  authority_.OnHeard(peer.id, ticket.view(), BootClock::now());
  authority_.OnPromise(peer.id, ticket.view(),
                       milliseconds(ticket.promise_ms()), asked);
  keys_.OnHeard(peer.zone, ticket.version(), state_->version,
                ticket.log_age_ms(), asked);
  UpdateFence();
  if (ticket.version() > state_->version && BootClock::now() >= next_fetch_) {
    next_fetch_ = BootClock::now() + kFetchPause;
    bw::FetchFold(mesh_.get(), AddressOf(peer), &control_);
  }
}

/// @return False if the call was seen before; then it is not run again.
bool Placer::BeginCall(const std::string& call, const net::Mesh::Reply& reply) {
  if (call.empty()) {
    reply(ToEnvelope({ErrorCode::kMalformed, 0, {}, {}, 0, "call"}));
    return false;  // Two calls without a name would share one answer.
  }
  auto [it, added] = calls_.try_emplace(call);
  if (!added && it->second.ended) {
    reply(ToEnvelope(it->second.outcome));
  }
  return added;
}

OutcomeReply Placer::EndCallWith(const std::string& call,
                                 net::Mesh::Reply reply) {
  return [this, call, reply = std::move(reply)](WorkOutcome outcome) {
    reply(ToEnvelope(outcome));
    kept_bytes_ += outcome.body.size();
    calls_[call] = {true, std::move(outcome)};
    ended_calls_.emplace_back(BootClock::now(), call);
  };
}

/// Outcomes are kept for a time and within a bound of memory.
void Placer::ForgetOldCalls() {
  const Time now = BootClock::now();
  while (!ended_calls_.empty() &&
         (now - ended_calls_.front().first > kCallsKept ||
          kept_bytes_ > kMaxKeptBytes)) {
    auto it = calls_.find(ended_calls_.front().second);
    if (it != calls_.end()) {
      kept_bytes_ -= it->second.outcome.body.size();
      calls_.erase(it);
    }
    ended_calls_.pop_front();
  }
}

void Placer::OnSettle(const proto::Settle& in, const net::Mesh::Reply& reply) {
  if (in.incarnation() != options_.self.incarnation) {
    return;  // Only the incarnation that was asked can know.
  }
  auto it = calls_.find(in.call());
  if (it == calls_.end()) {
    // Never received: should it still come, it is not run.
    EndCallWith(in.call(), reply)(
        {ErrorCode::kNotOwner, 0, {}, {}, 0, "the message was lost"});
  } else if (it->second.ended) {
    reply(ToEnvelope(it->second.outcome));
  } else {
    proto::Envelope answer;
    answer.mutable_outcome()->set_pending(true);
    reply(std::move(answer));
  }
}

void Placer::OnSubmit(const proto::Submit& in,
                      const std::string& from,
                      const net::Mesh::Reply& reply) {
  if (!BeginCall(in.call(), reply)) {
    return;
  }
  auto answer = EndCallWith(in.call(), reply);
  Shard* shard = FindShard(in.shard());
  if (shard == nullptr || in.incarnation() != options_.self.incarnation) {
    return answer({ErrorCode::kNotOwner, 0, {}, {}, 0, {}});
  }
  if (resigned_) {
    return answer({ErrorCode::kDraining, 0, {}, {}, 0, {}});
  }
  RequestWork work;
  work.id = in.team() + ":" + options_.self.id.value + "." +
            std::to_string(options_.self.incarnation) + ":" +
            std::to_string(++last_request_);
  work.origin = {TeamId(in.team()), QueueId(in.queue()), in.key_hash(),
                 in.idempotency_key()};
  work.body = in.body();
  work.content_type = in.content_type();
  work.valid_until = Time(Duration(in.valid_until_us()));
  work.max_run = milliseconds(in.max_run_ms());
  work.reply = std::move(answer);
  Log(Part::kPlacer, LogLevel::kDebug, "Request {} from {}.", work.id, from);
  shard->requests.Submit(std::move(work));
}

void Placer::OnSubmitJob(const proto::SubmitJob& in,
                         const net::Mesh::Reply& reply) {
  if (!BeginCall(in.call(), reply)) {
    return;
  }
  auto answer = EndCallWith(in.call(), reply);
  Shard* shard = FindShard(in.shard());
  if (shard == nullptr || resigned_ ||
      in.incarnation() != options_.self.incarnation) {
    return answer({ErrorCode::kNotOwner, 0, {}, {}, 0, {}});
  }
  bw::Handle(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(spec, ReadJobSpec(in.spec()));
        spec.id = JobId("j" + std::to_string(in.shard()) + "." + RandomHex());
        spec.origin = {TeamId(in.team()), QueueId(in.queue()), in.key_hash(),
                       in.idempotency_key()};
        shard->jobs.Submit(std::move(spec), Time(Duration(in.valid_until_us())),
                           answer);
        return {};
      },
      [&](const Failure& e) {
        answer({e.code, 0, {}, {}, 0, e.detail});
      });
}

void Placer::OnJobQuery(const proto::JobQuery& in,
                        const net::Mesh::Reply& reply) {
  const std::string& job = in.job();
  uint32_t n = ToIndex(INVALID_SHARD);
  if (job.size() > 1 && job[0] == 'j') {
    n = static_cast<uint32_t>(std::strtoul(job.c_str() + 1, nullptr, 10));
  }
  Shard* shard = FindShard(n);
  reply(ToEnvelope(
      shard == nullptr || !shard->acting
          ? WorkOutcome{ErrorCode::kNotOwner, 0, {}, {}, 0, {}}
          : shard->jobs.Query(JobId(job), TeamId(in.team()), in.cancel())));
}

void Placer::AskAllowance(ShardId shard, const TeamId& team, uint64_t units) {
  const Time now = BootClock::now();
  OwnAsk& ask = asks_[{shard, team}];
  auto parts = state_->allowances.find(team);
  if (now - ask.at < kAskPause || parts == state_->allowances.end()) {
    return;
  }
  ask.at = now;
  std::vector<uint32_t> givers;
  for (uint32_t n = 0; n < parts->second.size(); ++n) {
    const bool may_give = parts->second[n] > 0 && n != ToIndex(shard) &&
                          state_->shards[n].owner.IsValid();
    if (may_give) {
      givers.push_back(n);
    }
  }
  if (givers.empty()) {
    return;
  }
  std::sort(givers.begin(), givers.end(), [&](uint32_t a, uint32_t b) {
    return parts->second[a] > parts->second[b];
  });
  const uint32_t giver = givers[ask.turn++ % givers.size()];
  auto member = state_->members.find(state_->shards[giver].owner);
  if (member == state_->members.end()) {
    return;
  }
  proto::Envelope question;
  auto* message = question.mutable_ask();
  message->set_team(team.value);
  message->set_from_shard(giver);
  message->set_to_shard(ToIndex(shard));
  message->set_units(units);
  if (member->first == options_.self.id) {
    OnAsk(*message);
    return;
  }
  mesh_->Ask(AddressOf(member->second), std::move(question), kAskTimeout,
             nullptr, nullptr);
}

/// Gives unused units away: set aside first, then recorded, and only then
/// usable by the receiver.
void Placer::OnAsk(const proto::AllowanceAsk& in) {
  Shard* shard = FindShard(in.from_shard());
  if (shard == nullptr || !shard->acting ||
      !authority_.MayAct(shard->id, BootClock::now())) {
    return;
  }
  const TeamId team(in.team());
  const uint64_t room = shard->usage.Spare(*state_, team);
  const bool wants_it_too =
      shard->requests.Waiting() > 0 || shard->jobs.Waiting() > 0;
  const uint64_t spare = wants_it_too ? room / 2 : room;
  // More than was asked for, so that a steady need takes few records.
  const uint64_t units = std::min(spare, std::max(in.units(), spare / 2));
  if (units == 0) {
    return;
  }
  AllowanceMove move{team, shard->id, static_cast<ShardId>(in.to_shard()),
                     units, shard->since};
  const std::string id = RandomHex();
  shard->usage.Pledge(id, team, units);
  PutControl(MoveRecord(id, move), /*persistent=*/true, nullptr);
  parts_.events->Write(EventKind::kAllowanceMoved, team.value,
                       std::to_string(units));
  parts_.metrics->Count("bw_allowance_moves_total");
}

}  // namespace bw
