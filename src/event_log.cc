#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "event_log_func.h"
#include "ring.h"

namespace bw {
namespace {

/// Lines that wait for the writer; more are left out and counted.
constexpr size_t kRingSize = 8192;
/// Lines of one event in one second; more are left out and counted.
constexpr uint32_t kLinesPerSecond = 400;
/// Bytes of one write: what a pipe takes whole or not at all.
constexpr size_t kWriteBytes = 4096;
/// The writer wakes this often, and writes all lines at once.
constexpr milliseconds kWriteEvery{100};

/// Writes lines on a thread of its own, so that a reader that stalls costs
/// lines and nothing else.
class EventWriter {
 public:
  EventWriter() : thread_([this](const std::stop_token& stop) { Run(stop); }) {}

  ~EventWriter() { Stop(); }

  /// Writes the lines that wait, and takes no more.
  void Stop() {
    if (thread_.joinable()) {
      thread_.request_stop();
      ring_.Close();
      thread_.join();
    }
  }

  void Write(std::string line) {
    if (!ring_.Push(line)) {
      ++left_out_;
    }
  }

  /// @return False if this second's lines of `event` are used up.
  bool Allow(const char* event, Time now) {
    std::lock_guard lock(mutex_);
    Budget& it = budgets_[event];
    if (now - it.since >= milliseconds(1000)) {
      left_out_ += it.over;
      it = {now, 0, 0};
    }
    if (it.lines >= kLinesPerSecond) {
      ++it.over;
      return false;
    }
    ++it.lines;
    return true;
  }

 private:
  struct Budget {
    Time since = kNever;
    uint32_t lines = 0;
    uint32_t over = 0;
  };

  void Run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(kWriteEvery);
      Flush();
    }
    Flush();
  }

  void Flush() {
    std::string lines;
    if (const uint64_t n = left_out_.exchange(0); n > 0) {
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
  std::atomic<uint64_t> left_out_{0};
  std::mutex mutex_;
  std::map<std::string, Budget> budgets_;
  std::jthread thread_;
};

std::atomic<bool> started{false};

EventWriter& Writer() {
  static EventWriter writer;
  started = true;
  return writer;
}

}  // namespace

void StopEventLog() {
  if (started) {
    Writer().Stop();
  }
}

void LogEvent(Part part, const char* event, nlohmann::json fields) {
  if (!IsLogged(part, LogLevel::kInfo)) {
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
