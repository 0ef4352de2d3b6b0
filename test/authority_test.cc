// Authority to act: a seeded random walk through reordering, losses, freezes,
// crashes and outages checks that two placers never act on a shard at once.
#include "../src/authority_base.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <memory>
#include <random>

#include "../src/control_func.h"
#include "../src/text_func.h"

namespace bw::test {
namespace {

constexpr Duration kStep = milliseconds(20);
constexpr Duration kAction = AuthorityTimes().action;
constexpr ShardId kShard{0};
constexpr const char* kFleet = R"({"zones":"z","shards_per_zone":1})";

/// One placer of the zone with the faults that are injected into it.
struct Node {
  std::string name;
  std::unique_ptr<Authority> authority;
  ControlState state;
  uint64_t incarnation = 0;
  bool alive = false;
  bool log_unreachable = false;
  Time frozen_until = kNever;
  Time last_step_at = kNever;
  Time join_sent_at = kNever;
  Time last_acted_at = kNever;
};

/// Simulates a zone, its log and its network links, driven by one seed.
class ZoneSimulation {
 public:
  ZoneSimulation(uint32_t seed, int nodes, AuthorityTimes times)
      : random_(seed), times_(times) {
    log_.push_back(ChangeRecord("c", "op", {{"fleet/fleet", 0, kFleet}}));
    for (int n = 0; n < nodes; ++n) {
      nodes_.push_back({});
      nodes_.back().name = "e" + std::to_string(n);
      Start(&nodes_.back());
    }
  }

  /// @param[out] acting Increased by one per step and placer that may act.
  /// @return How often a placer could act while the actions of another one were
  /// still valid.
  int Run(Duration length, int* acting) {
    const Time end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      Deliver();
      InjectFaults();
      for (auto& it : nodes_) {
        RunStep(&it);
      }
      CheckOwners(acting);
    }
    return violations_;
  }

 private:
  bool OneIn(uint32_t one_in) { return random_() % one_in == 0; }

  void Start(Node* node) {
    node->alive = true;
    node->state = ControlState();
    node->incarnation = ++last_incarnation_;
    node->frozen_until = kNever;
    node->last_step_at = now_;
    node->join_sent_at = kNever;
    const Member self{InstanceId(node->name), node->incarnation, ZoneId("z"),
                      "x", 0};
    node->authority = std::make_unique<Authority>(self, times_, now_);
  }

  bool IsRunning(const Node& node) const {
    return node.alive && now_ >= node.frozen_until;
  }

  void Schedule(std::function<void()> step) {
    Duration delay = milliseconds(random_() % 40);
    if (OneIn(50)) {
      delay = milliseconds(random_() % 4000);  // Delayed by the network.
    }
    pending_messages_.emplace(now_ + delay, std::move(step));
  }

  void Deliver() {
    while (!pending_messages_.empty() &&
           pending_messages_.begin()->first <= now_) {
      auto step = std::move(pending_messages_.begin()->second);
      pending_messages_.erase(pending_messages_.begin());
      step();
    }
  }

  void InjectFaults() {
    if (OneIn(400)) {
      log_down_until_ = now_ + milliseconds(random_() % 8000);
    }
    Node& node = nodes_[random_() % nodes_.size()];
    if (OneIn(300)) {
      node.frozen_until = now_ + milliseconds(random_() % 9000);
    }
    if (OneIn(200)) {
      node.log_unreachable = !node.log_unreachable;
    }
    if (OneIn(500)) {
      node.alive = false;
    } else if (!node.alive && OneIn(60)) {
      Start(&node);
    }
    if (OneIn(250)) {
      link_down_until_[{random_() % nodes_.size(), random_() % nodes_.size()}] =
          now_ + milliseconds(random_() % 6000);
    }
  }

  void Append(Node* node, const std::string& record) {
    if (LogReadable(*node)) {
      Schedule([this, record] { log_.push_back(record); });
    }
  }

  bool LogReadable(const Node& node) const {
    return !node.log_unreachable && now_ >= log_down_until_;
  }

  void RunStep(Node* node) {
    if (!IsRunning(*node)) {
      return;
    }
    if (now_ - node->last_step_at > milliseconds(400)) {
      node->authority->OnClockGap(now_);
    }
    node->last_step_at = now_;
    if (LogReadable(*node) && OneIn(8)) {
      ReadLog(node);
    }
    if (OneIn(15)) {
      Heartbeat(node);
    }
    const bool may_join = node->state.version > 0 &&
                          !node->authority->IsMember() &&
                          now_ - node->join_sent_at > milliseconds(1000);
    if (may_join) {
      node->join_sent_at = now_;
      Append(node, JoinRecord(RandomId(), node->authority->self()));
    }
    if (auto to_evict =
            node->authority->FindMemberToEvict(now_, nullptr, nullptr)) {
      node->authority->BeginEvict(to_evict->id);
      Append(node, EvictRecord(RandomId(), *to_evict, node->authority->self()));
    }
  }

  std::string RandomId() { return "id" + std::to_string(++last_id_); }

  /// The response may be late or arrive after a freeze.
  void ReadLog(Node* node) {
    const Time requested_at = now_;
    const uint64_t incarnation = node->incarnation;
    Schedule([this, node, requested_at, incarnation] {
      const auto records = log_;  // The log as it was at the response.
      DeliverTo(node, incarnation, [this, node, requested_at, records] {
        while (node->state.version < records.size()) {
          const Offset n = node->state.version;
          ApplyRecord(&node->state, n, records[n]);
        }
        node->authority->OnState(node->state, now_);
        node->authority->OnTailRead(requested_at);
      });
    });
  }

  /// Runs `step` once the node is not frozen; drops it if the node was
  /// restarted.
  void DeliverTo(Node* node, uint64_t incarnation, std::function<void()> step) {
    if (!node->alive || node->incarnation != incarnation) {
      return;
    }
    if (now_ < node->frozen_until) {
      // The clock gap is detected before queued messages are handled.
      pending_messages_.emplace(node->frozen_until + kStep * 2,
                                [this, node, incarnation, step] {
                                  DeliverTo(node, incarnation, step);
                                });
      return;
    }
    if (now_ - node->last_step_at > milliseconds(400)) {
      node->authority->OnClockGap(now_);
      node->last_step_at = now_;
    }
    step();
  }

  void Heartbeat(Node* node) {
    const Time requested_at = now_;
    const size_t from = static_cast<size_t>(node - nodes_.data());
    for (size_t to = 0; to < nodes_.size(); ++to) {
      Node* peer = &nodes_[to];
      if (peer == node || now_ < link_down_until_[{from, to}] ||
          now_ < link_down_until_[{to, from}]) {
        continue;
      }
      const InstanceId me(node->name);
      const Offset epoch = node->authority->membership_epoch();
      const uint64_t incarnation = node->incarnation;
      Schedule([=, this] {
        DeliverTo(peer, peer->incarnation, [=, this] {
          peer->authority->OnPeerMessage(me, epoch, now_);
          const Duration lease =
              peer->authority->GrantNoEvictionLease(me, epoch, now_);
          const Offset peer_epoch = peer->authority->membership_epoch();
          Schedule([=, this] {
            DeliverTo(node, incarnation, [=, this] {
              const InstanceId them(peer->name);
              node->authority->OnPeerMessage(them, peer_epoch, now_);
              node->authority->OnNoEvictionLease(them, peer_epoch, lease,
                                                 requested_at);
            });
          });
        });
      });
    }
  }

  /// Counts violations. Frozen placers count as acting, as a placer may freeze
  /// between its check and the send. A sent action stays valid for `kAction`.
  void CheckOwners(int* acting) {
    for (auto& it : nodes_) {
      if (!it.alive || !it.authority->MayAct(kShard, now_)) {
        continue;
      }
      ++*acting;
      for (const auto& other : nodes_) {
        if (&other != &it && other.last_acted_at != kNever &&
            now_ < other.last_acted_at + kAction - kStep * 2) {
          ++violations_;
        }
      }
      it.last_acted_at = now_;
    }
  }

  std::mt19937 random_;
  const AuthorityTimes times_;
  std::vector<std::string> log_;
  std::vector<Node> nodes_;
  std::multimap<Time, std::function<void()>> pending_messages_;
  std::map<std::pair<size_t, size_t>, Time> link_down_until_;
  Time now_{milliseconds(1000)};
  Time log_down_until_ = kNever;
  uint64_t last_incarnation_ = 0;
  uint64_t last_id_ = 0;
  int violations_ = 0;
};

constexpr Duration kWalkLength = std::chrono::minutes(5);

}  // namespace

TEST_GROUP(Authority){};

TEST(Authority, NeverTwoOwnersInTheRandomWalk) {
  int acting = 0;
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    ZoneSimulation simulation(seed, 2 + static_cast<int>(seed % 3),
                              AuthorityTimes());
    const int violations = simulation.Run(kWalkLength, &acting);
    LONGS_EQUAL_TEXT(0, violations, ("seed " + std::to_string(seed)).c_str());
  }
  CHECK(acting > 100'000);  // Never acting would be trivially safe.
}

TEST(Authority, RandomWalkDetectsTakeoverWithoutWait) {
  int acting = 0;
  int violations = 0;
  AuthorityTimes no_wait;
  // Removes the wait of a new owner after the eviction of the former one.
  no_wait.action = milliseconds(-2500);
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    ZoneSimulation simulation(seed, 2, no_wait);
    violations += simulation.Run(kWalkLength, &acting);
  }
  CHECK(violations > 0);
}

TEST(Authority, SinglePlacerLosesAuthorityWithoutTheLog) {
  ControlState state;
  ApplyRecord(&state, 0, ChangeRecord("c", "op", {{"fleet/fleet", 0, kFleet}}));
  const Member self{InstanceId("e0"), 1, ZoneId("z"), "x", 0};
  ApplyRecord(&state, 1, JoinRecord("j", self));
  const Time start(milliseconds(5000));
  Authority authority(self, AuthorityTimes(), start);
  authority.OnState(state, start);
  authority.OnTailRead(start);
  CHECK(authority.MayAct(kShard, start + milliseconds(1900)));
  CHECK(!authority.MayAct(kShard, start + milliseconds(2100)));
}

TEST(Authority, NoEvictionLeasesKeepAuthorityInLogOutage) {
  ControlState state;
  ApplyRecord(&state, 0, ChangeRecord("c", "op", {{"fleet/fleet", 0, kFleet}}));
  const Member e0{InstanceId("e0"), 1, ZoneId("z"), "x", 0};
  const Member e1{InstanceId("e1"), 1, ZoneId("z"), "y", 0};
  ApplyRecord(&state, 1, JoinRecord("j0", e0));
  ApplyRecord(&state, 2, JoinRecord("j1", e1));
  const Time now(milliseconds(60'000));
  Authority owner(e0, AuthorityTimes(), Time(milliseconds(1000)));
  Authority peer(e1, AuthorityTimes(), Time(milliseconds(1000)));
  owner.OnState(state, now);
  peer.OnState(state, now);
  CHECK(!owner.MayAct(kShard, now));
  const Duration lease =
      peer.GrantNoEvictionLease(e0.id, owner.membership_epoch(), now);
  owner.OnNoEvictionLease(e1.id, peer.membership_epoch(), lease, now);
  CHECK(owner.MayAct(kShard, now + milliseconds(1400)));
  CHECK(!owner.MayAct(kShard, now + milliseconds(1600)));
  // A member that granted a lease does not evict the peer before the lease
  // expires, however long the peer is silent.
  peer.OnPeerMessage(e0.id, state.membership_epoch, now - milliseconds(10'000));
  peer.OnTailRead(now + milliseconds(1000));
  CHECK(!peer.FindMemberToEvict(now + milliseconds(1400), nullptr, nullptr)
             .has_value());
  CHECK(peer.FindMemberToEvict(now + milliseconds(1600), nullptr, nullptr)
            .has_value());
}

}  // namespace bw::test
