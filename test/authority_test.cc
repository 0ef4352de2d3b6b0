// Who may act: a seeded random walk through reordering, losses, freezes,
// crashes and outages looks for a moment of two owners.
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

/// One placer of the zone, with the parts of its surroundings that matter.
struct Node {
  std::string name;
  std::unique_ptr<Authority> authority;
  ControlState state;
  uint64_t incarnation = 0;
  bool alive = false;
  bool log_cut = false;
  Time frozen_until = kNever;
  Time last_run = kNever;
  Time join_sent = kNever;
  Time last_acted = kNever;
};

/// The zone, its log and its links, driven by one seed.
class World {
 public:
  World(uint32_t seed, int nodes, AuthorityTimes times)
      : random_(seed), times_(times) {
    log_.push_back(ChangeRecord("c", "op", {{"fleet/fleet", 0, kFleet}}));
    for (int n = 0; n < nodes; ++n) {
      nodes_.push_back({});
      nodes_.back().name = "e" + std::to_string(n);
      Boot(&nodes_.back());
    }
  }

  /// @return The number of moments at which a second placer could act.
  int Run(Duration length, int* acting) {
    const Time end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      Deliver();
      Disturb();
      for (auto& it : nodes_) {
        Step(&it);
      }
      Check(acting);
    }
    return violations_;
  }

 private:
  bool Chance(uint32_t one_in) { return random_() % one_in == 0; }

  void Boot(Node* node) {
    node->alive = true;
    node->state = ControlState();
    node->incarnation = ++last_incarnation_;
    node->frozen_until = kNever;
    node->last_run = now_;
    node->join_sent = kNever;
    const Member self{InstanceId(node->name), node->incarnation, ZoneId("z"),
                      "x", 0};
    node->authority = std::make_unique<Authority>(self, times_, now_);
  }

  bool Runs(const Node& node) const {
    return node.alive && now_ >= node.frozen_until;
  }

  void Later(std::function<void()> step) {
    Duration delay = milliseconds(random_() % 40);
    if (Chance(50)) {
      delay = milliseconds(random_() % 4000);  // Held and released.
    }
    mail_.emplace(now_ + delay, std::move(step));
  }

  void Deliver() {
    while (!mail_.empty() && mail_.begin()->first <= now_) {
      auto step = std::move(mail_.begin()->second);
      mail_.erase(mail_.begin());
      step();
    }
  }

  void Disturb() {
    if (Chance(400)) {
      log_down_until_ = now_ + milliseconds(random_() % 8000);
    }
    Node& node = nodes_[random_() % nodes_.size()];
    if (Chance(300)) {
      node.frozen_until = now_ + milliseconds(random_() % 9000);
    }
    if (Chance(200)) {
      node.log_cut = !node.log_cut;
    }
    if (Chance(500)) {
      node.alive = false;
    } else if (!node.alive && Chance(60)) {
      Boot(&node);
    }
    if (Chance(250)) {
      cut_[{random_() % nodes_.size(), random_() % nodes_.size()}] =
          now_ + milliseconds(random_() % 6000);
    }
  }

  void Append(Node* node, const std::string& record) {
    if (LogReadable(*node)) {
      Later([this, record] { log_.push_back(record); });
    }
  }

  bool LogReadable(const Node& node) const {
    return !node.log_cut && now_ >= log_down_until_;
  }

  void Step(Node* node) {
    if (!Runs(*node)) {
      return;
    }
    if (now_ - node->last_run > milliseconds(400)) {
      node->authority->OnClockGap(now_);
    }
    node->last_run = now_;
    if (LogReadable(*node) && Chance(8)) {
      AskLog(node);
    }
    if (Chance(15)) {
      Heartbeat(node);
    }
    const bool may_join = node->state.version > 0 &&
                          !node->authority->IsMember() &&
                          now_ - node->join_sent > milliseconds(1000);
    if (may_join) {
      node->join_sent = now_;
      Append(node, JoinRecord(RandomId(), node->authority->self()));
    }
    if (auto dead = node->authority->FindDead(now_, nullptr, nullptr)) {
      node->authority->BeginEvict(dead->id);
      Append(node, EvictRecord(RandomId(), *dead, node->authority->self()));
    }
  }

  std::string RandomId() { return "id" + std::to_string(++last_id_); }

  /// The answer may come late, or after a freeze.
  void AskLog(Node* node) {
    const Time asked = now_;
    const uint64_t incarnation = node->incarnation;
    Later([this, node, asked, incarnation] {
      const auto records = log_;  // As the log was when it answered.
      ToNode(node, incarnation, [this, node, asked, records] {
        while (node->state.version < records.size()) {
          const Offset n = node->state.version;
          ApplyRecord(&node->state, n, records[n]);
        }
        node->authority->OnState(node->state, now_);
        node->authority->OnTailRead(asked);
      });
    });
  }

  /// Handles a message once the node runs; lost if it was restarted.
  void ToNode(Node* node, uint64_t incarnation, std::function<void()> step) {
    if (!node->alive || node->incarnation != incarnation) {
      return;
    }
    if (now_ < node->frozen_until) {
      // A gap is noticed before anything queued is handled.
      mail_.emplace(
          node->frozen_until + kStep * 2,
          [this, node, incarnation, step] { ToNode(node, incarnation, step); });
      return;
    }
    if (now_ - node->last_run > milliseconds(400)) {
      node->authority->OnClockGap(now_);
      node->last_run = now_;
    }
    step();
  }

  void Heartbeat(Node* node) {
    const Time asked = now_;
    const size_t from = static_cast<size_t>(node - nodes_.data());
    for (size_t to = 0; to < nodes_.size(); ++to) {
      Node* peer = &nodes_[to];
      if (peer == node || now_ < cut_[{from, to}] || now_ < cut_[{to, from}]) {
        continue;
      }
      const InstanceId me(node->name);
      const Offset view = node->authority->view();
      const uint64_t incarnation = node->incarnation;
      Later([=, this] {
        ToNode(peer, peer->incarnation, [=, this] {
          peer->authority->OnHeard(me, view, now_);
          const Duration promise = peer->authority->PromiseTo(me, view, now_);
          const Offset peer_view = peer->authority->view();
          Later([=, this] {
            ToNode(node, incarnation, [=, this] {
              const InstanceId them(peer->name);
              node->authority->OnHeard(them, peer_view, now_);
              node->authority->OnPromise(them, peer_view, promise, asked);
            });
          });
        });
      });
    }
  }

  /// Frozen placers count: a send may be just behind its check. What was sent
  /// stays valid for the length of an action.
  void Check(int* acting) {
    for (auto& it : nodes_) {
      if (!it.alive || !it.authority->MayAct(kShard, now_)) {
        continue;
      }
      ++*acting;
      for (const auto& other : nodes_) {
        if (&other != &it && other.last_acted != kNever &&
            now_ < other.last_acted + kAction - kStep * 2) {
          ++violations_;
        }
      }
      it.last_acted = now_;
    }
  }

  std::mt19937 random_;
  const AuthorityTimes times_;
  std::vector<std::string> log_;
  std::vector<Node> nodes_;
  std::multimap<Time, std::function<void()>> mail_;
  std::map<std::pair<size_t, size_t>, Time> cut_;
  Time now_{milliseconds(1000)};
  Time log_down_until_ = kNever;
  uint64_t last_incarnation_ = 0;
  uint64_t last_id_ = 0;
  int violations_ = 0;
};

constexpr Duration kWalk = std::chrono::minutes(5);

}  // namespace

TEST_GROUP(Authority){};

TEST(Authority, NeverTwoOwnersInTheRandomWalk) {
  int acting = 0;
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    World world(seed, 2 + static_cast<int>(seed % 3), AuthorityTimes());
    const int violations = world.Run(kWalk, &acting);
    LONGS_EQUAL_TEXT(0, violations, ("seed " + std::to_string(seed)).c_str());
  }
  CHECK(acting > 100'000);  // The walk is not safe by never acting.
}

TEST(Authority, TheWalkFindsATakeOverThatDoesNotWait) {
  int acting = 0;
  int violations = 0;
  AuthorityTimes hasty;
  hasty.action = milliseconds(-2500);  // Takes the wait away.
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    World world(seed, 2, hasty);
    violations += world.Run(kWalk, &acting);
  }
  CHECK(violations > 0);
}

TEST(Authority, AloneWithoutTheLogNothingIsActedOn) {
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

TEST(Authority, PromisesCarryTheZoneThroughAnOutage) {
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
  const Duration promise = peer.PromiseTo(e0.id, owner.view(), now);
  owner.OnPromise(e1.id, peer.view(), promise, now);
  CHECK(owner.MayAct(kShard, now + milliseconds(1400)));
  CHECK(!owner.MayAct(kShard, now + milliseconds(1600)));
  // Who has promised does not evict, however silent the other is.
  peer.OnHeard(e0.id, state.view, now - milliseconds(10'000));
  peer.OnTailRead(now + milliseconds(1000));
  CHECK(!peer.FindDead(now + milliseconds(1400), nullptr, nullptr).has_value());
  CHECK(peer.FindDead(now + milliseconds(1600), nullptr, nullptr).has_value());
}

}  // namespace bw::test
