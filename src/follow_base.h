// Follows one stream of the log: reads continuously from an offset, detects
// when records were removed by the retention before they were read, and reports
// when the reader has reached the tail.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "control_type.h"
#include "platform/log_service.h"

namespace bw {

/// Callbacks of a follower, called on the follower's thread.
class StreamListener {
 public:
  virtual ~StreamListener() = default;

  /// Applies a batch. @return The offset to read from next.
  virtual Offset OnBatch(const platform::LogBatch& batch) = 0;

  /// The stream is applied up to its tail, by a read requested at
  /// `requested_at`.
  virtual void OnCaughtUp(Time requested_at) = 0;

  /// A read failed.
  virtual void OnReadFailed() {}
};

/// Reads on a thread of its own until destroyed. Thread-safe.
class StreamFollower {
 public:
  /// @param wait Longest time a read waits for new records.
  /// @pre `log` and `listener` outlive the follower.
  StreamFollower(platform::LogService* log,
                 std::string stream,
                 milliseconds wait,
                 StreamListener* listener);
  ~StreamFollower();

 private:
  void Run(const std::stop_token& stop);

  platform::LogService* const log_;
  const std::string stream_;
  const milliseconds wait_;
  StreamListener* const listener_;
  std::jthread thread_;
};

/// The control state replayed from the control stream, shared by the threads of
/// a process. The version never decreases. Thread-safe.
class ControlFollower : public StreamListener {
 public:
  using StatePtr = std::shared_ptr<const ControlState>;
  /// Called on the thread that applied records, a snapshot or a read of the
  /// tail. The second argument is true if the tail was read; the third is the
  /// time that read was requested.
  using Listener = std::function<void(const StatePtr&, bool, Time)>;
  /// Called for each change record of the stream.
  using ResultListener = std::function<void(const ChangeResult&)>;

  ControlFollower();

  /// @pre No follower is running yet.
  void SetListener(Listener listener) { listener_ = std::move(listener); }
  void SetResultListener(ResultListener it) {
    result_listener_ = std::move(it);
  }

  StatePtr state() const;

  /// Adopts a peer's snapshot if it is newer. @return True if it was.
  bool AdoptSnapshot(const std::string& snapshot);

  /// @return True if the retention removed records that this reader has not
  /// read, so that it needs a peer's snapshot or a snapshot record.
  bool HasGap() const { return has_gap_; }

  /// @return True if a snapshot record is due, so that new and slow readers
  /// find one within the retention.
  /// @param every Longest time between snapshot records.
  bool SnapshotDue(Time now, Duration every) const;

  /// @return When the latest successful read of the tail was requested; kNever
  /// before the first.
  Time tail_asked() const;

  Offset OnBatch(const platform::LogBatch& batch) override;
  void OnCaughtUp(Time requested_at) override;

 private:
  /// Replaces a state older than the retention with a snapshot record of the
  /// batch. @return False if the batch has no suitable one.
  bool RestoreSnapshot(const platform::LogBatch& batch);
  void ApplyBatch(const platform::LogBatch& batch);
  void Publish();

  Listener listener_;
  ResultListener result_listener_;
  mutable std::mutex mutex_;  ///< Guards the fields below.
  ControlState working_;
  StatePtr published_;
  Time tail_requested_at_ = kNever;
  Time snapshot_read_at_ = kNever;
  Offset snapshot_offset_ = 0;  ///< Offset of the newest snapshot record.
  Offset first_retained_ = 0;   ///< Oldest offset that the log retains.
  std::atomic<bool> has_gap_{false};
};

}  // namespace bw
