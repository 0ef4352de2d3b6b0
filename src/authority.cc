#include <algorithm>

#include "authority_base.h"

namespace bw {

Authority::Authority(Member self, AuthorityTimes times, Time started)
    : self_(std::move(self)), times_(times), started_(started) {}

void Authority::OnState(const ControlState& state, Time now) {
  membership_epoch_ = state.membership_epoch;
  auto me = state.members.find(self_.id);
  is_member_ =
      me != state.members.end() && me->second.incarnation == self_.incarnation;
  join_offset_ = is_member_ ? me->second.join_offset : 0;
  UpdatePeers(state, now);
  shards_.resize(state.shards.size());
  for (size_t n = 0; n < shards_.size(); ++n) {
    ShardState& shard = shards_[n];
    if (shard.owner == state.shards[n]) {
      continue;
    }
    shard.owner = state.shards[n];
    switch (shard.owner.origin) {
      case ShardOrigin::kNew:
        shard.act_from = now;
        break;
      case ShardOrigin::kReleased:
      case ShardOrigin::kRestarted:
        shard.act_from = now + times_.action;
        break;
      case ShardOrigin::kEvicted:
        shard.act_from = now + times_.TakeoverWait();
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
      peer.last_heard_at = now;
    }
  }
  peers_ = std::move(next);
}

void Authority::OnTailRead(Time requested_at) {
  if (requested_at >= clock_gap_end_) {
    tail_requested_at_ = std::max(tail_requested_at_, requested_at);
  }
}

void Authority::OnPeerMessage(const InstanceId& peer,
                              Offset peer_epoch,
                              Time now) {
  if (auto it = peers_.find(peer); it != peers_.end()) {
    it->second.last_heard_at = now;
    it->second.epoch = std::max(it->second.epoch, peer_epoch);
  }
}

void Authority::OnNoEvictionLease(const InstanceId& peer,
                                  Offset peer_epoch,
                                  Duration length,
                                  Time requested_at) {
  auto it = peers_.find(peer);
  if (it != peers_.end() && requested_at >= clock_gap_end_ &&
      length > Duration::zero()) {
    it->second.lease_received_until = requested_at + length;
    it->second.lease_received_epoch = peer_epoch;
  }
}

Duration Authority::GrantNoEvictionLease(const InstanceId& peer,
                                         Offset peer_epoch,
                                         Time now) {
  auto it = peers_.find(peer);
  if (!is_member_ || resigned_ || it == peers_.end() ||
      peer_epoch != membership_epoch_ || it->second.evicting) {
    return Duration::zero();
  }
  it->second.lease_granted_until = now + times_.no_eviction_lease;
  return times_.no_eviction_lease;
}

void Authority::OnClockGap(Time now) {
  clock_gap_end_ = now;
  tail_requested_at_ = kNever;
  for (auto& it : peers_) {
    it.second.last_heard_at = now;
    it.second.lease_received_until = kNever;
  }
}

void Authority::BeginEvict(const InstanceId& peer) {
  if (auto it = peers_.find(peer); it != peers_.end()) {
    it->second.evicting = true;
  }
}

Time Authority::PeerLeasesUntil() const {
  if (peers_.empty()) {
    return kNever;  // Without peers there is nobody to grant a lease.
  }
  Time until = Time::max();
  for (const auto& it : peers_) {
    const bool current = it.second.lease_received_epoch == membership_epoch_;
    until = std::min(until, current ? it.second.lease_received_until : kNever);
  }
  return until;
}

Time Authority::AuthorityExpiresAt() const {
  if (!is_member_ || resigned_) {
    return kNever;
  }
  const Time by_log = tail_requested_at_ == kNever
                          ? kNever
                          : tail_requested_at_ + times_.log_lease;
  return std::max(by_log, PeerLeasesUntil());
}

bool Authority::HasAuthority(Time now) const {
  return now < AuthorityExpiresAt();
}

bool Authority::Owns(ShardId shard) const {
  const uint32_t n = ToIndex(shard);
  return is_member_ && !resigned_ && n < shards_.size() &&
         shards_[n].owner.owner == self_.id &&
         shards_[n].owner.incarnation == self_.incarnation;
}

bool Authority::MayAct(ShardId shard, Time now) const {
  return Owns(shard) && HasAuthority(now) &&
         now >= shards_[ToIndex(shard)].act_from;
}

std::optional<Member> Authority::FindMemberToEvict(
    Time now,
    bool (*is_gone)(const InstanceId&, void*),
    void* user) const {
  const bool by_log = tail_requested_at_ != kNever &&
                      now < tail_requested_at_ + times_.log_lease;
  if (!is_member_ || resigned_ || !by_log ||
      now < started_ + times_.no_eviction_lease) {
    return std::nullopt;
  }
  const auto peers_unaware = std::count_if(
      peers_.begin(), peers_.end(),
      [this](const auto& it) { return it.second.epoch < join_offset_; });
  for (const auto& it : peers_) {
    const Peer& peer = it.second;
    const bool silent = now >= peer.last_heard_at + times_.silence_timeout;
    // A silent peer that does not know of this member may still have authority
    // from leases of other members. Members that know of this member grant no
    // lease to one that does not, so evicting the peer is safe if it is the
    // only one that does not know of this member.
    const bool knows_me = peer.epoch >= join_offset_ || peers_unaware == 1;
    const bool gone = is_gone != nullptr && is_gone(peer.member.id, user);
    if (!peer.evicting && silent && now >= peer.lease_granted_until &&
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
