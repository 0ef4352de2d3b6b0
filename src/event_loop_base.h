// Event loop of a process's core thread: runs queued callbacks and a periodic
// tick, and detects that the thread was suspended.
#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

#include "ring.h"
#include "thread_cpu_func.h"

namespace bw {

/// Runs callbacks in order on one thread. Post and PostBlocking are
/// thread-safe.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  /// @param every Tick interval.
  /// @param gap Longest delay of the loop that is not treated as a suspension.
  /// @param tick Periodic callback.
  /// @param on_gap Called after the loop was delayed for longer than `gap`,
  /// before any queued callback runs.
  EventLoop(Duration every, Duration gap, Callback tick, Callback on_gap)
      : every_(every),
        gap_(gap),
        tick_(std::move(tick)),
        on_gap_(std::move(on_gap)) {}
  ~EventLoop() { Stop(); }

  void Start() {
    thread_ = std::jthread([this](const std::stop_token& it) { Run(it); });
  }

  /// Queues a callback. @return False if the queue is full or closed; the
  /// callback is dropped.
  bool Post(Callback callback) {
    Queued item{std::move(callback), BootClock::now()};
    return ring_.Push(item);
  }

  /// Queues a callback; blocks while the queue is full. The callback is dropped
  /// only if the loop has been stopped.
  /// @pre Not called on the loop's own thread (would deadlock).
  void PostBlocking(Callback callback) {
    Queued item{std::move(callback), BootClock::now()};
    while (!ring_.Push(item) && !ring_.closed()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  /// Sets a callback that runs whenever the queue is empty after a callback or
  /// a tick. @pre The loop has not been started.
  void SetIdleCallback(Callback idle) { idle_ = std::move(idle); }

  /// @return The number of queued callbacks.
  size_t QueueSize() const { return ring_.size(); }

  /// @return The longest time that a callback was queued since the last call.
  /// Thread-safe.
  Duration TakeMaxQueueDelay() {
    return Duration(max_queue_delay_.exchange(Duration::zero().count()));
  }

  /// Ends the thread; callbacks still queued may not run.
  void Stop() {
    ring_.Close();
    thread_.request_stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  static constexpr size_t kRingSize = 16'384;  ///< Callbacks.

  struct Queued {
    Callback callback;
    Time queued_at;
  };

  void Run(const std::stop_token& stop) {
    const ScopedThreadCpu cpu("core");
    Time last = BootClock::now();
    Time next_tick = last;
    while (!stop.stop_requested()) {
      auto item = ring_.PopUntil(next_tick);
      const Time now = BootClock::now();
      if (now - last > gap_ + every_) {
        on_gap_();
      }
      last = now;
      if (item) {
        max_queue_delay_ =
            std::max(max_queue_delay_.load(), (now - item->queued_at).count());
        item->callback();
      }
      if (now >= next_tick) {
        tick_();
        next_tick = now + every_;
      }
      if (idle_ && ring_.size() == 0) {
        idle_();
      }
    }
  }

  const Duration every_;
  const Duration gap_;
  const Callback tick_;
  const Callback on_gap_;
  Callback idle_;
  Ring<Queued> ring_{kRingSize};
  std::atomic<Duration::rep> max_queue_delay_{0};
  std::jthread thread_;
};

}  // namespace bw
