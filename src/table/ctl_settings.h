// Settings of bwctl.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kCtlSettings[] = {
    {"log", "levels", SettingType::kText, "warn", 0, 1000,
     "Log level, then levels of single parts."},
    {"platform", "log", SettingType::kUrl, "http://127.0.0.1:7000", 0, 0,
     "The platform's log."},
    {"ctl", "operator", SettingType::kName, "operator", 0, 0,
     "Name written into changes."},
    {"ctl", "timeout_ms", SettingType::kInt, "10000", 100, 600000,
     "Longest wait for a verdict, in ms."},
    {"ctl", "prune", SettingType::kInt, "0", 0, 1,
     "1: diff and publish also remove what the file does not have."},
};

}  // namespace bw::table
