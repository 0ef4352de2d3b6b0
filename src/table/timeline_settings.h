// Settings of bwtimeline.
#pragma once

#include "common_settings.h"

namespace bw::table {

inline constexpr SettingDesc kTimelineSettings[] = {
    {"log", "levels", SettingType::kText, "warn", 0, 1000,
     "Log level, then levels of single parts."},
    {"timeline", "format", SettingType::kText, "text", 0, 10,
     "text, json or svg."},
    {"timeline", "subject", SettingType::kText, "", 0, 1000,
     "Only events whose subject contains this."},
    {"timeline", "kinds", SettingType::kList, "", 0, 0,
     "Only events of these kinds, separated by commas."},
    {"timeline", "instance", SettingType::kText, "", 0, 64,
     "Only events of this instance."},
};

}  // namespace bw::table
