// Settings shared by several binaries.
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
    "Default log level, then levels of parts, as in info,placer=debug. Parts: "
    "kernel config member log mesh gate placer worker runner desk."};
inline constexpr SettingDesc kInstanceName = {
    "instance",
    "name",
    SettingType::kName,
    nullptr,
    0,
    0,
    "Name of this instance; unique in the deployment."};
inline constexpr SettingDesc kInstanceZone = {
    "instance",
    "zone",
    SettingType::kName,
    nullptr,
    0,
    0,
    "Availability zone of this instance."};
inline constexpr SettingDesc kPlatformLog = {
    "platform", "log", SettingType::kUrl,           nullptr,
    0,          0,     "URL of the platform's log."};
inline constexpr SettingDesc kPlatformList = {
    "platform",
    "list",
    SettingType::kUrl,
    nullptr,
    0,
    0,
    "URL of the platform's list of instances."};
inline constexpr SettingDesc kLogWait = {
    "platform",
    "log_wait_ms",
    SettingType::kInt,
    "500",
    50,
    10000,
    "Longest wait of a long poll of the log, in ms; must be shorter than "
    "timing.log_fresh_ms."};
inline constexpr SettingDesc kStatusListen = {
    "status",
    "listen",
    SettingType::kAddress,
    nullptr,
    0,
    0,
    "Listen address of the status pages: /healthz /readyz /metrics /status "
    "/timeline."};
inline constexpr SettingDesc kTimelineFile = {
    "timeline",
    "file",
    SettingType::kText,
    "",
    0,
    4096,
    "File to which events are also appended; empty: memory only."};
inline constexpr SettingDesc kMeshLinks = {
    "mesh",
    "links",
    SettingType::kList,
    "",
    0,
    0,
    "Addresses that override those announced by members: name=ip:port, "
    "comma-separated."};
inline constexpr SettingDesc kMeshSeeds = {
    "mesh",
    "seeds",
    SettingType::kList,
    "",
    0,
    0,
    "Mesh addresses from which the configuration is fetched while the log is "
    "unavailable: ip:port, comma-separated."};
inline constexpr SettingDesc kKeyBound = {
    "timing",
    "key_bound_ms",
    SettingType::kInt,
    "5000",
    500,
    60000,
    "Maximum age of the last check that the API keys are current, in ms. Work "
    "that needs a key is refused beyond it, except in an outage of the log."};
inline constexpr SettingDesc kServeInOutage = {
    "timing",
    "serve_in_outage",
    SettingType::kInt,
    "1",
    0,
    1,
    "1: keep accepting work that needs a key while every zone is reachable "
    "and none can read the log. 0: refuse it."};
inline constexpr SettingDesc kDrainLimit = {
    "timing",
    "drain_limit_ms",
    SettingType::kInt,
    "60000",
    0,
    600000,
    "Longest wait for unfinished work at shutdown, in ms."};

}  // namespace bw::table
