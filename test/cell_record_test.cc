// Tests of the records that the cell stores: their size, and what a new owner
// finds if only some of them are stored.
#include <CppUTest/TestHarness.h>

#include "../src/cell_base.h"
#include "../src/proto/bw.pb.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";
const char* const kOther = "00000000000000a2";

/// Ends all runs on a backend server as done.
void EndAll(FakeBackend* backend) {
  while (!backend->running.empty()) {
    const RunRef run = backend->running.begin()->first;
    backend->End(run, RunEnd::kDone);
  }
}

/// @return True if each further record that the progress of a job refers to is
/// stored.
bool IsProgressComplete(const std::map<std::string, std::string>& stored,
                        const std::string& job) {
  const std::string key = "p:" + job;
  proto::JobProgress head;
  if (!stored.contains(key) || !head.ParseFromString(stored.at(key))) {
    return false;
  }
  std::string value;
  for (uint32_t n = 1; n <= head.continued_in(); ++n) {
    const std::string part = key + "/" + std::to_string(head.continued_set()) +
                             "/" + std::to_string(n);
    if (!stored.contains(part)) {
      return false;
    }
    value += stored.at(part);
  }
  return head.continued_in() == 0 || head.ParseFromString(value);
}

}  // namespace

TEST_GROUP(CellRecord){};

// An entry of another writer had a label of 150,000 bytes. The record made of
// it was larger than the store's, and all later records waited behind it.
TEST(CellRecord, EntriesOfOtherWritersMakeNoRecords) {
  CellHarness it(1);
  BackendEntry odd = it.backends.at(BackendId("b0")).entry;
  odd.id = BackendId("odd");
  odd.service = "another";
  odd.labels = {"another", std::string(150'000, 'x')};
  odd.rack = odd.labels.back();
  it.cell->SetBackend(odd, it.now);
  odd.id = BackendId("silent");
  odd.service = "s";
  it.cell->SetBackend(odd, it.now);
  it.port.polls.clear();
  it.cell->Tick(it.now, it.wall_ms);
  CHECK_EQUAL(1U, it.port.polls.size());  // Of the one that may run tasks.
  CHECK(it.port.polls[0].backend == odd.id);
  it.cell->OnPollResponse(odd.id, {}, it.now, it.now);
  it.port.StorePending();
  CHECK(!it.port.stored.contains("b:odd"));
  CHECK(!it.port.stored.contains("b:silent"));
}

// As above; the server is one to use, so its record is stored, but without what
// has no bound.
TEST(CellRecord, LabelsOfAnyLengthFitIntoTheStore) {
  CellHarness it(1);
  FakeBackend& backend = it.backends.at(BackendId("b0"));
  backend.Restart();
  const std::string label(300'000, 'x');
  backend.entry.labels = {"a", label};
  backend.entry.rack = label;
  it.cell->SetBackend(backend.entry, it.now);
  it.Submit(kJob, CellHarness::Tasks(1, 1000, R"(,"requires":"a")"));
  it.Advance(200);
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, 0}));
  CHECK(it.port.largest_record <= it.max_record_bytes);
}

// A queue's service is configured after its servers have registered.
TEST(CellRecord, ServersOfANewServiceAreUsed) {
  CellHarness it(1);
  it.AddBackend(1);
  FakeBackend& added = it.backends.at(BackendId("b1"));
  added.entry.service = "later";
  it.cell->SetBackend(added.entry, it.now);
  it.Advance(200);
  CHECK(!it.port.stored.contains("b:b1"));
  CellQueue queue = it.config->queues[0];
  queue.name = QueueId("q2");
  queue.service = "later";
  it.config->queues.push_back(queue);
  it.cell->SetConfig(it.config);
  it.Advance(200);
  it.Submit(kJob, CellHarness::Tasks(1, 1000), "q2");
  it.Advance(100);
  CHECK_EQUAL(1U, added.running.size());
}

// The records of a job may take several calls, between which the owner may die.
// Its successor must find the former progress or the new one, not a mixture.
TEST(CellRecord, ProgressIsCompleteAfterEachRecord) {
  constexpr int kManyTasks = 250;
  CellHarness it(8);
  it.max_record_bytes = 1024;
  it.StartOwner(2);
  it.Submit(kJob, CellHarness::Tasks(kManyTasks, 200));
  it.Advance(200);
  CHECK(it.port.stored.size() > 10);  // Its progress takes several.
  auto stored = it.port.stored;
  it.port.log.clear();
  for (auto& backend : it.backends) {
    const RunRef run = backend.second.running.begin()->first;
    backend.second.End(run, RunEnd::kDone);
    it.Advance(100);
  }
  CHECK(it.port.log.size() > 30);
  for (const auto& record : it.port.log) {
    if (record.value.empty()) {
      stored.erase(record.key);
    } else {
      stored[record.key] = record.value;
    }
    CHECK(IsProgressComplete(stored, kJob));
  }
}

// The owner dies after it has stored some of the further records of a progress.
// They are of no use to anybody and must not stay in the store for good.
TEST(CellRecord, LeftoverRecordsAreRemoved) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.port.stored["p:" + std::string(kJob) + "/17/1"] = "x";
  it.StartOwner(2);
  it.Advance(100);
  for (const auto& record : it.port.stored) {
    CHECK(record.first.find('/') == std::string::npos);
  }
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, 0}));
}

// As above, between the records of an end: the job has ended.
TEST(CellRecord, JobWhoseSubmissionIsStillStoredHasEnded) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  const std::string submission = it.port.stored.at("s:" + std::string(kJob));
  EndAll(&it.backends.at(BackendId("b0")));
  it.Advance(400);
  it.port.stored["s:" + std::string(kJob)] = submission;
  it.StartOwner(2);
  it.Advance(400);
  STRCMP_EQUAL("completed", it.State(kJob).c_str());
  CHECK_EQUAL(1U, it.start_log.size());
  CHECK(!it.port.stored.contains("s:" + std::string(kJob)));
}

// The store refuses the progress of one job for good: nothing of it starts, and
// other jobs go on.
TEST(CellRecord, RefusedProgressHoldsUpItsJobAlone) {
  CellHarness it(1);
  it.port.refused_keys.insert("p:" + std::string(kJob));
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.Submit(kOther, CellHarness::Tasks(1, 1000));
  it.Advance(3000);
  CHECK_EQUAL(0, it.Running({JobId(kJob), 0, 0, 0}));
  CHECK_EQUAL(1, it.Running({JobId(kOther), 0, 0, 0}));
  it.port.refused_keys.clear();
  it.Advance(3000);
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, 0}));
}

// As above. What the refused progress covers must not be forgotten by the
// backend server, or the next owner would run it again.
TEST(CellRecord, EndWhoseRecordIsRefusedIsNotAcknowledged) {
  CellHarness it(1);
  it.Submit(kJob, R"({"spec":"x","steps":[{"cpu":1000,"estimateMs":500},)"
                  R"({"cpu":1000,"estimateMs":500,"dependsOn":[0]}]})");
  FakeBackend& backend = it.backends.at(BackendId("b0"));
  it.port.refused_keys.insert("p:" + std::string(kJob));
  EndAll(&backend);
  it.Advance(2000);
  CHECK_EQUAL(1U, backend.ended.size());
  CHECK_EQUAL(0, it.Running({JobId(kJob), 0, 1, 0}));
  it.port.refused_keys.clear();
  it.Advance(3000);
  CHECK_EQUAL(0U, backend.ended.size());
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 1, 0}));
}

TEST(CellRecord, JobWhoseRecordIsRefusedIsNotAccepted) {
  CellHarness it(1);
  it.port.refused_keys.insert("s:" + std::string(kJob));
  const auto outcome = it.Submit(kJob, CellHarness::Tasks(1, 1000));
  CHECK(outcome && outcome->status == CellStatus::kStoreUnavailable);
  it.Advance(500);
  CHECK(it.start_log.empty());
  CHECK(it.cell->State(JobId(kJob), TeamId("t0")).status ==
        CellStatus::kUnknownJob);
}

TEST(CellRecord, RefusedEndIsStoredOnceTheStoreAcceptsIt) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.port.refused_keys.insert("p:" + std::string(kJob));
  it.cell->Cancel(JobId(kJob), TeamId("t0"), it.now, [](const CellOutcome&) {});
  it.Advance(500);
  STRCMP_EQUAL("running", it.State(kJob).c_str());
  CHECK_EQUAL(0, it.Running({JobId(kJob), 0, 0, 0}));
  it.port.refused_keys.clear();
  it.Advance(2000);
  STRCMP_EQUAL("cancelled", it.State(kJob).c_str());
}

// While records wait, changes are collected, as each progress is stored whole.
TEST(CellRecord, ChangesAreStoredTogetherWhileOthersWait) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(8, 1000));
  it.port.log.clear();
  it.port.store_backlog = true;
  FakeBackend& backend = it.backends.at(BackendId("b0"));
  for (int n = 0; n < 3; ++n) {
    backend.End(backend.running.begin()->first, RunEnd::kDone);
    it.Advance(200);
  }
  CHECK(it.port.log.empty());
  CHECK_EQUAL(3U, backend.ended.size());
  it.port.store_backlog = false;
  it.Advance(200);
  CHECK_EQUAL(1U, it.port.log.size());
  CHECK_EQUAL(0U, backend.ended.size());
}

}  // namespace bw::test
