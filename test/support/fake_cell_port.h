// Fake of the process around a cell. Records orders, polls and advice queries
// for the test to answer; stores records when the test asks for it.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../../src/cell_base.h"
#include "../../src/platform/store.h"

namespace bw::test {

class FakeCellPort : public CellPort {
 public:
  struct SentStart {
    BackendId backend;
    platform::StartOrder order;
  };
  struct SentStop {
    BackendId backend;
    RunRef run;
    uint64_t fencing_token = 0;
  };
  struct SentPoll {
    BackendId backend;
    platform::PollRequest request;
  };
  struct AdviceQuery {
    StepRef step;
    std::vector<BackendId> backends;
    milliseconds expected{0};
  };
  struct Batch {
    uint64_t number = 0;
    std::vector<std::string> records;
    std::function<void(bool stored)> done;
  };

  void Start(const BackendEntry& to,
             platform::StartOrder order,
             bool) override {
    starts.push_back({to.id, std::move(order)});
    if (on_start) {
      on_start(starts.back());
    }
  }
  void Stop(const BackendEntry& to,
            const RunRef& run,
            uint64_t fencing_token) override {
    stops.push_back({to.id, run, fencing_token});
  }
  void Poll(const BackendEntry& to, platform::PollRequest request) override {
    polls.push_back({to.id, std::move(request)});
  }
  bool QueryAdvice(const StepRef& step,
                   const std::vector<BackendId>& backends,
                   milliseconds expected,
                   bool) override {
    advice_queries.push_back({step, backends, expected});
    if (on_advice_query) {
      on_advice_query(advice_queries.back());
    }
    return accepts_queries;
  }
  uint64_t StoreRecords(std::vector<std::string> records,
                        std::function<void(bool stored)> done) override {
    pending_batches.push_back(
        {++last_batch, std::move(records), std::move(done)});
    return last_batch;
  }
  bool CancelUnsent(uint64_t number) override {
    for (auto it = pending_batches.begin(); it != pending_batches.end(); ++it) {
      if (it->number == number) {
        pending_batches.erase(it);
        return true;
      }
    }
    return false;
  }
  bool HasStoreBacklog() const override { return store_backlog; }
  size_t CountAdviceInstances() const override { return advice_instances; }
  size_t CountIdleAdviceInstances() const override { return advice_instances; }
  void OnFenced() override { fenced = true; }
  bool MayAct() const override { return may_act; }
  StartPermission CheckStart(const ZoneId& zone, Time) const override {
    return evacuated.contains(zone) ? StartPermission::kEvacuated
                                    : StartPermission::kAllowed;
  }
  void OnStartHeldBack(const ZoneId&, Time) override { ++starts_held_back; }
  bool MayRenew(milliseconds) const override { return may_act; }
  bool IsStoreResponsive() const override { return store_available; }
  Time ReadClock() const override { return clock += clock_step; }

  /// Stores all pending batches, as the platform's store would.
  void StorePending() {
    while (!pending_batches.empty()) {
      StoreNext()();
    }
  }

  /// Stores the oldest pending batch, or refuses it if it has a record of one
  /// of the `refused_keys`. @return Its callback.
  std::function<void()> StoreNext() {
    Batch batch = std::move(pending_batches.front());
    pending_batches.pop_front();
    const bool refused = std::any_of(
        batch.records.begin(), batch.records.end(), [&](const auto& it) {
          return refused_keys.contains(platform::ReadKeyedRecord(it).key);
        });
    if (refused) {
      return [batch] { batch.done(false); };
    }
    for (const auto& it : batch.records) {
      largest_record = std::max(largest_record, it.size());
      const auto record = platform::ReadKeyedRecord(it);
      log.push_back(record);
      if (record.value.empty()) {
        stored.erase(record.key);
      } else {
        stored[record.key] = record.value;
      }
    }
    return [batch] { batch.done(true); };
  }

  mutable Time clock{Duration(0)};
  Duration clock_step{0};  ///< Passes between two readings of the clock.
  bool may_act = true;
  std::set<ZoneId> evacuated;
  int starts_held_back = 0;
  bool store_available = true;
  bool store_backlog = false;
  std::set<std::string> refused_keys;
  bool accepts_queries = true;
  size_t advice_instances = 1;
  bool fenced = false;
  /// Called before a start order is delivered.
  std::function<void(const SentStart&)> on_start;
  std::function<void(const AdviceQuery&)> on_advice_query;
  std::vector<SentStart> starts;
  std::vector<SentStop> stops;
  std::vector<SentPoll> polls;
  std::vector<AdviceQuery> advice_queries;
  std::deque<Batch> pending_batches;
  std::map<std::string, std::string> stored;
  std::vector<platform::KeyedRecord> log;  ///< All records stored, in order.
  uint64_t last_batch = 0;
  size_t largest_record = 0;  ///< Of those stored, in bytes.
};

}  // namespace bw::test
