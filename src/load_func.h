// The load tool's plan and its measures. Thread-safe: pure functions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "load_type.h"
#include "setting_base.h"

namespace bw {

/// Reads "TEAM:KEY:SHARE:WEIGHT" texts; those that are malformed are left out.
std::vector<LoadTeam> ReadTeams(const std::vector<std::string>& texts);

/// Draws all arrivals of a run from the seed, in order of time.
std::vector<Arrival> PlanArrivals(const Settings& settings,
                                  const std::vector<LoadTeam>& teams);

/// Part of the cores of workers in use that tasks take, averaged over time.
/// @param millicores Of one worker.
double Packing(const std::vector<UnitSpan>& tasks, uint64_t millicores);

/// Half the sum of the differences between each team's part of what runs and
/// its share, averaged over the moments at which at least `full` units run;
/// 0 is exact, 1 is worst. @return -1 if the cell was never that full.
double ShareError(const std::vector<UnitSpan>& spans,
                  const std::vector<LoadTeam>& teams,
                  uint64_t full);

/// @return The value below which `part` of the samples lie; 0 without samples.
double Quantile(std::vector<double> samples, double part);

}  // namespace bw
