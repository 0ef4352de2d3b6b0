// Structured log lines: one JSON object for each decision or change of belief,
// on standard output. Never blocks; lines beyond a limit for each kind are
// left out and counted. Thread-safe.
#pragma once

#include <nlohmann/json.hpp>

#include "log_func.h"

namespace bw {

/// Writes all lines that wait. What is logged afterwards is lost.
void StopEventLog();

/// Writes one line. @param fields An object; holds no key and no secret.
void LogEvent(Part part, const char* event, nlohmann::json fields);

}  // namespace bw
