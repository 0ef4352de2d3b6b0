// What a cell needs from its owner: options, side effects, and the responses to
// calls.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cell_type.h"
#include "evacuation_base.h"
#include "platform/advice.h"
#include "platform/backend.h"

namespace bw {

/// Limits and durations of a cell, from the settings.
struct CellOptions {
  /// Number of the ownership, higher than any former owner's. Fencing tokens
  /// are derived from it.
  uint64_t owner_number = 0;
  /// Longest lease that backend servers accept.
  milliseconds max_lease{10'000};
  milliseconds lease{6'500};  ///< Lease duration requested; below `max_lease`.
  milliseconds ended_job_retention{120'000};  ///< Retention time of ended jobs.
  double far_factor = 3;  ///< Slowdown of a task far from its data.
  uint64_t wall_ms = 0;   ///< Wall clock when the cell is created.
  size_t max_record_bytes = 256 << 10;  ///< Largest record of the store.
  bool learn_run_times = false;         ///< Decides by learned run times.
};

/// Side effects of the cell, carried out by its owner. Responses are delivered
/// to the method of Cell that each comment names. Called on the core thread.
class CellPort {
 public:
  virtual ~CellPort() = default;

  /// Sends a start order. Response: Cell::OnStartResponse.
  /// @param repeated Whether it was sent before and got no response.
  virtual void Start(const BackendEntry& to,
                     platform::StartOrder order,
                     bool repeated) = 0;
  /// Sends a stop order. Response: Cell::OnStopResponse.
  virtual void Stop(const BackendEntry& to,
                    const RunRef& run,
                    uint64_t fencing_token) = 0;
  /// Polls a backend server: renews leases, acknowledges ends and reads its
  /// lists. Response: Cell::OnPollResponse.
  virtual void Poll(const BackendEntry& to, platform::PollRequest request) = 0;
  /// Queries the advice service. Response: Cell::OnAdviceResponse.
  /// @param expected Expected duration of the query.
  /// @param urgent Whether it may queue behind a running query.
  /// @return False if no instance of the advice service is free.
  virtual bool QueryAdvice(const StepRef& step,
                           const std::vector<BackendId>& backends,
                           milliseconds expected,
                           bool urgent) = 0;
  /// Stores records in this order, but not always together: a new owner may
  /// find only the first ones. Runs `done` once all are durable or the store
  /// has refused one for good, with whether they are durable. Callbacks run in
  /// the order of the calls; none runs after the cell is lost.
  /// @return A number for CancelUnsent.
  virtual uint64_t StoreRecords(std::vector<std::string> records,
                                std::function<void(bool stored)> done) = 0;
  /// Cancels a StoreRecords call that was not sent to the store yet. @return
  /// False if the records may already be stored.
  virtual bool CancelUnsent(uint64_t number) = 0;
  /// @return True while many records wait to be sent. Changes of a job are then
  /// better stored together.
  virtual bool HasStoreBacklog() const = 0;
  /// @return Number of instances that send advice queries.
  virtual size_t CountAdviceInstances() const = 0;
  /// @return Of these, those that could send a long query now.
  virtual size_t CountIdleAdviceInstances() const = 0;
  /// Called when a backend server has seen a higher fencing token.
  virtual void OnFenced() = 0;
  /// @return True while the owner is allowed to start tasks.
  virtual bool MayAct() const = 0;
  /// @return Whether tasks may start in the availability zone.
  virtual StartPermission CheckStart(const ZoneId& zone, Time now) const = 0;
  /// Called when a task that was placed in the zone may not start there.
  virtual void OnStartHeldBack(const ZoneId& zone, Time now) = 0;
  /// @return True while leases may be renewed: while the owner may act, and
  /// for the time `after` that a new owner waits before it acts.
  virtual bool MayRenew(milliseconds after) const = 0;
  /// @return True while ownership renewals and record writes are on time.
  virtual bool IsStoreResponsive() const = 0;
  /// @return The time by BootClock, which bounds the duration of passes.
  virtual Time ReadClock() const = 0;
};

/// Result of a call.
enum class CellStatus : uint32_t {
  kOk = 0,
  kUnknownJob,        ///< No such job exists.
  kOtherAccount,      ///< The job belongs to another client account.
  kNotOwner,          ///< Not accepted: another process owns the cell.
  kUnknownQueue,      ///< Not accepted: the queue is not configured here yet.
  kOverloaded,        ///< Not accepted: account over its rate limit.
  kStoreUnavailable,  ///< Not accepted: the store is unavailable.
  kMalformed,         ///< Not accepted: the job cannot be parsed.
  kUnknown,           ///< Outcome unknown: may have been accepted.
  kCancelledBefore,   ///< Not accepted: cancelled before it was submitted.
};

/// Response to a call.
struct CellOutcome {
  CellStatus status = CellStatus::kOk;
  std::string state;
  uint64_t count = 0;
  uint32_t retry_after_ms = 0;
  std::string reason;
  /// A refusal applies to all new jobs of the queue for this long; 0: it does
  /// not.
  uint32_t applies_ms = 0;

  bool operator==(const CellOutcome&) const = default;
};
using CellDone = std::function<void(CellOutcome)>;

}  // namespace bw
