// How one setting is described. Reader, check and help are made from tables
// of these rows; see table/*_settings.h.
#pragma once

#include <cstdint>

namespace bw {

enum class SettingType : uint8_t {
  kText,     ///< Any text; `max` bounds its length.
  kName,     ///< 1 to 64 of a-z A-Z 0-9 _ - .
  kAddress,  ///< "ip:port"
  kUrl,      ///< "http://ip:port"
  kInt,      ///< A whole number from `min` to `max`.
  kReal,     ///< A number from `min` to `max`; empty means the default.
  kList,     ///< Texts separated by commas.
};

struct SettingDesc {
  const char* section;
  const char* key;
  SettingType type;
  const char* preset;  ///< Default; nullptr if the setting must be given.
  int64_t min;
  int64_t max;
  const char* text;  ///< Help, with the unit.
};

}  // namespace bw
