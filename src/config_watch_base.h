// Follows the operator's configuration in the platform's store.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cell_type.h"
#include "loop_base.h"
#include "platform/store.h"

namespace bw {

/// The newest configuration, and how old the view of it may be. Versions never
/// go back. Belongs to the core thread.
class ConfigWatch {
 public:
  using ConfigPtr = std::shared_ptr<const CellConfig>;

  /// @pre All outlive the watch.
  ConfigWatch(platform::Store* store, Loop* core);

  /// Begins to follow. @param on_change Runs for each new configuration.
  void Start(std::function<void(const ConfigPtr&)> on_change);
  void Tick(Time now);
  void Stop() { stopped_ = true; }

  /// @return nullptr before the first configuration was read.
  const ConfigPtr& Current() const { return config_; }

  /// @return The longest time for which changes may have been missed, or
  /// kAgeUnknown.
  uint32_t ViewAgeMs(Time now) const { return AgeMs(view_at_, now); }

 private:
  void ReadNewest(const std::string& after);
  void ReadTail();
  void OnNewest(const platform::NewestAnswer& answer, Time sent);
  void OnTail(const platform::ReadAnswer& answer, Time sent);
  void OnFailure(platform::StoreStatus status);
  void TakeIn(const platform::KeyedRecord& record);

  platform::Store* const store_;
  Loop* const core_;
  std::function<void(const ConfigPtr&)> on_change_;
  ConfigPtr config_;
  Time view_at_ = kNever;      ///< When the last answered read was sent.
  Time newest_sent_ = kNever;  ///< When the first page was asked for.
  Offset next_ = 0;
  bool first_page_ = true;
  bool have_newest_ = false;
  bool waiting_ = false;  ///< For an answer.
  bool lost_ = false;     ///< The last read failed.
  Time retry_at_ = kNever;
  bool stopped_ = false;
};

}  // namespace bw
