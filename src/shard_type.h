// Interface of the process that runs a shard, as used by the parts of the
// shard.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "control_type.h"
#include "metric_base.h"
#include "net/http_type.h"
#include "platform/log_service.h"
#include "timeline_base.h"
#include "work_func.h"

namespace bw {

/// The process around one shard; an interface, so that tests can replace the
/// process. All methods and callbacks belong to the core thread.
class ShardPort {
 public:
  virtual ~ShardPort() = default;

  virtual Time Now() const = 0;

  /// @return True if new actions may be started on the shard now.
  virtual bool MayAct() const = 0;

  /// @return True if the known API keys are current enough to accept work with
  /// a key.
  virtual bool MayAcceptKeyed() const = 0;

  /// Calls a backend server. The authority is checked again right before the
  /// first byte is sent, unless `unfenced`, which is for calls that only read.
  virtual void Call(net::HttpCall call,
                    bool unfenced,
                    std::function<void(net::HttpResult)> done) = 0;

  /// Appends a record to the zone's jobs stream.
  virtual void Append(const JobEvent& event,
                      std::function<void(platform::AppendStatus)> done) = 0;

  /// Requests units of a team's allowance from other shards.
  virtual void RequestAllowance(const TeamId& team, uint64_t units) = 0;

  virtual const ControlState& State() const = 0;
  virtual const JobsState& Jobs() const = 0;
  virtual Timeline& Events() = 0;
  virtual Metrics& Counters() = 0;
};

}  // namespace bw
