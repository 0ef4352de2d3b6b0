#define SI_NO_CONVERSION
#include <SimpleIni.h>
#include <fmt/format.h>

#include <cassert>
#include <charconv>
#include <optional>

#include "setting_base.h"
#include "text_func.h"

namespace bw {
namespace {

using Values = std::map<std::string, std::string, std::less<>>;

std::string FullName(const SettingDesc& desc) {
  return fmt::format("{}.{}", desc.section, desc.key);
}

std::optional<int64_t> ParseInt(const std::string& text) {
  int64_t n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::optional<double> ParseReal(const std::string& text) {
  double n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::string DescribeAllowed(const SettingDesc& desc) {
  switch (desc.type) {
    case SettingType::kReal:
      return fmt::format("a number from {} to {}", desc.min, desc.max);
    case SettingType::kInt:
      return fmt::format("an integer from {} to {}", desc.min, desc.max);
    case SettingType::kName:
      return "1 to 64 characters of a-z A-Z 0-9 . _ -";
    case SettingType::kAddress:
      return "ip:port, port from 1 to 65535";
    case SettingType::kUrl:
      return "http://ip:port";
    case SettingType::kList:
      return "a comma-separated list";
    case SettingType::kText:
      break;
  }
  return fmt::format("a string of at most {} bytes", desc.max);
}

bool IsAllowed(const SettingDesc& desc, const std::string& value) {
  constexpr std::string_view kScheme = "http://";
  switch (desc.type) {
    case SettingType::kReal: {
      auto n = ParseReal(value);
      return n && *n >= static_cast<double>(desc.min) &&
             *n <= static_cast<double>(desc.max);
    }
    case SettingType::kInt: {
      auto n = ParseInt(value);
      return n && *n >= desc.min && *n <= desc.max;
    }
    case SettingType::kName:
      return IsName(value);
    case SettingType::kAddress:
      return SplitAddress(value).port != 0;
    case SettingType::kUrl:
      return value.starts_with(kScheme) &&
             SplitAddress(value.substr(kScheme.size())).port != 0;
    case SettingType::kList:
      return true;
    case SettingType::kText:
      break;
  }
  return value.size() <= static_cast<size_t>(desc.max);
}

const SettingDesc* Find(std::span<const SettingDesc> table,
                        std::string_view name) {
  for (const auto& it : table) {
    if (FullName(it) == name) {
      return &it;
    }
  }
  return nullptr;
}

/// @return True for a placeholder of a template that was not filled in, as by a
/// platform that does not have the field.
bool IsPlaceholder(const std::string& value) {
  return value.starts_with("{{") && value.ends_with("}}");
}

/// Reads the file into `values`. Reports an unreadable file and unknown or
/// duplicate settings in `errors`. A placeholder counts as an empty value.
void ReadFile(const std::string& file,
              std::span<const SettingDesc> table,
              Values* values,
              std::vector<SettingError>* errors) {
  CSimpleIniA ini(/*bUtf8=*/true, /*bMultiKey=*/true);
  if (ini.LoadFile(file.c_str()) < 0) {
    errors->push_back({file, "", "", "cannot read the settings file"});
    return;
  }
  CSimpleIniA::TNamesDepend sections;
  ini.GetAllSections(sections);
  for (const auto& section : sections) {
    CSimpleIniA::TNamesDepend keys;
    ini.GetAllKeys(section.pItem, keys);
    for (const auto& key : keys) {
      const std::string name = fmt::format("{}.{}", section.pItem, key.pItem);
      CSimpleIniA::TNamesDepend all;
      ini.GetAllValues(section.pItem, key.pItem, all);
      if (Find(table, name) == nullptr) {
        errors->push_back({file, section.pItem, key.pItem, "unknown setting"});
      } else if (all.size() > 1) {
        errors->push_back({file, section.pItem, key.pItem,
                           "setting is specified more than once"});
      } else {
        const std::string value = Trim(all.begin()->pItem);
        (*values)[name] = IsPlaceholder(value) ? std::string() : value;
      }
    }
  }
}

void ApplyOverrides(std::span<const SettingDesc> table,
                    const Overrides& overrides,
                    Values* values,
                    std::vector<SettingError>* errors) {
  for (const auto& it : overrides) {
    const auto n = it.find('=');
    const std::string name = Trim(it.substr(0, n));
    if (n == std::string::npos || Find(table, name) == nullptr) {
      errors->push_back({"--set", "", name, "unknown setting"});
      continue;
    }
    (*values)[name] = Trim(it.substr(n + 1));
  }
}

}  // namespace

std::string SettingError::ToText() const {
  return fmt::format("{}: [{}] {}: {}", file.empty() ? "defaults" : file,
                     section, key, problem);
}

Settings Settings::Load(const std::string& file,
                        std::span<const SettingDesc> table,
                        const Overrides& overrides,
                        std::vector<SettingError>* errors) {
  Settings out;
  if (!file.empty()) {
    ReadFile(file, table, &out.values_, errors);
  }
  ApplyOverrides(table, overrides, &out.values_, errors);
  for (const auto& it : table) {
    const std::string name = FullName(it);
    auto [value, added] = out.values_.try_emplace(
        name, it.default_value == nullptr ? "" : it.default_value);
    if (value->second.empty() && it.default_value != nullptr) {
      value->second = it.default_value;
    }
    if (added && it.default_value == nullptr) {
      errors->push_back(
          {file, it.section, it.key,
           "required setting is missing; expected " + DescribeAllowed(it)});
    } else if (!(added && value->second.empty()) &&
               !IsAllowed(it, value->second)) {
      errors->push_back({file, it.section, it.key,
                         fmt::format("invalid value '{}'; expected {}",
                                     value->second, DescribeAllowed(it))});
    }
  }
  return out;
}

const std::string& Settings::Text(std::string_view name) const {
  auto it = values_.find(name);
  assert(it != values_.end());
  return it->second;
}

int64_t Settings::Int(std::string_view name) const {
  return ParseInt(Text(name)).value_or(0);
}

double Settings::Real(std::string_view name) const {
  return ParseReal(Text(name)).value_or(0);
}

std::vector<std::string> Settings::List(std::string_view name) const {
  return SplitList(Text(name), ',');
}

std::vector<std::string> Settings::ChangedFrom(const Settings& other) const {
  std::vector<std::string> out;
  for (const auto& [name, value] : values_) {
    const auto it = other.values_.find(name);
    if (it == other.values_.end() || it->second != value) {
      out.push_back(name);
    }
  }
  return out;
}

std::string SettingsHelp(std::span<const SettingDesc> table) {
  std::string out;
  for (const auto& it : table) {
    out += fmt::format("[{}] {}\n    {}\n    Allowed: {}. Default: {}.\n",
                       it.section, it.key, it.help, DescribeAllowed(it),
                       it.default_value == nullptr ? "none (required)"
                       : *it.default_value == '\0' ? "empty"
                                                   : it.default_value);
  }
  return out;
}

}  // namespace bw
