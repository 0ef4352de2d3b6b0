#include "membership_base.h"

#include <fmt/format.h>

#include <algorithm>

#include "event_log_func.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr const char* kGroup = "bilberrywing";
constexpr const char* kTopic = "keyed.cell";
/// A term ends this long before the store ends it.
constexpr milliseconds kTermMargin{250};
constexpr uint32_t kMaxJoinsInFlight = 3;
/// Shortest time between two questions for the owners.
constexpr milliseconds kOwnersPause{150};
/// The owner is asked for this often even if nothing seems to change.
constexpr milliseconds kOwnersEvery{5000};
constexpr char kSeparator = '|';

}  // namespace

const platform::Partition& CellPartition() {
  static const platform::Partition out{kTopic, 0};
  return out;
}

Membership::Membership(MembershipOptions options,
                       platform::Store* store,
                       Loop* core)
    : options_(std::move(options)), store_(store), core_(core) {
  member_ = fmt::format("{}{}{}{}{}", options_.name, kSeparator,
                        options_.address, kSeparator, options_.incarnation);
}

void Membership::Start(std::function<void(uint64_t)> on_gain,
                       std::function<void()> on_lose) {
  on_gain_ = std::move(on_gain);
  on_lose_ = std::move(on_lose);
}

void Membership::Tick(Time now) {
  if (!left_ && now >= next_join_ && joins_in_flight_ < kMaxJoinsInFlight) {
    SendJoin(now);
  }
  const bool stale = now - owners_asked_ > kOwnersEvery;
  if (!asking_owners_ && (owners_wanted_ || stale) &&
      now - owners_asked_ > kOwnersPause) {
    AskOwners(now);
  }
}

void Membership::SendJoin(Time now) {
  next_join_ = now + options_.join_every;
  ++joins_in_flight_;
  const platform::GroupMember member{
      kGroup, member_, kTopic, static_cast<uint32_t>(options_.ttl.count()),
      generation_};
  store_->Join(member, [this, now, name = member_](
                           const platform::JoinAnswer& answer) {
    core_->PostWaiting([this, answer, now, name] {
      --joins_in_flight_;
      if (name == member_ && !left_) {
        OnJoin(answer, now);
      }
    });
  });
}

void Membership::OnJoin(const platform::JoinAnswer& answer, Time sent) {
  if (answer.status != platform::StoreStatus::kOk ||
      answer.generation < generation_) {
    return;
  }
  const bool lapsed = ToMicros(BootClock::now()) >= term_end_us_.load();
  const bool changed = answer.generation != generation_;
  generation_ = answer.generation;
  renewed_at_ = std::max(renewed_at_, sent);
  term_end_us_ = ToMicros(renewed_at_ + options_.ttl - kTermMargin);
  owners_wanted_ = owners_wanted_ || changed;
  const bool holds =
      std::find(answer.partitions.begin(), answer.partitions.end(),
                CellPartition()) != answer.partitions.end();
  if (owns_ && (!holds || (lapsed && changed))) {
    Lose(holds ? "the term lapsed" : "dealt to another member");
    next_join_ = BootClock::now();
  }
  if (holds && !owns_) {
    owns_ = true;
    held_since_ = generation_;
    LogEvent(Part::kMember, "cell_gained", {{"generation", generation_}});
    on_gain_(generation_);
  }
}

void Membership::Lose(const char* why) {
  owns_ = false;
  LogEvent(Part::kMember, "cell_lost",
           {{"generation", generation_}, {"why", why}});
  on_lose_();
}

void Membership::DoubtOwner() {
  owners_wanted_ = true;
}

void Membership::AskOwners(Time now) {
  asking_owners_ = true;
  owners_wanted_ = false;
  owners_asked_ = now;
  store_->Owners(kGroup, [this](const platform::OwnersAnswer& answer) {
    core_->PostWaiting([this, answer] { OnOwners(answer); });
  });
}

void Membership::OnOwners(const platform::OwnersAnswer& answer) {
  asking_owners_ = false;
  if (answer.status != platform::StoreStatus::kOk) {
    owners_wanted_ = true;
    return;
  }
  std::string owner;
  std::vector<std::string> members;
  std::vector<std::string> dead;
  for (const auto& it : answer.owners) {
    const auto parts = SplitList(it.member, kSeparator);
    if (parts.size() < 3) {
      continue;
    }
    if (parts[0] == options_.name && it.member != member_) {
      dead.push_back(it.member);  // A former life of this process.
      continue;
    }
    if (std::find(members.begin(), members.end(), parts[1]) == members.end()) {
      members.push_back(parts[1]);
    }
    if (it.partition == CellPartition()) {
      owner = parts[1];
    }
  }
  if (owner != owner_address_) {
    LogEvent(Part::kMember, "owner_known",
             {{"owner", owner}, {"members", members.size()}});
  }
  owner_address_ = owner;
  members_ = std::move(members);
  owners_wanted_ = owner.empty();
  std::sort(dead.begin(), dead.end());
  dead.erase(std::unique(dead.begin(), dead.end()), dead.end());
  for (const auto& it : dead) {
    store_->Leave(kGroup, it, [this](platform::StoreStatus) {
      core_->Post([this] { owners_wanted_ = true; });
    });
  }
}

void Membership::Leave(std::function<void()> done) {
  left_ = true;
  if (owns_) {
    Lose("shutdown");
  }
  store_->Leave(kGroup, member_,
                [done = std::move(done)](platform::StoreStatus) { done(); });
}

void Membership::Rejoin() {
  if (owns_) {
    Lose("a higher fencing token was seen");
  }
  store_->Leave(kGroup, member_, [](platform::StoreStatus) {});
  member_ = fmt::format("{}{}{}{}{}{}{}", options_.name, kSeparator,
                        options_.address, kSeparator, options_.incarnation,
                        kSeparator, ++renames_);
  generation_ = 0;
  next_join_ = BootClock::now() + options_.join_every;
}

}  // namespace bw
