// Settings of bwctl.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kCtlSettings[] = {
    {"log", "levels", SettingType::kText, "warn", 0, 1000,
     "Default log level, then levels of parts, as in warn,mesh=info."},
    {"platform", "log", SettingType::kUrl, "http://127.0.0.1:7000", 0, 0,
     "URL of the platform's log."},
    {"ctl", "operator", SettingType::kName, "operator", 0, 0,
     "Operator name recorded in changes."},
    {"ctl", "timeout_ms", SettingType::kInt, "10000", 100, 600000,
     "Longest wait for the result of a change, in ms."},
    {"ctl", "prune", SettingType::kInt, "0", 0, 1,
     "1: diff and publish also remove objects that are not in the file."},
};

}  // namespace bw::table
