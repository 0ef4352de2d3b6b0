// Tests of the store's users: ownership terms of Membership, fenced appends of
// RecordLog, and configuration updates of ConfigWatch.
#include "../src/platform/store.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>

#include "../src/config_watch_base.h"
#include "../src/fake/memory_store.h"
#include "../src/membership_base.h"
#include "../src/platform/configuration.h"
#include "../src/record_log_base.h"

namespace bw::test {
namespace {

constexpr const char* kGroup = "bilberrywing-cell";

/// The membership of one instance, with its own core thread. The store responds
/// only during RunFor().
class Member {
 public:
  Member(fake::MemoryStore* store,
         const std::string& name,
         uint32_t millicores = 0)
      : store_(store),
        loop_(
            milliseconds(5),
            milliseconds(5000),
            [this] {
              if (running) {
                membership->Tick(BootClock::now());
              }
              if (hand_over) {
                membership->HandOverToLarger(BootClock::now());
              }
            },
            [] {}) {
    MembershipOptions options;
    options.name = name;
    options.address = name + ":1";
    options.incarnation = 1;
    options.millicores = millicores;
    options.ttl = milliseconds(600);
    options.join_every = milliseconds(50);
    membership = std::make_unique<Membership>(options, store, &loop_);
    membership->Start({[this](uint64_t it) { gained = it; },
                       [this] { ++losses; },
                       [this](const std::string& to) { offered_to = to; }});
  }

  /// Runs for `ms` milliseconds, while the store responds every 5 ms.
  void RunFor(int ms) {
    if (!started_) {
      started_ = true;
      loop_.Start();
    }
    for (int n = 0; n < ms / 5; ++n) {
      std::this_thread::sleep_for(milliseconds(5));
      loop_.Post([this] { store_->RespondToAll(); });
    }
    std::this_thread::sleep_for(milliseconds(10));
  }

  void Accept() {
    loop_.Post([this] { membership->AcceptOffer(); });
  }
  void Stop() { loop_.Stop(); }

  std::unique_ptr<Membership> membership;
  std::string offered_to;  ///< Written by the core thread.
  std::atomic<uint64_t> gained{0};
  std::atomic<int> losses{0};
  std::atomic<bool> running{true};
  std::atomic<bool> hand_over{false};  ///< Nothing waits to be stored.

 private:
  fake::MemoryStore* const store_;
  EventLoop loop_;
  bool started_ = false;
};

constexpr const char* kFleet = "bilberrywing-fleet";

FleetMember Instance(const std::string& name, uint32_t millicores) {
  return {name, name + ":1", millicores, {}};
}

/// Joins the fleet as another instance does.
void JoinFleet(fake::MemoryStore* store, const FleetMember& instance) {
  store->Join({kFleet,
               MakeMemberName(instance, "1.1"),
               {FleetTopicOf(instance)},
               5000,
               0},
              [](const platform::JoinResponse&) {});
}

}  // namespace

TEST_GROUP(Membership){};

TEST(Membership, FirstInstanceGainsTheCell) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.RunFor(1200);
  CHECK(it.gained > 0);
  CHECK(it.membership->MayAct());
  STRCMP_EQUAL("a:1", it.membership->OwnerAddress().c_str());
  it.Stop();
}

// An instance starts while another one owns the cell. It must not join the
// group: a join reassigns the partition and could take the cell from its owner.
TEST(Membership, StandbyDoesNotJoinWhileThereIsAnOwner) {
  fake::MemoryStore store;
  store.groups[kGroup].members = {"b|b:1|1"};
  store.groups[kGroup].generation = 1;
  store.topics[kGroup] = {"keyed.cell"};
  Member it(&store, "a");
  it.RunFor(1200);
  CHECK_EQUAL(1U, store.groups[kGroup].members.size());
  STRCMP_EQUAL("b:1", it.membership->OwnerAddress().c_str());
  store.Expire(kGroup, "b|b:1|1");
  it.membership->RecheckOwner();
  it.RunFor(1500);
  CHECK(it.gained > 0);
  it.Stop();
}

TEST(Membership, TermEndsWithoutRenewal) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.RunFor(1200);
  CHECK(it.membership->MayAct());
  store.fault_mode = fake::MemoryStore::FaultMode::kDropCalls;
  it.RunFor(800);
  CHECK(!it.membership->MayAct());
  CHECK(it.membership->MayRenew(milliseconds(5000)));
  it.Stop();
}

// The owner's renewals fail until its term has lapsed, and the generation has
// changed since: another instance may have owned the cell in between.
TEST(Membership, LapsedTermAfterAnotherOwnerIsANewTerm) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.RunFor(1200);
  const uint64_t before = it.gained;
  store.fault_mode = fake::MemoryStore::FaultMode::kDropCalls;
  it.RunFor(800);
  store.groups[kGroup].generation += 2;
  store.fault_mode = fake::MemoryStore::FaultMode::kNone;
  it.RunFor(400);
  CHECK_EQUAL(1, it.losses);
  CHECK(it.gained > before);
  it.Stop();
}

// After a power loss all instances start at once. A second standby joins and
// leaves right after the first one has gained the cell. The owner must regain
// the cell under the new generation instead of leaving the group.
TEST(Membership, OwnerStaysWhenAnotherMemberComesAndGoes) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.RunFor(1200);
  const uint64_t before = it.gained;
  const uint64_t generation = store.groups[kGroup].generation += 2;
  it.RunFor(400);
  CHECK_EQUAL(1, it.losses);
  CHECK(it.gained > before);
  CHECK(it.membership->MayAct());
  CHECK_EQUAL(generation, store.groups[kGroup].generation);
  it.Stop();
}

// The owner's zone loses its connection to the store, another instance takes
// over, and the connection is restored.
TEST(Membership, CutOffOwnerDoesNotTakeTheCellBack) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.RunFor(1200);
  CHECK(it.membership->MayAct());
  store.fault_mode = fake::MemoryStore::FaultMode::kDropCalls;
  it.RunFor(1000);
  store.groups[kGroup].members = {"b|b:1|1"};
  store.groups[kGroup].generation += 2;
  const uint64_t generation = store.groups[kGroup].generation;
  store.fault_mode = fake::MemoryStore::FaultMode::kNone;
  it.RunFor(600);
  CHECK_EQUAL(generation, store.groups[kGroup].generation);
  STRCMP_EQUAL("b:1", it.membership->OwnerAddress().c_str());
  CHECK_EQUAL(1, it.losses);
  it.Stop();
}

// Three of four instances of a deployment have a quarter of the processor share
// of the others. One of those owned the cell and could not keep up.
TEST(Membership, LargerInstanceIsFirstToJoin) {
  fake::MemoryStore store;
  for (int n = 0; n < 22; ++n) {
    JoinFleet(&store, Instance("b" + std::to_string(n), 500));
  }
  Member small(&store, "a", 120);
  small.RunFor(900);
  CHECK_EQUAL(0U, small.gained);
  small.RunFor(900);  // None of the larger ones is alive.
  CHECK(small.gained > 0);
  small.Stop();
  store.groups[kGroup].members.clear();
  Member large(&store, "a", 1000);
  large.RunFor(150);
  CHECK(large.gained > 0);
  large.Stop();
}

// At a cold start a small instance may own the cell before a larger one runs.
TEST(Membership, CellIsHandedOverToAMuchLargerInstance) {
  fake::MemoryStore store;
  Member small(&store, "a", 120);
  small.RunFor(1200);
  CHECK(small.membership->MayAct());
  JoinFleet(&store, Instance("b", 500));
  small.hand_over = true;
  for (int n = 0; n < 500 && small.losses == 0; ++n) {
    small.RunFor(20);
  }
  small.RunFor(20);
  CHECK_EQUAL(1, small.losses);
  STRCMP_EQUAL("b:1", small.offered_to.c_str());
  CHECK(!small.membership->MayAct());
  small.Stop();
}

TEST(Membership, CellIsNotHandedOverToASlightlyLargerInstance) {
  fake::MemoryStore store;
  Member small(&store, "a", 300);
  small.RunFor(1200);
  JoinFleet(&store, Instance("b", 500));
  small.hand_over = true;
  small.RunFor(8500);
  CHECK_EQUAL(0, small.losses);
  small.Stop();
}

TEST(Membership, OfferedCellIsTakenUnlessItHasAnOwner) {
  fake::MemoryStore store;
  store.groups[kGroup].members = {"b|b:1|1"};
  store.groups[kGroup].generation = 1;
  store.topics[kGroup] = {"keyed.cell"};
  Member it(&store, "a", 500);
  it.RunFor(300);
  it.Accept();
  it.RunFor(100);
  CHECK_EQUAL(0U, it.gained);
  CHECK_EQUAL(1U, store.groups[kGroup].members.size());
  store.Expire(kGroup, "b|b:1|1");
  it.Accept();
  it.RunFor(60);
  CHECK(it.gained > 0);
  it.Stop();
}

// 39 instances share the work of asking the advice service, but a group lists
// only members with a partition, and a topic has 24.
TEST(Membership, KnowsMoreInstancesThanATopicHasPartitions) {
  constexpr size_t kInstances = 39;
  fake::MemoryStore store;
  for (size_t n = 1; n < kInstances; ++n) {
    JoinFleet(&store, Instance("i" + std::to_string(n), 120));
  }
  Member it(&store, "a", 500);
  it.RunFor(1200);
  CHECK(it.gained > 0);
  it.RunFor(2500);
  CHECK_EQUAL(kInstances, it.membership->Members().size());
  it.Stop();
}

// A third of 97 instances lost the store for longer than their membership
// lasts. They stayed unknown for 35 s, as the others had taken over their
// partitions and each had at most one of any topic.
TEST(Membership, InstancesThatComeBackAreKnownAgain) {
  constexpr size_t kInstances = 97;
  fake::MemoryStore store;
  const auto join = [&](size_t from) {
    for (size_t n = from; n < kInstances; ++n) {
      JoinFleet(&store, Instance("i" + std::to_string(n), 120));
    }
  };
  join(1);
  constexpr size_t kLost = 32;
  for (size_t n = 1; n <= kLost; ++n) {
    const auto lost = Instance("i" + std::to_string(n), 120);
    store.Expire(kFleet, MakeMemberName(lost, "1.1"));
  }
  join(kLost + 1);
  join(1);
  Member it(&store, "a", 500);
  it.RunFor(1200);
  it.RunFor(2500);
  CHECK_EQUAL(kInstances, it.membership->Members().size());
  it.Stop();
}

TEST_GROUP(Fleet){};

TEST(Fleet, NameOfAMemberIsReadBack) {
  const FleetMember member{"front-a-1", "10.0.0.1:7400", 500, ZoneId("a")};
  CHECK(member == *ParseMemberName(MakeMemberName(member, "17.1")));
  CHECK_EQUAL(0U, ParseMemberName("a|b:1|1")->millicores);
  CHECK(!ParseMemberName("a|b:1"));
}

TEST(Fleet, LargerInstancesRankFirstAndEqualOnesByAddress) {
  const std::vector<FleetMember> members = {
      {"a", "a:1", 120, {}}, {"b", "b:1", 500, {}}, {"c", "c:1", 500, {}}};
  CHECK_EQUAL(0U, OwnerRank(members, members[1]));
  CHECK_EQUAL(1U, OwnerRank(members, members[2]));
  CHECK_EQUAL(2U, OwnerRank(members, members[0]));
  CHECK(members[1] == *FindSuccessor(members, members[2]));
  CHECK(members[2] == *FindSuccessor(members, members[1]));
  CHECK(!FindSuccessor(std::vector{members[0]}, members[0]));
}

TEST_GROUP(RecordLog){};

namespace {

/// A record log with its own core thread; the store responds only during
/// RunFor().
struct LogFixture {
  static constexpr size_t kCallBytes = fake::MemoryStore::kMaxCallBytes;
  static constexpr size_t kRecordBytes = fake::MemoryStore::kMaxRecordBytes;

  fake::MemoryStore store;
  EventLoop loop{milliseconds(5), milliseconds(5000),
                 [this] {
                   if (log) {
                     log->Flush(BootClock::now());
                   }
                 },
                 [] {}};
  std::unique_ptr<RecordLog> log;
  std::atomic<int> fenced{0};
  std::atomic<int> done{0};

  explicit LogFixture(uint64_t epoch) {
    log = std::make_unique<RecordLog>(&store, &loop, epoch,
                                      RecordLimits{kCallBytes, kRecordBytes},
                                      [this] { ++fenced; });
  }
  void RunFor(int ms) {
    for (int n = 0; n < ms / 5; ++n) {
      std::this_thread::sleep_for(milliseconds(5));
      loop.Post([this] { store.RespondToAll(); });
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  void AppendRecord(const std::string& key) {
    loop.Post([this, key] {
      log->Append({platform::MakeKeyedRecord(key, "value")},
                  [this](bool stored) { done += stored ? 1 : 0; });
    });
  }
  /// @return The keys of all stored records, in order.
  std::string StoredKeys() {
    std::string out;
    for (const auto& it : store.log[CellPartition()]) {
      out += platform::ReadKeyedRecord(it).key;
    }
    return out;
  }
};

std::string RecordOf(const std::string& key, size_t value_bytes) {
  return platform::MakeKeyedRecord(key, std::string(value_bytes, 'x'));
}

}  // namespace

TEST(RecordLog, LostAnswerStoresNothingTwice) {
  LogFixture it(3);
  it.store.fault_mode = fake::MemoryStore::FaultMode::kDropResponses;
  it.AppendRecord("a");
  it.loop.Start();
  it.RunFor(60);
  CHECK_EQUAL(0, it.done);
  it.loop.Post(
      [&] { it.store.fault_mode = fake::MemoryStore::FaultMode::kNone; });
  it.RunFor(60);
  CHECK_EQUAL(1, it.done);
  CHECK_EQUAL(1U, it.store.log[CellPartition()].size());
  it.loop.Stop();
}

TEST(RecordLog, RefusedRecordsAreSentAgainInOrder) {
  LogFixture it(3);
  it.store.fault_mode = fake::MemoryStore::FaultMode::kRejectCalls;
  it.AppendRecord("a");
  it.AppendRecord("b");
  it.loop.Start();
  it.RunFor(100);
  it.loop.Post(
      [&] { it.store.fault_mode = fake::MemoryStore::FaultMode::kNone; });
  it.RunFor(200);
  CHECK_EQUAL(2, it.done);
  const auto& records = it.store.log[CellPartition()];
  CHECK_EQUAL(2U, records.size());
  STRCMP_EQUAL("a", platform::ReadKeyedRecord(records[0]).key.c_str());
  it.loop.Stop();
}

TEST(RecordLog, FormerOwnerStoresNothing) {
  LogFixture it(3);
  it.store.producers[{CellPartition(), kCellProducer}].epoch = 4;
  it.AppendRecord("a");
  it.loop.Start();
  it.RunFor(60);
  CHECK_EQUAL(0, it.done);
  CHECK(it.fenced > 0);
  CHECK_EQUAL(0U, it.store.log[CellPartition()].size());
  it.loop.Stop();
}

// A record that the store takes for invalid was taken for fencing: each owner
// resigned, as it read and sent the same.
TEST(RecordLog, InvalidRecordsDoNotDeposeTheOwner) {
  LogFixture it(3);
  it.loop.Post([&it] {
    const std::string value(fake::MemoryStore::kMaxRecordBytes, 'x');
    it.log->Append({platform::MakeKeyedRecord("a", value)},
                   [&it](bool stored) { it.done += stored ? 1 : 0; });
  });
  it.loop.Start();
  it.RunFor(100);
  CHECK_EQUAL(0, it.done);
  CHECK_EQUAL(0, it.fenced);
  it.loop.Stop();
}

// A record that the store takes for invalid was sent again without end, and no
// later record was ever stored.
TEST(RecordLog, RefusedRecordDoesNotHoldUpOthers) {
  LogFixture it(3);
  constexpr size_t kUnexpectedLimit = 1000;
  it.store.max_record_bytes = kUnexpectedLimit;
  std::string outcome;
  const auto append = [&](const std::string& key, size_t bytes) {
    it.loop.Post([&it, &outcome, key, bytes] {
      it.log->Append({RecordOf(key, bytes)}, [&outcome, key](bool stored) {
        outcome += key + (stored ? "+" : "-");
      });
    });
  };
  append("a", 1);
  it.loop.Start();
  it.RunFor(60);
  append("b", 1);
  append("c", kUnexpectedLimit);
  append("d", 1);
  it.RunFor(30);
  append("e", 1);  // In a call of its own, behind the refused one.
  append("f", kUnexpectedLimit);
  append("g", 1);
  it.RunFor(800);
  it.loop.Stop();
  STRCMP_EQUAL("a+b+c-d+e+f-g+", outcome.c_str());
  STRCMP_EQUAL("abdeg", it.StoredKeys().c_str());
  CHECK_EQUAL(2U, it.log->Count().refused);
  CHECK_EQUAL(0, it.fenced);
}

// What exceeds the store's limits is known before it is sent.
TEST(RecordLog, TooLargeRecordIsNotSent) {
  LogFixture it(3);
  std::string outcome;
  it.loop.Post([&] {
    it.log->Append({RecordOf("a", LogFixture::kRecordBytes)},
                   [&](bool stored) { outcome += stored ? "a+" : "a-"; });
    it.log->Append({RecordOf("b", 1)},
                   [&](bool stored) { outcome += stored ? "b+" : "b-"; });
  });
  it.loop.Start();
  it.RunFor(60);
  it.loop.Stop();
  STRCMP_EQUAL("a-b+", outcome.c_str());
  STRCMP_EQUAL("b", it.StoredKeys().c_str());
  CHECK_EQUAL(1, it.store.appends);
}

// The records of one job exceeded a call of the store, which refused them for
// good.
TEST(RecordLog, BatchBeyondOneCallTakesSeveral) {
  LogFixture it(3);
  std::string outcome;
  it.loop.Post([&] {
    std::vector<std::string> records;
    for (const char* key : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}) {
      records.push_back(RecordOf(key, LogFixture::kRecordBytes - 2));
    }
    it.log->Append(std::move(records),
                   [&](bool stored) { outcome += stored ? "1+" : "1-"; });
    it.log->Append({RecordOf("k", 1)},
                   [&](bool stored) { outcome += stored ? "2+" : "2-"; });
    CHECK(it.log->HasBacklog());
  });
  it.loop.Start();
  it.RunFor(300);
  it.loop.Stop();
  STRCMP_EQUAL("1+2+", outcome.c_str());
  STRCMP_EQUAL("abcdefghijk", it.StoredKeys().c_str());
  CHECK(!it.log->HasBacklog());
}

// Some records of a batch are refused: the later ones must not be stored, as
// the first one of them may refer to a refused one.
TEST(RecordLog, RestOfARefusedBatchIsNotStored) {
  LogFixture it(3);
  it.store.max_record_bytes = LogFixture::kRecordBytes / 2;
  std::string outcome;
  it.loop.Post([&] {
    std::vector<std::string> records;
    for (const char* key : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}) {
      records.push_back(RecordOf(key, LogFixture::kRecordBytes - 2));
    }
    records.push_back(RecordOf("k", 1));
    it.log->Append(std::move(records),
                   [&](bool stored) { outcome += stored ? "1+" : "1-"; });
    it.log->Append({RecordOf("l", 1)},
                   [&](bool stored) { outcome += stored ? "2+" : "2-"; });
  });
  it.loop.Start();
  it.RunFor(300);
  it.loop.Stop();
  STRCMP_EQUAL("1-2+", outcome.c_str());
  STRCMP_EQUAL("l", it.StoredKeys().c_str());
}

// A call behind a refused one got no reply and may be executed late: its
// sequence number must not be used for other records.
TEST(RecordLog, CallInDoubtBehindARefusedOneEndsTheOwnership) {
  LogFixture it(3);
  constexpr size_t kUnexpectedLimit = 1000;
  it.AppendRecord("a");
  it.loop.Start();
  it.RunFor(60);
  it.store.max_record_bytes = kUnexpectedLimit;
  it.loop.Post([&it] {
    it.log->Append({RecordOf("b", kUnexpectedLimit)}, [](bool) {});
  });
  std::this_thread::sleep_for(milliseconds(40));
  it.loop.Post([&it] {
    it.store.fault_mode = fake::MemoryStore::FaultMode::kDropCalls;
    it.log->Append({RecordOf("c", 1)}, [](bool) {});
  });
  std::this_thread::sleep_for(milliseconds(40));
  CHECK_EQUAL(0, it.fenced);
  it.RunFor(60);
  it.loop.Stop();
  CHECK(it.fenced > 0);
}

// With a slow store, records must be sent without waiting for the responses to
// earlier ones, and still be confirmed in order.
TEST(RecordLog, SlowAnswersDoNotHoldUpLaterRecords) {
  LogFixture it(3);
  std::vector<int> confirmed;
  it.loop.Post([&] {
    it.log->Append({platform::MakeKeyedRecord("first", "1")}, [](bool) {});
  });
  it.loop.Start();
  it.RunFor(40);
  const int before = it.store.appends;
  for (int n = 0; n < 3; ++n) {
    it.loop.Post([&, n] {
      it.log->Append({platform::MakeKeyedRecord("k" + std::to_string(n), "1")},
                     [&confirmed, n](bool) { confirmed.push_back(n); });
    });
    std::this_thread::sleep_for(milliseconds(40));  // No response so far.
  }
  CHECK_EQUAL(before + 3, it.store.appends);
  it.loop.Post([&] {
    std::reverse(it.store.responses.begin(), it.store.responses.end());
  });
  it.RunFor(60);
  CHECK(confirmed == std::vector<int>({0, 1, 2}));
  it.loop.Stop();
}

// A burst of records to a slow store must not use up all allowed calls at once:
// records queued right afterwards, mostly of task starts, would wait until
// those calls have been answered.
TEST(RecordLog, CallsToASlowStoreAreSpreadOverTheTimeOfAnAnswer) {
  LogFixture it(3);
  constexpr milliseconds kResponseTime{400};
  constexpr int kSlowAppends = 30;
  it.loop.Start();
  for (int n = 0; n < kSlowAppends; ++n) {
    it.loop.Post([&] {
      it.log->Append({platform::MakeKeyedRecord("a", "1")}, [](bool) {});
      it.log->Flush(BootClock::now() - kResponseTime);
    });
    it.RunFor(10);
  }
  it.loop.Stop();
  const int before = it.store.appends;
  const Time now = BootClock::now();
  const auto appends_at = [&](milliseconds after) {
    it.log->Append({platform::MakeKeyedRecord("b", "1")}, [](bool) {});
    it.log->Flush(now + after);
    return it.store.appends - before;
  };
  CHECK_EQUAL(1, appends_at(milliseconds(0)));
  CHECK_EQUAL(1, appends_at(milliseconds(40)));
  CHECK_EQUAL(2, appends_at(milliseconds(150)));
  CHECK_EQUAL(2, appends_at(milliseconds(190)));
  CHECK_EQUAL(3, appends_at(milliseconds(300)));
}

TEST(RecordLog, OnlyUnsentRecordsCanBeWithdrawn) {
  LogFixture it(3);
  const uint64_t first = it.log->Append({"xa"}, [](bool) {});
  it.log->Flush(BootClock::now());
  const uint64_t second = it.log->Append({"xb"}, [](bool) {});
  CHECK(!it.log->CancelUnsent(first));
  CHECK(it.log->CancelUnsent(second));
}

// Part of the store is unavailable: ownership is still renewed, but records
// cannot be stored. StalledFor() must report it.
TEST(RecordLog, StallLastsFromTheFirstSendToTheAnswer) {
  LogFixture it(3);
  it.store.fault_mode = fake::MemoryStore::FaultMode::kRejectCalls;
  const Time sent = BootClock::now();
  CHECK(it.log->StalledFor(sent) == Duration::zero());
  it.log->Append({platform::MakeKeyedRecord("a", "1")}, [](bool) {});
  it.log->Flush(sent);
  it.loop.Start();
  it.RunFor(100);
  CHECK(it.log->StalledFor(sent + milliseconds(3000)) == milliseconds(3000));
  it.loop.Post(
      [&] { it.store.fault_mode = fake::MemoryStore::FaultMode::kNone; });
  it.RunFor(200);
  CHECK(it.log->StalledFor(sent + milliseconds(3000)) == Duration::zero());
  it.loop.Stop();
}

TEST_GROUP(ConfigWatch){};

namespace {

const platform::Partition kOperator{platform::kOperatorTopic, 0};

std::string Config(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"q","host":"h","pathPrefix":"/p/",)"
         R"("service":"s"}],"tenants":[{"name":"t","apiKeys":["k"]}]})";
}

/// A configuration watch with its own core thread; the store responds only
/// during RunFor().
struct ConfigFixture {
  fake::MemoryStore store;
  EventLoop loop{milliseconds(5), milliseconds(5000),
                 [this] { watch.Tick(BootClock::now()); }, [] {}};
  EvacuationView evacuations{milliseconds(2000)};
  ConfigWatch watch{&store, &loop, &evacuations};

  ConfigFixture() {
    watch.Start([](const ConfigWatch::ConfigPtr&) {});
  }
  void RunFor(int ms) {
    for (int n = 0; n < ms / 5; ++n) {
      std::this_thread::sleep_for(milliseconds(5));
      loop.Post([this] { store.RespondToAll(); });
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  /// Runs until the condition holds. @return False if it does not in time.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr int kTries = 300;
    for (int n = 0; n < kTries && !condition(); ++n) {
      RunFor(5);
    }
    return condition();
  }
  uint64_t Version() const {
    return watch.Current() ? watch.Current()->version : 0;
  }
};

}  // namespace

TEST(ConfigWatch, NewVersionsAreAppliedAndOldOnesAreNot) {
  ConfigFixture it;
  it.store.Put(kOperator, platform::kConfigKey, Config(5));
  it.loop.Start();
  it.RunFor(60);
  CHECK_EQUAL(5U, it.Version());
  it.loop.Post(
      [&] { it.store.Put(kOperator, platform::kConfigKey, Config(4)); });
  it.RunFor(60);
  CHECK_EQUAL(5U, it.Version());
  it.loop.Post(
      [&] { it.store.Put(kOperator, platform::kConfigKey, Config(7)); });
  it.RunFor(60);
  CHECK_EQUAL(7U, it.Version());
  it.loop.Stop();
}

TEST(ConfigWatch, ExpiredHistoryIsReplacedByNewestRecords) {
  ConfigFixture it;
  it.store.Put(kOperator, platform::kConfigKey, Config(1));
  it.loop.Start();
  CHECK(it.RunUntil([&] { return it.Version() == 1; }));
  it.loop.Post([&] {
    for (int n = 2; n < 6; ++n) {
      it.store.Put(kOperator, platform::kConfigKey, Config(n));
    }
    it.store.first[kOperator] = 5;
  });
  CHECK(it.RunUntil([&] { return it.Version() == 5; }));
  it.loop.Stop();
}

TEST(ConfigWatch, AgeGrowsWhileTheStoreRefuses) {
  ConfigFixture it;
  it.store.Put(kOperator, platform::kConfigKey, Config(1));
  it.loop.Start();
  it.RunFor(60);
  CHECK(it.watch.ConfigAgeMs(BootClock::now()) < 100);
  it.loop.Post([&] {
    it.store.fault_mode = fake::MemoryStore::FaultMode::kRejectCalls;
  });
  it.RunFor(400);
  CHECK(it.watch.ConfigAgeMs(BootClock::now()) > 300);
  it.loop.Stop();
}

TEST(ConfigWatch, UnreadableRecordsChangeNothing) {
  ConfigFixture it;
  it.store.Put(kOperator, platform::kConfigKey, Config(1));
  it.loop.Start();
  it.RunFor(60);
  it.loop.Post([&] {
    it.store.Put(kOperator, platform::kConfigKey, "\xff\xfe{");
    it.store.Put(kOperator, platform::kConfigKey, R"({"version":"9"})");
    it.store.Put(kOperator, platform::kConfigKey, R"([1,2])");
  });
  it.RunFor(60);
  CHECK_EQUAL(1U, it.Version());
  it.loop.Stop();
}

// Load: a zone is evacuated and taken back; a value that cannot be read; one
// taken back in history that is removed before it is read.
TEST(ConfigWatch, EvacuationsFollowTheOperatorsRecords) {
  ConfigFixture it;
  const auto put = [&](const std::string& key, const std::string& value) {
    it.loop.Post([&it, key, value] { it.store.Put(kOperator, key, value); });
  };
  const auto allowed = [&](const char* zone) {
    return it.evacuations.MayStartIn(ZoneId(zone), BootClock::now());
  };
  it.store.Put(kOperator, "evacuate/a", "{}");
  CHECK_FALSE(allowed("b"));  // Nothing is known yet.
  it.loop.Start();
  CHECK(it.RunUntil([&] { return allowed("b"); }));
  CHECK_FALSE(allowed("a"));
  put("evacuate/b", "\xff{");
  CHECK(it.RunUntil([&] { return !allowed("b"); }));
  put("evacuate/", "{}");
  put("evacuate/a", "");
  CHECK(it.RunUntil([&] { return allowed("a"); }));
  it.loop.Post([&] {
    it.store.Put(kOperator, "evacuate/b", "");
    it.store.Put(kOperator, "evacuate/b", "");
    it.store.compacted[kOperator].erase("evacuate/b");
    it.store.first[kOperator] = it.store.log[kOperator].size();
  });
  CHECK(it.RunUntil([&] { return allowed("b"); }));
  it.loop.Stop();
}

// Load: the store is away for longer than an evacuation may take.
TEST(ConfigWatch, StartsStopWhenEvacuationsCannotBeRead) {
  ConfigFixture it;
  it.evacuations.SetBound(milliseconds(600));
  it.loop.Start();
  const auto allowed = [&] {
    return it.evacuations.MayStartIn(ZoneId("a"), BootClock::now());
  };
  CHECK(it.RunUntil(allowed));
  it.loop.Post([&] {
    it.store.fault_mode = fake::MemoryStore::FaultMode::kRejectCalls;
  });
  CHECK(it.RunUntil([&] { return !allowed(); }));
  it.loop.Post(
      [&] { it.store.fault_mode = fake::MemoryStore::FaultMode::kNone; });
  CHECK(it.RunUntil(allowed));
  it.loop.Stop();
}

}  // namespace bw::test
