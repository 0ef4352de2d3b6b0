// The instances that put questions to the advice service for the owner.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "advice_func.h"

namespace bw {

/// How a question ended.
enum class QuestionEnd : uint8_t {
  kAnswered,
  kOverloaded,  ///< The instance or the service took no more questions.
  kNotSent,     ///< No connection to the instance: it did not get it.
  kSilent,      ///< No answer in time.
};

/// Knows which instances have a question under way, and which do not answer. A
/// pure state machine over the instances' addresses. Not thread-safe.
class AdvicePool {
 public:
  /// Chooses an instance and counts the question as put to it.
  /// @param expected Time that the service takes. @param urgent See
  /// ChooseChannel. @return Its address; empty if none can take it now.
  std::string Take(const std::vector<std::string>& members,
                   milliseconds expected,
                   bool urgent,
                   Time now);

  /// @return Time after which the newest question to `address` has no answer
  /// any more. @pre Take chose `address` just now.
  milliseconds GiveUpAfter(const std::string& address, Time now) const;

  void OnEnd(const std::string& address, QuestionEnd end, Time now);

 private:
  std::map<std::string, AdviceChannel> instances_;
};

}  // namespace bw
