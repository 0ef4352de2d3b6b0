// Membership of the group whose partitions are the cells: who owns a cell now.
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

/// Keeps this process in the group and knows the owner of the cell. Ownership
/// counts from when a renewal was sent. Belongs to the core thread, except
/// where said otherwise.
class Membership {
 public:
  /// @pre All outlive the membership.
  Membership(MembershipOptions options, platform::Store* store, Loop* core);

  /// @param on_gain Runs when the cell is dealt to this process, with the
  /// group's generation. @param on_lose Runs when it is not its any more.
  void Start(std::function<void(uint64_t)> on_gain,
             std::function<void()> on_lose);
  void Tick(Time now);
  /// Gives everything back. @param done Runs when the store has answered.
  void Leave(std::function<void()> done);
  /// Joins anew as another member, so that the group deals anew.
  void Rejoin();

  /// @return True while no other process can own the cell. Thread-safe.
  bool MayAct() const {
    return owns_.load() && ToMicros(BootClock::now()) < term_end_us_.load();
  }
  /// @return Time since the newest answered renewal was sent.
  uint32_t RenewalAgeMs(Time now) const { return AgeMs(renewed_at_, now); }

  /// @return Mesh address of the owner; empty if there is none.
  const std::string& OwnerAddress() const { return owner_address_; }
  /// @return Mesh addresses of all known members.
  const std::vector<std::string>& Members() const { return members_; }
  /// The owner did not answer or is none any more: asks the store again.
  void DoubtOwner();
  bool IsSelf(const std::string& address) const {
    return address == options_.address;
  }

 private:
  void SendJoin(Time now);
  void OnJoin(const platform::JoinAnswer& answer, Time sent);
  void AskOwners(Time now);
  void OnOwners(const platform::OwnersAnswer& answer);
  void Lose(const char* why);

  const MembershipOptions options_;
  platform::Store* const store_;
  Loop* const core_;
  std::function<void(uint64_t)> on_gain_;
  std::function<void()> on_lose_;
  std::string member_;
  uint32_t renames_ = 0;
  uint64_t generation_ = 0;
  uint64_t held_since_ = 0;  ///< Generation at which the cell was gained.
  uint32_t joins_in_flight_ = 0;
  Time next_join_ = kNever;
  Time renewed_at_ = kNever;
  Time owners_asked_ = kNever;
  bool asking_owners_ = false;
  bool owners_wanted_ = true;
  bool left_ = false;
  std::atomic<bool> owns_{false};
  std::atomic<uint64_t> term_end_us_{0};
  std::string owner_address_;
  std::vector<std::string> members_;
};

}  // namespace bw
