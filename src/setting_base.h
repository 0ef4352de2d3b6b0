// The checked settings of one process.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "error_type.h"
#include "setting_type.h"

namespace bw {

/// One thing wrong with a settings file.
struct SettingFault {
  std::string file;
  std::string section;
  std::string key;
  std::string problem;  ///< What is wrong and what is allowed.

  std::string ToText() const;
  bool operator==(const SettingFault&) const = default;
};

/// "section.key=value" from the command line; goes before the file.
using Overrides = std::vector<std::string>;

/// Settings that passed every check. Immutable, so thread-safe.
class Settings {
 public:
  /// Reads `file` (INI; empty: only presets and overrides) and checks all of
  /// it against `table`.
  /// @param[out] faults Every fault found; empty on success.
  static Settings Load(const std::string& file,
                       std::span<const SettingDesc> table,
                       const Overrides& overrides,
                       std::vector<SettingFault>* faults);

  /// @pre The name "section.key" is in the table.
  const std::string& Text(std::string_view name) const;
  int64_t Int(std::string_view name) const;
  double Real(std::string_view name) const;
  std::vector<std::string> List(std::string_view name) const;

  /// @return Names whose values differ from those in `other`.
  std::vector<std::string> ChangedFrom(const Settings& other) const;

 private:
  std::map<std::string, std::string, std::less<>> values_;
};

/// @return Help on every row of the table, one paragraph each.
std::string SettingsHelp(std::span<const SettingDesc> table);

}  // namespace bw
