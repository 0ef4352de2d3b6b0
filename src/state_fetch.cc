#include "state_fetch_func.h"

namespace bw {
namespace {

constexpr milliseconds kFetchTimeout{2000};

}  // namespace

void FetchControlState(net::Mesh* mesh,
                       const std::string& address,
                       ControlFollower* control) {
  proto::Envelope request;
  request.mutable_fold_request();
  mesh->SendRequest(
      address, std::move(request), kFetchTimeout,
      [control](const proto::Envelope* reply) {
        if (reply != nullptr && reply->has_fold_reply()) {
          control->AdoptSnapshot(reply->fold_reply().snapshot());
        }
      },
      nullptr);
}

}  // namespace bw
