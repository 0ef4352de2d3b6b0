// Settings of bwgate.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kGateSettings[] = {
    kLogLevels,
    kInstanceName,
    kInstanceZone,
    {"gate", "listen", SettingType::kAddress, nullptr, 0, 0,
     "Address for callers."},
    {"gate", "max_body_bytes", SettingType::kInt, "1048576", 1024, 16777216,
     "Largest body of a caller, in bytes."},
    {"gate", "max_open", SettingType::kInt, "10000", 1, 1000000,
     "Callers served at once; more are refused."},
    {"gate", "max_run_ms", SettingType::kInt, "30000", 100, 110000,
     "Longest run of one request, in ms; then its outcome is unknown."},
    {"gate", "drain_grace_ms", SettingType::kInt, "1000", 0, 60000,
     "Time at shutdown in which callers are still taken, so that the balancer "
     "can notice, in ms."},
    kPlatformLog,
    kLogWait,
    kStatusListen,
    kTimelineFile,
    kMeshLinks,
    kMeshSeeds,
    kKeyBound,
    kServeInOutage,
    kDrainLimit,
};

}  // namespace bw::table
