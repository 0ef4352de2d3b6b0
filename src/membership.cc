#include "membership_base.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>

#include "event_log_func.h"

namespace bw {
namespace {

constexpr const char* kCellGroup = "bilberrywing-cell";
constexpr const char* kCellTopic = "keyed.cell";
constexpr const char* kFleetGroup = "bilberrywing-fleet";
/// Ownership ends here this long before the store lets it expire.
constexpr milliseconds kOwnershipMargin{250};
constexpr uint32_t kMaxJoinsInFlight = 3;
/// Interval between queries for the owner while the known one may be outdated.
constexpr milliseconds kOwnerRecheckInterval{150};
/// Interval between queries for the owner otherwise.
constexpr milliseconds kOwnerQueryInterval{2000};
constexpr milliseconds kMembersQueryInterval{2000};
/// A candidate waits this long for each instance that should own the cell
/// rather than itself: the time in which one of them joins and is seen.
constexpr milliseconds kJoinDelayPerRank{50};
/// Limits of the random delay of a candidate that cannot read the fleet.
constexpr uint32_t kMinJoinDelayMs = 300;
constexpr uint32_t kMaxJoinDelayMs = 1000;
/// Shortest time between gaining the cell and handing it over. Longer than
/// kFleetTtlMs, after which a failed former owner is no longer listed.
constexpr milliseconds kMinOwnership{6000};
constexpr milliseconds kFleetJoinInterval{1500};
constexpr uint32_t kFleetTtlMs = 5000;

}  // namespace

const platform::Partition& CellPartition() {
  static const platform::Partition out{kCellTopic, 0};
  return out;
}

Membership::Membership(MembershipOptions options,
                       platform::Store* store,
                       EventLoop* core)
    : options_(std::move(options)),
      self_{options_.name, options_.address, options_.millicores,
            options_.zone},
      store_(store),
      core_(core) {
  SetMembers({self_});
  fleet_member_ = NewMemberName();
  cell_member_ = NewMemberName();
}

std::string Membership::NewMemberName() {
  return MakeMemberName(
      self_, fmt::format("{}.{}", options_.incarnation, ++names_issued_));
}

void Membership::Start(Events events) {
  events_ = std::move(events);
}

void Membership::Tick(Time now) {
  if (!left_ && now >= next_fleet_join_) {
    SendFleetJoin(now);
  }
  // An owner whose ownership has expired first checks for another owner, as
  // joining would take the cell from that one.
  const bool lapsed = owns_ && now - renewed_at_ > options_.ttl;
  if (role_ == Role::kJoined && !lapsed && now >= next_cell_join_ &&
      joins_in_flight_ < kMaxJoinsInFlight) {
    SendCellJoin(now);
  }
  const bool recheck = recheck_owner_ || lapsed;
  const Time due = owner_queried_at_ +
                   (recheck ? kOwnerRecheckInterval : kOwnerQueryInterval);
  const bool join_due = role_ == Role::kCandidate && now >= candidate_join_at_;
  if (!owner_query_in_flight_ && (join_due || now >= due)) {
    QueryOwner(now);
  }
  if ((owns_ || role_ == Role::kCandidate) && !members_query_in_flight_ &&
      now >= members_queried_at_ + kMembersQueryInterval) {
    QueryMembers(now);
  }
}

void Membership::SendFleetJoin(Time now) {
  next_fleet_join_ = now + kFleetJoinInterval;
  store_->Join({kFleetGroup,
                fleet_member_,
                {FleetTopicOf(self_)},
                kFleetTtlMs,
                fleet_generation_},
               [this](const platform::JoinResponse& response) {
                 if (response.status == platform::StoreStatus::kOk) {
                   core_->Post([this, generation = response.generation] {
                     fleet_generation_ =
                         std::max(fleet_generation_, generation);
                   });
                 }
               });
}

void Membership::SendCellJoin(Time now) {
  next_cell_join_ = now + options_.join_every;
  ++joins_in_flight_;
  store_->Join(
      {kCellGroup,
       cell_member_,
       {kCellTopic},
       static_cast<uint32_t>(options_.ttl.count()),
       cell_generation_},
      [this, now, name = cell_member_](const platform::JoinResponse& response) {
        core_->PostBlocking([this, response, now, name] {
          if (name == cell_member_ && !left_) {
            --joins_in_flight_;
            OnCellJoinReply(response, now);
          }
        });
      });
}

void Membership::OnCellJoinReply(const platform::JoinResponse& response,
                                 Time sent) {
  if (role_ != Role::kJoined || response.status != platform::StoreStatus::kOk ||
      response.generation < cell_generation_) {
    return;
  }
  if (response.generation == cell_generation_ && sent < renewed_at_) {
    return;  // Overtaken by the reply to a later join.
  }
  const bool lapsed = ToMicros(BootClock::now()) >= ownership_end_us_.load();
  const bool changed = response.generation != cell_generation_;
  cell_generation_ = response.generation;
  renewed_at_ = std::max(renewed_at_, sent);
  ownership_end_us_ = ToMicros(renewed_at_ + options_.ttl - kOwnershipMargin);
  const bool assigned =
      std::find(response.partitions.begin(), response.partitions.end(),
                CellPartition()) != response.partitions.end();
  const bool was_owner = owns_;
  if (was_owner && (!assigned || (lapsed && changed))) {
    LoseCell(assigned ? "ownership expired and the group's generation changed"
                      : "cell assigned to another member");
  }
  if (!assigned) {
    if (was_owner) {
      // Another member may have joined and left again. The next reply shows
      // which member the cell is assigned to now.
      reassigned_ = true;
      next_cell_join_ = BootClock::now();
    } else if (reassigned_ || changed) {
      LeaveCellGroup();  // Another member owns the cell.
    }
    return;
  }
  reassigned_ = false;
  if (!owns_ && cell_generation_ == gained_generation_) {
    // The store would take the appends of this ownership for repetitions of the
    // former one's. A new member gets a new generation.
    LeaveCellGroup();
    JoinCellGroup(BootClock::now());
    return;
  }
  if (!owns_) {
    owns_ = true;
    gained_generation_ = cell_generation_;
    owned_since_ = BootClock::now();
    owner_address_ = self_.address;
    LogEvent(Part::kMember, "cell_gained", {{"generation", cell_generation_}});
    events_.on_gain(cell_generation_);
  }
}

void Membership::LoseCell(const char* why) {
  owns_ = false;
  recheck_owner_ = true;
  LogEvent(Part::kMember, "cell_lost",
           {{"generation", cell_generation_}, {"why", why}});
  events_.on_lose();
}

void Membership::LeaveCellGroup() {
  store_->Leave(kCellGroup, cell_member_, [](platform::StoreStatus) {});
  ForgetCellGroup();
}

/// Ends the membership in the cell group. Later joins use a new member name,
/// since joins under the present one may still be in flight.
void Membership::ForgetCellGroup() {
  cell_member_ = NewMemberName();
  joins_in_flight_ = 0;
  cell_generation_ = 0;
  reassigned_ = false;
  role_ = Role::kStandby;
  recheck_owner_ = true;
}

void Membership::Resign() {
  if (owns_) {
    LoseCell("another owner was detected");
  }
  if (role_ == Role::kJoined) {
    LeaveCellGroup();
  }
}

void Membership::JoinCellGroup(Time now) {
  role_ = Role::kJoined;
  LogEvent(
      Part::kMember, "cell_wanted",
      {{"rank", OwnerRank(members_, self_)}, {"members", members_.size()}});
  SendCellJoin(now);
}

void Membership::HandOverToLarger(Time now) {
  const auto successor = FindSuccessor(members_, self_);
  if (!owns_ || now - owned_since_ < kMinOwnership || !successor ||
      !IsWorthHandOver(self_, *successor)) {
    return;
  }
  LoseCell("handed over to a larger instance");
  store_->Leave(kCellGroup, cell_member_,
                [offer = events_.offer, to = successor->address](
                    platform::StoreStatus) { offer(to); });
  ForgetCellGroup();
}

void Membership::AcceptOffer() {
  if (left_ || role_ == Role::kJoined) {
    return;
  }
  const Time now = BootClock::now();
  BecomeCandidate(now, now);
  if (!owner_query_in_flight_) {
    QueryOwner(now);
  }
}

void Membership::BecomeCandidate(Time now, Time join_at) {
  role_ = Role::kCandidate;
  candidate_since_ = now;
  candidate_join_at_ = join_at;
}

void Membership::RecheckOwner() {
  recheck_owner_ = true;
}

void Membership::QueryOwner(Time now) {
  owner_query_in_flight_ = true;
  owner_queried_at_ = now;
  store_->ReadOwners(
      kCellGroup, [this](const platform::OwnersResponse& response) {
        core_->PostBlocking([this, response] { OnOwnerReply(response); });
      });
}

void Membership::OnOwnerReply(const platform::OwnersResponse& response) {
  owner_query_in_flight_ = false;
  if (response.status != platform::StoreStatus::kOk) {
    return;
  }
  std::string owner;
  bool former_self = false;
  for (const auto& it : response.owners) {
    const auto member = ParseMemberName(it.member);
    if (!member || it.partition != CellPartition()) {
      continue;
    }
    if (member->instance == options_.name && it.member != cell_member_) {
      // A member of an earlier incarnation of this process cannot act any
      // more.
      former_self = true;
      store_->Leave(kCellGroup, it.member, [](platform::StoreStatus) {});
      continue;
    }
    owner = member->address;
  }
  if (owner != owner_address_) {
    LogEvent(Part::kMember, "owner_known",
             {{"owner", owner}, {"was", owner_address_}});
    owner_address_ = owner;
  }
  recheck_owner_ = owner.empty();
  const Time now = BootClock::now();
  if (role_ == Role::kJoined && owns_ && now - renewed_at_ > options_.ttl) {
    if (owner.empty() || owner == self_.address) {
      SendCellJoin(now);
    } else {
      Resign();
    }
    return;
  }
  if (role_ == Role::kJoined || left_) {
    return;
  }
  if (!owner.empty() || former_self) {
    role_ = Role::kStandby;
  } else if (role_ == Role::kStandby) {
    BecomeCandidate(
        now, now + milliseconds(
                       kMinJoinDelayMs +
                       randombytes_uniform(kMaxJoinDelayMs - kMinJoinDelayMs)));
    if (!members_query_in_flight_) {
      QueryMembers(now);
    }
  } else if (now >= candidate_join_at_) {
    JoinCellGroup(now);
  }
}

void Membership::QueryMembers(Time now) {
  members_query_in_flight_ = true;
  members_queried_at_ = now;
  store_->ReadOwners(
      kFleetGroup, [this](const platform::OwnersResponse& response) {
        core_->PostBlocking([this, response] { OnMembersReply(response); });
      });
}

void Membership::OnMembersReply(const platform::OwnersResponse& response) {
  members_query_in_flight_ = false;
  if (response.status != platform::StoreStatus::kOk) {
    return;
  }
  std::vector<FleetMember> members = {self_};
  for (const auto& it : response.owners) {
    if (auto member = ParseMemberName(it.member)) {
      members.push_back(std::move(*member));
    }
  }
  SetMembers(SortedByAddress(std::move(members)));
  if (role_ == Role::kCandidate) {
    candidate_join_at_ =
        candidate_since_ + OwnerRank(members_, self_) * kJoinDelayPerRank;
  }
}

void Membership::SetMembers(std::vector<FleetMember> members) {
  if (members.size() != members_.size()) {
    LogEvent(Part::kMember, "members_known", {{"members", members.size()}});
  }
  members_ = std::move(members);
  addresses_.clear();
  for (const auto& it : members_) {
    addresses_.push_back(it.address);
  }
}

void Membership::Leave(std::function<void()> done) {
  left_ = true;
  role_ = Role::kStandby;
  std::optional<FleetMember> successor;
  if (owns_) {
    successor = FindSuccessor(members_, self_);
    LoseCell("shutdown");
  }
  store_->Leave(kFleetGroup, fleet_member_, [](platform::StoreStatus) {});
  store_->Leave(kCellGroup, cell_member_,
                [offer = events_.offer, successor = std::move(successor),
                 done = std::move(done)](platform::StoreStatus) {
                  if (successor) {
                    offer(successor->address);
                  }
                  done();
                });
}

}  // namespace bw
