#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <tuple>

#include "metric_base.h"

namespace bw {
namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned kBuckets = 32;
constexpr double kMinMicros = 10;     ///< Lower bound of the first bucket.
constexpr double kMaxMicros = 100e6;  ///< Upper bound of the last bucket.
constexpr double kMicrosPerSecond = 1e6;

std::string FormatSeries(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : fmt::format("{}{{{}}}", name, labels);
}

}  // namespace

struct Metrics::Histogram {
  bh::histogram<std::tuple<LogAxis>> buckets =
      bh::make_histogram(LogAxis(kBuckets, kMinMicros, kMaxMicros));
  double sum_micros = 0;
  uint64_t count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name,
                    const std::string& labels,
                    uint64_t n) {
  std::lock_guard lock(mutex_);
  counters_[{name, labels}] += n;
}

void Metrics::Set(const std::string& name,
                  const std::string& labels,
                  double value) {
  std::lock_guard lock(mutex_);
  gauges_[{name, labels}] = value;
}

void Metrics::Observe(const std::string& name,
                      const std::string& labels,
                      double micros) {
  std::lock_guard lock(mutex_);
  auto& histogram = histograms_[{name, labels}];
  if (!histogram) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->buckets(micros);
  histogram->sum_micros += micros;
  ++histogram->count;
}

uint64_t Metrics::Value(const std::string& name,
                        const std::string& labels) const {
  std::lock_guard lock(mutex_);
  auto it = counters_.find({name, labels});
  return it == counters_.end() ? 0 : it->second;
}

std::string Metrics::ToText() const {
  std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& [key, value] : counters_) {
    out += fmt::format("{} {}\n", FormatSeries(key.first, key.second), value);
  }
  for (const auto& [key, value] : gauges_) {
    out += fmt::format("{} {}\n", FormatSeries(key.first, key.second), value);
  }
  for (const auto& [key, histogram] : histograms_) {
    const std::string comma = key.second.empty() ? "" : key.second + ",";
    // Bucket counts are cumulative; index -1 is the underflow bin.
    double total = histogram->buckets.at(-1);
    for (unsigned n = 0; n < kBuckets; ++n) {
      total += histogram->buckets.at(static_cast<int>(n));
      out += fmt::format(
          "{}_bucket{{{}le=\"{:.6g}\"}} {}\n", key.first, comma,
          histogram->buckets.axis().bin(static_cast<int>(n)).upper() /
              kMicrosPerSecond,
          total);
    }
    out += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", key.first, comma,
                       histogram->count);
    out += fmt::format("{} {}\n", FormatSeries(key.first + "_sum", key.second),
                       histogram->sum_micros / kMicrosPerSecond);
    out +=
        fmt::format("{} {}\n", FormatSeries(key.first + "_count", key.second),
                    histogram->count);
  }
  return out;
}

}  // namespace bw
