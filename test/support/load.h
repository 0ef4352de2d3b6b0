// Closed-loop load: callers that submit requests one after the other, spread
// over the gates as by a load balancer.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "audit.h"
#include "fleet.h"

namespace bw::test {

struct LoadOptions {
  int callers = 16;
  std::string team = "perchas";
  std::string queue = "now";
  int run_ms = 20;         ///< Run time of each request on its runner.
  std::string name = "l";  ///< Prefix that makes the bodies unique among loads.
};

/// Runs until Stop(). Callers use the gates that report ready; a call whose
/// connection is refused is not recorded.
class Load {
 public:
  Load(const Fleet* fleet, LoadOptions options);
  ~Load() { Stop(); }

  /// Stops the callers and waits for their last responses.
  void Stop();

  /// @return The number of responses with status 200 so far.
  int Successes() const { return successes_; }

  /// Waits for `more` further responses with status 200.
  /// @return False on timeout.
  bool WaitForSuccesses(int more,
                        milliseconds timeout = milliseconds(30'000)) const;

  /// @pre Stop() was called.
  const std::vector<CallerRecord>& records() const { return records_; }

 private:
  void Run(int caller);
  /// Polls the readiness of all gates.
  void WatchReady();

  const Fleet* const fleet_;
  const LoadOptions options_;
  std::atomic<bool> stop_{false};
  std::atomic<int> successes_{0};
  std::vector<std::atomic<bool>> ready_;  ///< By instance.
  std::mutex mutex_;
  std::vector<CallerRecord> records_;
  std::vector<std::thread> threads_;
};

/// @return Input of the audits. @pre The loads have stopped.
Evidence Collect(const Fleet& fleet, const std::vector<const Load*>& loads);

}  // namespace bw::test
