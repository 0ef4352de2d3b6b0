// Estimates how much later than planned a busy owner completes a new job.
#pragma once

#include <cstdint>
#include <map>

#include "clock.h"

namespace bw {

/// Passes are bounded in time. While they do not get to all steps, a new one
/// waits for the steps that come before it, by the rate at which steps are
/// placed. Each call takes as long as recent ones did, which includes the time
/// that responses wait in the owner's queues. Not thread-safe.
class PlacingDelay {
 public:
  /// Number of steps by level. A level is a priority of a queue; lower ones
  /// come first.
  using Counts = std::map<uint32_t, size_t>;

  /// Handles the end of a pass.
  /// @param placed Steps that it placed whole.
  /// @param waiting Steps still waiting that come before later ones of their
  /// level; empty if the pass examined all steps.
  /// @param backlog All steps still waiting; 0 if the pass examined all steps.
  void OnPass(size_t placed, Counts waiting, size_t backlog, Time now);
  /// Counts a step that arrives between two passes.
  void OnNewStep(uint32_t level);
  /// @param took Time from an order to its response.
  void OnRoundTrip(Duration took, Time now);

  /// What a step needs if nothing comes before it.
  struct Need {
    int passes = 1;
    int round_trips = 2;  ///< Its start, and the report of its end.
  };
  /// @return Expected delay of a new step.
  Duration Expected(uint32_t level, const Need& need, Time now) const;
  /// @return Expected time until all waiting steps are placed, if all have
  /// room; 0 while passes examine all steps.
  Duration BacklogTime() const;

 private:
  Duration TimeToPlace(size_t steps) const;

  Counts waiting_;
  size_t backlog_ = 0;
  double per_second_ = 0;  ///< Steps placed; 0: unknown.
  Duration interval_{0};   ///< Between two passes.
  Time last_pass_ = kNever;
  size_t last_placed_ = 0;
  Duration round_trip_{0};
  Time last_round_trip_ = kNever;
};

}  // namespace bw
