// Settings of bwentry.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kEntrySettings[] = {
    kLogLevels,
    kInstanceName,
    kInstanceZone,
    {"instance", "cpu_share", SettingType::kReal, "1", 0, 1024,
     "Share of its processor that this instance may use."},
    {"instance", "cpu_cores", SettingType::kReal, "1", 0, 1024,
     "Speed of this instance's processor, in cores."},
    {"instance", "max_fds", SettingType::kReal, "4096", 1, 1LL << 40,
     "File descriptors that this instance may use."},
    {"listen", "front", SettingType::kAddress, nullptr, 0, 0,
     "Listen address for callers."},
    {"listen", "ready", SettingType::kAddress, nullptr, 0, 0,
     "Listen address of the load balancer's readiness check."},
    {"listen", "metrics_offset", SettingType::kInt, "1", 0, 15,
     "Port of the metrics page, as an offset from mesh.first_port."},
    {"mesh", "host", SettingType::kText, nullptr, 0, 64,
     "IP address of this instance for mesh traffic."},
    {"mesh", "first_port", SettingType::kInt, nullptr, 1, 65535,
     "First port of the range reserved for the system's own processes; the "
     "mesh listens on it."},
    {"mesh", "advertise", SettingType::kText, "", 0, 64,
     "Address (ip:port) at which other instances reach the mesh; empty: "
     "mesh.host and mesh.first_port."},
    {"platform", "store", SettingType::kAddress, nullptr, 0, 0,
     "Address of the platform's store."},
    {"platform", "advice", SettingType::kText, "", 0, 64,
     "Address (ip:port) of the advice service; empty: not used."},
    {"platform", "member_ttl_min_ms", SettingType::kReal, "1000", 1, 600000,
     "Shortest group membership TTL that the store accepts, in ms."},
    {"platform", "call_bytes", SettingType::kReal, "2097152", 1024, 1LL << 40,
     "Maximum size of the records in one call to the store, in bytes."},
    {"platform", "record_bytes", SettingType::kReal, "262144", 1024, 1LL << 40,
     "Maximum size of one record in the store, in bytes."},
    {"bounds", "hold_max_ms", SettingType::kReal, "10000", 100, 86400000,
     "Longest lease that backend servers grant, in ms."},
    {"bounds", "revoke_ms", SettingType::kReal, "5000", 1, 86400000,
     "Longest time until a revoked API key stops working, in ms."},
    {"bounds", "grace_s", SettingType::kReal, "6", 0, 86400,
     "Time between SIGTERM and SIGKILL, in s."},
    {"bounds", "status_s", SettingType::kReal, "120", 0, 31536000,
     "Retention of the status of ended jobs, in s."},
    {"bounds", "far_x", SettingType::kReal, "2", 0, 10000,
     "Factor by which tasks run slower far from their data or spread over "
     "several racks."},
    {"cell", "learn_run_times", SettingType::kInt, "0", 0, 1,
     "1: the run times that are expected from ended runs replace the stated "
     "estimates in decisions; 0: they are only logged."},
    {"timing", "member_ttl_ms", SettingType::kInt, "1200", 500, 60000,
     "TTL of a membership in the owners' group, in ms. A failed owner is "
     "replaced after this time."},
    {"timing", "join_every_ms", SettingType::kInt, "300", 50, 10000,
     "Interval between renewals of the group membership, in ms."},
    {"timing", "lease_percent", SettingType::kInt, "65", 10, 100,
     "Task lease in percent of bounds.hold_max_ms. An owner whose membership "
     "has ended renews leases for the rest of that time."},
};

}  // namespace bw::table
