// Selection of the peers of a process and detection of unresponsive ones.
#include <CppUTest/TestHarness.h>

#include "../src/peer_base.h"
#include "../src/peer_func.h"

namespace bw::test {
namespace {

Member MakeMember(const char* id, const char* zone) {
  Member out;
  out.id = InstanceId(id);
  out.zone = ZoneId(zone);
  return out;
}

}  // namespace

TEST_GROUP(Peer){};

// A member got a request before it accepted connections and none since, because
// the owner of a shard is preferred. It must be retried after the owner dies,
// so that the zone does not count as unreachable.
TEST(Peer, OutdatedSilenceDoesNotHideMemberWhenTheOwnerDies) {
  ControlState state;
  const Member owner = MakeMember("e0", "a");
  const Member other = MakeMember("e1", "a");
  state.members = {{owner.id, owner}, {other.id, other}};
  PeerHealth health;
  const Time start(milliseconds(100'000));
  health.OnRequestSent(other.id, start);
  ShardOwner shard;
  shard.owner = owner.id;
  state.shards = {shard};
  const InstanceId self("e3");
  const Time death = start + kCrossZoneHeartbeatInterval;
  constexpr milliseconds kBound{5000};  // docs/DESIGN.md, "Cut or outage".
  for (Time now = death; now <= death + kBound;
       now += kCrossZoneHeartbeatInterval) {
    const auto peers =
        PickPeers(state, self, ZoneId("b"), health.UnresponsivePeers(now));
    LONGS_EQUAL(1, peers.size());
    if (peers[0].id == other.id) {
      return;  // The zone is reachable through the other member.
    }
    health.OnRequestSent(peers[0].id, now);
  }
  FAIL("the live member of the zone was not selected in time");
}

}  // namespace bw::test
