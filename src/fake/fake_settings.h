// Settings of the stand-ins.
#pragma once

#include "../table/common_settings.h"

namespace bw::fake {

inline constexpr SettingDesc kListen = {
    "fake",
    "listen",
    SettingType::kAddress,
    nullptr,
    0,
    0,
    "Address; further servers of this process take the ports after it."};
inline constexpr SettingDesc kCount = {
    "fake", "count", SettingType::kInt,         "1",
    1,      1000,    "Servers in this process."};

inline constexpr SettingDesc kServerSettings[] = {table::kLogLevels, kListen};

inline constexpr SettingDesc kPlatformSettings[] = {table::kLogLevels, kListen,
                                                    kCount};

inline constexpr SettingDesc kRunnerSettings[] = {
    table::kLogLevels,
    kListen,
    kCount,
    {"fake", "slots", SettingType::kInt, "8", 1, 1000,
     "Requests one runner runs at once."}};

inline constexpr SettingDesc kWorkerSettings[] = {
    table::kLogLevels,
    kListen,
    kCount,
    {"fake", "cores", SettingType::kInt, "32", 1, 1024, "Cores of a worker."},
    {"fake", "memory_mb", SettingType::kInt, "64000", 1, 64000000,
     "Memory of a worker, in MB."},
    {"fake", "accelerators", SettingType::kInt, "0", 0, 1024,
     "Accelerators of a worker."},
    {"fake", "report_lag_ms", SettingType::kInt, "2000", 0, 600000,
     "Age of the usage a worker reports, in ms."}};

}  // namespace bw::fake
