#include "run_time_base.h"

#include <algorithm>
#include <bit>
#include <boost/histogram.hpp>
#include <cmath>
#include <numbers>
#include <optional>
#include <tuple>

namespace bw {
namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LogHistogram =
    bh::histogram<std::tuple<LogAxis>, bh::dense_storage<float>>;

/// Lowest run time / stated estimate, in octaves.
constexpr int kMinOctave = -6;
/// Range of run times, in octaves of 1 ms.
constexpr int kMaxRunOctave = 24;
constexpr int kRunBins = 2 * kMaxRunOctave;
/// A class's coarser class counts as this many runs of its own.
constexpr double kParentRuns = 6;
/// Standard deviation of log(run time / stated estimate) before anything ended.
constexpr double kStatedDeviation = 0.5;
/// Number of ends after which a sample's weight has fallen to a third.
constexpr double kMemoryEnds = 300;
/// Time without ends in which all samples lose half of their weight, in s.
constexpr double kHalfLifeSeconds = 1800;
/// Ends of a queue from which its range of run times bounds what is stated, and
/// the share of them outside of that range at each end.
constexpr double kMinRangeEnds = 20;
constexpr double kOutsideRange = 0.02;

LogHistogram MakeHistogram(int bins, int min_octave, int max_octave) {
  return bh::make_histogram_with(
      bh::dense_storage<float>(),
      LogAxis(static_cast<unsigned>(bins), std::exp2(min_octave),
              std::exp2(max_octave)));
}

double StatedOrDefault(double stated_ms) {
  return stated_ms > 0 ? stated_ms : kDefaultEstimateMs;
}

double FadeOver(Duration elapsed) {
  return std::exp2(-std::chrono::duration<double>(elapsed).count() /
                   kHalfLifeSeconds);
}

}  // namespace

uint32_t WidthBucketOf(uint32_t tasks) {
  return static_cast<uint32_t>(std::bit_width(tasks));
}

struct RunTimes::Node {
  /// Runs that came to each bin, and runs that ended in it.
  LogHistogram entered =
      MakeHistogram(kBins, kMinOctave, kMinOctave + kBins / kBinsPerOctave);
  LogHistogram ended = entered;
  std::optional<LogHistogram> run_ms;  ///< Run times; only of a queue.
  double ends = 0;
  Time faded_at = kNever;
  std::list<Nodes::iterator>::iterator use;

  void Enter(int from, int to, double weight) {
    for (int n = from; n < to; ++n) {
      entered.at(n) += static_cast<float>(weight);
    }
  }
  void Fade(double weight, Time now) {
    const double factor = (1 - weight / kMemoryEnds) * FadeSince(now);
    faded_at = now;
    entered *= factor;
    ended *= factor;
    if (run_ms) {
      *run_ms *= factor;
    }
    ends *= factor;
  }
  double FadeSince(Time now) const {
    return faded_at == kNever ? 1 : FadeOver(now - faded_at);
  }
};

RunTimes::RunTimes() = default;
RunTimes::~RunTimes() = default;

RunTimes::Key RunTimes::KeyOf(const RunClass& run_class,
                              double stated_ms,
                              size_t level) {
  Key out;
  out.level = level;
  out.run_class.queue = run_class.queue;
  out.run_class.gang = run_class.gang;
  if (level > 0) {
    out.stated_bucket =
        static_cast<int>(std::floor(2 * std::log2(StatedOrDefault(stated_ms))));
    out.run_class.width_bucket = run_class.width_bucket;
  }
  if (level > 1) {
    out.run_class.image = run_class.image;
    out.run_class.team = run_class.team;
  }
  return out;
}

int RunTimes::BinOf(double stated_ms, double ran_ms) {
  const double octaves = std::log2(ran_ms / StatedOrDefault(stated_ms));
  return std::clamp(
      static_cast<int>(std::floor((octaves - kMinOctave) * kBinsPerOctave)), 0,
      kBins - 1);
}

/// @return The node of a class, now the most recently used one.
RunTimes::Node* RunTimes::Touch(const Key& key) {
  auto [it, added] = nodes_.try_emplace(key);
  if (added) {
    it->second = std::make_unique<Node>();
    it->second->use = by_use_.insert(by_use_.end(), it);
    if (nodes_.size() > kMaxClasses) {
      const auto oldest = by_use_.front();
      by_use_.pop_front();
      nodes_.erase(oldest);
    }
  } else {
    by_use_.splice(by_use_.end(), by_use_, it->second->use);
  }
  return it->second.get();
}

void RunTimes::OnEnd(const RunClass& run_class,
                     double stated_ms,
                     double ran_ms,
                     Time now,
                     RunProgress progress) {
  const int bin = BinOf(stated_ms, ran_ms);
  // The finest first: a class is used later than all classes that correct it,
  // so it is evicted after them.
  for (size_t level = kLevels; level-- > 0;) {
    Node* node = Touch(KeyOf(run_class, stated_ms, level));
    node->Fade(progress.weight, now);
    node->Enter(progress.bins, bin + 1, progress.weight);
    node->ended.at(bin) += static_cast<float>(progress.weight);
    node->ends += progress.weight;
    if (level == 0) {
      if (!node->run_ms) {
        node->run_ms = MakeHistogram(kRunBins, 0, kMaxRunOctave);
      }
      (*node->run_ms)(ran_ms, bh::weight(progress.weight));
    }
  }
}

void RunTimes::OnCensored(const RunClass& run_class,
                          double stated_ms,
                          double ran_ms,
                          Time now,
                          RunProgress progress) {
  OnRunning(run_class, stated_ms, ran_ms, &progress, now);
}

void RunTimes::OnRunning(const RunClass& run_class,
                         double stated_ms,
                         double ran_ms,
                         RunProgress* progress,
                         Time now) {
  if (ran_ms <= 0) {
    return;
  }
  const int bin = BinOf(stated_ms, ran_ms);
  if (bin <= progress->bins) {
    return;
  }
  for (size_t level = kLevels; level-- > 0;) {
    Node* node = Touch(KeyOf(run_class, stated_ms, level));
    if (node->faded_at == kNever) {
      node->faded_at = now;
    }
    node->Enter(progress->bins, bin, progress->weight);
  }
  progress->bins = bin;
}

/// @return Log-normal hazards around the stated estimate.
RunTimes::Hazards RunTimes::StatedHazards() {
  const auto share_left = [](int bin) {
    const double octaves =
        kMinOctave + static_cast<double>(bin) / kBinsPerOctave;
    return std::erfc(octaves * std::numbers::ln2 / kStatedDeviation /
                     std::numbers::sqrt2) /
           2;
  };
  Hazards out;
  for (int n = 0; n < kBins; ++n) {
    const double left = share_left(n);
    out[static_cast<size_t>(n)] = left > 0 ? 1 - share_left(n + 1) / left : 1;
  }
  return out;
}

/// @return The quantile, as a factor on the stated estimate, that `share_left`
/// of the runs exceed.
double RunTimes::QuantileOf(const Hazards& hazards, double share_left) {
  double left = 1;
  double bins = 0;
  for (const double hazard : hazards) {
    const double next = left * (1 - hazard);
    if (next <= share_left) {
      bins += (left - share_left) / (left - next);
      break;
    }
    left = next;
    bins += 1;
  }
  return std::exp2(kMinOctave + bins / kBinsPerOctave);
}

/// @return Standard deviation of the log run time.
double RunTimes::DeviationOf(const Hazards& hazards) {
  double left = 1;
  double sum = 0;
  double squares = 0;
  double bins = 0;
  for (const double hazard : hazards) {
    const double share = left * hazard;
    sum += share * bins;
    squares += share * bins * bins;
    left -= share;
    bins += 1;
  }
  sum += left * bins;
  squares += left * bins * bins;
  return std::sqrt(std::max(squares - sum * sum, 0.0)) * std::numbers::ln2 /
         kBinsPerOctave;
}

/// Corrects a coarser class's distribution by what runs of this class took. The
/// coarser one counts as kParentRuns runs.
void RunTimes::Correct(const Node& node, Time now, Distribution* out) {
  const double fade = node.FadeSince(now);
  double left = 1;
  for (int n = 0; n < kBins; ++n) {
    double& hazard = out->hazards[static_cast<size_t>(n)];
    const double prior = kParentRuns * left;
    left *= 1 - hazard;
    const double entered = fade * node.entered.at(n);
    if (entered + prior > 0) {
      hazard = std::clamp(
          (fade * node.ended.at(n) + prior * hazard) / (entered + prior), 0.0,
          1.0);
    }
  }
  const double own = fade * node.ends / (fade * node.ends + kParentRuns);
  out->confidence = 1 - (1 - out->confidence) * (1 - own);
}

/// Moves the distribution of a class without runs so that its median is within
/// the range of its queue's run times.
void RunTimes::ShiftIntoRange(const Node& queue,
                              double stated_ms,
                              Hazards* hazards) {
  if (!queue.run_ms || queue.ends < kMinRangeEnds) {
    return;
  }
  const double outside = kOutsideRange * queue.ends;
  const auto& axis = queue.run_ms->axis();
  int first = 0;
  for (double sum = queue.run_ms->at(0); sum < outside && first + 1 < kRunBins;
       sum += queue.run_ms->at(first)) {
    ++first;
  }
  int last = kRunBins - 1;
  for (double sum = queue.run_ms->at(last); sum < outside && last > first;
       sum += queue.run_ms->at(last)) {
    --last;
  }
  const double median = StatedOrDefault(stated_ms) * QuantileOf(*hazards, 0.5);
  const double wanted =
      std::clamp(median, axis.bin(first).lower(), axis.bin(last).upper());
  const int shift =
      static_cast<int>(std::round(kBinsPerOctave * std::log2(wanted / median)));
  if (shift == 0) {
    return;
  }
  const Hazards old = *hazards;
  for (int n = 0; n < kBins; ++n) {
    const int from = n - shift;
    (*hazards)[static_cast<size_t>(n)] =
        from < 0 ? 0 : old[static_cast<size_t>(std::min(from, kBins - 1))];
  }
}

RunTimes::Distribution RunTimes::DistributionOf(const RunClass& run_class,
                                                double stated_ms,
                                                Time now) const {
  static const Hazards unlearned = StatedHazards();
  Distribution out;
  out.hazards = unlearned;
  for (size_t level = 0; level < kLevels; ++level) {
    const auto it = nodes_.find(KeyOf(run_class, stated_ms, level));
    if (it == nodes_.end()) {
      break;
    }
    Correct(*it->second, now, &out);
    if (level == 0) {
      ShiftIntoRange(*it->second, stated_ms, &out.hazards);
    }
  }
  return out;
}

RunExpectation RunTimes::Expect(const RunClass& run_class,
                                double stated_ms,
                                Time now) const {
  constexpr double kHalf = 0.5;
  constexpr double kTenth = 0.1;
  constexpr double kHundredth = 0.01;
  const Distribution found = DistributionOf(run_class, stated_ms, now);
  const double stated = StatedOrDefault(stated_ms);
  return {stated * QuantileOf(found.hazards, kHalf),
          stated * QuantileOf(found.hazards, kTenth),
          stated * QuantileOf(found.hazards, kHundredth),
          DeviationOf(found.hazards), found.confidence};
}

double RunTimes::RemainingMs(const RunClass& run_class,
                             double stated_ms,
                             double ran_ms,
                             Time now) const {
  const Distribution found = DistributionOf(run_class, stated_ms, now);
  const int bin = ran_ms > 0 ? BinOf(stated_ms, ran_ms) : 0;
  double left = 1;
  for (int n = 0; n < bin; ++n) {
    left *= 1 - found.hazards[static_cast<size_t>(n)];
  }
  const double median =
      StatedOrDefault(stated_ms) * QuantileOf(found.hazards, left / 2);
  return std::max(median - ran_ms, 0.0);
}

}  // namespace bw
