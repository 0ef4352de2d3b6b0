#include "advisor_base.h"

namespace bw {
namespace {

/// Maximum of queued queries; further ones end at once as overloaded.
constexpr size_t kMaxWaiting = 24;

}  // namespace

void Advisor::Query(std::string step_name,
                    std::vector<std::string> backends,
                    milliseconds timeout,
                    Done done) {
  if (address_.empty() || waiting_.size() >= kMaxWaiting) {
    platform::AdviceResponse out;
    out.overloaded = true;
    core_->Post([done = std::move(done), out] { done(out); });
    return;
  }
  waiting_.push_back({std::move(step_name), std::move(backends),
                      BootClock::now() + timeout, std::move(done)});
  SendNext();
}

void Advisor::SendNext() {
  while (!query_pending_ && !waiting_.empty()) {
    PendingQuery query = std::move(waiting_.front());
    waiting_.pop_front();
    const Time now = BootClock::now();
    if (now >= query.timeout_at) {
      core_->Post([done = std::move(query.done)] { done({}); });
      continue;
    }
    query_pending_ = true;
    const auto timeout =
        std::chrono::duration_cast<milliseconds>(query.timeout_at - now);
    http_->Send(
        platform::MakeAdviceCall(address_, query.step_name, query.backends,
                                 timeout),
        {},
        [this, done = std::move(query.done)](const net::HttpResult& result) {
          core_->PostBlocking(
              [this, done, response = platform::ParseAdviceResponse(result)] {
                query_pending_ = false;
                done(response);
                SendNext();
              });
        });
  }
}

}  // namespace bw
