// Appends a cell's records to the store as a fenced producer: in order, exactly
// once, batched, and with a few calls in flight.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event_loop_base.h"
#include "platform/store.h"

namespace bw {

/// Belongs to the core thread.
class RecordLog {
 public:
  /// @param on_fenced Runs when a producer with a higher epoch has written, or
  /// when an append failed in such a way that it is unknown what is stored.
  /// @pre `store` and `core` outlive the log.
  RecordLog(platform::Store* store,
            EventLoop* core,
            uint64_t epoch,
            size_t max_call_bytes,
            std::function<void()> on_fenced);
  ~RecordLog();

  /// Queues records that are stored atomically. `done` runs once they are
  /// stored, and never if the log is destroyed first. @return A number for
  /// CancelUnsent.
  uint64_t Append(std::vector<std::string> records, std::function<void()> done);

  /// Removes records that were not sent yet. @return False if they were sent
  /// and may be stored.
  bool CancelUnsent(uint64_t number);

  /// Sends queued records and repeats refused calls whose delay has passed.
  void Flush(Time now);

  /// @return Time since the oldest unfinished call was first sent; zero if
  /// there is none.
  Duration StalledFor(Time now) const;

  /// Statistics for logs.
  struct Counts {
    uint64_t calls = 0;       ///< Appends stored, cumulative.
    uint64_t records = 0;     ///< Records sent, cumulative.
    uint64_t bytes = 0;       ///< Bytes of those records, cumulative.
    uint64_t latency_ms = 0;  ///< Moving average of an append's latency.
    size_t queued = 0;        ///< Batches that were not sent yet.
  };
  Counts Count() const;

  bool IsEmpty() const { return calls_.empty() && queued_.empty(); }

 private:
  struct Batch {
    uint64_t number = 0;
    std::vector<std::string> records;
    std::function<void()> done;
  };
  /// One append call to the store, repeated with the same records until stored.
  struct Call {
    uint64_t sequence = 0;
    std::vector<Batch> batches;
    bool stored = false;
    bool sending = false;   ///< Waits for a reply.
    Time send_at = kNever;  ///< Earliest time of the next attempt.
    Time first_sent = kNever;
    Time last_sent = kNever;
  };
  Call NextCall();
  void Send(Call* call);
  void OnReply(uint64_t sequence, const platform::AppendResponse& response);
  void CompleteStored();

  platform::Store* const store_;
  EventLoop* const core_;
  const uint64_t epoch_;
  const size_t max_call_bytes_;
  const std::function<void()> on_fenced_;
  std::deque<Batch> queued_;
  std::deque<Call> calls_;  ///< In the order of their sequence numbers.
  uint64_t last_number_ = 0;
  uint64_t next_sequence_ = 1;
  bool first_append_ = true;  ///< No append of this epoch has succeeded.
  Time newest_call_at_ = kNever;
  Counts counters_;              ///< Only the cumulative fields are used.
  Duration average_latency_{0};  ///< Moving average of an append's latency.
  platform::StoreStatus last_failure_ = platform::StoreStatus::kOk;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// The producer name that all owners use; each owner has a higher epoch.
inline constexpr const char* kCellProducer = "cell";

}  // namespace bw
