#include <algorithm>
#include <cmath>

#include "speed_base.h"

namespace bw {
namespace {

/// Time constant, in seconds, of the exponential decay of samples: slow phases
/// of backend servers last some seconds.
constexpr double kDecaySeconds = 6;
/// Weight of the prior that a server runs at normal speed.
constexpr double kPriorWeight = 12;
/// Variance of the log run time among tasks of one step on equal servers.
constexpr double kTaskVariance = 0.04;
/// Samples of a queue required before its statistics are used.
constexpr double kMinSamples = 12;
/// Lower bound of the weight of the newest sample in a queue's moving averages.
constexpr double kMinSampleWeight = 0.02;
/// A running task counts as an overrun beyond this many standard deviations.
constexpr double kOverrunDeviations = 2;
/// Lifetime of an overrun. A task that is still running is reported again
/// within this time.
constexpr milliseconds kOverrunLifetime{2500};
/// Factor on run times from which a server counts as slow. Machine types differ
/// by less; a server in trouble is several times slower.
constexpr double kBadFactor = 1.8;

}  // namespace

void SpeedMeter::OnDone(const QueueId& queue,
                        const BackendId& backend,
                        double estimate_ms,
                        double ran_ms,
                        Time now) {
  const double log_ratio = std::log(ran_ms / estimate_ms);
  QueueStats& queue_stats = queues_[queue];
  const double deviation = log_ratio - queue_stats.mean;
  queue_stats.samples += 1;
  const double sample_weight =
      std::max(kMinSampleWeight, 1 / queue_stats.samples);
  queue_stats.mean += sample_weight * deviation;
  queue_stats.variance +=
      sample_weight * (deviation * deviation - queue_stats.variance);
  if (queue_stats.samples < kMinSamples) {
    return;
  }
  ServerStats& server_stats = servers_[backend];
  const double elapsed_s =
      std::chrono::duration<double>(now - server_stats.updated_at).count();
  const double decay = server_stats.updated_at == kNever
                           ? 0
                           : std::exp(-elapsed_s / kDecaySeconds);
  const double weight = 1 / (queue_stats.variance + kTaskVariance);
  server_stats.weighted_sum =
      server_stats.weighted_sum * decay + weight * deviation;
  server_stats.weight_sum = server_stats.weight_sum * decay + weight;
  server_stats.updated_at = now;
}

void SpeedMeter::OnRunning(const QueueId& queue,
                           const BackendId& backend,
                           double estimate_ms,
                           double ran_ms,
                           Time now) {
  const auto it = queues_.find(queue);
  if (it == queues_.end() || it->second.samples < kMinSamples) {
    return;
  }
  const double deviation = std::log(ran_ms / estimate_ms) - it->second.mean -
                           kOverrunDeviations * std::sqrt(it->second.variance);
  if (deviation <= 0) {
    return;
  }
  ServerStats& server_stats = servers_[backend];
  const bool fresh = now - server_stats.overrun_at < kOverrunLifetime;
  server_stats.overrun =
      fresh ? std::max(server_stats.overrun, deviation) : deviation;
  server_stats.overrun_at = now;
}

double SpeedMeter::SlownessOf(const BackendId& backend, Time now) const {
  const auto it = servers_.find(backend);
  if (it == servers_.end()) {
    return 1;
  }
  const ServerStats& server_stats = it->second;
  double out = 0;
  if (server_stats.updated_at != kNever) {
    const double decay = std::exp(
        -std::chrono::duration<double>(now - server_stats.updated_at).count() /
        kDecaySeconds);
    out = server_stats.weighted_sum * decay /
          (server_stats.weight_sum * decay + kPriorWeight);
  }
  if (server_stats.overrun_at != kNever &&
      now - server_stats.overrun_at < kOverrunLifetime) {
    // A task that is still running is expected to run as long again.
    out = std::max(out, server_stats.overrun + std::log(2.0));
  }
  return std::exp(out);
}

bool SpeedMeter::IsSlow(const BackendId& backend, Time now) const {
  return SlownessOf(backend, now) >= kBadFactor;
}

}  // namespace bw
