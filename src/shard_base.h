// One shard at its owner: the boards of requests and jobs and their common
// usage.
#pragma once

#include <atomic>
#include <memory>

#include "job_board_base.h"
#include "request_board_base.h"

namespace bw {

/// Belongs to the core thread.
struct Shard {
  Shard(ShardId shard, std::unique_ptr<ShardPort> shard_port, Duration lease)
      : id(shard),
        port(std::move(shard_port)),
        usage(shard),
        requests(shard, port.get(), &usage),
        jobs(shard, port.get(), &usage, lease) {}

  const ShardId id;
  std::unique_ptr<ShardPort> port;
  TeamUsage usage;
  RequestBoard requests;
  JobBoard jobs;
  Offset epoch = 0;     ///< Fencing epoch of the ownership; 0: not owned.
  bool acting = false;  ///< MayAct() at the latest tick, to log changes.
};

}  // namespace bw
