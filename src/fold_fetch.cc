#include "fold_fetch_func.h"

namespace bw {
namespace {

constexpr milliseconds kFetchTimeout{2000};

}  // namespace

void FetchFold(net::Mesh* mesh,
               const std::string& address,
               ControlFollower* control) {
  proto::Envelope question;
  question.mutable_fold_request();
  mesh->Ask(
      address, std::move(question), kFetchTimeout,
      [control](const proto::Envelope* answer) {
        if (answer != nullptr && answer->has_fold_reply()) {
          control->Adopt(answer->fold_reply().snapshot());
        }
      },
      nullptr);
}

}  // namespace bw
