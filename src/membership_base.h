// Who owns the cell, and which instances there are: two groups in the
// platform's store.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "loop_base.h"
#include "platform/store.h"

namespace bw {

struct MembershipOptions {
  std::string name;     ///< Of this instance.
  std::string address;  ///< Where the other processes reach this one.
  uint64_t incarnation = 0;
  milliseconds ttl{2000};
  milliseconds join_every{400};
};

/// The cell's place in the store.
const platform::Partition& CellPartition();

/// Two groups. All instances are members of the fleet's group, which says who
/// there is. Only the owner is a member of the cell's group: as a group deals
/// anew whenever a member comes or goes, standbys join it only when it is
/// empty. Ownership counts from when a renewal was sent. Belongs to the core
/// thread, except where said otherwise.
class Membership {
 public:
  /// @pre All outlive the membership.
  Membership(MembershipOptions options, platform::Store* store, Loop* core);

  /// @param on_gain Runs when the cell is dealt to this process, with the
  /// group's generation. @param on_lose Runs when it is not its any more.
  void Start(std::function<void(uint64_t)> on_gain,
             std::function<void()> on_lose);
  void Tick(Time now);
  /// Gives everything back. @param done Runs when the store has answered, on
  /// another thread.
  void Leave(std::function<void()> done);
  /// Gives the cell back after another owner was seen.
  void Resign();

  /// @return True while no other process can own the cell. Thread-safe.
  bool MayAct() const {
    return owns_.load() && ToMicros(BootClock::now()) < term_end_us_.load();
  }
  /// @return True for `after` longer than MayAct. Thread-safe.
  bool MayRenew(milliseconds after) const {
    return owns_.load() &&
           ToMicros(BootClock::now() - after) < term_end_us_.load();
  }
  /// @return Time since the newest answered renewal was sent.
  uint32_t RenewalAgeMs(Time now) const { return AgeMs(renewed_at_, now); }

  /// @return Mesh address of the owner; empty if there is none.
  const std::string& OwnerAddress() const { return owner_address_; }
  /// @return Mesh addresses of all instances, as far as this one knows.
  const std::vector<std::string>& Members() const { return members_; }
  /// The owner did not answer or is none any more: asks the store again.
  void DoubtOwner();
  bool IsSelf(const std::string& address) const {
    return address == options_.address;
  }

 private:
  enum class Role : uint8_t {
    kWatching,  ///< Not in the cell's group.
    kStanding,  ///< About to join, as there seems to be no owner.
    kJoined,
  };

  void SendJoin(Time now);
  void OnJoin(const platform::JoinAnswer& answer, Time sent);
  void SendPresence(Time now);
  void AskOwner(Time now);
  void OnOwner(const platform::OwnersAnswer& answer);
  void AskMembers(Time now);
  void OnMembers(const platform::OwnersAnswer& answer);
  void Lose(const char* why);
  void LeaveCell();
  std::string NewMemberName();

  const MembershipOptions options_;
  platform::Store* const store_;
  Loop* const core_;
  std::function<void(uint64_t)> on_gain_;
  std::function<void()> on_lose_;
  Role role_ = Role::kWatching;
  std::string member_;    ///< In the cell's group; new for each time there.
  std::string presence_;  ///< In the fleet's group.
  uint32_t names_given_ = 0;
  uint64_t generation_ = 0;
  uint64_t fleet_generation_ = 0;
  uint32_t joins_in_flight_ = 0;
  Time next_join_ = kNever;
  Time stand_at_ = kNever;
  Time renewed_at_ = kNever;
  Time next_presence_ = kNever;
  Time owner_asked_ = kNever;
  Time members_asked_ = kNever;
  bool asking_owner_ = false;
  bool asking_members_ = false;
  bool dealt_away_ = false;  ///< By the last answer, after it was ours.
  bool owner_doubted_ = true;
  bool left_ = false;
  std::atomic<bool> owns_{false};
  std::atomic<uint64_t> term_end_us_{0};
  std::string owner_address_;
  std::vector<std::string> members_;
};

}  // namespace bw
