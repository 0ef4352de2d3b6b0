#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include "load_func.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr uint64_t kSampleIntervalMs = 50;

/// Draws arrivals as Poisson processes, one for requests and one for jobs.
class Planner {
 public:
  Planner(const Settings& settings, const std::vector<LoadTeam>& teams)
      : settings_(settings),
        teams_(teams),
        random_(static_cast<uint32_t>(settings.Int("load.seed"))) {
    std::vector<double> weights;
    weights.reserve(teams.size());
    for (const auto& it : teams) {
      weights.push_back(static_cast<double>(it.weight));
    }
    pick_team_ =
        std::discrete_distribution<size_t>(weights.begin(), weights.end());
  }

  /// Appends all arrivals of one kind.
  void Draw(bool jobs, std::vector<Arrival>* out) {
    const auto rate = static_cast<double>(
        settings_.Int(jobs ? "load.jobs_per_s" : "load.requests_per_s"));
    const auto length = static_cast<double>(settings_.Int("load.seconds"));
    if (rate <= 0 || teams_.empty()) {
      return;
    }
    std::exponential_distribution<double> gap(rate);
    for (double at = gap(random_); at < length; at += gap(random_)) {
      out->push_back(jobs ? DrawJob(at) : DrawRequest(at));
    }
  }

 private:
  Arrival DrawRequest(double at) {
    Arrival out;
    out.at_s = at;
    out.team = pick_team_(random_);
    out.run_ms = DrawDuration("load.request_ms");
    out.name = "q" + std::to_string(++last_number_);
    return out;
  }

  Arrival DrawJob(double at) {
    Arrival out;
    out.at_s = at;
    out.team = pick_team_(random_);
    out.is_job = true;
    out.is_gang = static_cast<int64_t>(random_() % 100) <
                  settings_.Int("load.gang_percent");
    out.run_ms = std::max<uint64_t>(1, DrawDuration("load.job_ms"));
    out.tasks = static_cast<uint32_t>(settings_.Int("load.job_tasks"));
    // Task sizes vary from half to twice the setting.
    const double factor = std::exp2(DrawUniform() * 2 - 1);
    out.millicores = std::max<uint64_t>(
        1, static_cast<uint64_t>(
               static_cast<double>(settings_.Int("load.job_millicores")) *
               factor));
    out.name = "j" + std::to_string(++last_number_);
    return out;
  }

  /// @return A uniformly distributed value in [0, 1).
  double DrawUniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  /// @return An exponentially distributed value with the setting as its mean.
  uint64_t DrawDuration(const char* setting) {
    const auto mean = static_cast<double>(settings_.Int(setting));
    return static_cast<uint64_t>(-std::log(1 - DrawUniform()) * mean);
  }

  const Settings& settings_;
  const std::vector<LoadTeam>& teams_;
  std::mt19937 random_;
  std::discrete_distribution<size_t> pick_team_;
  uint64_t last_number_ = 0;
};

/// @return The begin times of the first and the last span.
std::pair<uint64_t, uint64_t> SampledPeriod(
    const std::vector<UnitSpan>& spans) {
  uint64_t first = UINT64_MAX;
  uint64_t last = 0;
  for (const auto& it : spans) {
    first = std::min(first, it.begin_ms);
    last = std::max(last, it.begin_ms);
  }
  return {first, last};
}

bool IsRunningAt(const UnitSpan& it, uint64_t ms) {
  return it.begin_ms <= ms && (it.end_ms == 0 || ms < it.end_ms);
}

}  // namespace

std::vector<LoadTeam> ParseTeams(const std::vector<std::string>& entries) {
  std::vector<LoadTeam> out;
  for (const auto& it : entries) {
    const auto parts = SplitList(it, ':');
    if (parts.size() == 4) {
      out.push_back({parts[0], parts[1],
                     std::strtoull(parts[2].c_str(), nullptr, 10),
                     std::strtoull(parts[3].c_str(), nullptr, 10)});
    }
  }
  return out;
}

std::vector<Arrival> PlanArrivals(const Settings& settings,
                                  const std::vector<LoadTeam>& teams) {
  std::vector<Arrival> out;
  Planner planner(settings, teams);
  planner.Draw(/*jobs=*/false, &out);
  planner.Draw(/*jobs=*/true, &out);
  std::sort(out.begin(), out.end(),
            [](const Arrival& a, const Arrival& b) { return a.at_s < b.at_s; });
  return out;
}

double AveragePacking(const std::vector<UnitSpan>& tasks,
                      uint64_t worker_millicores) {
  const auto [first, last] = SampledPeriod(tasks);
  double sum = 0;
  int samples = 0;
  for (uint64_t ms = first; ms < last; ms += kSampleIntervalMs) {
    uint64_t used = 0;
    std::set<size_t> backends;
    for (const auto& it : tasks) {
      if (IsRunningAt(it, ms)) {
        used += it.units;
        backends.insert(it.backend);
      }
    }
    if (!backends.empty()) {
      sum += static_cast<double>(used) /
             static_cast<double>(backends.size() * worker_millicores);
      ++samples;
    }
  }
  return samples == 0 ? 0 : sum / samples;
}

double ShareError(const std::vector<UnitSpan>& spans,
                  const std::vector<LoadTeam>& teams,
                  uint64_t min_units) {
  double shares = 0;
  for (const auto& it : teams) {
    shares += static_cast<double>(it.share);
  }
  const auto [first, last] = SampledPeriod(spans);
  double sum = 0;
  int samples = 0;
  for (uint64_t ms = first; ms < last; ms += kSampleIntervalMs) {
    std::map<std::string, double> used;
    double total = 0;
    for (const auto& it : spans) {
      if (IsRunningAt(it, ms)) {
        used[it.team] += static_cast<double>(it.units);
        total += static_cast<double>(it.units);
      }
    }
    if (total < static_cast<double>(min_units) || total == 0) {
      continue;
    }
    double error = 0;
    for (const auto& it : teams) {
      error += std::abs(used[it.name] / total -
                        static_cast<double>(it.share) / shares);
    }
    sum += error / 2;
    ++samples;
  }
  return samples == 0 ? -1 : sum / samples;
}

double Quantile(std::vector<double> samples, double q) {
  if (samples.empty()) {
    return 0;
  }
  const auto n =
      std::min(samples.size() - 1,
               static_cast<size_t>(q * static_cast<double>(samples.size())));
  std::nth_element(samples.begin(),
                   samples.begin() + static_cast<std::ptrdiff_t>(n),
                   samples.end());
  return samples[n];
}

}  // namespace bw
