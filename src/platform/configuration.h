// Parser of the operator's configuration, and where it is stored. Pure
// functions; thread-safe.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "../cell_type.h"

namespace bw::platform {

/// Topics and keys of the platform's compacted records in the store.
inline constexpr const char* kOperatorTopic = "keyed.op";
inline constexpr const char* kConfigKey = "config";
inline constexpr const char* kBackendTopic = "keyed.servers";
inline constexpr const char* kStatusTopic = "keyed.status";

/// @return The configuration, or nullptr if it has no valid version.
std::shared_ptr<const CellConfig> ReadConfiguration(const std::string& value);

/// @return The availability zone that a record of the operator with this key
/// evacuates; nothing if the key is of another kind. The record's value means
/// nothing, except that none takes the evacuation back.
std::optional<ZoneId> ReadEvacuationKey(const std::string& key);

}  // namespace bw::platform
