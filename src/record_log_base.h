// Appends a cell's records to the store as a fenced producer: in order, exactly
// once, batched, and with a few calls in flight. Records that the store can
// never accept are dropped and do not hold up others.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "event_loop_base.h"
#include "platform/store.h"

namespace bw {

/// Limits of the store, in bytes.
struct RecordLimits {
  size_t max_call = 1 << 20;      ///< Most bytes of the records of one call.
  size_t max_record = 256 << 10;  ///< Largest record.

  auto operator<=>(const RecordLimits&) const = default;
};

/// Belongs to the core thread.
class RecordLog {
 public:
  /// @param stored False if the store will never accept the records; some of
  /// them may be stored, but only the first ones.
  using Done = std::function<void(bool stored)>;

  /// @param on_fenced Runs when a producer with a higher epoch has written, or
  /// when an append failed in such a way that it is unknown what is stored.
  /// @pre `store` and `core` outlive the log.
  RecordLog(platform::Store* store,
            EventLoop* core,
            uint64_t epoch,
            RecordLimits limits,
            std::function<void()> on_fenced);
  ~RecordLog();

  /// Queues records, which are stored in this order: together if they fit into
  /// one call, else in several. `done` runs once they are stored or refused, in
  /// the order of the Append calls, and never if the log is destroyed first.
  /// @return A number for CancelUnsent.
  uint64_t Append(std::vector<std::string> records, Done done);

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
    uint64_t refused = 0;     ///< Batches that were dropped, cumulative.
    size_t queued = 0;        ///< Batches that were not sent yet.
  };
  Counts Count() const;

  bool IsEmpty() const { return calls_.empty() && queued_.empty(); }
  /// @return True if more is queued than fits into one call.
  bool HasBacklog() const { return queued_bytes_ > limits_.max_call; }

 private:
  struct Batch {
    uint64_t number = 0;
    std::vector<std::string> records;
    Done done;             ///< Empty unless it is the last part of its batch.
    bool is_sent = false;  ///< It, or an earlier part of it, was sent.
    bool refused = false;
  };
  /// One append call to the store, repeated with the same records until stored.
  struct Call {
    uint64_t sequence = 0;
    std::vector<Batch> batches;
    bool stored = false;
    bool sending = false;  ///< Waits for a reply.
    bool refused = false;  ///< The store took it for invalid.
    /// An attempt got no reply and may still be executed.
    bool may_be_late = false;
    Time send_at = kNever;  ///< Earliest time of the next attempt.
    Time first_sent = kNever;
    Time last_sent = kNever;
  };
  Call NextCall();
  void Take(Batch batch, size_t* bytes, Call* call);
  void Send(Call* call);
  void IsolateRefused();
  void Drop(Batch* batch);
  void OnReply(uint64_t sequence, const platform::AppendResponse& response);
  void CompleteStored();

  platform::Store* const store_;
  EventLoop* const core_;
  const uint64_t epoch_;
  const RecordLimits limits_;
  const std::function<void()> on_fenced_;
  std::deque<Batch> queued_;
  size_t queued_bytes_ = 0;  ///< Of the records in `queued_`, with framing.
  /// The first batches of `queued_` were refused together. Each of them gets a
  /// call of its own, with no other in flight, to find the invalid one.
  size_t isolated_ = 0;
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
