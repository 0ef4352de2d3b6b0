// Units of a team on one shard, and how many of them may be transferred.
#include "../src/usage_base.h"

#include <CppUTest/TestHarness.h>

namespace bw::test {

TEST_GROUP(Usage){};

TEST(Usage, ShardThatUsedItsEvenPartLatelyKeepsIt) {
  ControlState state;
  const TeamId team("t");
  state.shards.resize(2);
  state.accounts[team].upper_limit = 10;
  state.allowances[team] = {8, 2};
  TeamUsage usage(ShardId{0});
  const Time now(milliseconds(50'000));
  LONGS_EQUAL(8, usage.Transferable(state, team));
  usage.Add(team, 6);
  usage.UpdatePeaks(now);
  usage.Remove(team, 6);
  usage.UpdatePeaks(now + milliseconds(1000));
  LONGS_EQUAL(3, usage.Transferable(state, team));  // Its even share is five.
  usage.ReserveTransfer("m", team, 3);
  LONGS_EQUAL(0, usage.Transferable(state, team));
  LONGS_EQUAL(5, usage.AvailableUnits(state, team));
  usage.EndTransfer("m");
  usage.UpdatePeaks(now + milliseconds(7000));
  LONGS_EQUAL(8, usage.Transferable(state, team));
}

}  // namespace bw::test
