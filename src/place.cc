#include <algorithm>

#include "place_func.h"
#include "table/strategies.h"

namespace bw {
namespace {

double Fraction(uint64_t used, uint64_t total) {
  return total == 0 ? 0
                    : static_cast<double>(used) / static_cast<double>(total);
}

/// @return Used fraction, 0 to 1, of the worker's dominant resource once the
/// task is placed.
double UtilizationAfter(const WorkerCandidate& room, const Resources& need) {
  return DominantShare(room.total - (room.free - need), room.total);
}

/// Score of each task of the same job in the rack and on the worker. The
/// utilization, at most 1, only decides between equal ones.
constexpr double kRackWeight = 100;
constexpr double kWorkerWeight = 10;

}  // namespace

namespace table {

double ScoreBestFit(const WorkerCandidate& room, const Resources& need) {
  return -UtilizationAfter(room, need);
}

double ScoreSpread(const WorkerCandidate& room, const Resources& need) {
  return room.same_rack * kRackWeight + room.same_job * kWorkerWeight +
         UtilizationAfter(room, need);
}

double ScoreFirstFit(const WorkerCandidate&, const Resources&) {
  return 0;
}

}  // namespace table

double DominantShare(const Resources& used, const Resources& total) {
  return std::max({Fraction(used.millicores, total.millicores),
                   Fraction(used.memory_mb, total.memory_mb),
                   Fraction(used.accelerators, total.accelerators)});
}

const Strategy* FindStrategy(std::string_view name) {
  for (const auto& it : table::kStrategies) {
    if (name == it.name) {
      return &it;
    }
  }
  return nullptr;
}

std::optional<size_t> PickWorker(std::span<const WorkerCandidate> workers,
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
