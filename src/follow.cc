#include "follow_base.h"

#include <algorithm>

#include "control_func.h"
#include "log_func.h"

namespace bw {
namespace {

constexpr milliseconds kRetryPause{100};

}  // namespace

StreamFollower::StreamFollower(platform::LogService* log,
                               std::string stream,
                               milliseconds wait,
                               FollowSink* sink)
    : log_(log), stream_(std::move(stream)), wait_(wait), sink_(sink) {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

StreamFollower::~StreamFollower() = default;

void StreamFollower::Run(const std::stop_token& stop) {
  Offset from = 0;
  bool was_readable = true;
  while (!stop.stop_requested()) {
    const Time asked = BootClock::now();
    const bool read = Handle(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_AUTO(batch, log_->Read(stream_, from, wait_));
          from = sink_->OnBatch(batch);
          if (from >= batch.next) {
            sink_->OnTail(asked);
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
      sink_->OnReadFailed();
      std::this_thread::sleep_for(kRetryPause);
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
  return tail_asked_;
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

bool ControlFollower::Adopt(const std::string& snapshot) {
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

bool ControlFollower::CloseGap(const platform::LogBatch& batch) {
  for (const auto& it : batch.records) {
    auto state = SnapshotIn(it.data);
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

void ControlFollower::ApplyFrom(const platform::LogBatch& batch) {
  for (const auto& it : batch.records) {
    std::optional<Verdict> verdict;
    {
      std::lock_guard lock(mutex_);
      if (SnapshotIn(it.data)) {
        snapshot_offset_ = it.offset;
        snapshot_seen_ = BootClock::now();
      }
      if (it.offset != working_.version) {
        continue;
      }
      verdict = ApplyRecord(&working_, it.offset, it.data);
    }
    if (verdict && on_verdict_) {
      on_verdict_(*verdict);
    }
  }
}

Offset ControlFollower::OnBatch(const platform::LogBatch& batch) {
  Offset version = 0;
  {
    std::lock_guard lock(mutex_);
    version = working_.version;
    first_ = batch.first;
  }
  has_gap_ = version < batch.first;
  if (has_gap_ && !CloseGap(batch)) {
    Log(Part::kLogClient, LogLevel::kWarn,
        "The log keeps records from {} on, this reader is at {}.", batch.first,
        version);
    std::this_thread::sleep_for(kRetryPause);
    return version;
  }
  has_gap_ = false;
  ApplyFrom(batch);
  if (!batch.records.empty()) {
    Publish();
  }
  std::lock_guard lock(mutex_);
  return working_.version;
}

void ControlFollower::OnTail(Time asked) {
  StatePtr state;
  {
    std::lock_guard lock(mutex_);
    tail_asked_ = std::max(tail_asked_, asked);
    state = published_;
  }
  if (listener_) {
    listener_(state, true, asked);
  }
}

bool ControlFollower::SnapshotDue(Time now, Duration every) const {
  std::lock_guard lock(mutex_);
  if (working_.version == 0 || has_gap_) {
    return false;
  }
  const bool trimmed = snapshot_offset_ < first_;
  const bool old = snapshot_seen_ == kNever || now - snapshot_seen_ > every;
  return trimmed || (old && working_.version > snapshot_offset_ + 1);
}

}  // namespace bw
