// Follows the operator's configuration and evacuations in the platform's store
// by long polling.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cell_type.h"
#include "evacuation_base.h"
#include "event_loop_base.h"
#include "platform/store.h"

namespace bw {

/// Holds the newest known configuration and tracks how current it is. Older
/// versions than the present one are ignored. Belongs to the core thread.
class ConfigWatch {
 public:
  using ConfigPtr = std::shared_ptr<const CellConfig>;

  /// @pre All outlive the watch.
  ConfigWatch(platform::Store* store,
              EventLoop* core,
              EvacuationView* evacuations);

  /// Sets the callback. @param on_change Runs for each new configuration.
  void Start(std::function<void(const ConfigPtr&)> on_change);
  void Tick(Time now);
  void Stop() { stopped_ = true; }

  /// @return The present configuration; nullptr before the first was read.
  const ConfigPtr& Current() const { return config_; }

  /// @return Time in ms since the configuration was last known to be current;
  /// kAgeUnknown if it was never read.
  uint32_t ConfigAgeMs(Time now) const { return AgeMs(current_at_, now); }

 private:
  void ReadCompacted(const std::string& after);
  void ReadTail();
  void OnCompactedPage(const platform::NewestResponse& response, Time sent);
  void OnTail(const platform::ReadResponse& response, Time sent);
  void OnFailure(platform::StoreStatus status);
  void Apply(const platform::KeyedRecord& record);
  void ApplyEvacuation(const ZoneId& zone, const platform::KeyedRecord& record);
  void EndListing();

  platform::Store* const store_;
  EventLoop* const core_;
  EvacuationView* const evacuations_;
  std::set<ZoneId> listed_evacuations_;  ///< In the listing under way.
  Offset listing_end_ = 0;               ///< End of the records when it began.
  std::function<void(const ConfigPtr&)> on_change_;
  ConfigPtr config_;
  Time current_at_ = kNever;  ///< When the last successful read was sent.
  Time compacted_read_sent_ = kNever;  ///< When the first page was requested.
  Offset next_offset_ = 0;             ///< Offset of the next record to read.
  bool first_page_ = true;
  bool compacted_read_done_ = false;  ///< All compacted records were read.
  bool read_in_flight_ = false;       ///< A read is in flight.
  bool read_failed_ = false;          ///< The last read failed.
  Time retry_at_ = kNever;
  bool stopped_ = false;
};

}  // namespace bw
