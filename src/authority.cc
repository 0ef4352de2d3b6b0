#include <algorithm>

#include "authority_base.h"

namespace bw {

Authority::Authority(Member self, AuthorityTimes times, Time started)
    : self_(std::move(self)), times_(times), started_(started) {}

void Authority::OnState(const ControlState& state, Time now) {
  view_ = state.view;
  auto me = state.members.find(self_.id);
  is_member_ =
      me != state.members.end() && me->second.incarnation == self_.incarnation;
  joined_ = is_member_ ? me->second.joined : 0;
  UpdatePeers(state, now);
  shards_.resize(state.shards.size());
  for (size_t n = 0; n < shards_.size(); ++n) {
    Held& held = shards_[n];
    if (held.owner == state.shards[n]) {
      continue;
    }
    held.owner = state.shards[n];
    switch (held.owner.origin) {
      case ShardOrigin::kNew:
        held.ready = now;
        break;
      case ShardOrigin::kReleased:
      case ShardOrigin::kRestarted:
        held.ready = now + times_.action;
        break;
      case ShardOrigin::kEvicted:
        held.ready = now + times_.TakeoverWait();
        break;
    }
  }
}

void Authority::UpdatePeers(const ControlState& state, Time now) {
  std::map<InstanceId, Peer> next;
  for (const auto& [id, member] : state.members) {
    if (member.zone != self_.zone || id == self_.id) {
      continue;
    }
    auto it = peers_.find(id);
    if (it != peers_.end() &&
        it->second.member.incarnation == member.incarnation) {
      next[id] = it->second;
    } else {
      Peer& peer = next[id];
      peer.member = member;
      peer.heard = now;
    }
  }
  peers_ = std::move(next);
}

void Authority::OnTailRead(Time asked) {
  if (asked >= gap_) {
    tail_asked_ = std::max(tail_asked_, asked);
  }
}

void Authority::OnHeard(const InstanceId& peer, Offset peer_view, Time now) {
  if (auto it = peers_.find(peer); it != peers_.end()) {
    it->second.heard = now;
    it->second.view = std::max(it->second.view, peer_view);
  }
}

void Authority::OnPromise(const InstanceId& peer,
                          Offset peer_view,
                          Duration length,
                          Time asked) {
  auto it = peers_.find(peer);
  if (it != peers_.end() && asked >= gap_ && length > Duration::zero()) {
    it->second.trusted_until = asked + length;
    it->second.trusted_view = peer_view;
  }
}

Duration Authority::PromiseTo(const InstanceId& peer,
                              Offset peer_view,
                              Time now) {
  auto it = peers_.find(peer);
  if (!is_member_ || resigned_ || it == peers_.end() || peer_view != view_ ||
      it->second.evicting) {
    return Duration::zero();
  }
  it->second.promised_until = now + times_.promise;
  return times_.promise;
}

void Authority::OnClockGap(Time now) {
  gap_ = now;
  tail_asked_ = kNever;
  for (auto& it : peers_) {
    it.second.heard = now;
    it.second.trusted_until = kNever;
  }
}

void Authority::BeginEvict(const InstanceId& peer) {
  if (auto it = peers_.find(peer); it != peers_.end()) {
    it->second.evicting = true;
  }
}

Time Authority::PromisedUntil() const {
  if (peers_.empty()) {
    return kNever;  // Alone, nobody can vouch for this placer.
  }
  Time until = Time::max();
  for (const auto& it : peers_) {
    const bool current = it.second.trusted_view == view_;
    until = std::min(until, current ? it.second.trusted_until : kNever);
  }
  return until;
}

Time Authority::FreshUntil() const {
  if (!is_member_ || resigned_) {
    return kNever;
  }
  const Time by_log =
      tail_asked_ == kNever ? kNever : tail_asked_ + times_.log_fresh;
  return std::max(by_log, PromisedUntil());
}

bool Authority::IsFresh(Time now) const {
  return now < FreshUntil();
}

bool Authority::Owns(ShardId shard) const {
  const uint32_t n = ToIndex(shard);
  return is_member_ && !resigned_ && n < shards_.size() &&
         shards_[n].owner.owner == self_.id &&
         shards_[n].owner.incarnation == self_.incarnation;
}

bool Authority::MayAct(ShardId shard, Time now) const {
  return Owns(shard) && IsFresh(now) && now >= shards_[ToIndex(shard)].ready;
}

std::optional<Member> Authority::FindDead(Time now,
                                          bool (*is_gone)(const InstanceId&,
                                                          void*),
                                          void* user) const {
  const bool by_log =
      tail_asked_ != kNever && now < tail_asked_ + times_.log_fresh;
  if (!is_member_ || resigned_ || !by_log || now < started_ + times_.promise) {
    return std::nullopt;
  }
  const auto unaware = std::count_if(
      peers_.begin(), peers_.end(),
      [this](const auto& it) { return it.second.view < joined_; });
  for (const auto& it : peers_) {
    const Peer& peer = it.second;
    const bool silent = now >= peer.heard + times_.dead_after;
    // A peer that does not know this member might live on the promises of
    // others. Those that know of this member promise nothing to one that does
    // not, so the peer itself may be the only one unaware.
    const bool knows_me = peer.view >= joined_ || unaware == 1;
    const bool gone = is_gone != nullptr && is_gone(peer.member.id, user);
    if (!peer.evicting && silent && now >= peer.promised_until &&
        (knows_me || gone)) {
      return peer.member;
    }
  }
  return std::nullopt;
}

bool Authority::IsMember() const {
  return is_member_;
}

}  // namespace bw
