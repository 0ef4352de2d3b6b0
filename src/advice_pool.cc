#include "advice_pool_base.h"

#include <algorithm>

namespace bw {
namespace {

/// Time of the two calls of a query: to the instance, and from there to the
/// service.
constexpr milliseconds kCallOverhead{8};
/// Additional time that a reply may take on a busy instance.
constexpr milliseconds kReplySlack{150};
/// A query without a reply for this long beyond its expected end times out and
/// is sent to another instance.
constexpr milliseconds kTimeoutSlack{400};
/// An instance that let a query time out gets no queries for this long.
constexpr milliseconds kUnresponsiveBackoff{3000};
/// Typical time to re-establish a connection.
constexpr milliseconds kReconnectTime{200};

}  // namespace

std::vector<AdviceChannel> AdvicePool::ChannelsOf(
    const std::vector<std::string>& members) const {
  std::vector<AdviceChannel> out;
  out.reserve(members.size());
  for (const auto& it : members) {
    const auto known = instances_.find(it);
    out.push_back(known == instances_.end() ? AdviceChannel{} : known->second);
  }
  return out;
}

size_t AdvicePool::CountIdle(const std::vector<std::string>& members,
                             Time now) const {
  return CountIdleChannels(ChannelsOf(members), now);
}

std::string AdvicePool::Acquire(const std::vector<std::string>& members,
                                milliseconds expected,
                                bool urgent,
                                Time now) {
  const size_t n = ChooseChannel(ChannelsOf(members), expected, urgent, now);
  if (n == kNoChannel) {
    return {};
  }
  AdviceChannel& channel = instances_[members[n]];
  channel.busy_until =
      std::max(channel.busy_until, now) + expected + kCallOverhead;
  if (++channel.pending == 1) {
    channel.overdue_at = channel.busy_until + kReplySlack;
  }
  return members[n];
}

milliseconds AdvicePool::ResponseTimeout(const std::string& address,
                                         Time now) const {
  return std::chrono::duration_cast<milliseconds>(
             instances_.at(address).busy_until - now) +
         kTimeoutSlack;
}

void AdvicePool::OnQueryEnd(const std::string& address,
                            QueryOutcome outcome,
                            Time now) {
  const auto it = instances_.find(address);
  if (it == instances_.end()) {
    return;
  }
  AdviceChannel& channel = it->second;
  channel.pending -= std::min<uint32_t>(channel.pending, 1);
  channel.responsive = outcome == QueryOutcome::kAnswered;
  if (outcome == QueryOutcome::kTimedOut) {
    channel.avoid_until = now + kUnresponsiveBackoff;
  } else if (outcome == QueryOutcome::kNotSent) {
    channel.avoid_until = std::max(channel.avoid_until, now + kReconnectTime);
  }
  if (channel.pending == 0) {
    channel.overdue_at = kNever;
    channel.busy_until = std::min(channel.busy_until, now);
  } else if (outcome == QueryOutcome::kAnswered) {
    channel.overdue_at = std::max(channel.busy_until, now) + kReplySlack;
  }
}

}  // namespace bw
