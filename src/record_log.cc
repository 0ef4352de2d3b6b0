#include "record_log_base.h"

#include <algorithm>

#include "event_log_func.h"
#include "membership_base.h"
#include "platform/store.h"

namespace bw {
namespace {

/// An append without a reply is repeated after this. A slow store takes about
/// 400 ms.
constexpr milliseconds kAppendTimeout{1500};
constexpr milliseconds kRefusedPause{50};
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

size_t BytesOf(const std::string& record) {
  return record.size() + kFrameBytes;
}

size_t BytesOf(const std::vector<std::string>& records) {
  size_t out = 0;
  for (const auto& it : records) {
    out += BytesOf(it);
  }
  return out;
}

}  // namespace

RecordLog::RecordLog(platform::Store* store,
                     EventLoop* core,
                     uint64_t epoch,
                     RecordLimits limits,
                     std::function<void()> on_fenced)
    : store_(store),
      core_(core),
      epoch_(epoch),
      limits_(limits),
      on_fenced_(std::move(on_fenced)) {}

RecordLog::~RecordLog() {
  *alive_ = false;
}

uint64_t RecordLog::Append(std::vector<std::string> records, Done done) {
  Batch batch{++last_number_, std::move(records), std::move(done)};
  const bool too_large = std::any_of(
      batch.records.begin(), batch.records.end(),
      [&](const auto& it) { return it.size() > limits_.max_record; });
  if (too_large) {
    Drop(&batch);
  }
  queued_bytes_ += BytesOf(batch.records);
  queued_.push_back(std::move(batch));
  return last_number_;
}

bool RecordLog::CancelUnsent(uint64_t number) {
  auto it = std::find_if(queued_.begin(), queued_.end(),
                         [&](const Batch& b) { return b.number == number; });
  if (it == queued_.end() || it->is_sent) {
    return false;
  }
  queued_bytes_ -= BytesOf(it->records);
  queued_.erase(it);
  return true;
}

/// Drops the records of a batch. Its callback keeps its turn.
void RecordLog::Drop(Batch* batch) {
  nlohmann::json keys = nlohmann::json::array();
  for (const auto& it : batch->records) {
    constexpr size_t kMaxKeys = 4;
    if (keys.size() < kMaxKeys) {
      keys.push_back(platform::ReadKeyedRecord(it).key);
    }
  }
  LogEvent(Part::kLogClient, "records_refused",
           {{"epoch", epoch_},
            {"keys", keys},
            {"records", batch->records.size()},
            {"bytes", BytesOf(batch->records)}});
  ++counters_.refused;
  batch->records.clear();
  batch->refused = true;
}

void RecordLog::Take(Batch batch, size_t* bytes, Call* call) {
  const size_t more = BytesOf(batch.records);
  *bytes += more;
  queued_bytes_ -= more;
  counters_.records += batch.records.size();
  counters_.bytes += more;
  call->batches.push_back(std::move(batch));
}

/// Moves as many queued batches as fit into one call. A batch that exceeds a
/// call is moved in parts.
RecordLog::Call RecordLog::NextCall() {
  Call out;
  size_t bytes = 0;
  const size_t max_batches = isolated_ > 0 ? 1 : queued_.size();
  while (!queued_.empty() && out.batches.size() < max_batches) {
    Batch& front = queued_.front();
    if (bytes + BytesOf(front.records) <= limits_.max_call) {
      Take(std::move(front), &bytes, &out);
      queued_.pop_front();
      isolated_ -= isolated_ > 0 ? 1 : 0;
      continue;
    }
    if (!out.batches.empty()) {
      break;
    }
    Batch part;
    part.number = front.number;
    size_t part_bytes = 0;
    auto end = front.records.begin();
    do {
      part_bytes += BytesOf(*end);
      ++end;
    } while (end != front.records.end() &&
             part_bytes + BytesOf(*end) <= limits_.max_call);
    part.records.assign(std::make_move_iterator(front.records.begin()),
                        std::make_move_iterator(end));
    front.records.erase(front.records.begin(), end);
    front.is_sent = true;
    Take(std::move(part), &bytes, &out);
    break;
  }
  if (bytes == 0) {
    out.stored = true;  // Nothing to send; finishes after the calls before it.
  } else {
    out.sequence = next_sequence_++;
  }
  return out;
}

void RecordLog::Flush(Time now) {
  // The next sequence number is known only after the first append.
  const size_t max_calls =
      first_append_ || isolated_ > 0 ? 1 : kMaxCallsInFlight;
  // Spreads calls to a slow store over the latency of one append. Sent
  // together, they would occupy all slots while later records wait.
  const Duration spacing =
      std::max<Duration>(kMinCallSpacing, average_latency_ / kMaxCallsInFlight);
  const bool spaced = calls_.empty() || now - newest_call_at_ >= spacing;
  const bool any_refused = std::any_of(
      calls_.begin(), calls_.end(), [](const Call& it) { return it.refused; });
  if (!queued_.empty() && calls_.size() < max_calls && spaced && !any_refused) {
    newest_call_at_ = now;
    calls_.push_back(NextCall());
    calls_.back().first_sent = now;
  }
  for (auto& it : calls_) {
    if (it.refused) {
      break;  // Later calls can only be stored after it.
    }
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
  const auto alive = alive_;  // Callbacks may destroy the log.
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
    if (*alive) {
      IsolateRefused();
    }
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
      call->may_be_late = true;
      if (std::any_of(calls_.begin(), call,
                      [](const Call& it) { return it.refused; })) {
        IsolateRefused();
        return;
      }
      call->last_sent = now;
      Send(&*call);
      return;
    case platform::StoreStatus::kOutOfOrder:  // Overtook its predecessor.
      call->send_at = now + kOutOfOrderPause;
      IsolateRefused();
      return;
    case platform::StoreStatus::kRefused:
    case platform::StoreStatus::kNotSent:
    case platform::StoreStatus::kFull:
      call->send_at = now + kRefusedPause;
      IsolateRefused();
      return;
    case platform::StoreStatus::kInvalid:
      call->refused = true;
      IsolateRefused();
      return;
    default:
      on_fenced_();
  }
}

/// Once the calls before a refused call are stored and no later call is in
/// flight: drops the batch that the store takes for invalid, or queues all
/// batches again so that the invalid one can be found.
void RecordLog::IsolateRefused() {
  if (calls_.empty() || !calls_.front().refused ||
      std::any_of(calls_.begin(), calls_.end(),
                  [](const Call& it) { return it.sending; })) {
    return;
  }
  if (std::any_of(calls_.begin() + 1, calls_.end(),
                  [](const Call& it) { return it.may_be_late; })) {
    // A copy of a later call could be stored under a sequence number that is
    // about to be used for other records. The next owner has an epoch of its
    // own.
    LogEvent(Part::kLogClient, "append_in_doubt", {{"epoch", epoch_}});
    on_fenced_();
    return;
  }
  std::deque<Batch> unsent;
  for (auto& call : calls_) {
    for (auto& it : call.batches) {
      it.is_sent = true;
      queued_bytes_ += BytesOf(it.records);
      unsent.push_back(std::move(it));
    }
  }
  const size_t refused = calls_.front().batches.size();
  next_sequence_ = calls_.front().sequence;
  calls_.clear();
  if (refused == 1) {
    // The other parts of its batch are queued right behind it.
    const uint64_t number = unsent.front().number;
    for (auto* batches : {&unsent, &queued_}) {
      for (auto it = batches->begin();
           it != batches->end() && it->number == number; ++it) {
        queued_bytes_ -= BytesOf(it->records);
        Drop(&*it);
      }
    }
  }
  isolated_ += refused;
  queued_.insert(queued_.begin(), std::make_move_iterator(unsent.begin()),
                 std::make_move_iterator(unsent.end()));
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
      if (it.done) {
        it.done(!it.refused);
      }
    }
  }
}

}  // namespace bw
