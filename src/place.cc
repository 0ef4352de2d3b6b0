#include <algorithm>

#include "place_func.h"
#include "table/strategies.h"

namespace bw {
namespace {

double Part(uint64_t used, uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(used) / static_cast<double>(total);
}

/// Fill of the fullest dimension after the task is placed, 0 to 1.
double FillAfter(const WorkerRoom& room, const Resources& need) {
  return DominantShare(room.total - (room.free - need), room.total);
}

constexpr double kRackWeight = 100;
constexpr double kWorkerWeight = 10;

}  // namespace

namespace table {

double ScoreBestFit(const WorkerRoom& room, const Resources& need) {
  return -FillAfter(room, need);
}

double ScoreSpread(const WorkerRoom& room, const Resources& need) {
  return room.same_rack * kRackWeight + room.same_job * kWorkerWeight +
         FillAfter(room, need);
}

double ScoreFirstFit(const WorkerRoom&, const Resources&) {
  return 0;
}

}  // namespace table

double DominantShare(const Resources& used, const Resources& total) {
  return std::max({Part(used.millicores, total.millicores),
                   Part(used.memory_mb, total.memory_mb),
                   Part(used.accelerators, total.accelerators)});
}

const Strategy* FindStrategy(std::string_view name) {
  for (const auto& it : table::kStrategies) {
    if (name == it.name) {
      return &it;
    }
  }
  return nullptr;
}

std::optional<size_t> PickWorker(std::span<const WorkerRoom> workers,
                                 const Resources& need,
                                 const Strategy& strategy) {
  std::optional<size_t> best;
  double best_score = 0;
  for (size_t n = 0; n < workers.size(); ++n) {
    if (!workers[n].usable || !need.Fits(workers[n].free)) {
      continue;
    }
    const double score = strategy.score(workers[n], need);
    if (!best || score < best_score) {
      best = n;
      best_score = score;
    }
  }
  return best;
}

}  // namespace bw
