// Settings that several binaries share. Each is described once.
#pragma once

#include "../setting_type.h"

namespace bw::table {

inline constexpr SettingDesc kLogLevels = {
    "log",
    "levels",
    SettingType::kText,
    "info",
    0,
    1000,
    "Log level, then levels of single parts: info,placer=debug. Parts: "
    "kernel config member log mesh gate placer worker runner desk."};
inline constexpr SettingDesc kInstanceName = {
    "instance",
    "name",
    SettingType::kName,
    nullptr,
    0,
    0,
    "Name of this entry instance; unique in the deployment."};
inline constexpr SettingDesc kInstanceZone = {
    "instance",
    "zone",
    SettingType::kName,
    nullptr,
    0,
    0,
    "Availability zone of this instance."};
inline constexpr SettingDesc kPlatformLog = {
    "platform", "log", SettingType::kUrl, nullptr, 0, 0, "The platform's log."};
inline constexpr SettingDesc kPlatformList = {
    "platform",
    "list",
    SettingType::kUrl,
    nullptr,
    0,
    0,
    "The platform's list of instances."};
inline constexpr SettingDesc kLogWait = {
    "platform",
    "log_wait_ms",
    SettingType::kInt,
    "500",
    50,
    10000,
    "Long poll of the log, in ms; shorter than timing.log_fresh_ms."};
inline constexpr SettingDesc kStatusListen = {
    "status",
    "listen",
    SettingType::kAddress,
    nullptr,
    0,
    0,
    "Address of the status pages: /healthz /readyz /metrics /status "
    "/timeline."};
inline constexpr SettingDesc kTimelineFile = {
    "timeline",
    "file",
    SettingType::kText,
    "",
    0,
    4096,
    "Also append events to this file; empty: memory only."};
inline constexpr SettingDesc kMeshLinks = {
    "mesh",
    "links",
    SettingType::kList,
    "",
    0,
    0,
    "Addresses to use in place of those that members announce: name=ip:port, "
    "separated by commas."};
inline constexpr SettingDesc kMeshSeeds = {
    "mesh",
    "seeds",
    SettingType::kList,
    "",
    0,
    0,
    "Mesh addresses to ask for the configuration while the log is down: "
    "ip:port, separated by commas."};
inline constexpr SettingDesc kKeyBound = {
    "timing",
    "key_bound_ms",
    SettingType::kInt,
    "5000",
    500,
    60000,
    "Keyed work is refused when the keys were last known to be current "
    "longer ago than this, in ms, and this is no outage of the log."};
inline constexpr SettingDesc kServeInOutage = {
    "timing",
    "serve_in_outage",
    SettingType::kInt,
    "1",
    0,
    1,
    "1: go on with keyed work while every zone is heard and none can read "
    "the log. 0: refuse it."};
inline constexpr SettingDesc kDrainLimit = {
    "timing",
    "drain_limit_ms",
    SettingType::kInt,
    "60000",
    0,
    600000,
    "Longest wait for work under way at shutdown, in ms."};

}  // namespace bw::table
