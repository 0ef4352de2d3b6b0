// Client interface of the platform's append-only log service.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../clock.h"
#include "../error_type.h"
#include "../id_type.h"

namespace bw::platform {

/// A record of a stream.
struct LogRecord {
  Offset offset = 0;
  std::string data;

  bool operator==(const LogRecord&) const = default;
};

/// Response to a read.
struct LogBatch {
  Offset first = 0;  ///< Oldest offset still stored.
  Offset next = 0;   ///< Offset of the next append.
  std::vector<LogRecord> records;
};

/// Known outcome of an append.
enum class AppendStatus : uint8_t {
  kStored,     ///< Confirmed by the log.
  kNotStored,  ///< Certainly not stored: not sent, or rejected.
  kUnknown,    ///< No confirmation: possibly stored, now or later.
};

/// Result of an append.
struct AppendResult {
  AppendStatus status = AppendStatus::kUnknown;
  Offset offset = 0;  ///< Offset of the first record, if stored.
};

/// Blocking interface to the log service. Another wire format needs only
/// another implementation of this class. Thread-safe.
class LogService {
 public:
  virtual ~LogService() = default;

  /// @return Bytes of all requests and responses, without headers.
  /// Thread-safe.
  virtual uint64_t BytesTransferred() const { return 0; }

  /// Appends records in order, in a single call.
  virtual AppendResult Append(const std::string& stream,
                              const std::vector<std::string>& records,
                              milliseconds timeout) = 0;

  /// Reads records from offset `from`. Long poll: if there are none, the log
  /// responds once the first record arrives or after `wait`. Records before
  /// the batch's `first` have been deleted and are missing.
  virtual leaf::result<LogBatch> Read(const std::string& stream,
                                      Offset from,
                                      milliseconds wait) = 0;
};

/// @return A client that accesses the log over HTTP; its API is described in
/// docs/DESIGN.md, "Stand-ins".
std::unique_ptr<LogService> MakeHttpLogClient(std::string url);

}  // namespace bw::platform
