// Validated settings of one process.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "error_type.h"
#include "setting_type.h"

namespace bw {

/// One error found in a settings file or in the overrides.
struct SettingError {
  std::string file;  ///< "--set" for an override; empty if no file was read.
  std::string section;
  std::string key;
  std::string problem;  ///< What is wrong and which values are allowed.

  /// @return One line for the operator.
  std::string ToText() const;
  bool operator==(const SettingError&) const = default;
};

/// "section.key=value" items from the command line; they override the file.
using Overrides = std::vector<std::string>;

/// Settings of one process. Immutable after Load, so thread-safe.
class Settings {
 public:
  /// Reads the INI file `file`, applies `overrides` and defaults, and validates
  /// every value against `table`.
  /// @param file Empty: defaults and overrides only.
  /// @param[out] errors All errors found; unchanged on success.
  static Settings Load(const std::string& file,
                       std::span<const SettingDesc> table,
                       const Overrides& overrides,
                       std::vector<SettingError>* errors);

  /// Typed access to one value. @pre `name` ("section.key") is in the table.
  const std::string& Text(std::string_view name) const;
  int64_t Int(std::string_view name) const;
  double Real(std::string_view name) const;
  std::vector<std::string> List(std::string_view name) const;

  /// @return Names of the settings whose values differ from those in `other`.
  std::vector<std::string> ChangedFrom(const Settings& other) const;

 private:
  std::map<std::string, std::string, std::less<>> values_;  ///< By name.
};

/// @return Help text with one paragraph per row of the table.
std::string SettingsHelp(std::span<const SettingDesc> table);

}  // namespace bw
