// Timer thread of the stand-ins.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "../clock.h"

namespace bw::fake {

/// Runs callbacks at given times, in order, on its own thread. Callbacks that
/// are still due later are dropped on destruction. Thread-safe.
class TimerThread {
 public:
  TimerThread() : thread_([this](const std::stop_token& it) { Run(it); }) {}
  ~TimerThread() {
    thread_.request_stop();
    changed_.notify_all();
  }

  /// Schedules `callback`; a time in the past means as soon as possible.
  void At(Time when, std::function<void()> callback) {
    std::lock_guard lock(mutex_);
    callbacks_.emplace(when, std::move(callback));
    changed_.notify_all();
  }

 private:
  void Run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (!stop.stop_requested()) {
      const Time now = BootClock::now();
      if (callbacks_.empty()) {
        changed_.wait_for(lock, milliseconds(50));
      } else if (callbacks_.begin()->first > now) {
        changed_.wait_for(lock,
                          std::min<Duration>(callbacks_.begin()->first - now,
                                             milliseconds(50)));
      } else {
        auto callback = std::move(callbacks_.begin()->second);
        callbacks_.erase(callbacks_.begin());
        lock.unlock();
        callback();
        lock.lock();
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Time, std::function<void()>> callbacks_;
  std::jthread thread_;
};

/// @return The machine's monotonic clock in ms, which all stand-ins share.
inline uint64_t NowMs() {
  constexpr uint64_t kMicrosPerMs = 1000;
  return ToMicros(BootClock::now()) / kMicrosPerMs;
}

}  // namespace bw::fake
