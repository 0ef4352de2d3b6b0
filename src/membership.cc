#include "membership_base.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <optional>

#include "event_log_func.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr const char* kCellGroup = "bilberrywing-cell";
constexpr const char* kCellTopic = "keyed.cell";
constexpr const char* kFleetGroup = "bilberrywing-fleet";
constexpr const char* kFleetTopic = "bilberrywing-fleet";
/// A term ends this long before the store ends it.
constexpr milliseconds kTermMargin{250};
constexpr uint32_t kMaxJoinsInFlight = 3;
/// Shortest time between two questions for the owner, and the longest.
constexpr milliseconds kOwnerPause{150};
constexpr milliseconds kOwnerEvery{2000};
constexpr milliseconds kMembersEvery{2000};
/// Standbys join at different times, so that mostly one does.
constexpr uint32_t kStandSpreadMs = 700;
/// Presence in the fleet is renewed this often, and ends after this.
constexpr milliseconds kPresenceEvery{1500};
constexpr uint32_t kPresenceTtlMs = 5000;
constexpr char kSeparator = '|';

/// A member's name in a group: instance, mesh address, life.
struct MemberName {
  std::string instance;
  std::string address;
};

std::optional<MemberName> ParseMember(const std::string& text) {
  const auto parts = SplitList(text, kSeparator);
  if (parts.size() < 3) {
    return std::nullopt;
  }
  return MemberName{parts[0], parts[1]};
}

}  // namespace

const platform::Partition& CellPartition() {
  static const platform::Partition out{kCellTopic, 0};
  return out;
}

Membership::Membership(MembershipOptions options,
                       platform::Store* store,
                       Loop* core)
    : options_(std::move(options)), store_(store), core_(core) {
  members_ = {options_.address};
  presence_ = NewMemberName();
  member_ = NewMemberName();
}

std::string Membership::NewMemberName() {
  return fmt::format("{}{}{}{}{}.{}", options_.name, kSeparator,
                     options_.address, kSeparator, options_.incarnation,
                     ++names_given_);
}

void Membership::Start(std::function<void(uint64_t)> on_gain,
                       std::function<void()> on_lose) {
  on_gain_ = std::move(on_gain);
  on_lose_ = std::move(on_lose);
}

void Membership::Tick(Time now) {
  if (!left_ && now >= next_presence_) {
    SendPresence(now);
  }
  // An owner whose term lapsed looks first whether there is another one: its
  // join would take the cell from it.
  const bool lapsed = owns_ && now - renewed_at_ > options_.ttl;
  if (role_ == Role::kJoined && !lapsed && now >= next_join_ &&
      joins_in_flight_ < kMaxJoinsInFlight) {
    SendJoin(now);
  }
  const bool doubted = owner_doubted_ || lapsed;
  const Time due = owner_asked_ + (doubted ? kOwnerPause : kOwnerEvery);
  const bool stands = role_ == Role::kStanding && now >= stand_at_;
  if (!asking_owner_ && (stands || now >= due)) {
    AskOwner(now);
  }
  if (owns_ && !asking_members_ && now >= members_asked_ + kMembersEvery) {
    AskMembers(now);
  }
}

void Membership::SendPresence(Time now) {
  next_presence_ = now + kPresenceEvery;
  store_->Join(
      {kFleetGroup, presence_, kFleetTopic, kPresenceTtlMs, fleet_generation_},
      [this](const platform::JoinAnswer& answer) {
        if (answer.status == platform::StoreStatus::kOk) {
          core_->Post([this, generation = answer.generation] {
            fleet_generation_ = std::max(fleet_generation_, generation);
          });
        }
      });
}

void Membership::SendJoin(Time now) {
  next_join_ = now + options_.join_every;
  ++joins_in_flight_;
  store_->Join({kCellGroup, member_, kCellTopic,
                static_cast<uint32_t>(options_.ttl.count()), generation_},
               [this, now, name = member_](const platform::JoinAnswer& answer) {
                 core_->PostWaiting([this, answer, now, name] {
                   if (name == member_ && !left_) {
                     --joins_in_flight_;
                     OnJoin(answer, now);
                   }
                 });
               });
}

void Membership::OnJoin(const platform::JoinAnswer& answer, Time sent) {
  if (role_ != Role::kJoined || answer.status != platform::StoreStatus::kOk ||
      answer.generation < generation_) {
    return;
  }
  const bool lapsed = ToMicros(BootClock::now()) >= term_end_us_.load();
  const bool changed = answer.generation != generation_;
  generation_ = answer.generation;
  renewed_at_ = std::max(renewed_at_, sent);
  term_end_us_ = ToMicros(renewed_at_ + options_.ttl - kTermMargin);
  const bool holds =
      std::find(answer.partitions.begin(), answer.partitions.end(),
                CellPartition()) != answer.partitions.end();
  const bool owned = owns_;
  if (owned && (!holds || (lapsed && changed))) {
    Lose(holds ? "the term lapsed" : "dealt to another member");
  }
  if (!holds) {
    if (owned) {
      // Another member may have come and gone: the next answer tells to whom
      // the cell is dealt now.
      dealt_away_ = true;
      next_join_ = BootClock::now();
    } else if (dealt_away_ || changed) {
      LeaveCell();  // Another member has it.
    }
    return;
  }
  dealt_away_ = false;
  if (!owns_) {
    owns_ = true;
    owner_address_ = options_.address;
    LogEvent(Part::kMember, "cell_gained", {{"generation", generation_}});
    on_gain_(generation_);
  }
}

void Membership::Lose(const char* why) {
  owns_ = false;
  owner_doubted_ = true;
  LogEvent(Part::kMember, "cell_lost",
           {{"generation", generation_}, {"why", why}});
  on_lose_();
}

/// Leaves the cell's group. A later join is as a new member, since calls of
/// this one may still be on their way.
void Membership::LeaveCell() {
  store_->Leave(kCellGroup, member_, [](platform::StoreStatus) {});
  member_ = NewMemberName();
  joins_in_flight_ = 0;
  generation_ = 0;
  dealt_away_ = false;
  role_ = Role::kWatching;
  owner_doubted_ = true;
}

void Membership::Resign() {
  if (owns_) {
    Lose("another owner was seen");
  }
  if (role_ == Role::kJoined) {
    LeaveCell();
  }
}

void Membership::DoubtOwner() {
  owner_doubted_ = true;
}

void Membership::AskOwner(Time now) {
  asking_owner_ = true;
  owner_asked_ = now;
  store_->Owners(kCellGroup, [this](const platform::OwnersAnswer& answer) {
    core_->PostWaiting([this, answer] { OnOwner(answer); });
  });
}

void Membership::OnOwner(const platform::OwnersAnswer& answer) {
  asking_owner_ = false;
  if (answer.status != platform::StoreStatus::kOk) {
    return;
  }
  std::string owner;
  bool former_self = false;
  for (const auto& it : answer.owners) {
    const auto member = ParseMember(it.member);
    if (!member || it.partition != CellPartition()) {
      continue;
    }
    if (member->instance == options_.name && it.member != member_) {
      // A former life of this process cannot act any more.
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
  owner_doubted_ = owner.empty();
  const Time now = BootClock::now();
  if (role_ == Role::kJoined && owns_ && now - renewed_at_ > options_.ttl) {
    if (owner.empty() || owner == options_.address) {
      SendJoin(now);
    } else {
      Resign();
    }
    return;
  }
  if (role_ == Role::kJoined || left_) {
    return;
  }
  if (!owner.empty() || former_self) {
    role_ = Role::kWatching;
  } else if (role_ == Role::kWatching) {
    role_ = Role::kStanding;
    stand_at_ = now + milliseconds(randombytes_uniform(kStandSpreadMs));
  } else if (now >= stand_at_) {
    role_ = Role::kJoined;
    next_join_ = now;
    LogEvent(Part::kMember, "cell_wanted", {});
    SendJoin(now);
  }
}

void Membership::AskMembers(Time now) {
  asking_members_ = true;
  members_asked_ = now;
  store_->Owners(kFleetGroup, [this](const platform::OwnersAnswer& answer) {
    core_->PostWaiting([this, answer] { OnMembers(answer); });
  });
}

void Membership::OnMembers(const platform::OwnersAnswer& answer) {
  asking_members_ = false;
  if (answer.status != platform::StoreStatus::kOk) {
    return;
  }
  std::vector<std::string> members;
  for (const auto& it : answer.owners) {
    if (const auto member = ParseMember(it.member)) {
      members.push_back(member->address);
    }
  }
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
  if (members.size() != members_.size()) {
    LogEvent(Part::kMember, "members_known", {{"members", members.size()}});
  }
  members_ = std::move(members);
}

void Membership::Leave(std::function<void()> done) {
  left_ = true;
  role_ = Role::kWatching;
  if (owns_) {
    Lose("shutdown");
  }
  store_->Leave(kFleetGroup, presence_, [](platform::StoreStatus) {});
  store_->Leave(kCellGroup, member_,
                [done = std::move(done)](platform::StoreStatus) { done(); });
}

}  // namespace bw
