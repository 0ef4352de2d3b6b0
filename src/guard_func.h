// Keeps an exception of one message from ending the process.
#pragma once

#include <exception>

#include "event_log_func.h"

namespace bw {

/// Runs `work` and logs an exception that it throws. Thread-safe.
/// @param what Name of the work in the log.
/// @return False if it threw.
template <typename F>
bool RunGuarded(Part part, const char* what, const F& work) {
  try {
    work();
    return true;
  } catch (const std::exception& e) {
    LogEvent(part, "unexpected_error", {{"in", what}, {"error", e.what()}});
    return false;
  }
}

}  // namespace bw
