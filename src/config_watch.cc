#include "config_watch_base.h"

#include "event_log_func.h"
#include "platform/configuration.h"

namespace bw {
namespace {

/// Wait of the long poll for the operator's records. The configuration gets up
/// to twice this old, which must stay well below the time within which a
/// revoked API key stops working.
constexpr milliseconds kLongPollWait{600};
constexpr milliseconds kRetryPause{150};

const platform::Partition& OperatorPartition() {
  static const platform::Partition out{platform::kOperatorTopic, 0};
  return out;
}

}  // namespace

ConfigWatch::ConfigWatch(platform::Store* store,
                         EventLoop* core,
                         EvacuationView* evacuations)
    : store_(store), core_(core), evacuations_(evacuations) {}

void ConfigWatch::Start(std::function<void(const ConfigPtr&)> on_change) {
  on_change_ = std::move(on_change);
}

void ConfigWatch::Tick(Time now) {
  if (read_in_flight_ || stopped_ || now < retry_at_) {
    return;
  }
  if (compacted_read_done_) {
    ReadTail();
  } else {
    first_page_ = true;
    ReadCompacted({});
  }
}

void ConfigWatch::ReadCompacted(const std::string& after) {
  read_in_flight_ = true;
  const Time sent = BootClock::now();
  store_->ReadNewest(OperatorPartition(), after,
                     [this, sent](const platform::NewestResponse& response) {
                       core_->PostBlocking([this, response, sent] {
                         OnCompactedPage(response, sent);
                       });
                     });
}

void ConfigWatch::ReadTail() {
  read_in_flight_ = true;
  const Time sent = BootClock::now();
  store_->Read(
      OperatorPartition(), next_offset_, kLongPollWait,
      [this, sent](const platform::ReadResponse& response) {
        core_->PostBlocking([this, response, sent] { OnTail(response, sent); });
      });
}

void ConfigWatch::OnCompactedPage(const platform::NewestResponse& response,
                                  Time sent) {
  read_in_flight_ = false;
  if (response.status != platform::StoreStatus::kOk) {
    OnFailure(response.status);
    return;
  }
  if (first_page_) {
    first_page_ = false;
    compacted_read_sent_ = sent;
    next_offset_ = response.end;
    listing_end_ = response.end;
    listed_evacuations_.clear();
  }
  for (const auto& it : response.records) {
    if (const auto zone = platform::ReadEvacuationKey(it.key);
        zone && !it.value.empty()) {
      listed_evacuations_.insert(*zone);
    }
    Apply(it);
  }
  if (response.more && !response.records.empty()) {
    ReadCompacted(response.records.back().key);
    return;
  }
  compacted_read_done_ = true;
  current_at_ = compacted_read_sent_;
  EndListing();
  ReadTail();
}

void ConfigWatch::OnTail(const platform::ReadResponse& response, Time sent) {
  read_in_flight_ = false;
  if (response.status == platform::StoreStatus::kExpired) {
    compacted_read_done_ = false;
    return;
  }
  if (response.status != platform::StoreStatus::kOk) {
    OnFailure(response.status);
    return;
  }
  if (read_failed_) {
    read_failed_ = false;
    LogEvent(Part::kConfig, "store_back",
             {{"config", config_ ? config_->version : 0},
              {"view_age_ms", ConfigAgeMs(BootClock::now())}});
  }
  current_at_ = sent;
  for (const auto& it : response.records) {
    platform::KeyedRecord record = platform::ReadKeyedRecord(it);
    record.offset = next_offset_++;
    Apply(record);
  }
  if (next_offset_ >= response.end) {  // A long response is cut off.
    evacuations_->OnCurrent(sent);
  }
  if (!stopped_) {
    ReadTail();
  }
}

void ConfigWatch::OnFailure(platform::StoreStatus status) {
  const Time now = BootClock::now();
  if (!read_failed_) {
    read_failed_ = true;
    LogEvent(Part::kConfig, "store_lost",
             {{"status", platform::StatusName(status)},
              {"view_age_ms", ConfigAgeMs(now)}});
  }
  retry_at_ = now + kRetryPause;
}

void ConfigWatch::ApplyEvacuation(const ZoneId& zone,
                                  const platform::KeyedRecord& record) {
  const bool evacuated = !record.value.empty();
  if (evacuations_->Apply(zone, evacuated, record.offset)) {
    LogEvent(Part::kConfig, evacuated ? "zone_evacuated" : "zone_taken_back",
             {{"zone", zone.value}, {"offset", record.offset}});
  }
}

/// Takes back the evacuations whose records are gone from the operator's.
void ConfigWatch::EndListing() {
  for (const auto& zone :
       evacuations_->Retain(listed_evacuations_, listing_end_)) {
    LogEvent(Part::kConfig, "zone_taken_back",
             {{"zone", zone.value}, {"why", "no record any more"}});
  }
  evacuations_->OnCurrent(compacted_read_sent_);
}

void ConfigWatch::Apply(const platform::KeyedRecord& record) {
  if (const auto zone = platform::ReadEvacuationKey(record.key)) {
    ApplyEvacuation(*zone, record);
    return;
  }
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
