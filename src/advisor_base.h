// Puts questions to the advice service, one at a time, as the service takes
// one call at a time from each instance.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "loop_base.h"
#include "net/http_client.h"
#include "platform/advice.h"

namespace bw {

/// Belongs to the core thread.
class Advisor {
 public:
  using Done = std::function<void(const platform::AdviceAnswer&)>;

  /// @param address "ip:port" of the service; empty: there is none.
  /// @pre `http` and `core` outlive the advisor.
  Advisor(std::string address, net::HttpClient* http, Loop* core)
      : address_(std::move(address)), http_(http), core_(core) {}

  /// @param give_up The answer is not wanted any more after this.
  void Ask(std::string step_name,
           std::vector<std::string> backends,
           milliseconds give_up,
           Done done);

 private:
  struct Question {
    std::string step_name;
    std::vector<std::string> backends;
    Time give_up_at;
    Done done;
  };
  void SendNext();

  const std::string address_;
  net::HttpClient* const http_;
  Loop* const core_;
  std::deque<Question> waiting_;
  bool asking_ = false;
};

}  // namespace bw
