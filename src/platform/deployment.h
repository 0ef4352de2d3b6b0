// How the platform runs a process.
#pragma once

namespace bw::platform {

/// Environment variable with the path of the settings file, which the platform
/// makes from settings.ini.in.
inline constexpr const char* kSettingsVariable = "BILBERRYWING_BOOT";

/// Path at which the balancer asks whether callers may come.
inline constexpr const char* kReadyPath = "/v1/ready";

}  // namespace bw::platform
