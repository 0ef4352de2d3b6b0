// What owners and fronts do with the platform's store: terms, fenced records,
// and a configuration that never goes back.
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

/// One instance's membership, driven by hand on the loop's thread.
class Member {
 public:
  Member(fake::MemoryStore* store, const std::string& name)
      : store_(store),
        loop_(
            milliseconds(5),
            milliseconds(5000),
            [this] {
              if (running) {
                membership->Tick(BootClock::now());
              }
            },
            [] {}) {
    MembershipOptions options;
    options.name = name;
    options.address = name + ":1";
    options.incarnation = 1;
    options.ttl = milliseconds(600);
    options.join_every = milliseconds(50);
    membership = std::make_unique<Membership>(options, store, &loop_);
    membership->Start([this](uint64_t it) { gained = it; },
                      [this] { ++losses; });
  }

  /// Lets time pass, with the store answering from this thread.
  void Pass(int ms) {
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

  void Stop() { loop_.Stop(); }

  std::unique_ptr<Membership> membership;
  std::atomic<uint64_t> gained{0};
  std::atomic<int> losses{0};
  std::atomic<bool> running{true};

 private:
  fake::MemoryStore* const store_;
  Loop loop_;
  bool started_ = false;
};

}  // namespace

TEST_GROUP(Membership){};

TEST(Membership, FirstInstanceGainsTheCell) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.Pass(1200);
  CHECK(it.gained > 0);
  CHECK(it.membership->MayAct());
  STRCMP_EQUAL("a:1", it.membership->OwnerAddress().c_str());
  it.Stop();
}

// Load: an instance starts while another owns the cell. A group deals anew when
// a member joins, so it must not.
TEST(Membership, StandbyDoesNotJoinWhileThereIsAnOwner) {
  fake::MemoryStore store;
  store.groups[kGroup].members = {"b|b:1|1"};
  store.groups[kGroup].generation = 1;
  store.topics[kGroup] = "keyed.cell";
  Member it(&store, "a");
  it.Pass(1200);
  CHECK_EQUAL(1U, store.groups[kGroup].members.size());
  STRCMP_EQUAL("b:1", it.membership->OwnerAddress().c_str());
  store.Expire(kGroup, "b|b:1|1");
  it.membership->DoubtOwner();
  it.Pass(1500);
  CHECK(it.gained > 0);
  it.Stop();
}

TEST(Membership, TermEndsWithoutRenewal) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.Pass(1200);
  CHECK(it.membership->MayAct());
  store.fault_mode = fake::MemoryStore::FaultMode::kDropCalls;
  it.Pass(800);
  CHECK(!it.membership->MayAct());
  CHECK(it.membership->MayRenew(milliseconds(5000)));
  it.Stop();
}

TEST(Membership, TermThatLapsedWhileAnotherHeldTheCellIsANewOne) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.Pass(1200);
  const uint64_t before = it.gained;
  store.fault_mode = fake::MemoryStore::FaultMode::kDropCalls;
  it.Pass(800);
  store.groups[kGroup].generation += 2;
  store.fault_mode = fake::MemoryStore::FaultMode::kNone;
  it.Pass(400);
  CHECK_EQUAL(1, it.losses);
  CHECK(it.gained > before);
  it.Stop();
}

// Load: all instances start again after a loss of power, and a second standby
// joins and leaves just after the first has gained the cell.
TEST(Membership, OwnerStaysWhenAnotherMemberComesAndGoes) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.Pass(1200);
  const uint64_t before = it.gained;
  const uint64_t generation = store.groups[kGroup].generation += 2;
  it.Pass(400);
  CHECK_EQUAL(1, it.losses);
  CHECK(it.gained > before);
  CHECK(it.membership->MayAct());
  CHECK_EQUAL(generation, store.groups[kGroup].generation);
  it.Stop();
}

// Load: the owner's zone is cut off, another instance takes over, the cut
// heals.
TEST(Membership, CutOffOwnerDoesNotTakeTheCellBack) {
  fake::MemoryStore store;
  Member it(&store, "a");
  it.Pass(1200);
  CHECK(it.membership->MayAct());
  store.fault_mode = fake::MemoryStore::FaultMode::kDropCalls;
  it.Pass(1000);
  store.groups[kGroup].members = {"b|b:1|1"};
  store.groups[kGroup].generation += 2;
  const uint64_t generation = store.groups[kGroup].generation;
  store.fault_mode = fake::MemoryStore::FaultMode::kNone;
  it.Pass(600);
  CHECK_EQUAL(generation, store.groups[kGroup].generation);
  STRCMP_EQUAL("b:1", it.membership->OwnerAddress().c_str());
  CHECK_EQUAL(1, it.losses);
  it.Stop();
}

TEST_GROUP(RecordLog){};

namespace {

/// A record log whose core thread answers at once.
struct LogBench {
  fake::MemoryStore store;
  Loop loop{milliseconds(5), milliseconds(5000),
            [this] {
              if (log) {
                log->Flush(BootClock::now());
              }
            },
            [] {}};
  std::unique_ptr<RecordLog> log;
  std::atomic<int> fenced{0};
  std::atomic<int> done{0};

  explicit LogBench(uint64_t epoch) {
    log = std::make_unique<RecordLog>(&store, &loop, epoch, 1 << 20,
                                      [this] { ++fenced; });
  }
  void Pass(int ms) {
    for (int n = 0; n < ms / 5; ++n) {
      std::this_thread::sleep_for(milliseconds(5));
      loop.Post([this] { store.RespondToAll(); });
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  void Keep(const std::string& key) {
    loop.Post([this, key] {
      log->Keep({platform::MakeKeyedRecord(key, "value")}, [this] { ++done; });
    });
  }
};

}  // namespace

TEST(RecordLog, LostAnswerStoresNothingTwice) {
  LogBench it(3);
  it.store.fault_mode = fake::MemoryStore::FaultMode::kDropResponses;
  it.Keep("a");
  it.loop.Start();
  it.Pass(60);
  CHECK_EQUAL(0, it.done);
  it.loop.Post(
      [&] { it.store.fault_mode = fake::MemoryStore::FaultMode::kNone; });
  it.Pass(60);
  CHECK_EQUAL(1, it.done);
  CHECK_EQUAL(1U, it.store.log[CellPartition()].size());
  it.loop.Stop();
}

TEST(RecordLog, RefusedRecordsAreSentAgainInOrder) {
  LogBench it(3);
  it.store.fault_mode = fake::MemoryStore::FaultMode::kRejectCalls;
  it.Keep("a");
  it.Keep("b");
  it.loop.Start();
  it.Pass(100);
  it.loop.Post(
      [&] { it.store.fault_mode = fake::MemoryStore::FaultMode::kNone; });
  it.Pass(200);
  CHECK_EQUAL(2, it.done);
  const auto& records = it.store.log[CellPartition()];
  CHECK_EQUAL(2U, records.size());
  STRCMP_EQUAL("a", platform::ReadKeyedRecord(records[0]).key.c_str());
  it.loop.Stop();
}

TEST(RecordLog, FormerOwnerStoresNothing) {
  LogBench it(3);
  it.store.producers[{CellPartition(), kCellProducer}].epoch = 4;
  it.Keep("a");
  it.loop.Start();
  it.Pass(60);
  CHECK_EQUAL(0, it.done);
  CHECK(it.fenced > 0);
  CHECK_EQUAL(0U, it.store.log[CellPartition()].size());
  it.loop.Stop();
}

// Load: a slow store. Later records must not wait for the answer to earlier
// ones before they are sent, nor be told before them.
TEST(RecordLog, SlowAnswersDoNotHoldUpLaterRecords) {
  LogBench it(3);
  std::vector<int> told;
  it.loop.Post(
      [&] { it.log->Keep({platform::MakeKeyedRecord("first", "1")}, [] {}); });
  it.loop.Start();
  it.Pass(40);
  const int before = it.store.appends;
  for (int n = 0; n < 3; ++n) {
    it.loop.Post([&, n] {
      it.log->Keep({platform::MakeKeyedRecord("k" + std::to_string(n), "1")},
                   [&told, n] { told.push_back(n); });
    });
    std::this_thread::sleep_for(milliseconds(40));  // No answer meanwhile.
  }
  CHECK_EQUAL(before + 3, it.store.appends);
  it.loop.Post([&] {
    std::reverse(it.store.responses.begin(), it.store.responses.end());
  });
  it.Pass(60);
  CHECK(told == std::vector<int>({0, 1, 2}));
  it.loop.Stop();
}

// Load: a slow store under a burst. All calls left together, and the records
// that came right after them, of starts mostly, waited until all were answered.
TEST(RecordLog, CallsToASlowStoreAreSpreadOverTheTimeOfAnAnswer) {
  LogBench it(3);
  constexpr milliseconds kSlow{400};
  constexpr int kAnswers = 30;
  it.loop.Start();
  for (int n = 0; n < kAnswers; ++n) {
    it.loop.Post([&] {
      it.log->Keep({platform::MakeKeyedRecord("a", "1")}, [] {});
      it.log->Flush(BootClock::now() - kSlow);
    });
    it.Pass(10);
  }
  it.loop.Stop();
  const int before = it.store.appends;
  const Time now = BootClock::now();
  const auto keep_at = [&](milliseconds after) {
    it.log->Keep({platform::MakeKeyedRecord("b", "1")}, [] {});
    it.log->Flush(now + after);
    return it.store.appends - before;
  };
  CHECK_EQUAL(1, keep_at(milliseconds(0)));
  CHECK_EQUAL(1, keep_at(milliseconds(40)));
  CHECK_EQUAL(2, keep_at(milliseconds(150)));
  CHECK_EQUAL(2, keep_at(milliseconds(190)));
  CHECK_EQUAL(3, keep_at(milliseconds(300)));
}

TEST(RecordLog, OnlyWhatDidNotLeaveIsTakenBack) {
  LogBench it(3);
  const uint64_t first = it.log->Keep({"xa"}, [] {});
  it.log->Flush(BootClock::now());
  const uint64_t second = it.log->Keep({"xb"}, [] {});
  CHECK(!it.log->Withdraw(first));
  CHECK(it.log->Withdraw(second));
}

// Load: a part of the store is away, so ownership is renewed as ever while
// records are not kept.
TEST(RecordLog, StallLastsFromTheFirstSendToTheAnswer) {
  LogBench it(3);
  it.store.fault_mode = fake::MemoryStore::FaultMode::kRejectCalls;
  const Time sent = BootClock::now();
  CHECK(it.log->StalledFor(sent) == Duration::zero());
  it.log->Keep({platform::MakeKeyedRecord("a", "1")}, [] {});
  it.log->Flush(sent);
  it.loop.Start();
  it.Pass(100);
  CHECK(it.log->StalledFor(sent + milliseconds(3000)) == milliseconds(3000));
  it.loop.Post(
      [&] { it.store.fault_mode = fake::MemoryStore::FaultMode::kNone; });
  it.Pass(200);
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

struct ConfigBench {
  fake::MemoryStore store;
  Loop loop{milliseconds(5), milliseconds(5000),
            [this] { watch.Tick(BootClock::now()); }, [] {}};
  ConfigWatch watch{&store, &loop};

  ConfigBench() {
    watch.Start([](const ConfigWatch::ConfigPtr&) {});
  }
  void Pass(int ms) {
    for (int n = 0; n < ms / 5; ++n) {
      std::this_thread::sleep_for(milliseconds(5));
      loop.Post([this] { store.RespondToAll(); });
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  uint64_t Version() const {
    return watch.Current() ? watch.Current()->version : 0;
  }
};

}  // namespace

TEST(ConfigWatch, NewVersionsAreTakenInAndOldOnesAreNot) {
  ConfigBench it;
  it.store.Put(kOperator, platform::kConfigKey, Config(5));
  it.loop.Start();
  it.Pass(60);
  CHECK_EQUAL(5U, it.Version());
  it.loop.Post(
      [&] { it.store.Put(kOperator, platform::kConfigKey, Config(4)); });
  it.Pass(60);
  CHECK_EQUAL(5U, it.Version());
  it.loop.Post(
      [&] { it.store.Put(kOperator, platform::kConfigKey, Config(7)); });
  it.Pass(60);
  CHECK_EQUAL(7U, it.Version());
  it.loop.Stop();
}

TEST(ConfigWatch, HistoryThatIsGoneIsReadFromTheNewest) {
  ConfigBench it;
  it.store.Put(kOperator, platform::kConfigKey, Config(1));
  it.loop.Start();
  it.Pass(60);
  it.loop.Post([&] {
    for (int n = 2; n < 6; ++n) {
      it.store.Put(kOperator, platform::kConfigKey, Config(n));
    }
    it.store.first[kOperator] = 5;
  });
  it.Pass(100);
  CHECK_EQUAL(5U, it.Version());
  it.loop.Stop();
}

TEST(ConfigWatch, ViewAgesWhileTheStoreRefuses) {
  ConfigBench it;
  it.store.Put(kOperator, platform::kConfigKey, Config(1));
  it.loop.Start();
  it.Pass(60);
  CHECK(it.watch.ViewAgeMs(BootClock::now()) < 100);
  it.loop.Post([&] {
    it.store.fault_mode = fake::MemoryStore::FaultMode::kRejectCalls;
  });
  it.Pass(400);
  CHECK(it.watch.ViewAgeMs(BootClock::now()) > 300);
  it.loop.Stop();
}

TEST(ConfigWatch, UnreadableRecordsChangeNothing) {
  ConfigBench it;
  it.store.Put(kOperator, platform::kConfigKey, Config(1));
  it.loop.Start();
  it.Pass(60);
  it.loop.Post([&] {
    it.store.Put(kOperator, platform::kConfigKey, "\xff\xfe{");
    it.store.Put(kOperator, platform::kConfigKey, R"({"version":"9"})");
    it.store.Put(kOperator, platform::kConfigKey, R"([1,2])");
  });
  it.Pass(60);
  CHECK_EQUAL(1U, it.Version());
  it.loop.Stop();
}

}  // namespace bw::test
