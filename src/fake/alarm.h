// Runs steps at given times on one thread. Used by the stand-ins.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "../clock.h"

namespace bw::fake {

/// Thread-safe.
class Alarm {
 public:
  Alarm() : thread_([this](const std::stop_token& it) { Run(it); }) {}
  ~Alarm() {
    thread_.request_stop();
    changed_.notify_all();
  }

  void At(Time when, std::function<void()> step) {
    std::lock_guard lock(mutex_);
    steps_.emplace(when, std::move(step));
    changed_.notify_all();
  }

 private:
  void Run(const std::stop_token& stop) {
    std::unique_lock lock(mutex_);
    while (!stop.stop_requested()) {
      const Time now = BootClock::now();
      if (steps_.empty()) {
        changed_.wait_for(lock, milliseconds(50));
      } else if (steps_.begin()->first > now) {
        changed_.wait_for(lock, std::min<Duration>(steps_.begin()->first - now,
                                                   milliseconds(50)));
      } else {
        auto step = std::move(steps_.begin()->second);
        steps_.erase(steps_.begin());
        lock.unlock();
        step();
        lock.lock();
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Time, std::function<void()>> steps_;
  std::jthread thread_;
};

/// @return This machine's monotonic clock in ms; the same in all stand-ins.
inline uint64_t NowMs() {
  constexpr uint64_t kMicrosPerMs = 1000;
  return ToMicros(BootClock::now()) / kMicrosPerMs;
}

}  // namespace bw::fake
