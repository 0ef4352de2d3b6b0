// The strategies a queue may name.
#pragma once

#include "../place_type.h"

namespace bw::table {

double ScoreBestFit(const WorkerRoom& room, const Resources& need);
double ScoreSpread(const WorkerRoom& room, const Resources& need);
double ScoreFirstFit(const WorkerRoom& room, const Resources& need);

inline constexpr Strategy kStrategies[] = {
    {"best_fit", ScoreBestFit,
     "Packs: the worker whose dominant resource is left fullest."},
    {"spread", ScoreSpread,
     "Spreads a job over racks and workers; then the emptiest worker."},
    {"first_fit", ScoreFirstFit, "The first worker with room: a baseline."},
};

}  // namespace bw::table
