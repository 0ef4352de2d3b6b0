// Error codes and error values that can reach a caller, an operator or another
// process.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>

namespace bw {

namespace leaf = boost::leaf;

/// Error codes. The numbers are sent between processes: only append new ones.
enum class ErrorCode : uint32_t {
  kNone = 0,
  kMalformed,
  kTooLarge,
  kUnknownKey,
  kKeyOfOtherTeam,
  kUnknownTeam,
  kUnknownQueue,
  kUnknownJob,
  kNotFound,
  kCanNeverRun,
  kOutOfRange,
  kOverLimit,
  kQueueFull,
  kExpired,
  kNoOwner,
  kNotOwner,
  kZoneCutOff,
  kDraining,
  kLogUnavailable,
  kOutcomeUnknown,
  kKeyReused,
  kInProgress,
  kConflict,
  kInvalidConfig,
  kInvalidSettings,
  kMethodNotAllowed,
  kOverloaded,
  kEnd,
};

/// What an error implies for the submitted work.
enum class ExecutionStatus : uint8_t {
  kNotRun,   ///< The work has not run and will not run.
  kUnknown,  ///< The work may have run, be running or still run later.
  kNoWork,   ///< The call did not submit work.
};

/// Static description of one error code; the rows are in table/errors.h.
struct ErrorDesc {
  ErrorCode code;
  int http_status;
  const char* name;   ///< Stable name used in problem documents (RFC 9457).
  const char* title;  ///< Short human-readable summary.
  ExecutionStatus execution;
};

/// @return The description of `code`. Thread-safe.
const ErrorDesc& Describe(ErrorCode code);

/// An error code with details; passed as a Boost.LEAF error object.
struct Failure {
  ErrorCode code = ErrorCode::kNone;
  std::string detail;           ///< What was wrong; must not contain secrets.
  uint32_t retry_after_ms = 0;  ///< Suggested delay before a retry; 0: none.

  bool operator==(const Failure&) const = default;
};

/// @return A LEAF error holding a Failure.
inline leaf::error_id Fail(ErrorCode code, std::string detail = {}) {
  return leaf::new_error(Failure{code, std::move(detail)});
}

/// Calls `f`, which returns leaf::result<T>, and passes an error to `on_fail`.
/// @return The value of `f`, or what `on_fail` returns.
template <typename F, typename G>
auto HandleFailure(F&& f, G&& on_fail) {
  return leaf::try_handle_all(
      std::forward<F>(f), [&](const Failure& e) { return on_fail(e); },
      [&] {
        return on_fail(Failure{ErrorCode::kOutcomeUnknown, "untyped"});
      });
}

}  // namespace bw
