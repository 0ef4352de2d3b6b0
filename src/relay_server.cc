#include "relay_server_base.h"

#include <sodium.h>

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

RelayServer::RelayServer(net::HttpClient* http,
                         EventLoop* core,
                         const EvacuationView* evacuations,
                         ZoneId zone,
                         std::string address)
    : http_(http),
      core_(core),
      evacuations_(evacuations),
      zone_(std::move(zone)),
      address_(std::move(address)) {
  randombytes_buf(&life_, sizeof(life_));
}

/// @return A message to an owner, without results yet.
proto::Envelope RelayServer::MakeResults() const {
  proto::Envelope out;
  auto* results = out.mutable_relay_results();
  results->set_relay(address_);
  results->set_life(life_);
  results->set_clock_us(ToMicros(BootClock::now()));
  return out;
}

void RelayServer::OnRequest(const proto::RelayRequest& request) {
  if (request.calls_size() == 0) {
    mesh_->SendRequest(request.reply_to(), MakeResults(), kResultsTimeout, {},
                       [] {});  // Asked again then.
    return;
  }
  // The former process at this address had another clock.
  const uint64_t expires_us =
      request.life() == life_ ? request.expires_us() : 0;
  const auto has_expired = [expires_us] {
    return ToMicros(BootClock::now()) > expires_us;
  };
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
    const auto may_send = [this, start, has_expired] {
      return !has_expired() &&
             (!start || evacuations_->MayStartIn(zone_, BootClock::now()));
    };
    http_->Send(
        std::move(call), std::move(may_send),
        [this, to = request.reply_to(), number = it.number(), start,
         has_expired](net::HttpResult result) {
          const bool held_back =
              has_expired() ||
              (start && !evacuations_->IsCurrent(BootClock::now()));
          if (held_back && result.delivery == net::DeliveryStatus::kNotSent) {
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
    proto::Envelope envelope = MakeResults();
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
