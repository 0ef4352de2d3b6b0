// The ShardPort through which a shard uses the services of its placer.
#pragma once

#include "placer_base.h"

namespace bw {

/// Connects one shard to the placer. Belongs to the core thread.
class Placer::Port : public ShardPort {
 public:
  Port(Placer* placer, ShardId shard) : placer_(placer), shard_(shard) {}

  Time Now() const override { return BootClock::now(); }
  bool MayAct() const override;
  bool MayAcceptKeyed() const override;
  void Call(net::HttpCall call,
            bool unfenced,
            std::function<void(net::HttpResult)> done) override;
  void Append(const JobEvent& event,
              std::function<void(platform::AppendStatus)> done) override;
  void RequestAllowance(const TeamId& team, uint64_t units) override {
    placer_->RequestAllowance(shard_, team, units);
  }
  const ControlState& State() const override { return *placer_->state_; }
  const JobsState& Jobs() const override { return placer_->jobs_; }
  Timeline& Events() override { return *placer_->parts_.events; }
  Metrics& Counters() override { return *placer_->parts_.metrics; }

 private:
  Placer* const placer_;
  const ShardId shard_;
};

}  // namespace bw
