// Settings of bwentry.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kEntrySettings[] = {
    kLogLevels,
    kInstanceName,
    kInstanceZone,
    {"listen", "front", SettingType::kAddress, nullptr, 0, 0,
     "Address for callers."},
    {"listen", "ready", SettingType::kAddress, nullptr, 0, 0,
     "Address at which the balancer asks whether callers may come."},
    {"listen", "metrics_offset", SettingType::kInt, "1", 0, 15,
     "Port of the metrics page, counted from mesh.first_port."},
    {"mesh", "host", SettingType::kText, nullptr, 0, 64,
     "IP of this instance for the system's own processes."},
    {"mesh", "first_port", SettingType::kInt, nullptr, 1, 65535,
     "First of the ports that are free for the system's own processes; the "
     "mesh listens there."},
    {"platform", "store", SettingType::kAddress, nullptr, 0, 0,
     "The platform's store."},
    {"platform", "advice", SettingType::kText, "", 0, 64,
     "The advice service as ip:port; empty: there is none."},
    {"platform", "member_ttl_min_ms", SettingType::kReal, "1000", 1, 60000,
     "Shortest term of a group member that the store allows, in ms."},
    {"platform", "call_bytes", SettingType::kReal, "2097152", 1024, 1073741824,
     "Most bytes of records in one call to the store."},
    {"bounds", "hold_max_ms", SettingType::kReal, "10000", 500, 600000,
     "Longest lease that backend servers grant, in ms."},
    {"bounds", "revoke_ms", SettingType::kReal, "5000", 500, 600000,
     "A key that was taken away stops working within this time, in ms."},
    {"bounds", "grace_s", SettingType::kReal, "6", 1, 600,
     "Time between SIGTERM and SIGKILL, in s."},
    {"bounds", "status_s", SettingType::kReal, "120", 1, 86400,
     "Ended jobs stay known for this time, in s."},
    {"bounds", "far_x", SettingType::kReal, "2", 1, 100,
     "Slowness of tasks far from their data or on several racks."},
    {"timing", "member_ttl_ms", SettingType::kInt, "1200", 500, 60000,
     "Term of a member of the owners' group, in ms: a dead owner is replaced "
     "after it."},
    {"timing", "join_every_ms", SettingType::kInt, "300", 50, 10000,
     "Time between two renewals of that term, in ms."},
    {"timing", "lease_percent", SettingType::kInt, "65", 10, 100,
     "Lease of tasks, in percent of the longest that backend servers grant. An "
     "owner renews leases for the rest of that time after its term ended."},
};

}  // namespace bw::table
