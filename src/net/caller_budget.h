// Bounds the memory that callers' unfinished requests and unread responses use.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace bw::net {

/// Selects the connections to close. Pure.
/// @param bytes What each connection uses.
/// @param excess Bytes to be given back.
/// @return Indices into `bytes`, the largest use first, that give back at least
/// `excess` together; all with a use if that is less.
std::vector<size_t> SelectToClose(const std::vector<size_t>& bytes,
                                  size_t excess);

/// One budget for all listen addresses of a process. Thread-safe.
class CallerBudget : public std::enable_shared_from_this<CallerBudget> {
 public:
  /// What has been refused so far.
  struct Counts {
    uint64_t too_large = 0;  ///< Bodies over the limit.
    uint64_t closed = 0;     ///< Connections closed to give memory back.
    uint64_t refused = 0;    ///< Complete requests without room.
  };

  /// What one connection uses. Belongs to the budget's methods.
  class Account {
   public:
    explicit Account(std::shared_ptr<CallerBudget> budget)
        : budget_(std::move(budget)) {}
    ~Account() { budget_->used_ -= unfinished_; }
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

   private:
    friend class CallerBudget;
    const std::shared_ptr<CallerBudget> budget_;
    std::atomic<size_t> unfinished_{0};
    std::atomic<size_t> unread_{0};
    /// What the connection used when it was told to close; 0: it was not.
    size_t closing_ = 0;
    std::function<void()> close_;  ///< Empty once the connection has ended.
  };
  using AccountPtr = std::shared_ptr<Account>;

  /// Bytes in use until it is destroyed. Thread-safe.
  class Charge {
   public:
    /// @param account The connection to close for it; may be null.
    Charge(std::shared_ptr<CallerBudget> budget,
           AccountPtr account,
           size_t bytes);
    ~Charge();
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

   private:
    const std::shared_ptr<CallerBudget> budget_;
    const AccountPtr account_;
    const size_t bytes_;
  };

  /// @param limit In bytes.
  explicit CallerBudget(size_t limit) : limit_(limit) {}

  /// @param close Closes the connection. Called on any thread, at most once,
  /// not after Close; must only post.
  AccountPtr Open(std::function<void()> close);
  /// The connection has ended.
  void Close(const AccountPtr& account);
  /// Sets the memory of the connection's unfinished request. If the budget is
  /// exceeded, closes the connections that use most.
  void SetUnfinished(const AccountPtr& account, size_t bytes);
  /// Closes connections until there is room for `bytes` more.
  /// @return False if there is none.
  bool MakeRoom(size_t bytes);

  void CountTooLarge() { ++too_large_; }
  void CountRefused() { ++refused_; }
  Counts Count() const { return {too_large_, closed_, refused_}; }
  /// @return Bytes in use.
  size_t Used() const { return used_; }

 private:
  friend class Account;
  /// @pre `mutex_` is held.
  void CloseLargest(size_t excess);

  const size_t limit_;
  std::atomic<size_t> used_{0};
  std::atomic<uint64_t> too_large_{0};
  std::atomic<uint64_t> closed_{0};
  std::atomic<uint64_t> refused_{0};
  std::mutex mutex_;
  std::map<Account*, std::weak_ptr<Account>> open_;
  size_t closing_ = 0;  ///< Bytes of connections that were told to close.
};

}  // namespace bw::net
