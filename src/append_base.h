// Group commit: a thread that appends a process's records to the log in
// batches.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "metric_base.h"
#include "platform/log_service.h"
#include "ring.h"

namespace bw {

/// One record to be appended.
struct AppendItem {
  std::string stream;
  std::string record;  ///< Contains an id, so that readers ignore a duplicate.
  bool persistent = false;  ///< Repeat until it is stored.
  /// Called with the outcome on the appender's thread, or by Put if the queue
  /// is full.
  std::function<void(platform::AppendStatus)> done;
};

/// Combines records of the same stream into one append. Thread-safe.
class Appender {
 public:
  /// @param interval Shortest time between the start of two appends.
  /// @pre `log` and `metrics` outlive the appender.
  Appender(platform::LogService* log, Metrics* metrics, milliseconds interval);
  ~Appender();

  /// Queues a record; `done` is called once. If the queue is full, it is called
  /// immediately with kNotStored.
  void Put(AppendItem item);

  /// @return True while records wait to be appended.
  bool IsBusy() const { return waiting_ > 0; }

 private:
  void Run(const std::stop_token& stop);
  /// Moves records out of the ring until it is empty and `until` has passed.
  void DrainRing(Time until);
  void AppendBatch();

  platform::LogService* const log_;
  Metrics* const metrics_;
  const milliseconds interval_;
  Ring<AppendItem> ring_;
  std::deque<AppendItem> items_;  ///< Records moved out of the ring, in order.
  std::atomic<size_t> waiting_{0};
  std::jthread thread_;
};

}  // namespace bw
