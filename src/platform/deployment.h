// Conventions by which the platform starts a process and checks its readiness.
#pragma once

namespace bw::platform {

/// Environment variable with the path of the settings file, which the platform
/// generates from settings.ini.in.
inline constexpr const char* kSettingsVariable = "BILBERRYWING_BOOT";

/// Path of the readiness check by the platform's load balancer.
inline constexpr const char* kReadyPath = "/v1/ready";

}  // namespace bw::platform
