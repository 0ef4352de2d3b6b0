#include "relay_client_base.h"

#include <sodium.h>

#include <algorithm>
#include <iterator>

#include "event_log_func.h"

namespace bw {
namespace {

/// A relay replies at most this long after the call's own time-out.
constexpr milliseconds kReplySlack{150};
/// A relay that let a call time out gets no calls for this long.
constexpr milliseconds kSilentBackoff{3000};
/// A relay without a connection gets none for the time of a connect.
constexpr milliseconds kConnectBackoff{200};
constexpr milliseconds kExpiryInterval{50};
/// Interval at which relays are asked for their clocks until they answer.
constexpr milliseconds kQuestionInterval{100};
/// A call that reaches its relay this much later than its own time-out is not
/// sent any more.
constexpr milliseconds kMaxRelayDelay{500};
/// Calls queued for one relay that are not held back any longer.
constexpr size_t kMaxBatch = 16;
/// The mesh's own time-out of a batch, whose results arrive separately.
constexpr milliseconds kBatchTimeout{100};

}  // namespace

/// Numbers start at random: relays may still send the results of the calls of a
/// former process at this address.
RelayClient::RelayClient(net::HttpClient* direct) : direct_(direct) {
  randombytes_buf(&last_number_, sizeof(last_number_));
}

void RelayClient::SetRelays(RelaysByZone relays, const std::string& reply_to) {
  reply_to_ = reply_to;
  if (relays == relays_) {
    return;
  }
  relays_ = std::move(relays);
  nlohmann::json counts = nlohmann::json::object();
  for (const auto& it : relays_) {
    counts[it.first.value] = it.second.size();
  }
  LogEvent(Part::kPlacer, "relays_chosen", {{"by_zone", counts}});
  AskForClocks(BootClock::now());
}

void RelayClient::AskForClocks(Time now) {
  if (now < next_question_ || mesh_ == nullptr) {
    return;
  }
  next_question_ = now + kQuestionInterval;
  std::vector<std::string> unknown;
  {
    std::lock_guard lock(mutex_);
    for (const auto& it : relays_) {
      std::copy_if(it.second.begin(), it.second.end(),
                   std::back_inserter(unknown),
                   [&](const auto& relay) { return !clocks_.contains(relay); });
    }
  }
  for (const auto& relay : unknown) {
    proto::Envelope question;
    question.mutable_relay_request()->set_reply_to(reply_to_);
    mesh_->SendRequest(relay, std::move(question), kBatchTimeout, {}, [] {});
  }
}

/// Notes a relay's clock. The reading was taken before `now`, so that the
/// estimate made from it is never ahead of the relay's clock.
void RelayClient::OnClock(const proto::RelayResults& results, Time now) {
  const uint64_t ahead_us = results.clock_us() - ToMicros(now);
  std::lock_guard lock(mutex_);
  RelayClock& clock = clocks_[results.relay()];
  const bool higher = static_cast<int64_t>(ahead_us - clock.ahead_us) > 0;
  if (clock.life != results.life() || higher) {
    clock = {results.life(), ahead_us};
  }
}

/// @return Address of the relay; empty if this instance sends the call itself.
std::string RelayClient::ChooseRelay(const BackendEntry& to, Time now) {
  const auto it = relays_.find(to.zone);
  if (mesh_ == nullptr || it == relays_.end()) {
    return {};
  }
  std::vector<std::string> usable;
  std::lock_guard lock(mutex_);
  for (const auto& relay : it->second) {
    const auto avoided = avoid_until_.find(relay);
    if (avoided == avoid_until_.end() || avoided->second <= now) {
      usable.push_back(relay);
    }
  }
  const std::string relay = RelayOf(usable, to.id.value);
  return clocks_.contains(relay) ? relay : std::string();
}

void RelayClient::Send(const BackendEntry& to,
                       net::HttpCall call,
                       std::function<bool()> may_send,
                       net::HttpClient::Done done) {
  const Time now = BootClock::now();
  const std::string relay = ChooseRelay(to, now);
  if (relay.empty()) {
    direct_->Send(std::move(call), std::move(may_send), std::move(done));
    return;
  }
  const uint64_t number = ++last_number_;
  {
    std::lock_guard lock(mutex_);
    pending_[number] = {relay, now + call.timeout + kReplySlack,
                        std::move(call), std::move(may_send), std::move(done)};
  }
  auto& queued = outbox_[relay];
  queued.push_back(number);
  if (queued.size() >= kMaxBatch) {
    FlushTo(relay, std::exchange(queued, {}));
  }
}

void RelayClient::Flush() {
  for (auto& it : outbox_) {
    if (!it.second.empty()) {
      FlushTo(it.first, std::exchange(it.second, {}));
    }
  }
}

void RelayClient::FlushTo(const std::string& relay,
                          const std::vector<uint64_t>& numbers) {
  proto::Envelope envelope;
  auto* request = envelope.mutable_relay_request();
  request->set_reply_to(reply_to_);
  std::vector<uint64_t> refused;
  {
    std::lock_guard lock(mutex_);
    const RelayClock& clock = clocks_[relay];
    request->set_life(clock.life);
    milliseconds longest{0};
    for (uint64_t number : numbers) {
      const auto it = pending_.find(number);
      if (it == pending_.end()) {
        continue;
      }
      const Pending& pending = it->second;
      if (pending.may_send && !pending.may_send()) {
        refused.push_back(number);
        continue;
      }
      auto* out = request->add_calls();
      out->set_number(number);
      out->set_method(pending.call.method);
      out->set_url(pending.call.url);
      for (const auto& header : pending.call.headers) {
        out->add_headers(header.first);
        out->add_headers(header.second);
      }
      out->set_body(pending.call.body);
      out->set_timeout_ms(static_cast<uint32_t>(pending.call.timeout.count()));
      longest = std::max(longest, pending.call.timeout);
    }
    request->set_expires_us(
        ToMicros(BootClock::now() + longest + kMaxRelayDelay) + clock.ahead_us);
  }
  for (auto& it : Extract(refused)) {
    it.done({net::DeliveryStatus::kNotSent, 0, {}, {}});
  }
  if (request->calls_size() > 0) {
    mesh_->SendRequest(
        relay, std::move(envelope), kBatchTimeout, {},
        [this, relay, numbers] { SendDirectly(relay, numbers); });
  }
}

/// Sends calls that did not leave for their relay. Thread-safe.
void RelayClient::SendDirectly(const std::string& relay,
                               const std::vector<uint64_t>& numbers) {
  Avoid(relay, "not connected", kConnectBackoff);
  for (auto& it : Extract(numbers)) {
    direct_->Send(std::move(it.call), std::move(it.may_send),
                  std::move(it.done));
  }
}

/// Sends a start that its relay held back. Thread-safe.
void RelayClient::SendHeldBack(uint64_t number) {
  for (auto& it : Extract({number})) {
    Avoid(it.relay, "held the call back", kSilentBackoff);
    direct_->Send(std::move(it.call), std::move(it.may_send),
                  std::move(it.done));
  }
}

void RelayClient::Avoid(const std::string& relay,
                        const char* why,
                        Duration duration) {
  LogEvent(Part::kPlacer, "relay_avoided", {{"relay", relay}, {"why", why}});
  std::lock_guard lock(mutex_);
  Time& until = avoid_until_[relay];
  until = std::max(until, BootClock::now() + duration);
}

/// Removes calls from `pending_`; those that have ended are left out.
std::vector<RelayClient::Pending> RelayClient::Extract(
    const std::vector<uint64_t>& numbers) {
  std::vector<Pending> out;
  std::lock_guard lock(mutex_);
  for (uint64_t number : numbers) {
    auto node = pending_.extract(number);
    if (!node.empty()) {
      out.push_back(std::move(node.mapped()));
    }
  }
  return out;
}

void RelayClient::OnResults(const proto::RelayResults& results) {
  if (!results.relay().empty()) {
    OnClock(results, BootClock::now());
  }
  for (const auto& it : results.results()) {
    if (it.status() == kHeldBackByRelay) {
      SendHeldBack(it.number());
      continue;
    }
    for (auto& pending : Extract({it.number()})) {
      net::HttpResult result;
      constexpr auto kLast =
          static_cast<uint32_t>(net::DeliveryStatus::kUnknown);
      result.delivery =
          static_cast<net::DeliveryStatus>(std::min(it.delivery(), kLast));
      result.status = static_cast<int>(it.status());
      result.body = it.body();
      pending.done(std::move(result));
    }
  }
}

void RelayClient::Tick(Time now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  AskForClocks(now);
  std::vector<uint64_t> overdue;
  {
    std::lock_guard lock(mutex_);
    for (const auto& it : pending_) {
      if (it.second.deadline <= now) {
        overdue.push_back(it.first);
      }
    }
  }
  for (auto& it : Extract(overdue)) {
    Avoid(it.relay, "no reply", kSilentBackoff);
    it.done({net::DeliveryStatus::kUnknown, 0, {}, {}});
  }
}

}  // namespace bw
