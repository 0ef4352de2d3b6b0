#include <algorithm>
#include <cmath>

#include "speed_base.h"

namespace bw {
namespace {

/// What was seen weighs 1/e of its weight after this long: troubles of backend
/// servers last some seconds.
constexpr double kForgetS = 6;
/// Weight of the assumption that a server is usual.
constexpr double kPriorWeight = 12;
/// Tasks of one step differ by this variance of their logarithm anyway.
constexpr double kTaskVariance = 0.04;
/// Runs of a queue before its estimates are judged.
constexpr double kFewSamples = 12;
/// Weight of the newest run in a queue's statistics, once there are enough.
constexpr double kQueueWeight = 0.02;
/// A run goes on too long from this many standard deviations on.
constexpr double kOverrunDeviations = 2;
/// A run that goes on too long is seen again within this time.
constexpr milliseconds kOverrunLife{2500};
/// Factor on run times from which a server is bad: kinds of machines differ by
/// less, troubles are several times slower.
constexpr double kBadFrom = 1.8;

}  // namespace

void SpeedMeter::OnDone(const QueueId& queue,
                        const BackendId& backend,
                        double estimate_ms,
                        double ran_ms,
                        Time now) {
  const double x = std::log(ran_ms / estimate_ms);
  QueueStats& of_queue = queues_[queue];
  const double deviation = x - of_queue.mean;
  of_queue.samples += 1;
  const double part = std::max(kQueueWeight, 1 / of_queue.samples);
  of_queue.mean += part * deviation;
  of_queue.variance += part * (deviation * deviation - of_queue.variance);
  if (of_queue.samples < kFewSamples) {
    return;
  }
  ServerStats& of_server = servers_[backend];
  const double passed =
      std::chrono::duration<double>(now - of_server.at).count();
  const double kept = of_server.at == kNever ? 0 : std::exp(-passed / kForgetS);
  const double weight = 1 / (of_queue.variance + kTaskVariance);
  of_server.weighted = of_server.weighted * kept + weight * deviation;
  of_server.weight = of_server.weight * kept + weight;
  of_server.at = now;
}

void SpeedMeter::OnRunning(const QueueId& queue,
                           const BackendId& backend,
                           double estimate_ms,
                           double ran_ms,
                           Time now) {
  const auto it = queues_.find(queue);
  if (it == queues_.end() || it->second.samples < kFewSamples) {
    return;
  }
  const double deviation = std::log(ran_ms / estimate_ms) - it->second.mean -
                           kOverrunDeviations * std::sqrt(it->second.variance);
  if (deviation <= 0) {
    return;
  }
  ServerStats& of_server = servers_[backend];
  const bool fresh = now - of_server.overrun_at < kOverrunLife;
  of_server.overrun =
      fresh ? std::max(of_server.overrun, deviation) : deviation;
  of_server.overrun_at = now;
}

double SpeedMeter::SlownessOf(const BackendId& backend, Time now) const {
  const auto it = servers_.find(backend);
  if (it == servers_.end()) {
    return 1;
  }
  const ServerStats& of_server = it->second;
  double out = 0;
  if (of_server.at != kNever) {
    const double kept = std::exp(
        -std::chrono::duration<double>(now - of_server.at).count() / kForgetS);
    out = of_server.weighted * kept / (of_server.weight * kept + kPriorWeight);
  }
  if (of_server.overrun_at != kNever &&
      now - of_server.overrun_at < kOverrunLife) {
    // What has lasted twice its time may last as long again.
    out = std::max(out, of_server.overrun + std::log(2.0));
  }
  return std::exp(out);
}

bool SpeedMeter::IsBad(const BackendId& backend, Time now) const {
  return SlownessOf(backend, now) >= kBadFrom;
}

}  // namespace bw
