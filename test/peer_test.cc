// Which members a process talks to, and which it takes for silent.
#include <CppUTest/TestHarness.h>

#include "../src/peer_base.h"
#include "../src/peer_func.h"

namespace bw::test {
namespace {

Member MemberOf(const char* id, const char* zone) {
  Member out;
  out.id = InstanceId(id);
  out.zone = ZoneId(zone);
  return out;
}

}  // namespace

TEST_GROUP(Peer){};

/// A member that was asked before it listened, and not since, as the owner of a
/// shard is asked first; then the owner dies.
TEST(Peer, SilenceFoundLongAgoHidesNobodyWhenTheOwnerDies) {
  ControlState state;
  const Member owner = MemberOf("e0", "a");
  const Member other = MemberOf("e1", "a");
  state.members = {{owner.id, owner}, {other.id, other}};
  PeerHealth health;
  const Time start(milliseconds(100'000));
  health.OnAsked(other.id, start);
  ShardOwner shard;
  shard.owner = owner.id;
  state.shards = {shard};
  const InstanceId self("e3");
  const Time death = start + kFarHeartbeatEvery;
  constexpr milliseconds kBound{5000};  // docs/DESIGN.md, "Cut or outage".
  for (Time now = death; now <= death + kBound; now += kFarHeartbeatEvery) {
    const auto peers = PickPeers(state, self, ZoneId("b"), health.Silent(now));
    LONGS_EQUAL(1, peers.size());
    if (peers[0].id == other.id) {
      return;  // The zone is heard.
    }
    health.OnAsked(peers[0].id, now);
  }
  FAIL("the zone was not heard");
}

}  // namespace bw::test
