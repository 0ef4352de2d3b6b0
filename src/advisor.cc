#include "advisor_base.h"

namespace bw {
namespace {

/// Questions that wait here; more are answered as overloaded.
constexpr size_t kMaxWaiting = 24;

}  // namespace

void Advisor::Ask(std::string step_name,
                  std::vector<std::string> backends,
                  milliseconds give_up,
                  Done done) {
  if (address_.empty() || waiting_.size() >= kMaxWaiting) {
    platform::AdviceAnswer out;
    out.overloaded = true;
    core_->Post([done = std::move(done), out] { done(out); });
    return;
  }
  waiting_.push_back({std::move(step_name), std::move(backends),
                      BootClock::now() + give_up, std::move(done)});
  SendNext();
}

void Advisor::SendNext() {
  while (!asking_ && !waiting_.empty()) {
    Question question = std::move(waiting_.front());
    waiting_.pop_front();
    const Time now = BootClock::now();
    if (now >= question.give_up_at) {
      core_->Post([done = std::move(question.done)] { done({}); });
      continue;
    }
    asking_ = true;
    const auto left =
        std::chrono::duration_cast<milliseconds>(question.give_up_at - now);
    http_->Send(
        platform::MakeAdviceCall(address_, question.step_name,
                                 question.backends, left),
        {},
        [this, done = std::move(question.done)](const net::HttpResult& result) {
          core_->PostWaiting(
              [this, done, answer = platform::ReadAdviceAnswer(result)] {
                asking_ = false;
                done(answer);
                SendNext();
              });
        });
  }
}

}  // namespace bw
