// Counters, gauges and histograms, exported in the Prometheus text exposition
// format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bw {

/// All metrics of one process. All methods are thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Increments a counter by `n`.
  /// @param labels Label pairs as in `team="a",queue="b"`; may be empty.
  void Count(const std::string& name,
             const std::string& labels = {},
             uint64_t n = 1);

  /// Sets a gauge.
  void Set(const std::string& name, const std::string& labels, double value);

  /// Adds a sample to a histogram. @param micros Duration in microseconds.
  void Observe(const std::string& name,
               const std::string& labels,
               double micros);

  /// @return The metrics page. Histograms are in seconds.
  std::string ToText() const;

  /// @return The counter's value; 0 if it was never incremented.
  uint64_t Value(const std::string& name, const std::string& labels) const;

 private:
  struct Histogram;
  using Key = std::pair<std::string, std::string>;  ///< Name and labels.

  mutable std::mutex mutex_;
  std::map<Key, uint64_t> counters_;
  std::map<Key, double> gauges_;
  std::map<Key, std::unique_ptr<Histogram>> histograms_;
};

}  // namespace bw
