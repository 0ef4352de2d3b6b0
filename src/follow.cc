#include "follow_base.h"

#include <algorithm>

#include "control_func.h"
#include "log_func.h"

namespace bw {
namespace {

constexpr milliseconds kRetryDelay{100};

}  // namespace

StreamFollower::StreamFollower(platform::LogService* log,
                               std::string stream,
                               milliseconds wait,
                               StreamListener* listener)
    : log_(log), stream_(std::move(stream)), wait_(wait), listener_(listener) {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

StreamFollower::~StreamFollower() = default;

void StreamFollower::Run(const std::stop_token& stop) {
  Offset from = 0;
  bool was_readable = true;
  while (!stop.stop_requested()) {
    const Time requested_at = BootClock::now();
    const bool read = HandleFailure(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_AUTO(batch, log_->Read(stream_, from, wait_));
          from = listener_->OnBatch(batch);
          if (from >= batch.next) {
            listener_->OnCaughtUp(requested_at);
          }
          return true;
        },
        [](const Failure&) { return false; });
    if (read != was_readable) {
      Log(Part::kLogClient, LogLevel::kWarn, "Stream {} is {}.", stream_,
          read ? "readable again" : "not readable");
      was_readable = read;
    }
    if (!read) {
      listener_->OnReadFailed();
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

ControlFollower::ControlFollower()
    : published_(std::make_shared<const ControlState>()) {}

ControlFollower::StatePtr ControlFollower::state() const {
  std::lock_guard lock(mutex_);
  return published_;
}

Time ControlFollower::tail_asked() const {
  std::lock_guard lock(mutex_);
  return tail_requested_at_;
}

void ControlFollower::Publish() {
  StatePtr state;
  {
    std::lock_guard lock(mutex_);
    if (working_.version != published_->version) {
      published_ = std::make_shared<const ControlState>(working_);
    }
    state = published_;
  }
  if (listener_) {
    listener_(state, false, kNever);
  }
}

bool ControlFollower::AdoptSnapshot(const std::string& snapshot) {
  auto state = ReadSnapshot(snapshot);
  {
    std::lock_guard lock(mutex_);
    if (!state || state->version <= working_.version) {
      return false;
    }
    working_ = std::move(*state);
  }
  Publish();
  return true;
}

bool ControlFollower::RestoreSnapshot(const platform::LogBatch& batch) {
  for (const auto& it : batch.records) {
    auto state = ParseSnapshotRecord(it.data);
    if (!state) {
      continue;
    }
    std::lock_guard lock(mutex_);
    if (state->version >= batch.first && state->version > working_.version) {
      working_ = std::move(*state);
      return true;
    }
  }
  return false;
}

void ControlFollower::ApplyBatch(const platform::LogBatch& batch) {
  for (const auto& it : batch.records) {
    std::optional<ChangeResult> result;
    {
      std::lock_guard lock(mutex_);
      if (ParseSnapshotRecord(it.data)) {
        snapshot_offset_ = it.offset;
        snapshot_read_at_ = BootClock::now();
      }
      if (it.offset != working_.version) {
        continue;
      }
      result = ApplyRecord(&working_, it.offset, it.data);
    }
    if (result && result_listener_) {
      result_listener_(*result);
    }
  }
}

Offset ControlFollower::OnBatch(const platform::LogBatch& batch) {
  Offset version = 0;
  {
    std::lock_guard lock(mutex_);
    version = working_.version;
    first_retained_ = batch.first;
  }
  has_gap_ = version < batch.first;
  if (has_gap_ && !RestoreSnapshot(batch)) {
    Log(Part::kLogClient, LogLevel::kWarn,
        "The log retains records from offset {} on; this reader is at offset "
        "{}.",
        batch.first, version);
    std::this_thread::sleep_for(kRetryDelay);
    return version;
  }
  has_gap_ = false;
  ApplyBatch(batch);
  if (!batch.records.empty()) {
    Publish();
  }
  std::lock_guard lock(mutex_);
  return working_.version;
}

void ControlFollower::OnCaughtUp(Time requested_at) {
  StatePtr state;
  {
    std::lock_guard lock(mutex_);
    tail_requested_at_ = std::max(tail_requested_at_, requested_at);
    state = published_;
  }
  if (listener_) {
    listener_(state, true, requested_at);
  }
}

bool ControlFollower::SnapshotDue(Time now, Duration every) const {
  std::lock_guard lock(mutex_);
  if (working_.version == 0 || has_gap_) {
    return false;
  }
  const bool trimmed = snapshot_offset_ < first_retained_;
  const bool old =
      snapshot_read_at_ == kNever || now - snapshot_read_at_ > every;
  return trimmed || (old && working_.version > snapshot_offset_ + 1);
}

}  // namespace bw
