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
constexpr milliseconds kStateFetchInterval{500};
constexpr milliseconds kAllowanceRequestInterval{200};
constexpr milliseconds kAllowanceRequestTimeout{1000};
constexpr milliseconds kOutcomeRetention{120'000};
constexpr size_t kMaxStoredOutcomeBytes = 16U << 20;

}  // namespace

void Placer::OnMeshRequest(const proto::Envelope& request,
                           net::Mesh::Reply reply) {
  if (!loop_.Post([this, request, reply] { HandleRequest(request, reply); })) {
    reply(ToEnvelope({ErrorCode::kOverloaded, 0, {}, {}, 0, {}}));
  }
}

void Placer::HandleRequest(const proto::Envelope& request,
                           const net::Mesh::Reply& reply) {
  switch (request.body_case()) {
    case proto::Envelope::kHello:
      reply(MakeHelloReply(request));
      break;
    case proto::Envelope::kSubmit:
      OnSubmit(request.submit(), request.from(), reply);
      break;
    case proto::Envelope::kSubmitJob:
      OnSubmitJob(request.submit_job(), reply);
      break;
    case proto::Envelope::kJobQuery:
      OnJobQuery(request.job_query(), reply);
      break;
    case proto::Envelope::kSettle:
      OnOutcomeQuery(request.settle(), reply);
      break;
    case proto::Envelope::kAsk:
      OnAllowanceRequest(request.ask());
      break;
    case proto::Envelope::kFoldRequest: {
      proto::Envelope response;
      response.mutable_fold_reply()->set_version(state_->version);
      response.mutable_fold_reply()->set_snapshot(WriteSnapshot(*state_));
      reply(std::move(response));
      break;
    }
    default:
      break;
  }
}

/// Makes the reply to a hello: the state of this placer's shards and, for
/// another placer, a no-eviction lease.
proto::Envelope Placer::MakeHelloReply(const proto::Envelope& request) {
  const Time now = BootClock::now();
  const proto::Hello& hello = request.hello();
  const InstanceId from(request.from());
  proto::Envelope response;
  auto* ticket = response.mutable_ticket();
  if (hello.is_placer()) {
    authority_.OnPeerMessage(from, hello.view(), now);
    const auto eviction_lease =
        authority_.GrantNoEvictionLease(from, hello.view(), now);
    ticket->set_promise_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(eviction_lease).count()));
  }
  ticket->set_clock_us(ToMicros(now));
  ticket->set_incarnation(options_.self.incarnation);
  ticket->set_version(state_->version);
  ticket->set_view(authority_.membership_epoch());
  ticket->set_log_age_ms(AgeMs(keys_.current_at(), now));
  for (const auto& it : shards_) {
    auto* report = ticket->add_shards();
    report->set_shard(ToIndex(it.first));
    report->set_acting(it.second->acting);
    report->set_free_slots(it.second->requests.FreeSlots());
    report->set_waiting(static_cast<uint32_t>(it.second->requests.Waiting()));
  }
  return response;
}

std::string Placer::AddressOf(const Member& member) const {
  auto it = options_.address_overrides.find(member.id.value);
  return it == options_.address_overrides.end() ? member.address : it->second;
}

void Placer::SendHeartbeats() {
  const Time now = BootClock::now();
  keys_.OnPeerReport(options_.self.zone, state_->version, state_->version,
                     AgeMs(control_.tail_asked(), now), now);
  const bool remote_due = now >= next_remote_heartbeat_;
  if (remote_due) {
    next_remote_heartbeat_ = now + kCrossZoneHeartbeatInterval;
  }
  const auto peers = PickPeers(*state_, options_.self.id, options_.self.zone,
                               health_.UnresponsivePeers(now));
  for (const auto& peer : peers) {
    if (peer.zone != options_.self.zone && !remote_due) {
      continue;
    }
    health_.OnRequestSent(peer.id, now);
    proto::Envelope request;
    auto* hello = request.mutable_hello();
    hello->set_is_placer(true);
    hello->set_view(authority_.membership_epoch());
    hello->set_zone(options_.self.zone.value);
    mesh_->SendRequest(
        AddressOf(peer), std::move(request), kHeartbeatTimeout,
        [this, peer, now](const proto::Envelope* response) {
          if (response != nullptr && response->has_ticket()) {
            loop_.Post([this, peer, now, ticket = response->ticket()] {
              OnHelloReply(peer, now, ticket);
            });
          }
        },
        nullptr);
  }
  const bool needs_state = control_.HasGap() || control_.tail_asked() == kNever;
  if (needs_state && now >= next_state_fetch_) {
    next_state_fetch_ = now + kStateFetchInterval;
    for (const auto& address : options_.seeds) {
      bw::FetchControlState(mesh_.get(), address, &control_);
    }
  }
}

void Placer::OnHelloReply(const Member& peer,
                          Time sent_at,
                          const proto::Ticket& ticket) {
  if (ticket.incarnation() != peer.incarnation) {
    return;  // Reply of another incarnation at the same address.
  }
  health_.OnResponse(peer.id);
  authority_.OnPeerMessage(peer.id, ticket.view(), BootClock::now());
  authority_.OnNoEvictionLease(peer.id, ticket.view(),
                               milliseconds(ticket.promise_ms()), sent_at);
  keys_.OnPeerReport(peer.zone, ticket.version(), state_->version,
                     ticket.log_age_ms(), sent_at);
  UpdateAuthorityDeadline();
  if (ticket.version() > state_->version &&
      BootClock::now() >= next_state_fetch_) {
    next_state_fetch_ = BootClock::now() + kStateFetchInterval;
    bw::FetchControlState(mesh_.get(), AddressOf(peer), &control_);
  }
}

/// Registers a call. Sends the stored outcome if the call has already ended.
/// @return True if the call is new; false if it must not be run.
bool Placer::BeginCall(const std::string& call, const net::Mesh::Reply& reply) {
  if (call.empty()) {
    reply(ToEnvelope({ErrorCode::kMalformed, 0, {}, {}, 0, "call"}));
    return false;  // Calls without an ID would share one outcome.
  }
  auto [it, added] = calls_.try_emplace(call);
  if (!added && it->second.ended) {
    reply(ToEnvelope(it->second.outcome));
  }
  return added;
}

/// @return A callback that sends the outcome of `call` and stores it.
OutcomeReply Placer::MakeCompletion(const std::string& call,
                                    net::Mesh::Reply reply) {
  return [this, call, reply = std::move(reply)](WorkOutcome outcome) {
    reply(ToEnvelope(outcome));
    stored_outcome_bytes_ += outcome.body.size();
    calls_[call] = {true, std::move(outcome)};
    ended_calls_.emplace_back(BootClock::now(), call);
  };
}

/// Removes outcomes that are past the retention time, and the oldest ones while
/// their bodies exceed the memory limit.
void Placer::RemoveOldOutcomes() {
  const Time now = BootClock::now();
  while (!ended_calls_.empty() &&
         (now - ended_calls_.front().first > kOutcomeRetention ||
          stored_outcome_bytes_ > kMaxStoredOutcomeBytes)) {
    auto it = calls_.find(ended_calls_.front().second);
    if (it != calls_.end()) {
      stored_outcome_bytes_ -= it->second.outcome.body.size();
      calls_.erase(it);
    }
    ended_calls_.pop_front();
  }
}

void Placer::OnOutcomeQuery(const proto::Settle& in,
                            const net::Mesh::Reply& reply) {
  if (in.incarnation() != options_.self.incarnation) {
    return;  // Only the incarnation that received the call knows its outcome.
  }
  auto it = calls_.find(in.call());
  if (it == calls_.end()) {
    // Not received. Storing an outcome prevents BeginCall from running the call
    // if it still arrives.
    MakeCompletion(in.call(), reply)(
        {ErrorCode::kNotOwner, 0, {}, {}, 0, "the message was lost"});
  } else if (it->second.ended) {
    reply(ToEnvelope(it->second.outcome));
  } else {
    proto::Envelope response;
    response.mutable_outcome()->set_pending(true);
    reply(std::move(response));
  }
}

void Placer::OnSubmit(const proto::Submit& in,
                      const std::string& from,
                      const net::Mesh::Reply& reply) {
  if (!BeginCall(in.call(), reply)) {
    return;
  }
  auto complete = MakeCompletion(in.call(), reply);
  Shard* shard = FindShard(in.shard());
  if (shard == nullptr || in.incarnation() != options_.self.incarnation) {
    return complete({ErrorCode::kNotOwner, 0, {}, {}, 0, {}});
  }
  if (resigned_) {
    return complete({ErrorCode::kDraining, 0, {}, {}, 0, {}});
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
  work.reply = std::move(complete);
  Log(Part::kPlacer, LogLevel::kDebug, "Request {} from {}.", work.id, from);
  shard->requests.Submit(std::move(work));
}

void Placer::OnSubmitJob(const proto::SubmitJob& in,
                         const net::Mesh::Reply& reply) {
  if (!BeginCall(in.call(), reply)) {
    return;
  }
  auto complete = MakeCompletion(in.call(), reply);
  Shard* shard = FindShard(in.shard());
  if (shard == nullptr || resigned_ ||
      in.incarnation() != options_.self.incarnation) {
    return complete({ErrorCode::kNotOwner, 0, {}, {}, 0, {}});
  }
  HandleFailure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(spec, ReadJobSpec(in.spec()));
        spec.id = JobId("j" + std::to_string(in.shard()) + "." + RandomHex());
        spec.origin = {TeamId(in.team()), QueueId(in.queue()), in.key_hash(),
                       in.idempotency_key()};
        shard->jobs.Submit(std::move(spec), Time(Duration(in.valid_until_us())),
                           complete);
        return {};
      },
      [&](const Failure& e) {
        complete({e.code, 0, {}, {}, 0, e.detail});
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

/// Asks the owner of another shard to transfer units of the team's allowance to
/// `shard`. Shards with larger allowances come first in the rotation.
void Placer::RequestAllowance(ShardId shard,
                              const TeamId& team,
                              uint64_t units) {
  const Time now = BootClock::now();
  AllowanceQuery& query = allowance_queries_[{shard, team}];
  auto parts = state_->allowances.find(team);
  if (now - query.last_sent < kAllowanceRequestInterval ||
      parts == state_->allowances.end()) {
    return;
  }
  query.last_sent = now;
  std::vector<uint32_t> donors;
  for (uint32_t n = 0; n < parts->second.size(); ++n) {
    const bool can_give = parts->second[n] > 0 && n != ToIndex(shard) &&
                          state_->shards[n].owner.IsValid();
    if (can_give) {
      donors.push_back(n);
    }
  }
  if (donors.empty()) {
    return;
  }
  std::sort(donors.begin(), donors.end(), [&](uint32_t a, uint32_t b) {
    return parts->second[a] > parts->second[b];
  });
  const uint32_t donor = donors[query.next_donor++ % donors.size()];
  auto member = state_->members.find(state_->shards[donor].owner);
  if (member == state_->members.end()) {
    return;
  }
  proto::Envelope request;
  auto* message = request.mutable_ask();
  message->set_team(team.value);
  message->set_from_shard(donor);
  message->set_to_shard(ToIndex(shard));
  message->set_units(units);
  if (member->first == options_.self.id) {
    OnAllowanceRequest(*message);
    return;
  }
  mesh_->SendRequest(AddressOf(member->second), std::move(request),
                     kAllowanceRequestTimeout, nullptr, nullptr);
}

/// Transfers unused units to another shard: the units are reserved first, then
/// the transfer is recorded in the log, and only then may the receiver use
/// them.
void Placer::OnAllowanceRequest(const proto::AllowanceAsk& in) {
  Shard* shard = FindShard(in.from_shard());
  if (shard == nullptr || !shard->acting ||
      !authority_.MayAct(shard->id, BootClock::now())) {
    return;
  }
  const TeamId team(in.team());
  const uint64_t room = shard->usage.Transferable(*state_, team);
  const bool needs_units_itself =
      shard->requests.Waiting() > 0 || shard->jobs.Waiting() > 0;
  const uint64_t spare = needs_units_itself ? room / 2 : room;
  // Transfer more than requested, so that a steady demand needs few records.
  const uint64_t units = std::min(spare, std::max(in.units(), spare / 2));
  if (units == 0) {
    return;
  }
  AllowanceMove move{team, shard->id, static_cast<ShardId>(in.to_shard()),
                     units, shard->epoch};
  const std::string id = RandomHex();
  shard->usage.ReserveTransfer(id, team, units);
  AppendControl(MoveRecord(id, move), /*persistent=*/true, nullptr);
  parts_.events->Write(EventKind::kAllowanceMoved, team.value,
                       std::to_string(units));
  parts_.metrics->Count("bw_allowance_moves_total");
}

}  // namespace bw
