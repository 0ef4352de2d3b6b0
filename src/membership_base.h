// Membership of this instance in two groups of the platform's store: one elects
// the owner of the cell, the other lists all instances.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "event_loop_base.h"
#include "fleet_func.h"
#include "platform/store.h"

namespace bw {

struct MembershipOptions {
  std::string name;              ///< Name of this instance.
  std::string address;           ///< Mesh address of this instance.
  ZoneId zone;                   ///< Availability zone of this instance.
  uint32_t millicores = 0;       ///< Its share of a processor; 0: unknown.
  uint64_t incarnation = 0;      ///< Differs for each start of the process.
  milliseconds ttl{2000};        ///< Lifetime of the ownership after a renewal.
  milliseconds join_every{400};  ///< Interval between renewals.
};

/// @return The partition of the store that holds the cell's records.
const platform::Partition& CellPartition();

/// Keeps this instance in the fleet group, which lists all instances, and
/// competes for the cell group, whose only member owns the cell. A group
/// reassigns its partitions whenever a member joins or leaves, so a standby
/// joins the cell group only when it is empty, the largest instance first. An
/// owner hands the cell over to a much larger instance. The lifetime of an
/// ownership is counted from the time at which its renewal was sent. Belongs to
/// the core thread, except where said otherwise.
class Membership {
 public:
  /// @pre All outlive the membership.
  Membership(MembershipOptions options,
             platform::Store* store,
             EventLoop* core);

  struct Events {
    /// Runs with the group's generation when the cell is assigned to this
    /// process; never twice with the same.
    std::function<void(uint64_t)> on_gain;
    std::function<void()> on_lose;  ///< Runs when this process stops owning it.
    /// Offers the cell, which this process has left, to the instance with this
    /// mesh address. Thread-safe.
    std::function<void(const std::string&)> offer;
  };
  void Start(Events events);
  void Tick(Time now);
  /// Leaves both groups. @param done Runs on another thread once the store has
  /// replied.
  void Leave(std::function<void()> done);
  /// Gives up the cell after another owner was detected.
  void Resign();
  /// Hands the cell over to a much larger instance, if there is one.
  /// @pre Nothing is waiting to be stored.
  void HandOverToLarger(Time now);
  /// Takes the cell if it has no owner.
  void AcceptOffer();

  /// @return True while no other process can own the cell. Thread-safe.
  bool MayAct() const {
    return owns_.load() &&
           ToMicros(BootClock::now()) < ownership_end_us_.load();
  }
  /// @return True while MayAct is true and for `after` beyond that.
  /// Thread-safe.
  bool MayRenew(milliseconds after) const {
    return owns_.load() &&
           ToMicros(BootClock::now() - after) < ownership_end_us_.load();
  }
  /// @return Time since the newest successful renewal was sent.
  uint32_t RenewalAgeMs(Time now) const { return AgeMs(renewed_at_, now); }

  /// @return Mesh address of the owner; empty if none is known.
  const std::string& OwnerAddress() const { return owner_address_; }
  /// @return Mesh addresses of all known instances.
  const std::vector<std::string>& Members() const { return addresses_; }
  /// @return All known instances, this one included.
  const std::vector<FleetMember>& Fleet() const { return members_; }
  const FleetMember& Self() const { return self_; }
  /// Queries the store for the owner soon, as the known one did not respond or
  /// is no longer the owner.
  void RecheckOwner();
  bool IsSelf(const std::string& address) const {
    return address == self_.address;
  }

 private:
  enum class Role : uint8_t {
    kStandby,    ///< Not a member of the cell group.
    kCandidate,  ///< Joins after a delay unless an owner appears.
    kJoined,     ///< Member of the cell group.
  };

  void SendCellJoin(Time now);
  void OnCellJoinReply(const platform::JoinResponse& response, Time sent);
  void SendFleetJoin(Time now);
  void QueryOwner(Time now);
  void OnOwnerReply(const platform::OwnersResponse& response);
  void QueryMembers(Time now);
  void OnMembersReply(const platform::OwnersResponse& response);
  void LoseCell(const char* why);
  void LeaveCellGroup();
  void ForgetCellGroup();
  void JoinCellGroup(Time now);
  void BecomeCandidate(Time now, Time join_at);
  void SetMembers(std::vector<FleetMember> members);
  std::string NewMemberName();

  const MembershipOptions options_;
  const FleetMember self_;
  platform::Store* const store_;
  EventLoop* const core_;
  Events events_;
  Role role_ = Role::kStandby;
  std::string cell_member_;   ///< Name in the cell group; new after each leave.
  std::string fleet_member_;  ///< Name in the fleet group.
  uint32_t names_issued_ = 0;
  uint64_t cell_generation_ = 0;    ///< Newest generation of the cell group.
  uint64_t gained_generation_ = 0;  ///< Of the newest ownership.
  uint64_t fleet_generation_ = 0;
  uint32_t joins_in_flight_ = 0;
  Time next_cell_join_ = kNever;
  Time candidate_since_ = kNever;
  Time candidate_join_at_ = kNever;
  Time owned_since_ = kNever;
  Time renewed_at_ = kNever;  ///< When the newest renewal was sent.
  Time next_fleet_join_ = kNever;
  Time owner_queried_at_ = kNever;
  Time members_queried_at_ = kNever;
  bool owner_query_in_flight_ = false;
  bool members_query_in_flight_ = false;
  bool reassigned_ = false;    ///< The last reply withdrew the cell.
  bool recheck_owner_ = true;  ///< The known owner may be outdated.
  bool left_ = false;
  std::atomic<bool> owns_{false};
  std::atomic<uint64_t> ownership_end_us_{0};
  std::string owner_address_;
  std::vector<FleetMember> members_;
  std::vector<std::string> addresses_;  ///< Of `members_`.
};

}  // namespace bw
