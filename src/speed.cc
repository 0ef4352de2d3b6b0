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
/// The same of differences between kinds of machines.
constexpr double kLastingDecaySeconds = 300;
/// Confidence in an expected run time required before runs are compared with
/// it.
constexpr double kMinConfidence = 0.66;
/// Deviations beyond this, in either direction, say little about the server.
constexpr double kMaxDeviation = 2.5;
/// Number of standard deviations from the median to the 90% quantile.
constexpr double kP90Deviations = 1.28;
/// A running task counts as an overrun beyond this many standard deviations.
constexpr double kOverrunDeviations = 2;
/// Lifetime of an overrun. A task that is still running is reported again
/// within this time.
constexpr milliseconds kOverrunLifetime{2500};
/// Factor on run times from which a server counts as slow. Machine types differ
/// by less; a server in trouble is several times slower.
constexpr double kBadFactor = 1.8;

/// @return Standard deviation of the log run time.
double DeviationOf(const RunExpectation& it) {
  return std::log(it.p90_ms / it.median_ms) / kP90Deviations;
}

}  // namespace

double SpeedMeter::DecayedMean::DecayAt(double decay_s, Time now) const {
  return updated_at == kNever
             ? 0
             : std::exp(
                   -std::chrono::duration<double>(now - updated_at).count() /
                   decay_s);
}

void SpeedMeter::DecayedMean::Add(double deviation,
                                  double weight,
                                  double decay_s,
                                  Time now) {
  const double decay = DecayAt(decay_s, now);
  weighted_sum = weighted_sum * decay + weight * deviation;
  weight_sum = weight_sum * decay + weight;
  updated_at = now;
}

void SpeedMeter::OnDone(const RunClass& run_class,
                        const BackendId& backend,
                        double stated_ms,
                        double ran_ms,
                        Time now,
                        RunProgress progress) {
  const RunExpectation expected = run_times_->Expect(run_class, stated_ms, now);
  if (expected.confidence >= kMinConfidence) {
    const double spread = DeviationOf(expected);
    const double weight = 1 / (spread * spread + kTaskVariance);
    const double deviation = std::clamp(std::log(ran_ms / expected.median_ms),
                                        -kMaxDeviation, kMaxDeviation);
    ServerStats& server = servers_[backend];
    server.recent.Add(deviation, weight, kDecaySeconds, now);
    server.lasting.Add(deviation, weight, kLastingDecaySeconds, now);
    fleet_.Add(deviation, weight, kLastingDecaySeconds, now);
  }
  run_times_->OnEnd(run_class, stated_ms, NormalMs(backend, ran_ms, now), now,
                    progress);
}

void SpeedMeter::OnRunning(const BackendId& backend,
                           const RunExpectation& expected,
                           double ran_ms,
                           Time now) {
  if (expected.confidence < kMinConfidence) {
    return;
  }
  const double deviation = std::log(ran_ms / expected.median_ms) -
                           kOverrunDeviations * DeviationOf(expected);
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
  const double decay = server_stats.recent.DecayAt(kDecaySeconds, now);
  double out = server_stats.recent.weighted_sum * decay /
               (server_stats.recent.weight_sum * decay + kPriorWeight);
  if (server_stats.overrun_at != kNever &&
      now - server_stats.overrun_at < kOverrunLifetime) {
    // A task that is still running is expected to run as long again.
    out = std::max(out, server_stats.overrun + std::log(2.0));
  }
  return std::exp(out);
}

double SpeedMeter::RelativeSpeed(const BackendId& backend, Time now) const {
  const auto it = servers_.find(backend);
  if (it == servers_.end() || fleet_.weight_sum <= 0) {
    return 1;
  }
  const double usual = fleet_.weighted_sum / fleet_.weight_sum;
  const DecayedMean& lasting = it->second.lasting;
  const double decay = lasting.DecayAt(kLastingDecaySeconds, now);
  return std::exp(-(lasting.weighted_sum - usual * lasting.weight_sum) * decay /
                  (lasting.weight_sum * decay + kPriorWeight));
}

double SpeedMeter::NormalMs(const BackendId& backend,
                            double ran_ms,
                            Time now) const {
  return IsSlow(backend, now) ? ran_ms / SlownessOf(backend, now)
                              : ran_ms * RelativeSpeed(backend, now);
}

bool SpeedMeter::IsSlow(const BackendId& backend, Time now) const {
  return SlownessOf(backend, now) >= kBadFactor;
}

}  // namespace bw
