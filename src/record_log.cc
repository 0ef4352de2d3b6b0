#include "record_log_base.h"

#include <algorithm>

#include "event_log_func.h"
#include "membership_base.h"

namespace bw {
namespace {

/// A slow store takes some 400 ms; an append without an answer is repeated.
constexpr milliseconds kAppendTimeout{1500};
constexpr milliseconds kRefusedPause{50};
/// Bytes that the store's framing adds to a record.
constexpr size_t kFrameBytes = 4;

}  // namespace

RecordLog::RecordLog(platform::Store* store,
                     Loop* core,
                     uint64_t epoch,
                     size_t max_call_bytes,
                     std::function<void()> on_fenced)
    : store_(store),
      core_(core),
      epoch_(epoch),
      max_call_bytes_(max_call_bytes),
      on_fenced_(std::move(on_fenced)) {}

RecordLog::~RecordLog() {
  *alive_ = false;
}

uint64_t RecordLog::Keep(std::vector<std::string> records,
                         std::function<void()> done) {
  waiting_.push_back({++last_number_, std::move(records), std::move(done)});
  return last_number_;
}

bool RecordLog::Withdraw(uint64_t number) {
  auto it = std::find_if(waiting_.begin(), waiting_.end(),
                         [&](const Batch& b) { return b.number == number; });
  if (it == waiting_.end()) {
    return false;
  }
  waiting_.erase(it);
  return true;
}

void RecordLog::Flush(Time now) {
  if (sending_ || now < retry_at_) {
    return;
  }
  if (in_flight_.empty()) {
    size_t bytes = 0;
    size_t records = 0;
    while (!waiting_.empty()) {
      size_t more = 0;
      for (const auto& it : waiting_.front().records) {
        more += it.size() + kFrameBytes;
      }
      if (!in_flight_.empty() && bytes + more > max_call_bytes_) {
        break;
      }
      bytes += more;
      records += waiting_.front().records.size();
      in_flight_.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
    if (records == 0) {
      FinishInFlight();
      return;
    }
  }
  Send();
}

void RecordLog::Send() {
  sending_ = true;
  platform::StoreAppend append;
  append.partition = CellPartition();
  append.producer = kCellProducer;
  append.epoch = epoch_;
  append.sequence = sequence_;
  for (const auto& batch : in_flight_) {
    append.records.insert(append.records.end(), batch.records.begin(),
                          batch.records.end());
  }
  store_->Append(std::move(append), kAppendTimeout,
                 [this, core = core_,
                  alive = alive_](const platform::AppendAnswer& answer) {
                   core->PostWaiting([this, alive, answer] {
                     if (*alive) {
                       OnAnswer(answer);
                     }
                   });
                 });
}

void RecordLog::OnAnswer(const platform::AppendAnswer& answer) {
  sending_ = false;
  const bool repeated_late =
      answer.status == platform::StoreStatus::kOutOfOrder && !first_ &&
      answer.expected_sequence == sequence_ + 1;
  if (answer.status == platform::StoreStatus::kOk || repeated_late) {
    first_ = false;
    last_failure_ = platform::StoreStatus::kOk;
    ++sequence_;
    FinishInFlight();
    return;
  }
  if (answer.status == platform::StoreStatus::kOutOfOrder && first_) {
    // The first append of this epoch: only the numbering differs.
    sequence_ = answer.expected_sequence;
    Send();
    return;
  }
  if (answer.status != last_failure_) {
    last_failure_ = answer.status;
    LogEvent(Part::kLogClient, "append_failed",
             {{"status", platform::StatusName(answer.status)},
              {"epoch", epoch_},
              {"sequence", sequence_},
              {"expected", answer.expected_sequence}});
  }
  switch (answer.status) {
    case platform::StoreStatus::kUnknown:
      Send();
      return;
    case platform::StoreStatus::kRefused:
    case platform::StoreStatus::kNotSent:
    case platform::StoreStatus::kFull:
      retry_at_ = BootClock::now() + kRefusedPause;
      return;
    default:
      on_fenced_();
  }
}

void RecordLog::FinishInFlight() {
  auto stored = std::move(in_flight_);
  in_flight_.clear();
  const auto alive = alive_;
  for (auto& it : stored) {
    it.done();
    if (!*alive) {
      return;
    }
  }
}

}  // namespace bw
