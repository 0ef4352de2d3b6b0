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
    "Address of the first server; further ones use the following ports."};
inline constexpr SettingDesc kCount = {"fake",
                                       "count",
                                       SettingType::kInt,
                                       "1",
                                       1,
                                       1000,
                                       "Number of servers in this process."};

inline constexpr SettingDesc kServerSettings[] = {table::kLogLevels, kListen};

inline constexpr SettingDesc kPlatformSettings[] = {
    table::kLogLevels,
    kListen,
    kCount,
    {"fake", "zones", SettingType::kInt, "1", 1, 26,
     "Availability zones of the servers: \"a\", \"b\" and so on."},
    {"fake", "announced_port", SettingType::kInt, "0", 0, 65535,
     "First of the ports that the backend servers announce; 0: their own."}};

inline constexpr SettingDesc kRunnerSettings[] = {
    table::kLogLevels,
    kListen,
    kCount,
    {"fake", "slots", SettingType::kInt, "8", 1, 1000,
     "Requests that a runner executes at the same time."}};

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
     "Time from a task's start until its usage is reported, in ms."}};

}  // namespace bw::fake
