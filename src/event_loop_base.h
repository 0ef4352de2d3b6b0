// Event loop of a process's core thread: runs queued callbacks and a periodic
// tick, and detects that the thread was suspended.
#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

#include "guard_func.h"
#include "ring.h"
#include "thread_cpu_func.h"

namespace bw {

/// Runs callbacks in order on one thread; deferrable ones only when no others
/// are queued, or after a while. The Post functions are thread-safe.
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

  /// Queues a callback; blocks while the queue is full, or runs the callback if
  /// called on the loop's own thread then. The callback is dropped only if the
  /// loop has been stopped.
  void PostBlocking(Callback callback) {
    Queued item{std::move(callback), BootClock::now()};
    if (std::this_thread::get_id() == thread_id_) {
      if (!ring_.Push(item) && !ring_.closed()) {
        item.callback();
      }
      return;
    }
    while (!ring_.Push(item) && !ring_.closed()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  /// Queues new work, which waits until the loop has handled what belongs to
  /// earlier work. @param callback Gets the time for which it was queued.
  /// @return False if the queue is full or closed; the callback is dropped.
  bool PostDeferrable(std::function<void(Duration)> callback) {
    const Time now = BootClock::now();
    Queued item{[callback = std::move(callback), now] {
                  callback(BootClock::now() - now);
                },
                now};
    if (!deferrable_.Push(item)) {
      return false;
    }
    if (deferrable_.size() == 1) {
      Post([] {});  // Wakes the loop.
    }
    return true;
  }

  /// Sets a callback that runs whenever the queue is empty after a callback or
  /// a tick, and at least every `kMaxIdleInterval`.
  /// @pre The loop has not been started.
  void SetIdleCallback(Callback idle) { idle_ = std::move(idle); }

  /// Sets a callback that runs after a callback threw an exception; what it
  /// changed may be incomplete. @pre The loop has not been started.
  void SetErrorCallback(Callback on_error) { on_error_ = std::move(on_error); }

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
    deferrable_.Close();
    thread_.request_stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  static constexpr size_t kRingSize = 16'384;          ///< Callbacks.
  static constexpr size_t kDeferrableRingSize = 4096;  ///< Callbacks.
  /// Longest time without the idle callback, and without a deferrable one while
  /// some are queued.
  static constexpr milliseconds kMaxIdleInterval{50};

  struct Queued {
    Callback callback;
    Time queued_at;
  };

  void Run(const std::stop_token& stop) {
    thread_id_ = std::this_thread::get_id();
    const ScopedThreadCpu cpu("core");
    Time last = BootClock::now();
    Time next_tick = last;
    Time last_idle = last;
    while (!stop.stop_requested()) {
      auto item = ring_.PopUntil(deferrable_.size() > 0 ? kNever : next_tick);
      const Time now = BootClock::now();
      if (now - last > gap_ + every_) {
        on_gap_();
      }
      last = now;
      if (item) {
        max_queue_delay_ =
            std::max(max_queue_delay_.load(), (now - item->queued_at).count());
        Guarded(item->callback);
      }
      if (now >= next_tick) {
        Guarded(tick_);
        next_tick = now + every_;
      }
      if (ring_.size() > 0 && now - last_idle < kMaxIdleInterval) {
        continue;
      }
      last_idle = now;
      if (idle_) {
        Guarded(idle_);
      }
      if (auto deferred = deferrable_.TryPop()) {
        Guarded(deferred->callback);
      }
    }
  }

  void Guarded(const Callback& callback) const {
    if (!RunGuarded(Part::kKernel, "core", callback) && on_error_) {
      RunGuarded(Part::kKernel, "error_callback", on_error_);
    }
  }

  const Duration every_;
  const Duration gap_;
  const Callback tick_;
  const Callback on_gap_;
  Callback idle_;
  Callback on_error_;
  Ring<Queued> ring_{kRingSize};
  Ring<Queued> deferrable_{kDeferrableRingSize};
  std::atomic<Duration::rep> max_queue_delay_{0};
  std::atomic<std::thread::id> thread_id_;  ///< Of the loop, once it runs.
  std::jthread thread_;
};

}  // namespace bw
