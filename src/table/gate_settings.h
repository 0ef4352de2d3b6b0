// Settings of bwgate.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kGateSettings[] = {
    kLogLevels,
    kInstanceName,
    kInstanceZone,
    {"gate", "listen", SettingType::kAddress, nullptr, 0, 0,
     "Listen address for callers."},
    {"gate", "max_body_bytes", SettingType::kInt, "1048576", 1024, 16777216,
     "Maximum size of a request body, in bytes."},
    {"gate", "max_open", SettingType::kInt, "10000", 1, 1000000,
     "Maximum number of concurrent calls; more are refused."},
    {"gate", "max_run_ms", SettingType::kInt, "30000", 100, 110000,
     "Longest run time of a request, in ms. After it the outcome is unknown."},
    {"gate", "drain_grace_ms", SettingType::kInt, "1000", 0, 60000,
     "Time at shutdown during which calls are still accepted, so that the load "
     "balancer can detect the shutdown, in ms."},
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
