// One shard as its owner runs it: requests, jobs and the usage they share.
#pragma once

#include <atomic>
#include <memory>

#include "job_board_base.h"
#include "request_board_base.h"

namespace bw {

/// Belongs to the core thread, but for `fence`, which other threads read.
struct Shard {
  Shard(ShardId shard, std::unique_ptr<ShardPort> surroundings, Duration lease)
      : id(shard),
        port(std::move(surroundings)),
        usage(shard),
        requests(shard, port.get(), &usage),
        jobs(shard, port.get(), &usage, lease) {}

  const ShardId id;
  std::unique_ptr<ShardPort> port;
  TeamUsage usage;
  RequestBoard requests;
  JobBoard jobs;
  Offset since = 0;     ///< Epoch under which it was gained; 0: not held.
  bool acting = false;  ///< As last seen by the tick, for events.
};

}  // namespace bw
