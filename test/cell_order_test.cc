// A perpetual task under all orders of events around the end of a run and the
// loss of an owner. Answers rule TWICE: the second run of such a task, beside
// which an owner that read the first one's end started a third.
#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

#include "../src/cell_base.h"
#include "support/cell_harness.h"

namespace bw::test {
namespace {

const char* const kJob = "00000000000000a1";
const TaskRef kTask{JobId(kJob), 0, 0, 0};
constexpr int kServers = 3;
constexpr uint32_t kGangSize = 2;
/// Longer than any lease, on any clock.
constexpr int kLongestLeaseMs = 12'000;
constexpr RunEnd kEnds[] = {
    RunEnd::kDone,   RunEnd::kFailed,          RunEnd::kStopped,
    RunEnd::kLapsed, RunEnd::kGangMemberEnded, RunEnd::kGangIncomplete};

/// A perpetual step. Checks after each event, by the backend servers' own
/// state, that no task runs twice.
class OrderWorld {
 public:
  explicit OrderWorld(bool gang = false)
      : it(kServers), tasks_(gang ? kGangSize : 1) {
    it.Submit(kJob, CellHarness::Tasks(static_cast<int>(tasks_), 1000,
                                       gang ? R"(,"perpetual":true,"gang":true)"
                                            : R"(,"perpetual":true)"));
  }

  FakeBackend& Server(size_t n) {
    return it.backends.at(BackendId("b" + std::to_string(n)));
  }

  /// @return The number of the backend server that runs the task, or -1.
  int Where() const {
    const auto found = it.Find(kTask);
    return found ? std::stoi(found->first.value.substr(1)) : -1;
  }

  void End(RunEnd how) {
    if (const auto found = it.Find(kTask)) {
      it.backends.at(found->first).End(found->second, how);
    }
  }

  void Advance(int ms) {
    constexpr int kStepMs = 20;
    for (int passed = 0; passed < ms; passed += kStepMs) {
      it.Advance(kStepMs);
      Check();
    }
  }

  /// Loses the owner. Of its batches that were sent but not answered, the first
  /// `stored` are stored; its orders under way may arrive later.
  void LoseOwner(size_t stored) {
    while (stored-- > 0 && !it.port.pending_batches.empty()) {
      it.port.StoreNext();
    }
    for (const auto& start : it.unanswered_starts) {
      late_starts_.emplace_back(
          start, it.backends.at(start.backend).entry.incarnation);
    }
    it.unanswered_starts.clear();
    it.held_reports.clear();
    it.held_since.clear();
    it.StartOwner(++token_);
    Check();
  }

  /// Delivers orders that were held up on their way.
  void DeliverLateStarts() {
    for (const auto& [start, incarnation] : late_starts_) {
      FakeBackend& server = it.backends.at(start.backend);
      if (server.entry.incarnation == incarnation && server.reachable) {
        server.Start(start.order);
      }
    }
    late_starts_.clear();
    Check();
  }

  /// A server under its id with a new incarnation. Its entry follows.
  void Restart(size_t n) {
    Server(n).Restart();
    if (Server(n).listed) {
      it.cell->SetBackend(Server(n).entry, it.now);
    }
  }

  void SetListed(size_t n, bool listed) {
    Server(n).listed = listed;
    if (listed) {
      it.cell->SetBackend(Server(n).entry, it.now);
    } else {
      it.cell->DropBackend(Server(n).entry.id);
    }
  }

  void AnswerHeldPolls() {
    const auto reports = std::exchange(it.held_reports, {});
    const auto sent = std::exchange(it.held_since, {});
    for (size_t n = 0; n < reports.size(); ++n) {
      it.cell->OnPollResponse(reports[n].first, reports[n].second, sent[n],
                              it.now);
    }
  }

  /// Ends all disturbances. @return True if the task then runs, once.
  bool Settle() {
    it.store_enabled = true;
    for (size_t n = 0; n < kServers; ++n) {
      FakeBackend& server = Server(n);
      server.reachable = true;
      server.SetSlowStops(false);
      server.holds_polls = false;
      server.lost_answers = 0;
      SetListed(n, true);
    }
    AnswerHeldPolls();
    Advance(kLongestLeaseMs);
    size_t running = 0;
    for (uint32_t n = 0; n < tasks_; ++n) {
      running += it.Running({kTask.job, 0, 0, n}) == 1 ? 1 : 0;
    }
    return running == tasks_ && !twice;
  }

  CellHarness it;
  bool twice = false;

 private:
  void Check() {
    for (uint32_t n = 0; n < tasks_; ++n) {
      twice = twice || it.Running({kTask.job, 0, 0, n}) > 1;
    }
  }

  uint32_t tasks_;
  uint64_t token_ = 1;
  std::vector<std::pair<FakeCellPort::SentStart, uint64_t>> late_starts_;
};

/// What is known of the first run's end when the owner is lost.
enum class LossAt : uint8_t {
  kBeforeTheEnd,     ///< It ends while no owner acts.
  kListed,           ///< Its end was reported, nothing of it is stored.
  kRecordStored,     ///< The next start is stored, but not sent.
  kStartUnanswered,  ///< The next run's start got no answer.
  kNextRunUnnoted,   ///< The next run works; the end is not acknowledged.
  kEndAcknowledged,  ///< The next run works; the end is acknowledged.
  kNextRunEndedToo,  ///< Both ended, neither end is acknowledged.
};

/// Brings the world to the moment and loses the owner.
void LoseOwnerAt(OrderWorld* w, LossAt at, RunEnd how, size_t first) {
  FakeBackend& server = w->Server(first);
  if (at == LossAt::kBeforeTheEnd) {
    w->End(how);
    return;
  }
  const auto run = w->it.Find(kTask)->second;
  if (at == LossAt::kListed || at == LossAt::kRecordStored) {
    w->it.store_enabled = false;
    w->End(how);
    w->Advance(200);
    return;
  }
  for (size_t n = 0; n < kServers; ++n) {
    w->Server(n).lost_answers = at == LossAt::kStartUnanswered ? 1 : 0;
  }
  w->SetListed(first, false);  // The next run starts elsewhere.
  server.listed = true;
  w->End(how);
  const auto ends = server.ended;
  w->Advance(at == LossAt::kStartUnanswered ? 20 : 1000);
  if (at == LossAt::kNextRunEndedToo) {
    w->End(how);
  }
  if (at == LossAt::kEndAcknowledged) {
    server.ended.clear();
  } else {
    server.ended = ends;
  }
  CHECK(!server.running.contains(run));
}

/// One case of the table: the new owner reads the lists in the order `order`;
/// one of the servers, if any, can't be read for `unreadable_ms`.
struct Case {
  RunEnd how;
  LossAt at;
  int order;
  int unreadable;  ///< kServers: none.
  int unreadable_ms;
  int reborn;  ///< kServers: none.
  bool more_ends;
};

bool Holds(const Case& c) {
  constexpr int kOrders[][kServers] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                       {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};
  OrderWorld w;
  const int first = w.Where();
  if (c.more_ends) {
    // Ends of others are listed before, and reports list one end at most.
    FakeBackend& server = w.Server(static_cast<size_t>(first));
    server.max_listed_ends = 1;
    for (uint64_t n = 1; n < 4; ++n) {
      server.End({{JobId("00000000000000ff"), 0, 0, 0}, n}, RunEnd::kDone);
    }
  }
  LoseOwnerAt(&w, c.at, c.how, static_cast<size_t>(first));
  if (c.reborn < kServers) {
    w.Server(static_cast<size_t>(c.reborn)).Restart();
  }
  for (size_t n = 0; n < kServers; ++n) {
    w.Server(n).reachable = false;
    w.Server(n).lost_answers = 0;
  }
  const bool stored = c.at == LossAt::kRecordStored;
  w.LoseOwner(stored ? 100 : 0);
  w.it.store_enabled = true;
  for (const int n : kOrders[c.order]) {
    w.Advance(60);
    w.Server(static_cast<size_t>(n)).reachable = n != c.unreadable;
  }
  w.Advance(c.unreadable_ms);
  w.DeliverLateStarts();
  return w.Settle();
}

/// One random step of a walk.
void Step(OrderWorld* w, std::mt19937_64* random) {
  const auto pick = [random](size_t n) { return (*random)() % n; };
  const size_t n = pick(kServers);
  FakeBackend& server = w->Server(n);
  switch (pick(13)) {
    case 0:
    case 1:
      w->End(kEnds[pick(std::size(kEnds))]);
      break;
    case 2:
      w->LoseOwner(pick(4));
      break;
    case 3:
      server.reachable = !server.reachable;
      break;
    case 4:
      w->it.store_enabled = !w->it.store_enabled;
      break;
    case 5:
      server.max_listed_ends = server.max_listed_ends == 1 ? 500 : 1;
      break;
    case 6:
      w->Restart(n);
      break;
    case 7:
      w->SetListed(n, !server.listed);
      break;
    case 8:
      server.lost_answers = static_cast<int>(pick(3));
      break;
    case 9:
      w->DeliverLateStarts();
      break;
    case 10:
      server.SetSlowStops(!server.slow_stops);
      break;
    case 11:
      server.holds_polls = !server.holds_polls;
      w->AnswerHeldPolls();
      break;
    default:
      w->Advance(static_cast<int>(pick(4)) * 1000);
      break;
  }
  w->Advance(static_cast<int>(20 * pick(10)));
}

}  // namespace

TEST_GROUP(CellOrder){};

// Each end of the first run, at each moment at which the owner may be lost,
// with the lists read in each order.
TEST(CellOrder, PerpetualTaskHasOneRunInEachOrder) {
  size_t failed = 0;
  for (const RunEnd how : kEnds) {
    for (int at = 0; at <= static_cast<int>(LossAt::kNextRunEndedToo); ++at) {
      for (int order = 0; order < 6; ++order) {
        for (int kind = 0; kind < 2 * (kServers + 1); ++kind) {
          const Case c{how,
                       static_cast<LossAt>(at),
                       order,
                       kind / 2,
                       kind % 2 == 0 ? 600 : kLongestLeaseMs,
                       (kind + order) % (kServers + 1),
                       order % 2 == 0};
          if (!Holds(c) && ++failed <= 5) {
            printf("how %d at %d order %d unreadable %d for %d ms reborn %d\n",
                   static_cast<int>(how), at, order, c.unreadable,
                   c.unreadable_ms, c.reborn);
          }
        }
      }
    }
  }
  CHECK_EQUAL(0U, failed);
}

// Random walks over all of it, with several owners in turn. BW_SEED and
// BW_WALKS choose others.
TEST(CellOrder, PerpetualTaskHasOneRunInRandomWalks) {
  const char* seed = std::getenv("BW_SEED");
  const char* walks = std::getenv("BW_WALKS");
  const uint64_t begin = seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
  const uint64_t count =
      walks == nullptr ? 60 : std::strtoull(walks, nullptr, 10);
  for (uint64_t n = begin; n < begin + count; ++n) {
    std::mt19937_64 random(n);
    OrderWorld w(/*gang=*/n % 3 == 0);
    for (int step = 0; step < 40 && !w.twice; ++step) {
      Step(&w, &random);
    }
    if (!w.Settle()) {
      FAIL(("seed " + std::to_string(n) + (w.twice ? ": two runs" : ": idle"))
               .c_str());
    }
  }
}

}  // namespace bw::test
