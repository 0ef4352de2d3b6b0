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
     "Shortest time between two appends of this process, in ms."},
    {"platform", "snapshot_every_ms", SettingType::kInt, "600000", 1000,
     86400000,
     "Time between snapshots in the log, in ms; a quarter of its retention."},
    kPlatformList,
    {"mesh", "listen", SettingType::kAddress, nullptr, 0, 0,
     "Address for the system's own processes; announced to them."},
    kStatusListen,
    kTimelineFile,
    kMeshLinks,
    kMeshSeeds,
    kKeyBound,
    kServeInOutage,
    kDrainLimit,
    {"timing", "log_fresh_ms", SettingType::kInt, "2000", 200, 30000,
     "Authority after a read of the log's tail, in ms. The same on all "
     "instances."},
    {"timing", "promise_ms", SettingType::kInt, "1500", 100, 30000,
     "Length of one promise not to evict, in ms. The same on all instances."},
    {"timing", "dead_after_ms", SettingType::kInt, "1500", 100, 60000,
     "Silence before a member is evicted, in ms."},
    {"timing", "action_ms", SettingType::kInt, "1000", 1000, 30000,
     "Time within which a sent action reaches its backend server or is void, "
     "in ms."},
    {"timing", "lease_ms", SettingType::kInt, "10000", 2000, 600000,
     "Lease of tasks on workers, in ms; longer than a take-over."},
};

}  // namespace bw::table
