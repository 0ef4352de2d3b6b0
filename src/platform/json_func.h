// Reading of JSON that others wrote: wrong types read as absent. Thread-safe.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bw::platform {

/// @return The object in `text`; an empty one if it holds none.
inline nlohmann::json ParseObject(const std::string& text) {
  auto out = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  return out.is_object() ? out : nlohmann::json::object();
}

/// @return The text of a field; empty if absent or of another type.
inline std::string TextOf(const nlohmann::json& object, const char* field) {
  if (!object.is_object()) {
    return {};
  }
  auto it = object.find(field);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string();
}

/// @return The number in a field, rounded down; nothing if it is absent,
/// negative or of another type.
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
  constexpr double kLargest = 9.0e15;  // Whole numbers that a double holds.
  return value >= 0 && value < kLargest
             ? std::optional(static_cast<uint64_t>(value))
             : std::nullopt;
}

inline double RealOf(const nlohmann::json& object,
                     const char* field,
                     double preset) {
  if (!object.is_object()) {
    return preset;
  }
  auto it = object.find(field);
  return it != object.end() && it->is_number() ? it->get<double>() : preset;
}

inline bool FlagOf(const nlohmann::json& object, const char* field) {
  if (!object.is_object()) {
    return false;
  }
  auto it = object.find(field);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

/// @return The list in a field; an empty one if there is none.
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
