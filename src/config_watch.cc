#include "config_watch_base.h"

#include "event_log_func.h"
#include "platform/configuration.h"

namespace bw {
namespace {

/// Long poll of the operator's records. The view is up to twice as old, which
/// must stay well within the time in which a key stops working.
constexpr milliseconds kPoll{600};
constexpr milliseconds kRetry{150};

const platform::Partition& OperatorPartition() {
  static const platform::Partition out{platform::kOperatorTopic, 0};
  return out;
}

}  // namespace

ConfigWatch::ConfigWatch(platform::Store* store, Loop* core)
    : store_(store), core_(core) {}

void ConfigWatch::Start(std::function<void(const ConfigPtr&)> on_change) {
  on_change_ = std::move(on_change);
}

void ConfigWatch::Tick(Time now) {
  if (waiting_ || stopped_ || now < retry_at_) {
    return;
  }
  if (have_newest_) {
    ReadTail();
  } else {
    first_page_ = true;
    ReadNewest({});
  }
}

void ConfigWatch::ReadNewest(const std::string& after) {
  waiting_ = true;
  const Time sent = BootClock::now();
  store_->Newest(
      OperatorPartition(), after,
      [this, sent](const platform::NewestAnswer& answer) {
        core_->PostWaiting([this, answer, sent] { OnNewest(answer, sent); });
      });
}

void ConfigWatch::ReadTail() {
  waiting_ = true;
  const Time sent = BootClock::now();
  store_->Read(
      OperatorPartition(), next_, kPoll,
      [this, sent](const platform::ReadAnswer& answer) {
        core_->PostWaiting([this, answer, sent] { OnTail(answer, sent); });
      });
}

void ConfigWatch::OnNewest(const platform::NewestAnswer& answer, Time sent) {
  waiting_ = false;
  if (answer.status != platform::StoreStatus::kOk) {
    OnFailure(answer.status);
    return;
  }
  if (first_page_) {
    first_page_ = false;
    newest_sent_ = sent;
    next_ = answer.end;
  }
  for (const auto& it : answer.records) {
    TakeIn(it);
  }
  if (answer.more && !answer.records.empty()) {
    ReadNewest(answer.records.back().key);
    return;
  }
  have_newest_ = true;
  view_at_ = newest_sent_;
  ReadTail();
}

void ConfigWatch::OnTail(const platform::ReadAnswer& answer, Time sent) {
  waiting_ = false;
  if (answer.status == platform::StoreStatus::kExpired) {
    have_newest_ = false;
    return;
  }
  if (answer.status != platform::StoreStatus::kOk) {
    OnFailure(answer.status);
    return;
  }
  if (lost_) {
    lost_ = false;
    LogEvent(Part::kConfig, "store_back",
             {{"config", config_ ? config_->version : 0},
              {"view_age_ms", ViewAgeMs(BootClock::now())}});
  }
  view_at_ = sent;
  for (const auto& it : answer.records) {
    TakeIn(platform::ReadKeyedRecord(it));
  }
  next_ += answer.records.size();
  if (!stopped_) {
    ReadTail();
  }
}

void ConfigWatch::OnFailure(platform::StoreStatus status) {
  const Time now = BootClock::now();
  if (!lost_) {
    lost_ = true;
    LogEvent(Part::kConfig, "store_lost",
             {{"status", platform::StatusName(status)},
              {"view_age_ms", ViewAgeMs(now)}});
  }
  retry_at_ = now + kRetry;
}

void ConfigWatch::TakeIn(const platform::KeyedRecord& record) {
  if (record.key != platform::kConfigKey || record.value.empty()) {
    return;
  }
  auto config = platform::ReadConfiguration(record.value);
  if (config == nullptr) {
    LogEvent(Part::kConfig, "config_unreadable",
             {{"bytes", record.value.size()}});
    return;
  }
  if (config_ && config->version <= config_->version) {
    return;
  }
  config_ = std::move(config);
  LogEvent(Part::kConfig, "config_in_force",
           {{"version", config_->version},
            {"queues", config_->queues.size()},
            {"accounts", config_->accounts.size()}});
  on_change_(config_);
}

}  // namespace bw
