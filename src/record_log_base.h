// Writes a cell's records to the store as a fenced producer: in order, each
// once, several in one call, and a few calls at a time.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loop_base.h"
#include "platform/store.h"

namespace bw {

/// Belongs to the core thread.
class RecordLog {
 public:
  /// @param on_fenced Runs when another producer has a higher epoch, or when
  /// it is not known any more what is stored.
  /// @pre `store` and `core` outlive the log.
  RecordLog(platform::Store* store,
            Loop* core,
            uint64_t epoch,
            size_t max_call_bytes,
            std::function<void()> on_fenced);
  ~RecordLog();

  /// Queues records that are stored all or none. `done` runs once they are;
  /// never if the log is destroyed first. @return A number for Withdraw.
  uint64_t Keep(std::vector<std::string> records, std::function<void()> done);

  /// Takes back what did not leave. @return False if it may be stored.
  bool Withdraw(uint64_t number);

  /// Sends what is queued, and again what was refused.
  void Flush(Time now);

  /// @return How long the oldest call under way has had no answer; zero if none
  /// is under way.
  Duration StalledFor(Time now) const;

  bool IsEmpty() const { return calls_.empty() && waiting_.empty(); }

 private:
  struct Batch {
    uint64_t number = 0;
    std::vector<std::string> records;
    std::function<void()> done;
  };
  /// One call to the store; repeated as it is until it is answered.
  struct Call {
    uint64_t sequence = 0;
    std::vector<Batch> batches;
    bool stored = false;
    bool sending = false;
    Time send_at = kNever;
    Time first_sent = kNever;
    Time last_sent = kNever;
  };
  Call NextCall();
  void Send(Call* call);
  void OnAnswer(uint64_t sequence, const platform::AppendAnswer& answer);
  void FinishStored();

  platform::Store* const store_;
  Loop* const core_;
  const uint64_t epoch_;
  const size_t max_call_bytes_;
  const std::function<void()> on_fenced_;
  std::deque<Batch> waiting_;
  std::deque<Call> calls_;  ///< In the order of their sequence numbers.
  uint64_t last_number_ = 0;
  uint64_t next_sequence_ = 1;
  bool first_ = true;  ///< No append of this epoch has been answered.
  Time last_call_at_ = kNever;
  Duration usual_answer_{0};  ///< Time until an append is answered.
  platform::StoreStatus last_failure_ = platform::StoreStatus::kOk;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// The name under which owners write; each has a higher epoch.
inline constexpr const char* kCellProducer = "cell";

}  // namespace bw
