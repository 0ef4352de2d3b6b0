// Parser of the operator's configuration, and where it is stored. Pure
// functions; thread-safe.
#pragma once

#include <memory>
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

}  // namespace bw::platform
