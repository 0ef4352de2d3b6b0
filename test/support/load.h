// Callers that hand in work without pause, as the balancer would spread them.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "audit.h"
#include "fleet.h"

namespace bw::test {

struct LoadShape {
  int callers = 16;
  std::string team = "perchas";
  std::string queue = "now";
  int run_ms = 20;         ///< Of each request on its runner.
  std::string name = "l";  ///< Makes the bodies unique among loads.
};

/// Runs until Stop. Callers choose among instances whose gate says it is
/// ready; a connection that is refused counts as no call.
class Load {
 public:
  Load(const Fleet* fleet, LoadShape shape);
  ~Load() { Stop(); }

  /// Ends the callers and waits for their last answers.
  void Stop();

  /// @return Answers with status 200 so far.
  int Good() const { return good_; }

  /// Waits for `more` further good answers. @return False on timeout.
  bool WaitGood(int more, milliseconds timeout = milliseconds(30'000)) const;

  const std::vector<CallerRecord>& records() const { return records_; }

 private:
  void Run(int caller);
  void WatchReady();

  const Fleet* const fleet_;
  const LoadShape shape_;
  std::atomic<bool> stop_{false};
  std::atomic<int> good_{0};
  std::vector<std::atomic<bool>> ready_;
  std::mutex mutex_;
  std::vector<CallerRecord> records_;
  std::vector<std::thread> threads_;
};

/// @return What the audits read, after the loads have stopped.
Evidence Collect(const Fleet& fleet, const std::vector<const Load*>& loads);

}  // namespace bw::test
