// Decides which shards a placer may act on, as a pure state machine of one
// placer; see docs/DESIGN.md, "Who may act".
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "control_type.h"

namespace bw {

/// Durations that must be the same at all members.
struct AuthorityTimes {
  /// Authority after a read of the log's tail.
  Duration log_lease{2'000'000};
  /// Length of a no-eviction lease.
  Duration no_eviction_lease{1'500'000};
  /// Silence after which a member is evicted.
  Duration silence_timeout{1'500'000};
  /// Longest validity of a sent action.
  Duration action{1'000'000};

  /// @return How long a new owner waits after the eviction of the former one:
  /// until the former owner's authority and its sent actions have expired.
  Duration TakeoverWait() const {
    return (log_lease > no_eviction_lease ? log_lease : no_eviction_lease) +
           action;
  }
};

/// Decides whether this placer may act, grant no-eviction leases and evict. Its
/// authority comes from recent reads of the log's tail or from no-eviction
/// leases of all other members of the zone. Not thread-safe: belongs to the
/// placer's core thread. All times are of this process's clock.
class Authority {
 public:
  /// @param started When the process started. Leases granted by an earlier
  /// incarnation are unknown, so nothing is evicted until they have expired.
  Authority(Member self, AuthorityTimes times, Time started);

  /// Processes a newer control state.
  void OnState(const ControlState& state, Time now);

  /// The log's tail was read, by a read requested at `requested_at`.
  void OnTailRead(Time requested_at);

  /// Processes any message of `peer` that carries its membership epoch.
  void OnPeerMessage(const InstanceId& peer, Offset peer_epoch, Time now);

  /// Processes a no-eviction lease that `peer` granted to this placer, in reply
  /// to a request sent at `requested_at`.
  void OnNoEvictionLease(const InstanceId& peer,
                         Offset peer_epoch,
                         Duration length,
                         Time requested_at);

  /// Grants `peer` a no-eviction lease. @return Its length; zero if none is
  /// granted.
  Duration GrantNoEvictionLease(const InstanceId& peer,
                                Offset peer_epoch,
                                Time now);

  /// Drops the authority and restarts the silence timers of the peers after a
  /// gap in the process's clock.
  void OnClockGap(Time now);

  /// @return True if this placer has authority as a member.
  bool HasAuthority(Time now) const;

  /// @return When the current authority expires; kNever if there is none.
  Time AuthorityExpiresAt() const;

  /// @return True if this placer may start new actions on the shard.
  bool MayAct(ShardId shard, Time now) const;

  /// @return True if this placer owns the shard in its newest control state,
  /// whether or not it may act yet.
  bool Owns(ShardId shard) const;

  /// @return A member of the zone that should be evicted and may be evicted
  /// now.
  /// @param is_gone Returns true if the platform's list definitely shows that
  /// the instance is gone. May be null.
  /// @param user Passed to `is_gone`.
  std::optional<Member> FindMemberToEvict(Time now,
                                          bool (*is_gone)(const InstanceId&,
                                                          void*),
                                          void* user) const;

  /// An eviction record for `peer` is being appended: grants it no more leases.
  void BeginEvict(const InstanceId& peer);

  Time started() const { return started_; }

  /// @return True if this incarnation is a member in the newest control state.
  bool IsMember() const;

  /// Gives up all authority permanently, because the process is leaving.
  void Resign() { resigned_ = true; }

  const Member& self() const { return self_; }
  Offset membership_epoch() const { return membership_epoch_; }

 private:
  struct Peer {
    Member member;
    /// Latest message, or when the peer was first seen as a member.
    Time last_heard_at = kNever;
    /// Newest membership epoch that the peer reported.
    Offset epoch = 0;
    /// End of the no-eviction lease granted to the peer.
    Time lease_granted_until = kNever;
    /// End of the no-eviction lease received from the peer.
    Time lease_received_until = kNever;
    /// This placer is appending the peer's eviction.
    bool evicting = false;
    /// Membership epoch of the received lease.
    Offset lease_received_epoch = 0;
  };
  struct ShardState {
    ShardOwner owner;
    Time act_from = kNever;  ///< End of the wait for the former owner.
  };

  /// @return When the first lease received from the peers expires; kNever if
  /// one is missing.
  Time PeerLeasesUntil() const;
  void UpdatePeers(const ControlState& state, Time now);

  const Member self_;
  const AuthorityTimes times_;
  const Time started_;
  bool is_member_ = false;
  bool resigned_ = false;
  Offset membership_epoch_ = 0;
  Offset join_offset_ = 0;  ///< 1 + offset of this incarnation's join record.
  Time tail_requested_at_ = kNever;   ///< Request of the latest tail read.
  Time clock_gap_end_ = kNever;       ///< End of the latest gap in the clock.
  std::map<InstanceId, Peer> peers_;  ///< Other members of the zone.
  std::vector<ShardState> shards_;    ///< All shards of the fleet.
};

}  // namespace bw
