// Event loop of a process's core thread: runs queued callbacks and a periodic
// tick, and detects that the thread was suspended.
#pragma once

#include <functional>
#include <thread>

#include "ring.h"

namespace bw {

/// Runs callbacks ("steps") in order on one thread. Post and PostWaiting are
/// thread-safe.
class Loop {
 public:
  using Step = std::function<void()>;

  /// @param every Tick interval.
  /// @param gap Longest delay of the loop that is not treated as a suspension.
  /// @param tick Periodic callback.
  /// @param on_gap Called after the loop was delayed for longer than `gap`,
  /// before any queued step runs.
  Loop(Duration every, Duration gap, Step tick, Step on_gap)
      : every_(every),
        gap_(gap),
        tick_(std::move(tick)),
        on_gap_(std::move(on_gap)) {}
  ~Loop() { Stop(); }

  void Start() {
    thread_ = std::jthread([this](const std::stop_token& it) { Run(it); });
  }

  /// Queues a step. @return False if the queue is full or closed; the step is
  /// dropped.
  bool Post(Step step) { return ring_.Push(step); }

  /// Queues a step; blocks while the queue is full. The step is dropped only if
  /// the loop has been stopped.
  /// @pre Not called on the loop's own thread (would deadlock).
  void PostWaiting(Step step) {
    while (!ring_.Push(step) && !ring_.closed()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  /// Sets a callback that runs whenever the queue is empty after a step or a
  /// tick. @pre The loop has not been started.
  void SetIdle(Step idle) { idle_ = std::move(idle); }

  /// @return The number of queued steps.
  size_t Queued() const { return ring_.size(); }

  /// Ends the thread; steps still queued may not run.
  void Stop() {
    ring_.Close();
    thread_.request_stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  static constexpr size_t kRingSize = 16'384;  ///< Steps.

  void Run(const std::stop_token& stop) {
    Time last = BootClock::now();
    Time next_tick = last;
    while (!stop.stop_requested()) {
      auto step = ring_.PopUntil(next_tick);
      const Time now = BootClock::now();
      if (now - last > gap_ + every_) {
        on_gap_();
      }
      last = now;
      if (step) {
        (*step)();
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
  const Step tick_;
  const Step on_gap_;
  Step idle_;
  Ring<Step> ring_{kRingSize};
  std::jthread thread_;
};

}  // namespace bw
