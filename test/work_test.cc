// Records of the jobs stream: serialization, replay and snapshots.
#include "../src/work_func.h"

#include <CppUTest/TestHarness.h>

namespace bw::test {
namespace {

JobEvent Accepted(const std::string& id) {
  JobEvent out;
  out.kind = JobRecordKind::kAccepted;
  out.id = "r-" + id;
  out.job = JobId(id);
  out.spec.id = out.job;
  out.spec.origin = {TeamId("t"), QueueId("q"), "hash", "key-" + id};
  out.spec.tasks = 3;
  out.spec.need = {1500, 10, 0};
  return out;
}

}  // namespace

TEST_GROUP(Work){};

TEST(Work, EventsComeBackAsWritten) {
  const JobEvent event = Accepted("j0.1");
  CHECK(ReadJobEvent(WriteJobEvent(event)) == event);
  CHECK(!ReadJobEvent("junk").has_value());
  CHECK(!ReadJobEvent(R"({"id":"x","kind":"dance","shard":0})").has_value());
  LONGS_EQUAL(2, event.spec.UnitsPerTask());
}

TEST(Work, SnapshotEqualsReplayedState) {
  JobsState state;
  ApplyJobRecord(&state, 0, WriteJobEvent(Accepted("j0.1")));
  JobEvent done;
  done.kind = JobRecordKind::kDone;
  done.id = "d";
  done.job = JobId("j0.1");
  done.task = 2;
  ApplyJobRecord(&state, 1, WriteJobEvent(done));
  ApplyJobRecord(&state, 2, WriteJobEvent(done));
  ApplyJobRecord(&state, 3, "junk");
  LONGS_EQUAL(1, state.jobs.at(JobId("j0.1")).done.size());
  CHECK(ReadJobsSnapshot(WriteJobsSnapshot("s", state)) == state);
}

}  // namespace bw::test
