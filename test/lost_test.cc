// Tests of orders of events after which accepted work would be lost or stand
// still: replies that come late or in another order, a change of owner or of
// the configuration in between, and calls that cross each other.
#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>

#include "../src/cell_base.h"
#include "../src/fake/memory_store.h"
#include "../src/membership_base.h"
#include "../src/relay_client_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000c1";
const char* const kOtherJob = "00000000000000c2";
constexpr const char* kGroup = "bilberrywing-cell";

/// A store whose replies to joins overtake each other, or do not assign the
/// cell for a moment.
class ReorderingStore : public fake::MemoryStore {
 public:
  void Join(const platform::GroupMember& member,
            std::function<void(platform::JoinResponse)> done) override {
    if (member.group == kGroup && withhold > 0) {
      --withhold;
      platform::JoinResponse none;
      none.status = Status::kOk;
      none.generation = groups[kGroup].generation;
      responses.push_back([done, none] { done(none); });
      return;
    }
    if (member.group != kGroup || hold == 0) {
      MemoryStore::Join(member, std::move(done));
      return;
    }
    if (--hold > 0) {
      held = std::move(done);
      return;
    }
    MemoryStore::Join(member, done);
    platform::JoinResponse old;
    old.status = Status::kOk;
    old.generation = groups[kGroup].generation;
    responses.push_back([late = std::move(held), old] { late(old); });
  }

  int withhold = 0;  ///< So many replies do not assign the cell.
  int hold = 0;      ///< 2: the next reply is overtaken by the one after it.
  std::function<void(platform::JoinResponse)> held;
};

/// One instance's membership; the store responds every 5 ms.
struct Instance {
  ReorderingStore store;
  EventLoop loop{milliseconds(5), milliseconds(5000),
                 [this] {
                   store.RespondToAll();
                   membership->Tick(BootClock::now());
                 },
                 [] {}};
  std::unique_ptr<Membership> membership;
  std::vector<uint64_t> gained;  ///< Generations; core thread.
  int losses = 0;                ///< Core thread.

  Instance() {
    MembershipOptions options;
    options.name = "a";
    options.address = "a:1";
    options.incarnation = 1;
    options.ttl = milliseconds(600);
    options.join_every = milliseconds(50);
    membership = std::make_unique<Membership>(options, &store, &loop);
    membership->Start({[this](uint64_t it) { gained.push_back(it); },
                       [this] { ++losses; }, [](const std::string&) {}});
  }
};

class NullHttp : public net::HttpClient {
 public:
  void Send(net::HttpCall, std::function<bool()>, Done) override {}
};

class RecordingMesh : public net::Mesh {
 public:
  void SendRequest(const std::string&,
                   proto::Envelope request,
                   milliseconds,
                   Done,
                   std::function<void()>) override {
    sent.push_back(std::move(request));
  }
  std::vector<proto::Envelope> sent;
};

/// One life of an owner's process, which sends calls through a relay.
struct OwnerLife {
  NullHttp http;
  RecordingMesh mesh;
  RelayClient client{&http};
  int ended = 0;

  OwnerLife() {
    client.SetMesh(&mesh);
    client.SetRelays({{ZoneId("a"), {"relay:1"}}}, "owner:1");
    proto::RelayResults clock;
    clock.set_relay("relay:1");
    clock.set_clock_us(1);
    client.OnResults(clock);
    BackendEntry to;
    to.id = BackendId("b0");
    to.zone = ZoneId("a");
    net::HttpCall call;
    call.timeout = milliseconds(1000);
    client.Send(to, call, {}, [this](const net::HttpResult&) { ++ended; });
    client.Flush();
  }
  uint64_t Number() const {
    return mesh.sent.back().relay_request().calls(0).number();
  }
};

}  // namespace

TEST_GROUP(Lost){};

// An owner is killed and starts again at the same address. A relay still sends
// it the results of its former life's calls: they were taken for those of other
// calls, so that a start that was never sent counted as confirmed.
TEST(Lost, ResultsOfAFormerLifeEndNoOtherCalls) {
  const OwnerLife former;
  OwnerLife present;
  proto::RelayResults results;
  results.add_results()->set_number(former.Number());
  present.client.OnResults(results);
  CHECK_EQUAL(0, present.ended);
  results.mutable_results(0)->set_number(present.Number());
  present.client.OnResults(results);
  CHECK_EQUAL(1, present.ended);
}

// Several joins are in flight at a time, and responses on different connections
// overtake each other. The reply to an older one says that the cell is not
// assigned yet.
TEST(Lost, OvertakenReplyToAJoinDoesNotEndTheOwnership) {
  Instance it;
  it.loop.Start();
  std::this_thread::sleep_for(milliseconds(1500));
  it.loop.Post([&it] { it.store.hold = 2; });
  std::this_thread::sleep_for(milliseconds(400));
  it.loop.Stop();
  CHECK_EQUAL(0, it.store.hold);
  CHECK_EQUAL(0, it.losses);
  CHECK_EQUAL(1U, it.gained.size());
}

// The group withdraws the cell and assigns it again without a new generation.
// The generation is the epoch of the appends: the store took the first append
// of the second ownership for a repetition of one of the first and stored
// nothing, although it replied with success.
TEST(Lost, NoGenerationIsTheEpochOfTwoOwnerships) {
  Instance it;
  it.loop.Start();
  std::this_thread::sleep_for(milliseconds(1500));
  it.loop.Post([&it] { it.store.withhold = 1; });
  std::this_thread::sleep_for(milliseconds(2500));
  it.loop.Stop();
  CHECK_EQUAL(1, it.losses);
  CHECK_EQUAL(2U, it.gained.size());
  CHECK(it.gained[1] > it.gained[0]);
}

// A configuration removes the advice of a queue while a query is in flight, and
// the next one restores it. The step never queried again and stood still.
TEST(Lost, QueryThatEndsWhileItsQueueHasNoAdviceIsNotPendingForever) {
  CellHarness it(1);
  it.config->queues[0].advice = AdvicePolicy{10, 1, 2000};
  it.cell->SetConfig(it.config);
  it.Submit(kJob, CellHarness::Tasks(1, 8000));
  CHECK_EQUAL(1U, it.port.advice_queries.size());
  const auto query = it.port.advice_queries[0];
  it.config->queues[0].advice.reset();
  it.cell->SetConfig(it.config);
  platform::AdviceResponse response;
  response.answered = true;
  response.recommended.push_back({query.backends[0], "ticket"});
  it.cell->OnAdviceResponse(query.step, query.backends, response, it.now);
  it.config->queues[0].advice = AdvicePolicy{10, 1, 2000};
  it.cell->SetConfig(it.config);
  it.port.on_advice_query = [&it](const FakeCellPort::AdviceQuery& of) {
    platform::AdviceResponse out;
    out.answered = true;
    for (const auto& id : of.backends) {
      out.recommended.push_back({id, "ticket"});
    }
    it.cell->OnAdviceResponse(of.step, of.backends, out, it.now);
  };
  it.Advance(3000);
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, 0}));
}

// A new owner cancels a job before it has read the lists of the backend servers
// that may run its tasks. Their resources counted against the account's maximum
// for as long as the owner lived, and its other jobs stood still.
TEST(Lost, CancelledJobOfAFormerOwnerFreesItsAccountsQuota) {
  CellHarness it(2);
  it.config->accounts[0].maximum = {16'000, 0, 0};
  it.cell->SetConfig(it.config);
  it.Submit(kJob, CellHarness::Tasks(2, 8000));
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, 1}));
  for (auto& backend : it.backends) {
    backend.second.reachable = false;
  }
  it.StartOwner(2);
  it.cell->Cancel(JobId(kJob), TeamId("t0"), it.now, [](const auto&) {});
  it.Advance(100);
  STRCMP_EQUAL("cancelled", it.State(kJob).c_str());
  it.Submit(kOtherJob, CellHarness::Tasks(2, 8000));
  it.Advance(200);
  CHECK_EQUAL(0U, it.start_log.size() - 2);  // They may still run.
  for (auto& backend : it.backends) {
    backend.second.reachable = true;
  }
  it.Advance(3000);
  CHECK_EQUAL(1, it.Running({JobId(kOtherJob), 0, 0, 0}));
  CHECK_EQUAL(1, it.Running({JobId(kOtherJob), 0, 0, 1}));
}

// Tasks that fill occupy no processor time of their own. When their job was
// cancelled, the end of their runs freed the room of other tasks.
TEST(Lost, CancelledFillingTasksFreeNoRoomOfOthers) {
  CellHarness it(1);
  it.Submit(kJob, CellHarness::Tasks(1, 8000));
  it.Submit(kOtherJob, CellHarness::Tasks(1, 8000, R"(,"fills":true)"));
  CHECK_EQUAL(1, it.Running({JobId(kOtherJob), 0, 0, 0}));
  it.cell->Cancel(JobId(kOtherJob), TeamId("t0"), it.now, [](const auto&) {});
  it.port.StorePending();  // Before the run has ended.
  it.Advance(500);
  CHECK_EQUAL(0, it.Running({JobId(kOtherJob), 0, 0, 0}));
  CHECK_EQUAL(0U, it.cell->Count().free_millicores);
}

// The caller cancels a job whose record was not sent yet, as the store is away.
// The job was refused, but its end was stored, and ended the job when the
// caller handed it in again.
TEST(Lost, RefusedJobThatWasCancelledMayBeHandedInAgain) {
  CellHarness it(1);
  it.store_enabled = false;
  std::vector<CellOutcome> submits;
  std::vector<CellOutcome> cancels;
  const auto submit = [&] {
    it.cell->Submit(JobId(kJob), TeamId("t0"), QueueId("q"),
                    CellHarness::Tasks(1, 1000), it.now,
                    [&](const CellOutcome& of) { submits.push_back(of); });
  };
  submit();
  it.cell->Cancel(JobId(kJob), TeamId("t0"), it.now,
                  [&](const CellOutcome& of) { cancels.push_back(of); });
  it.port.store_available = false;
  it.Advance(1200);
  it.port.store_available = true;
  const bool refused =
      !submits.empty() && submits[0].status == CellStatus::kStoreUnavailable;
  submit();
  it.store_enabled = true;
  it.Advance(1000);
  CHECK_EQUAL(2U, submits.size());
  CHECK_EQUAL(1U, cancels.size());
  // Refused as a whole, or accepted and cancelled.
  STRCMP_EQUAL(refused ? "running" : "cancelled", it.State(kJob).c_str());
  const std::string before = it.State(kJob);
  it.StartOwner(2);
  it.Advance(200);
  STRCMP_EQUAL(before.c_str(), it.State(kJob).c_str());
}

// The first entry of a backend server does not tell its life; its first report
// does, while its record is being stored. It was never used.
TEST(Lost, ServerWhoseLifeBecomesKnownWhileItsRecordIsStoredIsUsed) {
  CellHarness it(1);
  FakeBackend added = it.backends.begin()->second;
  it.backends.clear();
  it.port.stored.clear();
  it.StartOwner(2);
  added.entry.id = BackendId("b9");
  BackendEntry undated = added.entry;
  undated.incarnation = 0;
  it.backends[added.entry.id] = added;
  it.store_enabled = false;
  it.cell->SetBackend(undated, it.now);
  it.Advance(40);
  it.store_enabled = true;
  it.Submit(kJob, CellHarness::Tasks(1, 1000));
  it.Advance(1000);
  CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, 0}));
}

// A new owner finds one member of a gang running, and the ends of the others.
// The owner never stopped that member, and the gang waited for as long as its
// run lasted. Which server reports first must not matter.
TEST(Lost, GangOfWhichAFormerOwnersRunsEndedStartsAgain) {
  for (uint32_t kept = 0; kept < 3; ++kept) {
    CellHarness it(3);
    it.Submit(kJob, CellHarness::Tasks(3, 8000, R"(,"gang":true)"));
    const TaskRef member{JobId(kJob), 0, 0, kept};
    CHECK_EQUAL(1, it.Running(member));
    for (auto& backend : it.backends) {
      const RunRef run = backend.second.running.begin()->first;
      if (run.task != member) {
        backend.second.End(run, RunEnd::kLapsed);
      }
    }
    it.StartOwner(2);
    it.Advance(3000);
    CHECK_EQUAL(6U, it.start_log.size());
    for (uint32_t n = 0; n < 3; ++n) {
      CHECK_EQUAL(1, it.Running({JobId(kJob), 0, 0, n}));
    }
  }
}

}  // namespace bw::test
