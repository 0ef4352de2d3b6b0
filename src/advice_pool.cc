#include "advice_pool_base.h"

#include <algorithm>

namespace bw {
namespace {

/// The way to the instance and from there to the service, and back: two calls.
constexpr milliseconds kQuestionOverhead{8};
/// What an answer may take longer than that on a busy instance.
constexpr milliseconds kAnswerSlack{150};
/// A question without an answer for that much longer is put to another one.
constexpr milliseconds kGiveUpSlack{400};
/// An instance that gave no answer gets no questions for this long.
constexpr milliseconds kAvoidSilent{3000};
/// A connection is made anew in about this time.
constexpr milliseconds kReconnect{200};

}  // namespace

std::string AdvicePool::Take(const std::vector<std::string>& members,
                             milliseconds expected,
                             bool urgent,
                             Time now) {
  std::vector<AdviceChannel> channels;
  channels.reserve(members.size());
  for (const auto& it : members) {
    channels.push_back(instances_[it]);
  }
  const size_t n = ChooseChannel(channels, expected, urgent, now);
  if (n == kNoChannel) {
    return {};
  }
  AdviceChannel& channel = instances_[members[n]];
  channel.busy_until =
      std::max(channel.busy_until, now) + expected + kQuestionOverhead;
  if (++channel.open == 1) {
    channel.overdue_at = channel.busy_until + kAnswerSlack;
  }
  return members[n];
}

milliseconds AdvicePool::GiveUpAfter(const std::string& address,
                                     Time now) const {
  return std::chrono::duration_cast<milliseconds>(
             instances_.at(address).busy_until - now) +
         kGiveUpSlack;
}

void AdvicePool::OnEnd(const std::string& address, QuestionEnd end, Time now) {
  const auto it = instances_.find(address);
  if (it == instances_.end()) {
    return;
  }
  AdviceChannel& channel = it->second;
  channel.open -= std::min<uint32_t>(channel.open, 1);
  channel.proven = end == QuestionEnd::kAnswered;
  if (end == QuestionEnd::kSilent) {
    channel.avoid_until = now + kAvoidSilent;
  } else if (end == QuestionEnd::kNotSent) {
    channel.avoid_until = std::max(channel.avoid_until, now + kReconnect);
  }
  if (channel.open == 0) {
    channel.overdue_at = kNever;
    channel.busy_until = std::min(channel.busy_until, now);
  } else if (end == QuestionEnd::kAnswered) {
    channel.overdue_at = std::max(channel.busy_until, now) + kAnswerSlack;
  }
}

}  // namespace bw
