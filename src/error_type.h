// Every failure that can reach a caller, an operator or another process.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>

namespace bw {

namespace leaf = boost::leaf;

/// Stable codes; the numbers travel between processes, so only append.
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

/// What the error says about the work that was handed in.
enum class WorkFate : uint8_t {
  kNotRun,   ///< The work surely did not run and will not.
  kUnknown,  ///< The work may have run, may be running or may still run.
  kNoWork,   ///< The call carried no work.
};

/// Static description of one code. Source: table/errors.h.
struct ErrorDesc {
  ErrorCode code;
  int http_status;
  const char* name;   ///< Stable text code in problem documents.
  const char* title;  ///< One short sentence for people.
  WorkFate fate;
};

/// @return The description of `code`. Thread-safe.
const ErrorDesc& Describe(ErrorCode code);

/// A failure with what was found. Travels as a Boost.LEAF error object.
struct Failure {
  ErrorCode code = ErrorCode::kNone;
  std::string detail;           ///< Which thing was wrong; holds no secrets.
  uint32_t retry_after_ms = 0;  ///< 0: no advice.

  bool operator==(const Failure&) const = default;
};

/// @return A LEAF error that carries a Failure.
inline leaf::error_id Fail(ErrorCode code, std::string detail = {}) {
  return leaf::new_error(Failure{code, std::move(detail)});
}

/// Runs `f`, which returns leaf::result<T>, and gives its failure to `on_fail`.
/// @return The value, or what `on_fail` returns.
template <typename F, typename G>
auto Handle(F&& f, G&& on_fail) {
  return leaf::try_handle_all(
      std::forward<F>(f), [&](const Failure& e) { return on_fail(e); },
      [&] {
        return on_fail(Failure{ErrorCode::kOutcomeUnknown, "untyped"});
      });
}

}  // namespace bw
