// Follows one stream of the log: reads on from an offset, notices when the
// retention has passed the reader, and tells when the tail was known.
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

/// What a follower tells its owner. Calls come on the follower's thread.
class FollowSink {
 public:
  virtual ~FollowSink() = default;

  /// Applies a batch. @return The offset to read from next.
  virtual Offset OnBatch(const platform::LogBatch& batch) = 0;

  /// The whole stream up to its tail is applied; the read was asked for at
  /// `asked`.
  virtual void OnTail(Time asked) = 0;

  /// A read failed.
  virtual void OnReadFailed() {}
};

/// Reads until destroyed. Thread-safe.
class StreamFollower {
 public:
  /// @pre `log` and `sink` outlive the follower.
  StreamFollower(platform::LogService* log,
                 std::string stream,
                 milliseconds wait,
                 FollowSink* sink);
  ~StreamFollower();

 private:
  void Run(const std::stop_token& stop);

  platform::LogService* const log_;
  const std::string stream_;
  const milliseconds wait_;
  FollowSink* const sink_;
  std::jthread thread_;
};

/// The fold of the control stream, shared by the threads of a process.
/// Never goes back to an older version. Thread-safe.
class ControlFollower : public FollowSink {
 public:
  using StatePtr = std::shared_ptr<const ControlState>;
  /// Called after each change, on the thread that brought it. The second
  /// argument is true when the tail was read, asked for at the third.
  using Listener = std::function<void(const StatePtr&, bool, Time)>;
  /// Called for each change record of the stream.
  using VerdictListener = std::function<void(const Verdict&)>;

  ControlFollower();

  /// @pre No follower is running yet.
  void SetListener(Listener listener) { listener_ = std::move(listener); }
  void SetVerdictListener(VerdictListener it) { on_verdict_ = std::move(it); }

  StatePtr state() const;

  /// Takes over a peer's fold if it is newer. @return True if it was.
  bool Adopt(const std::string& snapshot);

  /// @return True if the retention has passed this reader, so that only a
  /// peer's fold or a snapshot record helps.
  bool HasGap() const { return has_gap_; }

  /// @return True if a snapshot record is due, so that newcomers and slow
  /// readers find one within the retention.
  bool SnapshotDue(Time now, Duration every) const;

  /// @return When the last read of the tail was asked for.
  Time tail_asked() const;

  Offset OnBatch(const platform::LogBatch& batch) override;
  void OnTail(Time asked) override;

 private:
  bool CloseGap(const platform::LogBatch& batch);
  void ApplyFrom(const platform::LogBatch& batch);
  void Publish();

  Listener listener_;
  VerdictListener on_verdict_;
  mutable std::mutex mutex_;  ///< Guards the fields below.
  ControlState working_;
  StatePtr published_;
  Time tail_asked_ = kNever;
  Time snapshot_seen_ = kNever;
  Offset snapshot_offset_ = 0;  ///< Offset of the newest snapshot record.
  Offset first_ = 0;            ///< Oldest offset the log still has.
  std::atomic<bool> has_gap_{false};
};

}  // namespace bw
