// Bounded queue between threads.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "clock.h"

namespace bw {

/// Bounded FIFO queue for any number of producers and one consumer.
/// All methods are thread-safe.
template <typename T>
class Ring {
 public:
  /// @param capacity Maximum number of items. @pre capacity > 0
  explicit Ring(size_t capacity) : capacity_(capacity) {}

  /// Moves `item` into the queue. @return False if the queue is full or closed;
  /// `item` is then unchanged.
  bool Push(T& item) {
    {
      std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  /// Waits for an item until `deadline`. @return Nothing on timeout or if the
  /// queue is closed and empty.
  std::optional<T> PopUntil(Time deadline) {
    std::unique_lock lock(mutex_);
    while (items_.empty()) {
      if (closed_) {
        return std::nullopt;
      }
      auto left = deadline - BootClock::now();
      if (left <= Duration::zero()) {
        return std::nullopt;
      }
      ready_.wait_for(lock, left);
    }
    T item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

  /// Removes an item without waiting. @return Nothing if the queue is empty.
  std::optional<T> TryPop() { return PopUntil(kNever); }

  /// Rejects further items and wakes the consumer. Queued items can still be
  /// popped.
  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  bool closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

  size_t size() const {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;  ///< Signalled on a new item and on Close.
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace bw
