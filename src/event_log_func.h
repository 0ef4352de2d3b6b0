// Structured event log: one JSON object per line on standard output, for
// decisions and state changes. Never blocks; lines over the rate limit of their
// event are dropped and counted. Thread-safe.
#pragma once

#include <nlohmann/json.hpp>

#include "log_func.h"

namespace bw {

/// Flushes all queued lines and ends the writer thread. Events logged after
/// this are dropped.
/// @return False if the output has stalled: the writer thread is left behind,
/// blocked, and the process must exit without flushing its output.
bool StopEventLog();

/// Queues one line of text.
void QueueLogLine(const std::string& line);

/// Queues one line. @param fields A JSON object; must not contain API keys or
/// other secrets.
void LogEvent(Part part, const char* event, nlohmann::json fields);

}  // namespace bw
