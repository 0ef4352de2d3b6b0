#include "record_log_base.h"

#include <algorithm>

#include "event_log_func.h"
#include "membership_base.h"

namespace bw {
namespace {

/// A slow store takes some 400 ms; an append without an answer is repeated.
constexpr milliseconds kAppendTimeout{1500};
constexpr milliseconds kRefusedPause{50};
constexpr milliseconds kOvertookPause{10};
/// Calls under way at once; the store knows the last five again.
constexpr size_t kMaxCalls = 4;
/// Least time between two calls, unless none is under way.
constexpr milliseconds kCallSpacing{20};
/// Weight of the newest answer in the usual time of an answer.
constexpr int kNewestPart = 4;
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

/// Takes as many batches as fit into one call.
RecordLog::Call RecordLog::NextCall() {
  Call out;
  size_t bytes = 0;
  size_t records = 0;
  while (!waiting_.empty()) {
    size_t more = 0;
    for (const auto& it : waiting_.front().records) {
      more += it.size() + kFrameBytes;
    }
    if (!out.batches.empty() && bytes + more > max_call_bytes_) {
      break;
    }
    bytes += more;
    records += waiting_.front().records.size();
    out.batches.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  if (records == 0) {
    out.stored = true;  // Only waits for the calls before it.
  } else {
    out.sequence = next_sequence_++;
  }
  return out;
}

void RecordLog::Flush(Time now) {
  // The numbering is known only after the first answer.
  const size_t most = first_ ? 1 : kMaxCalls;
  // Calls to a slow store are spread over the time of an answer: sent together,
  // they would all be under way while the next records wait.
  const Duration spacing =
      std::max<Duration>(kCallSpacing, usual_answer_ / kMaxCalls);
  const bool soon = calls_.empty() || now - last_call_at_ >= spacing;
  if (!waiting_.empty() && calls_.size() < most && soon) {
    last_call_at_ = now;
    calls_.push_back(NextCall());
    calls_.back().first_sent = now;
  }
  for (auto& it : calls_) {
    if (!it.stored && !it.sending && now >= it.send_at) {
      it.last_sent = now;
      Send(&it);
    }
  }
  FinishStored();
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
       sequence = call->sequence](const platform::AppendAnswer& answer) {
        core->PostWaiting([this, alive, sequence, answer] {
          if (*alive) {
            OnAnswer(sequence, answer);
          }
        });
      });
}

void RecordLog::OnAnswer(uint64_t sequence,
                         const platform::AppendAnswer& answer) {
  auto call = std::find_if(calls_.begin(), calls_.end(), [&](const Call& it) {
    return it.sequence == sequence && !it.stored;
  });
  if (call == calls_.end()) {
    return;
  }
  call->sending = false;
  const Time now = BootClock::now();
  const bool out_of_order = answer.status == platform::StoreStatus::kOutOfOrder;
  const bool repeated_late =
      out_of_order && !first_ && answer.expected_sequence > sequence;
  if (answer.status == platform::StoreStatus::kOk || repeated_late) {
    first_ = false;
    last_failure_ = platform::StoreStatus::kOk;
    call->stored = true;
    usual_answer_ += (now - call->last_sent - usual_answer_) / kNewestPart;
    FinishStored();
    return;
  }
  if (out_of_order && first_) {
    // The first append of this epoch: only the numbering differs.
    call->sequence = answer.expected_sequence;
    next_sequence_ = answer.expected_sequence + 1;
    call->last_sent = now;
    Send(&*call);
    return;
  }
  if (answer.status != last_failure_) {
    last_failure_ = answer.status;
    LogEvent(Part::kLogClient, "append_failed",
             {{"status", platform::StatusName(answer.status)},
              {"epoch", epoch_},
              {"sequence", sequence},
              {"expected", answer.expected_sequence}});
  }
  switch (answer.status) {
    case platform::StoreStatus::kUnknown:
      call->last_sent = now;
      Send(&*call);
      return;
    case platform::StoreStatus::kOutOfOrder:  // Overtook the call before it.
      call->send_at = now + kOvertookPause;
      return;
    case platform::StoreStatus::kRefused:
    case platform::StoreStatus::kNotSent:
    case platform::StoreStatus::kFull:
      call->send_at = now + kRefusedPause;
      return;
    default:
      on_fenced_();
  }
}

/// Tells what is stored, in order.
void RecordLog::FinishStored() {
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
