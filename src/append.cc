#include "append_base.h"

#include <algorithm>

namespace bw {
namespace {

constexpr size_t kRingSize = 65'536;
constexpr size_t kMaxRecordsPerAppend = 500;
constexpr milliseconds kAppendTimeout{3000};
constexpr milliseconds kRetryPause{200};

}  // namespace

Appender::Appender(platform::LogService* log,
                   Metrics* metrics,
                   milliseconds interval)
    : log_(log), metrics_(metrics), interval_(interval), ring_(kRingSize) {
  thread_ = std::jthread([this](const std::stop_token& it) { Run(it); });
}

Appender::~Appender() {
  thread_.request_stop();
  ring_.Close();
}

void Appender::Put(AppendItem item) {
  ++waiting_;
  if (!ring_.Push(item)) {
    --waiting_;
    if (item.done) {
      item.done(platform::AppendStatus::kNotStored);
    }
  }
}

void Appender::DrainRing(Time until) {
  while (auto item = ring_.PopUntil(until)) {
    items_.push_back(std::move(*item));
  }
}

void Appender::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (items_.empty()) {
      if (auto item = ring_.PopUntil(BootClock::now() + kRetryPause)) {
        items_.push_back(std::move(*item));
      }
    }
    DrainRing(kNever);
    if (!items_.empty()) {
      const Time began = BootClock::now();
      AppendBatch();
      DrainRing(began + interval_);
    }
  }
}

/// Appends the oldest record together with others of its stream.
void Appender::AppendBatch() {
  const std::string stream = items_.front().stream;
  std::vector<AppendItem> batch;
  for (auto it = items_.begin();
       it != items_.end() && batch.size() < kMaxRecordsPerAppend;) {
    if (it->stream == stream) {
      batch.push_back(std::move(*it));
      it = items_.erase(it);
    } else {
      ++it;
    }
  }
  std::vector<std::string> records;
  records.reserve(batch.size());
  for (const auto& it : batch) {
    records.push_back(it.record);
  }
  const auto result = log_->Append(stream, records, kAppendTimeout);
  metrics_->Count("bw_log_appends_total");
  metrics_->Count("bw_log_records_total", {}, records.size());
  const bool stored = result.status == platform::AppendStatus::kStored;
  for (auto& it : batch) {
    if (it.persistent && !stored) {
      items_.push_back(std::move(it));
      continue;
    }
    --waiting_;
    if (it.done) {
      it.done(result.status);
    }
  }
  if (!stored) {
    metrics_->Count("bw_log_append_failures_total");
    std::this_thread::sleep_for(kRetryPause);
  }
}

}  // namespace bw
