// The platform's append-only log, as the system uses it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../clock.h"
#include "../error_type.h"
#include "../id_type.h"

namespace bw::platform {

struct LogRecord {
  Offset offset = 0;
  std::string data;

  bool operator==(const LogRecord&) const = default;
};

/// One answer to a read.
struct LogBatch {
  Offset first = 0;  ///< Oldest offset still kept.
  Offset next = 0;   ///< Offset of the next append: the tail.
  std::vector<LogRecord> records;
};

/// What is known about an append.
enum class AppendFate : uint8_t {
  kStored,   ///< The log confirmed it.
  kNotSent,  ///< It was surely not stored.
  kUnknown,  ///< It may be stored, now or later.
};

struct AppendResult {
  AppendFate fate = AppendFate::kUnknown;
  Offset offset = 0;  ///< Of the first record, when stored.
};

/// Interface to the log; another wire format costs one implementation.
/// Calls block; thread-safe.
class LogService {
 public:
  virtual ~LogService() = default;

  /// @return Bytes of all bodies sent and received so far. Thread-safe.
  virtual uint64_t BytesMoved() const { return 0; }

  /// Appends records in order, as one call.
  virtual AppendResult Append(const std::string& stream,
                              const std::vector<std::string>& records,
                              milliseconds timeout) = 0;

  /// Reads from `from` on; waits up to `wait` for the first record.
  /// Records older than `first` are gone and left out.
  virtual leaf::result<LogBatch> Read(const std::string& stream,
                                      Offset from,
                                      milliseconds wait) = 0;
};

/// The log over HTTP: see docs/DESIGN.md, "Stand-ins".
std::unique_ptr<LogService> MakeHttpLog(std::string url);

}  // namespace bw::platform
