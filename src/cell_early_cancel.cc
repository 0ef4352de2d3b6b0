// Cancels of jobs that are not known. The submission may have been held up, in
// a frozen instance or by the network, and arrive after the cancel was
// answered: it must not run then, so the cancel is stored and the submission
// refused.

#include <utility>

#include "cell_base.h"
#include "event_log_func.h"
#include "platform/store.h"
#include "proto/bw.pb.h"

namespace bw {
namespace {

/// Cancels of unknown jobs that are remembered: of all accounts, and of one.
constexpr size_t kMaxEarlyCancels = 50'000;
constexpr size_t kMaxEarlyCancelsOfAccount = 10'000;

}  // namespace

/// Answers that there is no such job, once that will stay true.
void Cell::CancelUnknown(const JobId& id, const TeamId& team, CellDone done) {
  CellOutcome unknown = Refuse(CellStatus::kUnknownJob, "no such job");
  auto it = early_cancels_.find(id);
  if (it != early_cancels_.end() && it->second.team == team) {
    if (it->second.stored) {
      done(std::move(unknown));
    } else {
      it->second.waiting.emplace_back(std::move(done), std::move(unknown));
    }
    return;
  }
  if (it != early_cancels_.end()) {
    done(Refuse(CellStatus::kOtherAccount, "job of another account"));
    return;
  }
  if (!port_->IsStoreResponsive()) {
    done(Refuse(CellStatus::kStoreUnavailable, "store does not answer"));
    return;
  }
  size_t& count = early_cancel_counts_[team];
  if (early_cancels_.size() >= kMaxEarlyCancels ||
      count >= kMaxEarlyCancelsOfAccount) {
    done(Refuse(CellStatus::kOverloaded, "too many cancels of unknown jobs"));
    return;
  }
  ++count;
  LogEvent(Part::kPlacer, "unknown_job_cancelled",
           {{"job", id.value}, {"team", team.value}});
  EarlyCancel& added = early_cancels_[id];
  added.team = team;
  added.cancelled_ms = wall_ms_;
  added.waiting.emplace_back(std::move(done), std::move(unknown));
  proto::EarlyCancelRecord record;
  record.set_team(team.value);
  record.set_cancelled_ms(wall_ms_);
  port_->StoreRecords(
      {platform::MakeKeyedRecord("c:" + id.value, record.SerializeAsString())},
      [this, id](bool stored) { OnEarlyCancelStored(id, stored); });
}

void Cell::OnEarlyCancelStored(const JobId& id, bool stored) {
  const auto it = early_cancels_.find(id);
  if (it == early_cancels_.end()) {
    return;
  }
  it->second.stored = stored;
  const auto waiting = std::exchange(it->second.waiting, {});
  if (!stored) {
    EraseEarlyCancel(id);
  }
  for (const auto& [done, outcome] : waiting) {
    done(stored ? outcome
                : Refuse(CellStatus::kStoreUnavailable,
                         "the store refuses its record"));
  }
}

/// Refuses a new job that was cancelled before it arrived.
/// @return False if it was not; `done` is unchanged then.
bool Cell::RefuseCancelled(const JobId& id,
                           const TeamId& team,
                           CellDone* done) {
  const auto it = early_cancels_.find(id);
  if (it == early_cancels_.end() || it->second.team != team) {
    return false;
  }
  LogEvent(Part::kPlacer, "job_refused",
           {{"job", id.value}, {"why", "cancelled before"}});
  CellOutcome outcome =
      Refuse(CellStatus::kCancelledBefore, "cancelled before it was submitted");
  if (it->second.stored) {
    (*done)(std::move(outcome));
  } else {
    it->second.waiting.emplace_back(std::move(*done), std::move(outcome));
  }
  return true;
}

void Cell::EraseEarlyCancel(const JobId& id) {
  const auto node = early_cancels_.extract(id);
  const auto count = early_cancel_counts_.find(node.mapped().team);
  if (--count->second == 0) {
    early_cancel_counts_.erase(count);
  }
}

void Cell::LoadEarlyCancel(const JobId& id, const std::string& value) {
  proto::EarlyCancelRecord record;
  if (!record.ParseFromString(value)) {
    LogEvent(Part::kPlacer, "record_unreadable", {{"job", id.value}});
    return;
  }
  EarlyCancel& added = early_cancels_[id];
  added.team = TeamId(record.team());
  added.cancelled_ms = record.cancelled_ms();
  added.stored = true;
  ++early_cancel_counts_[added.team];
}

/// Forgets cancels after the time for which ended jobs are known.
void Cell::DropExpiredCancels(uint64_t wall_ms) {
  std::vector<JobId> expired;
  for (const auto& it : early_cancels_) {
    if (it.second.stored && wall_ms > it.second.cancelled_ms + RetentionMs()) {
      expired.push_back(it.first);
    }
  }
  std::vector<std::string> records;
  for (const auto& id : expired) {
    EraseEarlyCancel(id);
    records.push_back(platform::MakeKeyedRecord("c:" + id.value, ""));
  }
  if (!records.empty()) {
    port_->StoreRecords(std::move(records), [](bool) {});
  }
}

}  // namespace bw
