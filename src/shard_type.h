// What the parts of a shard need from the process around them.
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

/// The surroundings of one shard. Interface, so that tests can stand in for
/// the process. All methods and callbacks belong to the core thread.
class ShardPort {
 public:
  virtual ~ShardPort() = default;

  virtual Time Now() const = 0;

  /// @return True if new actions may start on the shard at this moment.
  virtual bool MayAct() const = 0;

  /// @return True if the keys known here are current enough.
  virtual bool MayAcceptKeyed() const = 0;

  /// Calls a backend server. The authority is checked once more right before
  /// the first byte leaves, unless `unfenced` (reads change nothing).
  virtual void Call(net::HttpCall call,
                    bool unfenced,
                    std::function<void(net::HttpResult)> done) = 0;

  /// Puts a record on the zone's jobs stream.
  virtual void Append(const JobEvent& event,
                      std::function<void(platform::AppendFate)> done) = 0;

  /// Asks other shards for units of a team's allowance.
  virtual void AskAllowance(const TeamId& team, uint64_t units) = 0;

  virtual const ControlState& State() const = 0;
  virtual const JobsState& Jobs() const = 0;
  virtual Timeline& Events() = 0;
  virtual Metrics& Counters() = 0;
};

}  // namespace bw
