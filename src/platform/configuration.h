// The operator's configuration. Pure functions; thread-safe.
#pragma once

#include <memory>
#include <string>

#include "../cell_type.h"

namespace bw::platform {

/// Names of the operator's records in the store.
inline constexpr const char* kOperatorTopic = "keyed.op";
inline constexpr const char* kConfigKey = "config";
inline constexpr const char* kBackendTopic = "keyed.servers";
inline constexpr const char* kStatusTopic = "keyed.status";

/// @return The configuration, or nullptr if the value cannot be read.
std::shared_ptr<const CellConfig> ReadConfiguration(const std::string& value);

}  // namespace bw::platform
