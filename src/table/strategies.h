// Placement strategies that a queue can select by name.
#pragma once

#include "../place_type.h"

namespace bw::table {

double ScoreBestFit(const WorkerCandidate& room, const Resources& need);
double ScoreSpread(const WorkerCandidate& room, const Resources& need);
double ScoreFirstFit(const WorkerCandidate& room, const Resources& need);

inline constexpr Strategy kStrategies[] = {
    {"best_fit", ScoreBestFit,
     "Packs: the worker whose dominant resource is then used most."},
    {"spread", ScoreSpread,
     "Spreads a job over racks and workers; among equals, the emptiest "
     "worker."},
    {"first_fit", ScoreFirstFit,
     "The first worker with enough free resources; a baseline."},
};

}  // namespace bw::table
