// Jobs of one shard: their tasks, the workers, and the leases of tasks on
// workers.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/instance_list.h"
#include "platform/worker_type.h"
#include "shard_type.h"
#include "usage_base.h"
#include "work_type.h"

namespace bw {

/// State of one task under this owner.
enum class TaskState : uint8_t {
  kWaiting,
  kLogging,  ///< Reserved on a worker; the start record is being appended.
  kSent,     ///< The start was sent; there is no response yet.
  kRunning,
  kStopping,
  kDone,
  kFailed,
  kUnknown,  ///< Run-once task that may have run; its outcome is lost.
};

/// Status of a job as reported to callers.
struct JobStatus {
  std::string state;  ///< "waiting", "running", "ended", "cancelled".
  std::map<std::string, uint32_t> tasks;  ///< Number of tasks by state.
};

/// Places tasks on workers and renews their leases. A task is restarted only
/// when its previous start cannot be running any more; see docs/DESIGN.md, "One
/// place at a time". Not thread-safe: belongs to the core thread.
class JobBoard {
 public:
  /// @pre `port` and `usage` outlive the board.
  JobBoard(ShardId shard, ShardPort* port, TeamUsage* usage, Duration lease);

  /// Accepts or refuses a job. An accepted job is replied to when its record is
  /// in the log.
  void Submit(JobSpec spec, Time valid_until, OutcomeReply reply);

  /// @param cancel True to cancel the job as well.
  /// @return The job's status as JSON, or an error.
  WorkOutcome Query(const JobId& id, const TeamId& team, bool cancel);

  /// Handles a record of the jobs stream after it was applied to JobsState.
  void OnEvent(const JobEvent& event);

  /// Starts a term of ownership of the shard: takes over its jobs from
  /// JobsState.
  /// @param inherits True if a former owner may have left work running.
  void OnOwnershipGained(bool inherits);

  /// Updates the workers from the platform's instance list.
  void OnInstances(const std::vector<platform::ListedInstance>& listed);

  /// Places waiting tasks on workers.
  void PlaceWaiting();

  /// Polls workers that are due, detects lost ones and places tasks. Call
  /// periodically.
  void Tick();

  size_t Waiting() const { return waiting_.size(); }

 private:
  struct Task {
    TaskState state = TaskState::kWaiting;
    std::string worker;        ///< Worker it is reserved on; empty if none.
    Time changed_at = kNever;  ///< When it was reserved or seen to run.
    bool preempted = false;    ///< Being stopped for an urgent job.
  };

  /// A job that has not ended.
  struct ActiveJob {
    JobSpec spec;
    std::vector<Task> tasks;
    std::set<std::string> failed_on;  ///< Workers on which a task failed.
    uint32_t failures = 0;            ///< Failed task runs.
    bool cancelled = false;
    bool inherited = false;  ///< A former owner may have started tasks.
    Time accepted_at = kNever;
    Time unplaced_since = kNever;  ///< First failed placement in a row.
    Time retry_at = kNever;        ///< Set after a failed append of a start.
  };

  /// Job and index of a task.
  using TaskKey = std::pair<JobId, uint32_t>;

  /// A task that occupies resources of a worker.
  struct Assignment {
    TeamId team;
    Resources need;
    uint64_t units = 0;              ///< Of the team's limit.
    uint64_t start_deadline_ms = 0;  ///< Latest start, by the worker's clock.
    Time start_call_ended_at = kNever;  ///< Set if its outcome is unknown.
  };

  struct Worker {
    platform::ListedInstance info;
    Resources used;
    bool listed = true;
    bool inherited = false;  ///< A former owner may have started tasks on it.
    bool reported = false;   ///< This owner has read its task list.
    bool poll_in_flight = false;
    Time last_poll_at = kNever;      ///< Newest poll, with or without response.
    Time last_response_at = kNever;  ///< Newest poll response.
    Time lease_renewed_at = kNever;  ///< Latest possible start of any lease.
    uint64_t clock_ms = 0;           ///< Worker's clock in its last response.
    std::map<TaskKey, Assignment> tasks;
    std::set<JobId> ended_jobs;  ///< Jobs with ended tasks in its last report.
    std::vector<std::string> pending_acks;   ///< Ended tasks to acknowledge.
    std::vector<std::string> pending_stops;  ///< Tasks to stop.
    uint32_t failures = 0;                   ///< Consecutive failures.
    Time quarantined_until = kNever;
    bool lost = false;  ///< All leases on it have expired without a response.
  };

  bool IsInheritedStateKnown() const;
  void UpdateUnreportedUnits();
  bool CanEverFit(const JobSpec& spec) const;
  void AddJob(const JobRecord& record);
  void EraseIfEnded(const JobId& id);
  std::vector<WorkerCandidate> ListCandidates(const ActiveJob& job,
                                              std::vector<Worker*>* workers);
  int PriorityOf(const JobSpec& spec) const;
  bool IsBlockedByReservation(const ActiveJob& job, Time now) const;
  void OnPlacementFailed(ActiveJob* job, Time now);
  void PreemptFor(ActiveJob* job);
  bool MayBePreempted(const TaskKey& key, int priority) const;
  std::vector<TaskKey> FindVictims(const Worker& worker,
                                   const Resources& need,
                                   int priority) const;
  bool FitsAfterPreemptions(const Worker& worker, const Resources& need) const;
  void Preempt(Worker* worker, const TaskKey& key);
  bool PlaceJob(ActiveJob* job, uint32_t* placed);
  bool PlaceTasks(ActiveJob* job,
                  const std::vector<uint32_t>& wanted,
                  uint32_t* placed);
  void Reserve(ActiveJob* job, uint32_t task, Worker* worker);
  void Unreserve(Worker* worker, const TaskKey& key);
  void AppendStartRecord(const TaskKey& key);
  void SendStart(const TaskKey& key);
  void OnStartResponse(const TaskKey& key,
                       const std::string& worker,
                       const net::HttpResult& result);
  void OnStartFailed(const TaskKey& key, Worker* worker);
  void PollWorker(Worker* worker);
  void OnPollResponse(const std::string& name,
                      Time poll_sent_at,
                      const net::HttpResult& result);
  void ApplyReport(Worker* worker,
                   Time poll_sent_at,
                   const platform::WorkerReport& report);
  void OnTaskRunning(Worker* worker, const std::string& task);
  void OnTaskEnded(Worker* worker, const std::string& task, bool ok);
  void EndTask(const TaskKey& key, bool ok);
  void ResolveMissingTasks(Worker* worker,
                           Time poll_sent_at,
                           const std::set<std::string>& seen);
  void DetectLostWorkers();
  void ReleaseWorkerTasks(Worker* worker);
  void RecordWorkerFailure(Worker* worker, ActiveJob* job);
  void Cancel(ActiveJob* job);
  void AppendTaskRecord(JobRecordKind kind, const TaskKey& key);
  ActiveJob* FindJob(const JobId& id);

  const ShardId shard_;
  ShardPort* const port_;
  TeamUsage* const usage_;
  const Duration lease_;
  Time owner_since_ = kNever;
  /// Workers in the next instance list may run a former owner's tasks.
  bool may_inherit_work_ = false;
  JobId reserved_for_;  ///< Gang with the current reservation.
  Time reserved_until_ = kNever;
  std::map<std::string, Worker> workers_;
  std::map<JobId, ActiveJob> jobs_;
  std::set<TaskKey> waiting_;  ///< Tasks to be placed.
  /// Cancelled jobs whose record has not been read back yet.
  std::set<JobId> unread_cancels_;
  /// Replies of submitted jobs whose records have not been read back yet.
  std::map<JobId, OutcomeReply> pending_submits_;
};

}  // namespace bw
