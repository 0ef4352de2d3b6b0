// Settings of bwplacer.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kPlacerSettings[] = {
    kLogLevels,
    kInstanceName,
    kInstanceZone,
    kPlatformLog,
    kLogWait,
    {"platform", "append_interval_ms", SettingType::kInt, "50", 1, 5000,
     "Minimum interval between appends of this process, in ms."},
    {"platform", "snapshot_every_ms", SettingType::kInt, "600000", 1000,
     86400000,
     "Interval between snapshots in the log, in ms. Use a quarter of the log's "
     "retention time."},
    kPlatformList,
    {"mesh", "listen", SettingType::kAddress, nullptr, 0, 0,
     "Listen address for mesh traffic; announced to the other processes."},
    kStatusListen,
    kTimelineFile,
    kMeshLinks,
    kMeshSeeds,
    kKeyBound,
    kServeInOutage,
    kDrainLimit,
    {"timing", "log_fresh_ms", SettingType::kInt, "2000", 200, 30000,
     "Time for which a read of the log's tail gives authority, in ms. Must be "
     "the same on all instances."},
    {"timing", "promise_ms", SettingType::kInt, "1500", 100, 30000,
     "Length of a no-eviction lease, in ms. Must be the same on all "
     "instances."},
    {"timing", "dead_after_ms", SettingType::kInt, "1500", 100, 60000,
     "Time without a heartbeat after which a member is evicted, in ms."},
    {"timing", "action_ms", SettingType::kInt, "1000", 1000, 30000,
     "Time after which an action that has not reached its backend server is "
     "no longer valid, in ms."},
    {"timing", "lease_ms", SettingType::kInt, "10000", 2000, 600000,
     "Lease of tasks on workers, in ms; must be longer than a takeover of "
     "ownership."},
};

}  // namespace bw::table
