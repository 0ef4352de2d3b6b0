// Who may act on a shard. A pure state machine of one placer; see
// docs/DESIGN.md, "Who may act".
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "control_type.h"

namespace bw {

/// Lengths that every member must share.
struct AuthorityTimes {
  Duration log_fresh{2'000'000};   ///< Authority after a read of the tail.
  Duration promise{1'500'000};     ///< Length of one promise.
  Duration dead_after{1'500'000};  ///< Silence before a member is evicted.
  Duration action{1'000'000};      ///< Longest time a sent action is valid.

  /// Wait of a new owner after the old one's eviction.
  Duration TakeoverWait() const {
    return (log_fresh > promise ? log_fresh : promise) + action;
  }
};

/// Decides whether this placer may act, promise and evict. Not thread-safe:
/// belongs to the placer's core thread. All times are this process's own.
class Authority {
 public:
  /// @param started When the process started: it cannot know what an earlier
  /// incarnation promised.
  Authority(Member self, AuthorityTimes times, Time started);

  /// Takes in a newer state of the control stream.
  void OnState(const ControlState& state, Time now);

  /// The log's tail was read; the read was asked for at `asked`.
  void OnTailRead(Time asked);

  /// Any message of `peer` that names its membership view.
  void OnHeard(const InstanceId& peer, Offset peer_view, Time now);

  /// `peer` promised, in answer to a question asked at `asked`, not to evict
  /// this placer.
  void OnPromise(const InstanceId& peer,
                 Offset peer_view,
                 Duration length,
                 Time asked);

  /// Promises not to evict `peer`. @return Zero if none is given.
  Duration PromiseTo(const InstanceId& peer, Offset peer_view, Time now);

  /// The process found a gap in its own clock: nothing it knew is current.
  void OnClockGap(Time now);

  /// @return True if the process may act as the member it is.
  bool IsFresh(Time now) const;

  /// @return When the present authority lapses; kNever if there is none.
  Time FreshUntil() const;

  /// @return True if this placer may start new actions on the shard.
  bool MayAct(ShardId shard, Time now) const;

  /// @return True if this placer is the owner by its newest state, whether
  /// or not it may act yet.
  bool Owns(ShardId shard) const;

  /// @return A member of the zone that should and may be evicted now.
  /// @param is_gone The platform's list surely shows the instance as gone.
  std::optional<Member> FindDead(Time now,
                                 bool (*is_gone)(const InstanceId&, void*),
                                 void* user) const;

  /// An eviction of `peer` is on its way to the log: no more promises to it.
  void BeginEvict(const InstanceId& peer);

  Time started() const { return started_; }

  /// @return True if this incarnation is a member by its newest state.
  bool IsMember() const;

  /// Gives up all authority for good: the process is leaving.
  void Resign() { resigned_ = true; }

  const Member& self() const { return self_; }
  Offset view() const { return view_; }

 private:
  struct Peer {
    Member member;
    Time heard = kNever;           ///< Last message.
    Offset view = 0;               ///< Newest view it was heard to have.
    Time promised_until = kNever;  ///< This placer's promise to the peer.
    Time trusted_until = kNever;   ///< The peer's promise to this placer.
    bool evicting = false;         ///< This placer asked for its eviction.
    Offset trusted_view = 0;       ///< View that promise was made in.
  };
  struct Held {
    ShardOwner owner;
    Time ready = kNever;  ///< When the wait for the former owner is over.
  };

  Time PromisedUntil() const;
  void UpdatePeers(const ControlState& state, Time now);

  const Member self_;
  const AuthorityTimes times_;
  const Time started_;
  bool is_member_ = false;
  bool resigned_ = false;
  Offset view_ = 0;
  Offset joined_ = 0;  ///< Offset of this incarnation's join.
  Time tail_asked_ = kNever;
  Time gap_ = kNever;                 ///< End of the newest gap in the clock.
  std::map<InstanceId, Peer> peers_;  ///< Other members of the zone.
  std::vector<Held> shards_;          ///< All shards of the fleet.
};

}  // namespace bw
