// Description of one setting. Parsing, validation and help are driven by tables
// of these rows; see table/*_settings.h.
#pragma once

#include <cstdint>

namespace bw {

enum class SettingType : uint8_t {
  kText,     ///< A string of at most `max` bytes.
  kName,     ///< 1 to 64 characters of a-z A-Z 0-9 . _ -
  kAddress,  ///< "ip:port"
  kUrl,      ///< "http://ip:port"
  kInt,      ///< An integer from `min` to `max`.
  kReal,     ///< A number from `min` to `max`.
  kList,     ///< Comma-separated strings.
};

/// One row of a settings table. An empty value selects the default.
struct SettingDesc {
  const char* section;
  const char* key;
  SettingType type;
  const char* default_value;  ///< nullptr if the setting is required.
  int64_t min;
  int64_t max;
  const char* help;  ///< Help text, including the unit.
};

}  // namespace bw
