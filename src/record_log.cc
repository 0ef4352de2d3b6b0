#include "record_log_base.h"

#include <algorithm>

#include "event_log_func.h"
#include "membership_base.h"

namespace bw {
namespace {

/// An append without a reply is repeated after this. A slow store takes about
/// 400 ms.
constexpr milliseconds kAppendTimeout{1500};
constexpr milliseconds kRefusedPause{50};
/// Delay before an append that the store takes for invalid is repeated.
constexpr milliseconds kInvalidPause{1000};
/// Delay before an append that overtook its predecessor is repeated.
constexpr milliseconds kOutOfOrderPause{10};
/// Most calls in flight. The store detects a repeated append only among the
/// producer's last five.
constexpr size_t kMaxCallsInFlight = 4;
/// Shortest time between two new calls while others are in flight.
constexpr milliseconds kMinCallSpacing{20};
/// The newest latency counts for 1 / this in the moving average.
constexpr int kAverageDivisor = 4;
/// Bytes of the store's framing per record.
constexpr size_t kFrameBytes = 4;

}  // namespace

RecordLog::RecordLog(platform::Store* store,
                     EventLoop* core,
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

uint64_t RecordLog::Append(std::vector<std::string> records,
                           std::function<void()> done) {
  queued_.push_back({++last_number_, std::move(records), std::move(done)});
  return last_number_;
}

bool RecordLog::CancelUnsent(uint64_t number) {
  auto it = std::find_if(queued_.begin(), queued_.end(),
                         [&](const Batch& b) { return b.number == number; });
  if (it == queued_.end()) {
    return false;
  }
  queued_.erase(it);
  return true;
}

/// Moves as many queued batches as fit into one call.
RecordLog::Call RecordLog::NextCall() {
  Call out;
  size_t bytes = 0;
  size_t records = 0;
  while (!queued_.empty()) {
    size_t more = 0;
    for (const auto& it : queued_.front().records) {
      more += it.size() + kFrameBytes;
    }
    if (!out.batches.empty() && bytes + more > max_call_bytes_) {
      break;
    }
    bytes += more;
    records += queued_.front().records.size();
    out.batches.push_back(std::move(queued_.front()));
    queued_.pop_front();
  }
  counters_.records += records;
  counters_.bytes += bytes;
  if (records == 0) {
    out.stored = true;  // Nothing to send; finishes after the calls before it.
  } else {
    out.sequence = next_sequence_++;
  }
  return out;
}

void RecordLog::Flush(Time now) {
  // The next sequence number is known only after the first append.
  const size_t max_calls = first_append_ ? 1 : kMaxCallsInFlight;
  // Spreads calls to a slow store over the latency of one append. Sent
  // together, they would occupy all slots while later records wait.
  const Duration spacing =
      std::max<Duration>(kMinCallSpacing, average_latency_ / kMaxCallsInFlight);
  const bool spaced = calls_.empty() || now - newest_call_at_ >= spacing;
  if (!queued_.empty() && calls_.size() < max_calls && spaced) {
    newest_call_at_ = now;
    calls_.push_back(NextCall());
    calls_.back().first_sent = now;
  }
  for (auto& it : calls_) {
    if (!it.stored && !it.sending && now >= it.send_at) {
      it.last_sent = now;
      Send(&it);
    }
  }
  CompleteStored();
}

RecordLog::Counts RecordLog::Count() const {
  Counts out = counters_;
  out.latency_ms = static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(average_latency_).count());
  out.queued = queued_.size();
  return out;
}

Duration RecordLog::StalledFor(Time now) const {
  return calls_.empty() ? Duration::zero() : now - calls_.front().first_sent;
}

void RecordLog::Send(Call* call) {
  call->sending = true;
  platform::StoreAppend append;
  append.partition = CellPartition();
  append.producer = kCellProducer;
  append.epoch = epoch_;
  append.sequence = call->sequence;
  for (const auto& batch : call->batches) {
    append.records.insert(append.records.end(), batch.records.begin(),
                          batch.records.end());
  }
  store_->Append(
      std::move(append), kAppendTimeout,
      [this, core = core_, alive = alive_,
       sequence = call->sequence](const platform::AppendResponse& response) {
        core->PostBlocking([this, alive, sequence, response] {
          if (*alive) {
            OnReply(sequence, response);
          }
        });
      });
}

void RecordLog::OnReply(uint64_t sequence,
                        const platform::AppendResponse& response) {
  auto call = std::find_if(calls_.begin(), calls_.end(), [&](const Call& it) {
    return it.sequence == sequence && !it.stored;
  });
  if (call == calls_.end()) {
    return;
  }
  call->sending = false;
  const Time now = BootClock::now();
  const bool out_of_order =
      response.status == platform::StoreStatus::kOutOfOrder;
  const bool repeated_late =
      out_of_order && !first_append_ && response.expected_sequence > sequence;
  if (response.status == platform::StoreStatus::kOk || repeated_late) {
    first_append_ = false;
    last_failure_ = platform::StoreStatus::kOk;
    call->stored = true;
    ++counters_.calls;
    average_latency_ +=
        (now - call->last_sent - average_latency_) / kAverageDivisor;
    CompleteStored();
    return;
  }
  if (out_of_order && first_append_) {
    // The first append of this epoch learns the sequence number from the store.
    call->sequence = response.expected_sequence;
    next_sequence_ = response.expected_sequence + 1;
    call->last_sent = now;
    Send(&*call);
    return;
  }
  if (response.status != last_failure_) {
    last_failure_ = response.status;
    LogEvent(Part::kLogClient, "append_failed",
             {{"status", platform::StatusName(response.status)},
              {"epoch", epoch_},
              {"sequence", sequence},
              {"expected", response.expected_sequence}});
  }
  switch (response.status) {
    case platform::StoreStatus::kUnknown:
      call->last_sent = now;
      Send(&*call);
      return;
    case platform::StoreStatus::kOutOfOrder:  // Overtook its predecessor.
      call->send_at = now + kOutOfOrderPause;
      return;
    case platform::StoreStatus::kRefused:
    case platform::StoreStatus::kNotSent:
    case platform::StoreStatus::kFull:
      call->send_at = now + kRefusedPause;
      return;
    case platform::StoreStatus::kInvalid:
      // Another owner would send the same: it is no reason to resign.
      call->send_at = now + kInvalidPause;
      return;
    default:
      on_fenced_();
  }
}

/// Runs the callbacks of stored calls in order.
void RecordLog::CompleteStored() {
  const auto alive = alive_;
  while (*alive && !calls_.empty() && calls_.front().stored) {
    const Call call = std::move(calls_.front());
    calls_.pop_front();
    for (const auto& it : call.batches) {
      if (!*alive) {
        return;
      }
      it.done();
    }
  }
}

}  // namespace bw
