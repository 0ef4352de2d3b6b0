// Stands in for the process around a cell: orders and questions are kept until
// a test answers them; records are stored when the test says so.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "../../src/cell_base.h"
#include "../../src/platform/store.h"

namespace bw::test {

class FakeCellPort : public CellPort {
 public:
  struct StartSeen {
    BackendId backend;
    platform::StartOrder order;
  };
  struct HoldSeen {
    BackendId backend;
    platform::HoldOrder order;
  };
  struct Question {
    StepRef step;
    std::vector<BackendId> backends;
    milliseconds expected{0};
  };
  struct Batch {
    uint64_t number = 0;
    std::vector<std::string> records;
    std::function<void()> done;
  };

  void Start(const BackendEntry& to, platform::StartOrder order) override {
    starts.push_back({to.id, std::move(order)});
  }
  void Stop(const BackendEntry& to, const RunRef& run) override {
    stops.emplace_back(to.id, run);
  }
  void Hold(const BackendEntry& to, platform::HoldOrder order) override {
    holds.push_back({to.id, std::move(order)});
  }
  bool AskAdvice(const StepRef& step,
                 const std::vector<BackendId>& backends,
                 milliseconds expected,
                 bool) override {
    questions.push_back({step, backends, expected});
    if (on_question) {
      on_question(questions.back());
    }
    return takes_questions;
  }
  uint64_t Keep(std::vector<std::string> records,
                std::function<void()> done) override {
    batches.push_back({++last_batch, std::move(records), std::move(done)});
    return last_batch;
  }
  bool Withdraw(uint64_t number) override {
    for (auto it = batches.begin(); it != batches.end(); ++it) {
      if (it->number == number) {
        batches.erase(it);
        return true;
      }
    }
    return false;
  }
  void OnFenced() override { fenced = true; }
  bool MayAct() const override { return may_act; }
  bool MayRenew(milliseconds) const override { return may_act; }
  bool IsSettled() const override { return store_well; }

  /// Stores everything that waits, as the platform's store would.
  void StoreAll() {
    while (!batches.empty()) {
      Batch batch = std::move(batches.front());
      batches.pop_front();
      for (const auto& it : batch.records) {
        const auto record = platform::ReadKeyedRecord(it);
        if (record.value.empty()) {
          stored.erase(record.key);
        } else {
          stored[record.key] = record.value;
        }
      }
      batch.done();
    }
  }

  bool may_act = true;
  bool store_well = true;
  bool takes_questions = true;
  bool fenced = false;
  std::function<void(const Question&)> on_question;
  std::vector<StartSeen> starts;
  std::vector<std::pair<BackendId, RunRef>> stops;
  std::vector<HoldSeen> holds;
  std::vector<Question> questions;
  std::deque<Batch> batches;
  std::map<std::string, std::string> stored;
  uint64_t last_batch = 0;
};

}  // namespace bw::test
