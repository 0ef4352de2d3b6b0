// Choice of a worker for a task.
#include "../src/place_func.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace bw::test {
namespace {

WorkerCandidate Room(uint64_t free, uint32_t rack) {
  WorkerCandidate out;
  out.total = {8000, 8000, 0};
  out.free = {free, 8000, 0};
  out.rack = rack;
  return out;
}

}  // namespace

TEST_GROUP(Place){};

TEST(Place, NoRoomMeansNoWorker) {
  const std::vector<WorkerCandidate> rooms = {Room(500, 0), Room(900, 1)};
  CHECK(!PickWorker(rooms, {1000, 0, 0}, *FindStrategy("best_fit")));
  auto unusable = rooms;
  unusable[1].usable = false;
  CHECK(!PickWorker(unusable, {600, 0, 0}, *FindStrategy("spread")));
}

TEST(Place, BestFitFillsAndSpreadSpreads) {
  std::vector<WorkerCandidate> rooms = {Room(8000, 0), Room(2000, 0),
                                        Room(6000, 1)};
  const Resources need{1000, 0, 0};
  LONGS_EQUAL(1, *PickWorker(rooms, need, *FindStrategy("best_fit")));
  LONGS_EQUAL(0, *PickWorker(rooms, need, *FindStrategy("spread")));
  rooms[0].same_rack = 1;
  LONGS_EQUAL(2, *PickWorker(rooms, need, *FindStrategy("spread")));
  LONGS_EQUAL(0, *PickWorker(rooms, need, *FindStrategy("first_fit")));
  POINTERS_EQUAL(nullptr, FindStrategy("nothing"));
}

}  // namespace bw::test
