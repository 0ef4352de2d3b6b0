// The loop of a process's core thread: takes steps from a bounded ring, ticks,
// and notices gaps in its own clock.
#pragma once

#include <functional>
#include <thread>

#include "ring.h"

namespace bw {

/// Runs steps in order on one thread. Post is thread-safe.
class Loop {
 public:
  using Step = std::function<void()>;

  /// @param tick Runs every `every`.
  /// @param on_gap Runs before anything queued once the thread was held up
  /// for longer than `gap`.
  Loop(Duration every, Duration gap, Step tick, Step on_gap)
      : every_(every),
        gap_(gap),
        tick_(std::move(tick)),
        on_gap_(std::move(on_gap)) {}
  ~Loop() { Stop(); }

  void Start() {
    thread_ = std::jthread([this](const std::stop_token& it) { Run(it); });
  }

  /// Queues a step. @return False if the ring is full: the step is dropped.
  bool Post(Step step) { return ring_.Push(step); }

  /// Queues a step that must not be lost; waits for room.
  /// @pre Not called on the loop's own thread.
  void PostWaiting(Step step) {
    while (!ring_.Push(step) && !ring_.closed()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  /// Sets a step that runs whenever the ring has run empty after a step or a
  /// tick. @pre Not started yet.
  void SetIdle(Step idle) { idle_ = std::move(idle); }

  size_t Queued() const { return ring_.size(); }

  void Stop() {
    ring_.Close();
    thread_.request_stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  static constexpr size_t kRingSize = 16'384;

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
