// Jobs of one shard: their tasks, the workers, and the leases between them.
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

/// Where one task stands under this owner.
enum class TaskState : uint8_t {
  kWaiting,
  kLogging,  ///< The record of its only start is on its way to the log.
  kSent,     ///< The worker was asked; its answer is not known.
  kRunning,
  kStopping,
  kDone,
  kFailed,
  kUnknown,  ///< Run-once task whose fate cannot be known.
};

/// Seen by callers: counts by state.
struct JobStatus {
  std::string state;  ///< "waiting", "running", "ended", "cancelled".
  std::map<std::string, uint32_t> tasks;
};

/// Places tasks and keeps their leases. A task is started again only when its
/// last start is surely over; see docs/DESIGN.md, "One place at a time". Not
/// thread-safe: belongs to the core thread.
class JobBoard {
 public:
  JobBoard(ShardId shard, ShardPort* port, TeamUsage* usage, Duration lease);

  /// Takes in a job; replied to when its record is in the log.
  void Submit(JobSpec spec, Time valid_until, OutcomeReply reply);

  /// @param cancel True to stop the job as well.
  WorkOutcome Query(const JobId& id, const TeamId& team, bool cancel);

  /// A record of the jobs stream was applied to the fold.
  void OnEvent(const JobEvent& event);

  /// The shard is this placer's: takes over all its jobs from the fold.
  /// @param inherits True if a former owner may have left work running.
  void OnGained(bool inherits);

  void OnInstances(const std::vector<platform::ListedInstance>& listed);
  void Pump();
  void Tick();

  size_t Waiting() const { return waiting_.size(); }

 private:
  struct Task {
    TaskState state = TaskState::kWaiting;
    std::string worker;  ///< Where it is reserved; empty if nowhere.
    Time changed = kNever;
    bool preempted = false;  ///< Being stopped to make room.
  };
  struct LiveJob {
    JobSpec spec;
    std::vector<Task> tasks;
    std::set<std::string> failed_on;  ///< Workers that failed a task of it.
    uint32_t failures = 0;
    bool cancelled = false;
    bool inherited = false;  ///< A former owner may have started tasks.
    Time accepted = kNever;
    Time first_tried = kNever;  ///< When it first found no room.
    Time hold_until = kNever;   ///< After the log refused a start record.
  };
  using TaskKey = std::pair<JobId, uint32_t>;
  struct OnWorker {
    TeamId team;
    Resources need;
    uint64_t units = 0;
    uint64_t not_after_ms = 0;  ///< Worker's clock: it starts no later.
    Time ended = kNever;        ///< When an unanswered start call ended.
  };
  struct Worker {
    platform::ListedInstance info;
    Resources used;
    bool listed = true;
    bool inherited = false;  ///< A former owner may have used it.
    bool known = false;      ///< Its own list was read under this owner.
    bool asking = false;
    Time asked = kNever;       ///< Newest question, answered or not.
    Time answered = kNever;    ///< Newest answer.
    Time lease_sent = kNever;  ///< Newest renewal that may have arrived.
    uint64_t clock_ms = 0;
    std::map<TaskKey, OnWorker> tasks;
    std::set<JobId> ended_jobs;      ///< With ended tasks on its last list.
    std::vector<std::string> acks;   ///< Ended tasks it may forget.
    std::vector<std::string> stops;  ///< Tasks it must end.
    uint32_t failures = 0;
    Time quarantined_until = kNever;
    bool lost = false;
  };

  bool KnowsInherited() const;
  void CountUnseen();
  bool CanEverFit(const JobSpec& spec) const;
  void AddJob(const JobRecord& record);
  void EraseIfEnded(const JobId& id);
  std::vector<WorkerRoom> Rooms(const LiveJob& job,
                                std::vector<Worker*>* workers);
  int PriorityOf(const JobSpec& spec) const;
  bool IsHeldFor(const LiveJob& job, Time now) const;
  void NoteNoRoom(LiveJob* job, Time now);
  void MakeRoom(LiveJob* job);
  bool MayBePreempted(const TaskKey& key, int priority) const;
  std::vector<TaskKey> FindVictims(const Worker& worker,
                                   const Resources& need,
                                   int priority) const;
  bool RoomIsComing(const Worker& worker, const Resources& need) const;
  void Preempt(Worker* worker, const TaskKey& key);
  bool PlaceJob(LiveJob* job, uint32_t* placed);
  bool PlaceTasks(LiveJob* job,
                  const std::vector<uint32_t>& wanted,
                  uint32_t* placed);
  void Reserve(LiveJob* job, uint32_t task, Worker* worker);
  void Unreserve(Worker* worker, const TaskKey& key);
  void LogStart(const TaskKey& key);
  void SendStart(const TaskKey& key);
  void OnStartAnswer(const TaskKey& key,
                     const std::string& worker,
                     const net::HttpResult& result);
  void StartFailed(const TaskKey& key, Worker* worker);
  void AskWorker(Worker* worker);
  void OnReport(const std::string& name,
                Time asked,
                const net::HttpResult& result);
  void ApplyReport(Worker* worker,
                   Time asked,
                   const platform::WorkerReport& report);
  void OnRunning(Worker* worker, const std::string& task);
  void OnEnded(Worker* worker, const std::string& task, bool ok);
  void EndTask(const TaskKey& key, bool ok);
  void FindNeverStarted(Worker* worker,
                        Time asked,
                        const std::set<std::string>& seen);
  void FindLostWorkers();
  void DropWorkerTasks(Worker* worker);
  void NoteWorkerFailure(Worker* worker, LiveJob* job);
  void Cancel(LiveJob* job);
  void AppendTask(JobRecordKind kind, const TaskKey& key);
  LiveJob* FindJob(const JobId& id);

  const ShardId shard_;
  ShardPort* const port_;
  TeamUsage* const usage_;
  const Duration lease_;
  Time gained_ = kNever;
  bool inherits_ = false;  ///< Until the first list after the take-over.
  JobId reserved_for_;     ///< Gang for which room is kept.
  Time reserved_until_ = kNever;
  std::map<std::string, Worker> workers_;
  std::map<JobId, LiveJob> jobs_;
  std::set<TaskKey> waiting_;
  std::map<JobId, OutcomeReply> submitting_;  ///< Not yet seen in the log.
};

}  // namespace bw
