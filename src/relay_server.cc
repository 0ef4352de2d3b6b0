#include "relay_server_base.h"

#include "platform/backend.h"
#include "relay_func.h"

#include <memory>
#include <utility>

namespace bw {
namespace {

/// How long results are kept for an owner without a connection.
constexpr milliseconds kResultLifetime{1000};
/// Longest time-out of a call.
constexpr uint32_t kMaxTimeoutMs = 10'000;
/// The mesh's own time-out of results, which get no response.
constexpr milliseconds kResultsTimeout{100};

}  // namespace

void RelayServer::OnRequest(const proto::RelayRequest& request) {
  for (const auto& it : request.calls()) {
    net::HttpCall call;
    call.method = it.method();
    call.url = it.url();
    for (int n = 0; n + 1 < it.headers_size(); n += 2) {
      call.headers.emplace_back(it.headers(n), it.headers(n + 1));
    }
    call.body = it.body();
    call.timeout = milliseconds(std::min(it.timeout_ms(), kMaxTimeoutMs));
    const bool start = platform::IsStartCall(call.url);
    std::function<bool()> may_send;
    if (start) {
      may_send = [this] {
        return evacuations_->MayStartIn(zone_, BootClock::now());
      };
    }
    http_->Send(
        std::move(call), std::move(may_send),
        [this, to = request.reply_to(), number = it.number(),
         start](net::HttpResult result) {
          if (start && result.delivery == net::DeliveryStatus::kNotSent &&
              !evacuations_->IsCurrent(BootClock::now())) {
            result.status = kHeldBackByRelay;
          }
          Outgoing out;
          out.result.set_number(number);
          out.result.set_delivery(static_cast<uint32_t>(result.delivery));
          out.result.set_status(static_cast<uint32_t>(result.status));
          out.result.set_body(std::move(result.body));
          out.until = BootClock::now() + kResultLifetime;
          OnResult(to, std::move(out));
        });
  }
}

void RelayServer::OnResult(const std::string& reply_to, Outgoing out) {
  {
    std::lock_guard lock(mutex_);
    outbox_[reply_to].push_back(std::move(out));
    if (std::exchange(flush_posted_, true)) {
      return;
    }
  }
  core_->PostBlocking([this] { Flush(BootClock::now()); });
}

void RelayServer::Flush(Time now) {
  std::map<std::string, std::deque<Outgoing>> outbox;
  {
    std::lock_guard lock(mutex_);
    flush_posted_ = false;
    outbox.swap(outbox_);
  }
  for (auto& it : outbox) {
    const std::string& to = it.first;
    auto& queued = it.second;
    std::erase_if(queued, [&](const Outgoing& of) { return of.until <= now; });
    if (queued.empty()) {
      continue;
    }
    proto::Envelope envelope;
    for (const auto& of : queued) {
      *envelope.mutable_relay_results()->add_results() = of.result;
    }
    const auto kept = std::make_shared<std::deque<Outgoing>>(std::move(queued));
    mesh_->SendRequest(
        to, std::move(envelope), kResultsTimeout, {}, [this, to, kept] {
          // Sent again by the next Tick.
          std::lock_guard lock(mutex_);
          auto& again = outbox_[to];
          again.insert(again.begin(), kept->begin(), kept->end());
        });
  }
}

}  // namespace bw
