#include "placer_port.h"

namespace bw {

bool Placer::Port::MayAct() const {
  return placer_->jobs_loaded_ && placer_->authority_.MayAct(shard_, Now());
}

bool Placer::Port::MayAcceptKeyed() const {
  return placer_->keys_.MayAcceptKeyed(placer_->state_->zones, Now());
}

void Placer::Port::Call(net::HttpCall call,
                        bool unfenced,
                        std::function<void(net::HttpResult)> done) {
  std::function<bool()> may_send;
  if (!unfenced) {
    may_send = [fence = &placer_->authority_until_us_] {
      return BootClock::now().time_since_epoch().count() < fence->load();
    };
  }
  auto on_core = [placer = placer_,
                  done = std::move(done)](net::HttpResult result) {
    placer->loop_.PostBlocking(
        [done, result = std::move(result)] { done(result); });
  };
  placer_->parts_.http->Send(std::move(call), std::move(may_send),
                             std::move(on_core));
}

void Placer::Port::Append(const JobEvent& event,
                          std::function<void(platform::AppendStatus)> done) {
  const bool persistent = event.kind == JobRecordKind::kDone ||
                          event.kind == JobRecordKind::kFailed ||
                          event.kind == JobRecordKind::kCancelled ||
                          event.kind == JobRecordKind::kWriteAheadVoided;
  auto on_core = [placer = placer_,
                  done = std::move(done)](platform::AppendStatus status) {
    // Put may call back on the core thread, where PostBlocking would deadlock.
    placer->loop_.Post([done, status] { done(status); });
  };
  placer_->appender_->Put({placer_->jobs_stream_, WriteJobEvent(event),
                           persistent, std::move(on_core)});
}

}  // namespace bw
