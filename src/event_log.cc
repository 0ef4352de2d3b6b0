#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "event_log_func.h"
#include "ring.h"
#include "thread_cpu_func.h"

namespace bw {
namespace {

/// Lines queued for the writer thread; lines beyond this are dropped and
/// counted.
constexpr size_t kRingSize = 8192;
/// Rate limit per event name; lines beyond this are dropped and counted.
constexpr uint32_t kLinesPerSecond = 400;
/// Largest batch of lines per write; equals PIPE_BUF, so writes to a pipe are
/// atomic.
constexpr size_t kWriteBytes = 4096;
/// Interval at which the writer thread writes the queued lines as one batch.
constexpr milliseconds kFlushInterval{100};
/// Longest wait for the last lines when the process stops.
constexpr milliseconds kMaxStopWait{500};

/// Writes lines on its own thread, so that a stalled reader of standard output
/// leads to dropped lines but never blocks the caller.
class EventWriter {
 public:
  EventWriter() : thread_([this](const std::stop_token& stop) { Run(stop); }) {}

  ~EventWriter() { Stop(); }

  /// Flushes the queued lines and refuses further ones.
  /// @return False if the writer thread is blocked; it is left behind.
  bool Stop() {
    if (!thread_.joinable()) {
      return true;
    }
    thread_.request_stop();
    ring_.Close();
    if (finished_.get_future().wait_for(kMaxStopWait) !=
        std::future_status::ready) {
      thread_.detach();
      return false;
    }
    thread_.join();
    return true;
  }

  void Write(std::string line) {
    if (!ring_.Push(line)) {
      ++dropped_;
    }
  }

  /// @return False if `event` has reached its limit for the current second.
  bool Allow(const char* event, Time now) {
    std::lock_guard lock(mutex_);
    Budget& it = budgets_[event];
    if (now - it.since >= milliseconds(1000)) {
      dropped_ += it.dropped;
      it = {now, 0, 0};
    }
    if (it.lines >= kLinesPerSecond) {
      ++it.dropped;
      return false;
    }
    ++it.lines;
    return true;
  }

 private:
  /// Lines of one event within the current second.
  struct Budget {
    Time since = kNever;  ///< Start of the second.
    uint32_t lines = 0;   ///< Lines accepted.
    uint32_t dropped = 0;
  };

  void Run(const std::stop_token& stop) {
    const ScopedThreadCpu cpu("log");
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(kFlushInterval);
      Flush();
    }
    Flush();
    finished_.set_value();
  }

  void Flush() {
    std::string lines;
    if (const uint64_t n = dropped_.exchange(0); n > 0) {
      lines = nlohmann::json{{"event", "lines_left_out"}, {"count", n}}.dump();
    }
    while (auto it = ring_.TryPop()) {
      if (!lines.empty() && lines.size() + it->size() + 2 > kWriteBytes) {
        WriteLog(Part::kKernel, LogLevel::kInfo, lines);
        lines.clear();
      }
      if (!lines.empty()) {
        lines += '\n';
      }
      lines += *it;
    }
    if (!lines.empty()) {
      WriteLog(Part::kKernel, LogLevel::kInfo, lines);
    }
  }

  Ring<std::string> ring_{kRingSize};
  std::atomic<uint64_t> dropped_{0};  ///< Lines dropped since the last report.
  std::mutex mutex_;
  std::map<std::string, Budget> budgets_;  ///< By event name.
  std::promise<void> finished_;            ///< Set when the thread ends.
  std::jthread thread_;
};

std::atomic<bool> started{false};

EventWriter& Writer() {
  static EventWriter writer;
  started = true;
  return writer;
}

}  // namespace

bool StopEventLog() {
  return !started || Writer().Stop();
}

void QueueLogLine(const std::string& line) {
  Writer().Write(line);
}

void LogEvent(Part part, const char* event, nlohmann::json fields) {
  if (!IsLogEnabled(part, LogLevel::kInfo)) {
    return;
  }
  EventWriter& writer = Writer();
  const Time now = BootClock::now();
  if (!writer.Allow(event, now)) {
    return;
  }
  fields["event"] = event;
  fields["part"] = PartName(part);
  fields["at_ms"] = ToMicros(now) / 1000;
  writer.Write(
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace bw
