// Planning and evaluation of load runs. Pure functions, thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "load_type.h"
#include "setting_base.h"

namespace bw {

/// Parses entries of the form "TEAM:KEY:SHARE:WEIGHT"; malformed ones are
/// skipped.
std::vector<LoadTeam> ParseTeams(const std::vector<std::string>& entries);

/// Draws all arrivals of a run from the configured seed, in order of time.
std::vector<Arrival> PlanArrivals(const Settings& settings,
                                  const std::vector<LoadTeam>& teams);

/// Average over time of the fraction of cores in use on the workers that run
/// at least one task.
/// @param worker_millicores Capacity of one worker.
double AveragePacking(const std::vector<UnitSpan>& tasks,
                      uint64_t worker_millicores);

/// Deviation of the running work from the teams' shares: half the sum of the
/// absolute differences between each team's fraction of the running units and
/// its fraction of the shares, averaged over the samples in which at least
/// `min_units` units run.
/// @return 0 (exact) to 1 (worst), or -1 if that many units never ran at once.
double ShareError(const std::vector<UnitSpan>& spans,
                  const std::vector<LoadTeam>& teams,
                  uint64_t min_units);

/// @param q 0 to 1.
/// @return The q-quantile of the samples; 0 without samples.
double Quantile(std::vector<double> samples, double q);

}  // namespace bw
