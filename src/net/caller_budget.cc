#include "caller_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace bw::net {
namespace {

/// Part of the limit that closing gives back at a time, beyond the excess.
constexpr size_t kSpareDivisor = 8;

}  // namespace

std::vector<size_t> SelectToClose(const std::vector<size_t>& bytes,
                                  size_t excess) {
  std::vector<size_t> out(bytes.size());
  std::iota(out.begin(), out.end(), size_t{0});
  std::stable_sort(out.begin(), out.end(),
                   [&](size_t a, size_t b) { return bytes[a] > bytes[b]; });
  size_t n = 0;
  for (size_t sum = 0; n < out.size() && sum < excess && bytes[out[n]] > 0;
       ++n) {
    sum += bytes[out[n]];
  }
  out.resize(n);
  return out;
}

CallerBudget::Charge::Charge(std::shared_ptr<CallerBudget> budget,
                             AccountPtr account,
                             size_t bytes)
    : budget_(std::move(budget)), account_(std::move(account)), bytes_(bytes) {
  budget_->used_ += bytes_;
  if (account_) {
    account_->unread_ += bytes_;
  }
}

CallerBudget::Charge::~Charge() {
  budget_->used_ -= bytes_;
  if (account_) {
    account_->unread_ -= bytes_;
  }
}

CallerBudget::AccountPtr CallerBudget::Open(std::function<void()> close) {
  auto out = std::make_shared<Account>(shared_from_this());
  out->close_ = std::move(close);
  std::lock_guard lock(mutex_);
  open_.emplace(out.get(), out);
  return out;
}

void CallerBudget::Close(const AccountPtr& account) {
  std::lock_guard lock(mutex_);
  account->close_ = {};
  closing_ -= std::exchange(account->closing_, 0);
  used_ -= account->unfinished_.exchange(0);
  open_.erase(account.get());
}

void CallerBudget::SetUnfinished(const AccountPtr& account, size_t bytes) {
  const size_t before = account->unfinished_.exchange(bytes);
  used_ += bytes - before;
  if (bytes > before) {
    MakeRoom(0);
  }
}

bool CallerBudget::MakeRoom(size_t bytes) {
  if (used_ + bytes <= limit_) {
    return true;
  }
  std::lock_guard lock(mutex_);
  const auto in_use = [&] { return used_ - std::min<size_t>(used_, closing_); };
  if (in_use() + bytes > limit_) {
    CloseLargest(in_use() + bytes - limit_ + limit_ / kSpareDivisor);
  }
  return in_use() + bytes <= limit_;
}

void CallerBudget::CloseLargest(size_t excess) {
  std::vector<Account*> accounts;
  std::vector<size_t> bytes;
  for (const auto& it : open_) {
    if (it.first->closing_ == 0 && it.first->close_) {
      accounts.push_back(it.first);
      bytes.push_back(it.first->unfinished_ + it.first->unread_);
    }
  }
  for (const size_t n : SelectToClose(bytes, excess)) {
    accounts[n]->closing_ = bytes[n];
    closing_ += bytes[n];
    ++closed_;
    accounts[n]->close_();
  }
}

}  // namespace bw::net
