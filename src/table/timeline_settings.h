// Settings of bwtimeline.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kTimelineSettings[] = {
    {"log", "levels", SettingType::kText, "warn", 0, 1000,
     "Default log level, then levels of parts, as in warn,mesh=info."},
    {"timeline", "format", SettingType::kText, "text", 0, 10,
     "Output format: text, json or svg."},
    {"timeline", "subject", SettingType::kText, "", 0, 1000,
     "Show only events whose subject contains this string."},
    {"timeline", "kinds", SettingType::kList, "", 0, 0,
     "Show only events of these kinds, comma-separated."},
    {"timeline", "instance", SettingType::kText, "", 0, 64,
     "Show only events of this instance."},
};

}  // namespace bw::table
