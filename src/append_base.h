// Group commit: one thread that appends the records of a process to the log.
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

/// One record on its way to the log.
struct AppendItem {
  std::string stream;
  std::string record;  ///< Carries an id, so that storing it twice is harmless.
  bool persistent = false;  ///< Tried again until it is stored.
  std::function<void(platform::AppendFate)>
      done;  ///< On the appender's thread.
};

/// Joins records of one stream into one append. Thread-safe.
class Appender {
 public:
  /// @param interval Shortest time between two appends.
  /// @pre `log` and `metrics` outlive the appender.
  Appender(platform::LogService* log, Metrics* metrics, milliseconds interval);
  ~Appender();

  /// Queues a record; `done` is called once. When the queue is full it is
  /// called at once with kNotSent.
  void Put(AppendItem item);

  /// @return True while records wait.
  bool IsBusy() const { return waiting_ > 0; }

 private:
  void Run(const std::stop_token& stop);
  void Collect(Time until);
  void AppendSome();

  platform::LogService* const log_;
  Metrics* const metrics_;
  const milliseconds interval_;
  Ring<AppendItem> ring_;
  std::deque<AppendItem> items_;  ///< Taken from the ring, in order.
  std::atomic<size_t> waiting_{0};
  std::jthread thread_;
};

}  // namespace bw
