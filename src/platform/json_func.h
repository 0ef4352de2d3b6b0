// Lenient access to fields of JSON from other systems: a field of the wrong
// type counts as absent. Thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bw::platform {

/// @return The JSON object in `text`; an empty object if `text` is not one.
inline nlohmann::json ParseObject(const std::string& text) {
  auto out = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!out.is_object()) {
    out = nlohmann::json::object();
  }
  return out;  // Not copied: a copy takes stack for each level of nesting.
}

/// @return The value of a string field; empty if absent or of another type.
inline std::string TextOf(const nlohmann::json& object, const char* field) {
  if (!object.is_object()) {
    return {};
  }
  auto it = object.find(field);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

/// @return The value of a number field, rounded down; nothing if it is absent,
/// negative, too large or of another type.
inline std::optional<uint64_t> NumberOf(const nlohmann::json& object,
                                        const char* field) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  auto it = object.find(field);
  if (it == object.end() || !it->is_number()) {
    return std::nullopt;
  }
  if (it->is_number_unsigned()) {
    return it->get<uint64_t>();
  }
  const double value = it->get<double>();
  constexpr double kMaxExactDouble = 9.0e15;  // Just below 2^53.
  return value >= 0 && value < kMaxExactDouble
             ? std::optional(static_cast<uint64_t>(value))
             : std::nullopt;
}

/// @return As NumberOf, but at most `most`, and `most` for a larger number.
inline std::optional<uint64_t> NumberUpTo(uint64_t most,
                                          const nlohmann::json& object,
                                          const char* field) {
  const auto out = NumberOf(object, field);
  return out ? std::optional(std::min(*out, most)) : std::nullopt;
}

/// Largest duration that is taken over, in ms: over a hundred days. Larger ones
/// would overflow when times are added.
inline constexpr uint64_t kMaxDurationMs = 10'000'000'000;
/// Largest amount of a resource that is taken over.
inline constexpr uint64_t kMaxAmount = uint64_t{1} << 40;
/// Latest wall-clock time that is taken over, in ms since 1970.
inline constexpr uint64_t kMaxWallMs = 100'000'000'000'000;

/// @return The value of a number field; `default_value` if absent or of another
/// type.
inline double RealOf(const nlohmann::json& object,
                     const char* field,
                     double default_value) {
  if (!object.is_object()) {
    return default_value;
  }
  auto it = object.find(field);
  return it != object.end() && it->is_number() ? it->get<double>()
                                               : default_value;
}

/// @return The value of a boolean field; false if absent or of another type.
inline bool FlagOf(const nlohmann::json& object, const char* field) {
  if (!object.is_object()) {
    return false;
  }
  auto it = object.find(field);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

/// @return The value of an array field; an empty array if absent or of another
/// type.
inline const nlohmann::json& ListOf(const nlohmann::json& object,
                                    const char* field) {
  static const nlohmann::json empty = nlohmann::json::array();
  if (!object.is_object()) {
    return empty;
  }
  auto it = object.find(field);
  return it != object.end() && it->is_array() ? *it : empty;
}

}  // namespace bw::platform
