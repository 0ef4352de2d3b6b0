// The cell: all jobs and backend servers of one shard. Makes the scheduling
// decisions of the shard's owner; performs no I/O itself.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cell_port.h"
#include "cell_type.h"
#include "evacuation_base.h"
#include "fit_func.h"
#include "order_func.h"
#include "placing_delay_base.h"
#include "platform/advice.h"
#include "platform/backend.h"
#include "ready_steps_base.h"
#include "run_time_base.h"
#include "speed_base.h"
#include "stall_func.h"
#include "ticket_margin_base.h"

namespace bw {

/// Schedules the jobs of one shard onto its backend servers. Not thread-safe:
/// belongs to the core thread.
class Cell {
 public:
  Cell(CellOptions options, CellPort* port);

  /// Loads a record stored by a former owner. @pre Run was not called yet.
  void Load(const std::string& key, const std::string& value, Time now);
  /// Finishes loading: replays progress and opens the jobs.
  void OnLoaded(Time now);

  void SetConfig(std::shared_ptr<const CellConfig> config);
  /// Handles a new or changed entry of a backend server in the store.
  void SetBackend(const BackendEntry& entry, Time now);
  /// Handles the removal of a backend server's entry from the store.
  void DropBackend(const BackendId& id);
  /// Drops backend servers that are not in a complete list of the entries.
  void RetainBackends(const std::set<std::string>& listed);

  void Submit(const JobId& id,
              const TeamId& team,
              const QueueId& queue,
              const std::string& body,
              Time now,
              CellDone done);
  /// @return True if the job was accepted or its acceptance is being stored.
  bool Knows(const JobId& id) const;
  /// @return The refusal of a new job while more is waiting than the cell can
  /// place. The time until the caller should try again is spread over jobs.
  CellOutcome RefuseOverload(const JobId& id, const char* reason) const;
  CellOutcome State(const JobId& id, const TeamId& team) const;
  /// Cancels a job. A job that is not known is not accepted either if its
  /// submission arrives later.
  void Cancel(const JobId& id, const TeamId& team, Time now, CellDone done);
  uint64_t CountWaiting(const QueueId& queue) const;

  void OnStartResponse(const BackendId& backend,
                       const RunRef& run,
                       OrderResult result,
                       Time sent,
                       Time now);
  void OnStopResponse(const BackendId& backend,
                      const RunRef& run,
                      OrderResult result,
                      Time now);
  void OnPollResponse(const BackendId& backend,
                      const BackendReport& report,
                      Time sent,
                      Time now);
  void OnAdviceResponse(const StepRef& step,
                        const std::vector<BackendId>& queried,
                        const platform::AdviceResponse& response,
                        Time now);

  /// Handles timers: leases, polls, stop retries and due occurrences.
  void Tick(Time now, uint64_t wall_ms);
  /// Places waiting steps and stores changes. Call after events.
  void Run(Time now);

  /// Statistics for status pages and logs.
  struct Counts {
    size_t jobs = 0;
    size_t servers = 0;
    size_t usable_servers = 0;
    size_t waiting_steps = 0;
    size_t runs = 0;
    uint64_t free_millicores = 0;
    uint64_t total_millicores = 0;
    uint64_t passes = 0;          ///< Placing passes, cumulative.
    uint64_t pass_us = 0;         ///< Time spent in passes, cumulative.
    uint64_t advice_queries = 0;  ///< Advice queries, cumulative.
    /// Expected time of those queries, cumulative.
    uint64_t advice_query_ms = 0;
    uint64_t advice_busy = 0;  ///< Queries refused as all instances were busy.
    size_t early_cancels = 0;  ///< Jobs cancelled before they were submitted.
  };
  Counts Count() const;
  /// @return Number of listed backend servers of each availability zone that
  /// belong to a queue's service.
  std::map<ZoneId, size_t> CountServersByZone() const;

 private:
  enum class RunPhase : uint8_t {
    kStarting,  ///< No response to the start order yet.
    kRunning,
    kStopping,
    kUnconfirmed,  ///< The start timed out; it may still be executed.
  };
  /// A run that is or may be active on a backend server.
  struct LiveRun {
    RunPhase phase = RunPhase::kStarting;
    uint64_t fencing_token = 0;  ///< Of its newest start order.
    Resources need;              ///< Counts against its account's maximum.
    Resources room;              ///< Taken from its server's capacity.
    TeamId team;
    bool job_unknown = false;   ///< Its job and its resources are unknown.
    bool from_scratch = false;  ///< Started here without a checkpoint.
    Time placed_at = kNever;
    Time start_sent_at = kNever;       ///< kNever: not sent yet.
    Time start_confirmed_at = kNever;  ///< kNever: not confirmed to run.
    Time stop_sent_at = kNever;
    Time stop_confirmed_at = kNever;
    bool stop_in_flight = false;
    bool repeated = false;  ///< Its start order was sent a second time.
    uint64_t serial = 0;    ///< Distinguishes runs that reuse a number.
    uint64_t stated_ms = 0;
    uint64_t estimate_ms = 0;  ///< As used for decisions.
    RunExpectation expected;   ///< On a server of usual speed.
    RunProgress progress;      ///< Unused in gangs.
    RunActivity activity;
    std::string checkpoint;
  };
  /// A start order that is sent once the record of its placement is stored.
  struct UnsentStart {
    RunRef run;
    BackendId backend;
    uint64_t serial = 0;
  };
  /// A backend server.
  struct Server {
    BackendEntry entry;
    bool listed = false;           ///< It has an entry in the store.
    bool record_stored = false;    ///< Its record is stored; needed to place.
    bool storing_record = false;   ///< A write of its record is in flight.
    Time next_record_at = kNever;  ///< Its record was refused; next attempt.
    /// Its lists were read to their end by this owner. Reset when a start
    /// fails, its leases lapse or it restarts.
    bool lists_read = false;
    bool more_ends = false;  ///< Its last report did not list all ends.
    Resources used;          ///< Resources occupied by `runs`.
    std::map<RunRef, LiveRun> runs;
    uint32_t unknown_job_runs = 0;  ///< Number of `runs` with `job_unknown`.
    uint32_t token_raises = 0;      ///< Restarts that this owner has noticed.
    uint64_t poll_token = 0;        ///< Fencing token of the last poll sent.
    bool poll_in_flight = false;
    Time next_poll_at = kNever;
    /// When leases granted by former owners or by unanswered orders have
    /// expired; kNever: there are none.
    Time unknown_leases_lapse_at = kNever;
    uint64_t clock_ms = 0;            ///< Its steady clock in its last report.
    Time clock_read_at = kNever;      ///< When `clock_ms` was received.
    Time report_sent_at = kNever;     ///< When that poll was sent.
    uint64_t lease_end_ms = 0;        ///< Latest lease end sent, on its clock.
    uint64_t last_processed_end = 0;  ///< Number of the last end processed.
    uint64_t acknowledged = 0;        ///< Ends up to this number are stored.
    Time drain_ends_at = kNever;      ///< Earliest exit while draining.
    Time suspect_until = kNever;  ///< Gets no work before; it did not respond.
    uint32_t strikes = 0;         ///< Consecutive failures.
    uint32_t rack = 0;            ///< Number of its rack.
    uint32_t service = 0;         ///< Number of its service.
    uint32_t pass_index = 0xffffffff;  ///< Index in the current pass.
    Time avoid_until = kNever;  ///< Gets no work before; it failed tasks.
    bool slow = false;          ///< Several times slower than others.
    Time cold_until = kNever;   ///< Slow until then, as it has just started.
    uint32_t lag = kUsualLag;   ///< Of its kind of machine, see LagOf.
  };
  enum class TaskPhase : uint8_t { kWaiting, kLive, kDone };
  struct Task {
    TaskPhase phase = TaskPhase::kWaiting;
    std::vector<uint64_t> failed_runs;  ///< Runs whose failure was counted.
    uint64_t run = 0;                   ///< Highest run number used.
    BackendId backend;  ///< Where it is live or a former owner placed it.
    /// A run started by a former owner may still be active on `backend`.
    bool maybe_running = false;
    BackendId failed_on;  ///< Backend server of its last failure.
    std::string checkpoint;
  };
  /// Further records that hold a value, see AddRecords.
  struct PartSet {
    uint64_t number = 0;  ///< Distinguishes the sets of one key.
    uint32_t count = 0;   ///< 0: the value is in the record of the key.
  };
  struct TicketInfo {
    std::string text;
    Time until = kNever;
  };
  /// What the advice service has reported for a step.
  struct AdviceState {
    uint32_t queries_in_flight = 0;
    Time queried_at = kNever;
    Time next_query_at = kNever;
    /// Servers with a ticket.
    std::unordered_map<BackendId, TicketInfo> admitted;
    /// Servers that the service refused.
    std::unordered_set<BackendId> rejected;
  };
  struct Step {
    std::vector<Task> tasks;
    uint32_t done = 0;
    uint32_t live = 0;
    bool ready = false;         ///< All steps it depends on are done.
    bool tearing_down = false;  ///< The gang's other runs are being stopped.
    Time reserved_at = kNever;  ///< Last pass that reserved room for it.
    Time examined_at = kNever;  ///< Last pass that tried to place it.
    std::vector<uint64_t> failed_runs;  ///< Of all members of a gang.
    Time started = kNever;
    RunProgress progress;  ///< Of the present run of a gang.
    Time waiting_since = kNever;
    const char* wait_reason = "";  ///< Why the last pass did not place it.
    Time not_before = kNever;      ///< Earliest next placing attempt.
    Time next_stall_check = kNever;
    AdviceState advice;
  };
  struct Occurrence {
    std::vector<Step> steps;
    uint32_t steps_done = 0;
    uint64_t remaining_ms = 0;  ///< Critical path of the unfinished steps.
  };
  struct Job {
    JobId id;
    TeamId team;
    QueueId queue;
    std::string body;
    BatchSpec spec;
    CellQueue policy;  ///< Latest configuration of its queue.
    uint64_t accepted_ms = 0;
    Time accepted = kNever;
    uint64_t arrival = 0;
    bool rate_limited = false;  ///< Over the account's rate limit on arrival.
    bool from_former_owner = false;  ///< Loaded from the store.
    bool stored = false;             ///< Its acceptance is durable.
    uint64_t store_request = 0;      ///< StoreRecords number of its acceptance.
    /// A backend server confirmed or reported a run of it. Stored with its next
    /// progress.
    bool started = false;
    bool progress_changed = false;  ///< Its progress has to be stored.
    PartSet body_parts;             ///< Further records of it as submitted.
    PartSet progress_parts;         ///< Further records of its progress.
    JobState state = JobState::kActive;
    Objective objective;
    std::map<uint32_t, Occurrence> occurrences;
    uint32_t next_occurrence = 0;
    uint32_t first_occurrence = 0;
    std::vector<CellDone> waiting_accept;
    std::vector<CellDone> waiting_cancel;
  };
  /// A job that was cancelled while it was not known. Its submission may still
  /// be on its way.
  struct EarlyCancel {
    TeamId team;
    uint64_t cancelled_ms = 0;  ///< Wall clock.
    bool stored = false;
    /// Calls to answer once it is stored, and their outcomes then.
    std::vector<std::pair<CellDone, CellOutcome>> waiting;
  };
  struct EndedJob {
    TeamId team;
    QueueId queue;
    JobState state = JobState::kCompleted;
    uint64_t ended_ms = 0;
  };

  // cell.cc: jobs.
  Job* FindJob(const JobId& id);
  Step* FindStep(const StepRef& ref, Job** job);
  Task* FindTask(const TaskRef& ref, Job** job, Step** step);
  void AddOccurrence(Job* job, uint32_t number, Time now);
  static void UpdateRemaining(const Job& job, Occurrence* occurrence);
  void UpdateReady(Job* job, uint32_t occurrence, Time now);
  void OpenDueOccurrences(Job* job, uint64_t wall_ms, Time now);
  void EndJob(Job* job, JobState state, Time now);
  void StoreEnd(Job* job);
  void DropUnstored(const JobId& id, const char* why);
  void StopJobRuns(Job* job, Time now);
  void OnAccepted(const JobId& id);
  void OnAcceptanceRefused(const JobId& id);
  void OpenJob(Job* job, Time now);
  void RefuseUnstoredJobs(Time now);
  void RemoveRuns(const JobId& id);
  bool IsRateLimited(const JobId& id, const TeamId& team, Time now);
  bool HasBeenLate(uint32_t priority, Time now);
  const char* OverloadReason(const Job& job, Time now);
  void OnEndStored(const JobId& id, const EndedJob& ended);

  // cell_early_cancel.cc: cancels of jobs that are not known.
  void CancelUnknown(const JobId& id, const TeamId& team, CellDone done);
  bool RefuseCancelled(const JobId& id, const TeamId& team, CellDone* done);
  void OnEarlyCancelStored(const JobId& id, bool stored);
  void EraseEarlyCancel(const JobId& id);
  void LoadEarlyCancel(const JobId& id, const std::string& value);
  void DropExpiredCancels(uint64_t wall_ms);
  uint64_t RetentionMs() const;
  CellOutcome Refuse(CellStatus status, const char* reason) const;

  // cell_server.cc: backend servers; cell_run.cc: runs.
  uint32_t RackNumber(const std::string& rack);
  uint32_t ServiceNumber(const std::string& service);
  bool IsInUse(const Server& server) const;
  void OnNewIncarnation(Server* server, Time now);
  uint64_t FencingToken(const Server& server) const;
  void OnOrderFenced(Server* server, Time now);
  void StoreServerRecordIfNeeded(Server* server, Time now);
  void DropServerIfIdle(const BackendId& id);
  void SendPoll(Server* server, Time now);
  void ProcessEnds(Server* server, const BackendReport& report, Time now);
  void ProcessRunning(Server* server, const BackendReport& report, Time now);
  void RemoveUnlistedRuns(Server* server,
                          const BackendReport& report,
                          Time sent,
                          Time now);
  void AdoptRun(Server* server, const ListedRun& row, Time now);
  void CheckIdleRun(Server* server,
                    const ListedRun& row,
                    LiveRun* live,
                    Time now);
  void CheckIdleGang(const TaskRef& member, Step* step, Time now);
  void StopStalled(Server* server, const RunRef& run, LiveRun* live, Time now);

  // cell_run_time.cc: learned run times.
  static RunClass RunClassOf(const Job& job, const StepSpec& spec);
  void UpdateEstimates(Job* job, Time now);
  void ExpectRun(const Job& job,
                 const StepSpec& spec,
                 const BackendId& backend,
                 LiveRun* live,
                 Time now) const;
  void LearnFromEnd(Server* server,
                    const ListedEnd& end,
                    const LiveRun& live,
                    Time now);
  void LearnFromRunning(Server* server,
                        const RunRef& run,
                        LiveRun* live,
                        Time now);
  void MarkStarted(const JobId& id);
  void EraseRun(Server* server, const RunRef& run);
  void OnRunEnd(Server* server, const ListedEnd& end, Time now);
  void OnRunGone(Server* server, const RunRef& run, const char* why, Time now);
  void OnTaskDone(Job* job, const TaskRef& task, Time now);
  void OnTaskFailed(Server* server, Job* job, const RunRef& run, Time now);
  void RequeueTask(Job* job,
                   const TaskRef& task,
                   const std::string& checkpoint,
                   Time now);
  void ResolveMaybeRunning(const BackendId& id, Time now);
  void ClearMaybeRunning(const Job& job, const TaskRef& ref, Task* task);
  void KeepMaybeRunning(const Job& ended);
  void ReleaseMaybeRunning(const TeamId& team, const Resources& need);
  void TearDownPartialGang(Job* job, const StepRef& ref, Time now);
  void TearDownGang(Job* job, const TaskRef& member, Time now);
  void AvoidServer(Server* server, Time now);
  void AddStrike(Server* server, Time now);
  bool LeasesLapsed(const Server& server, Time now) const;
  static bool IsSilent(const Server& server, Time now);
  uint64_t ServerClockMs(const Server& server, Time now) const;
  void CheckServer(Server* server, Time now);
  void Evacuate(Server* server, Time now);

  bool MayStartIn(const Server& server, Time now) const {
    return port_->CheckStart(server.entry.zone, now) ==
           StartPermission::kAllowed;
  }

  // cell_evacuate.cc: service tasks in evacuated zones.
  void MoveServices(Time now);
  bool AreAllAtWork(const StepRef& ref, const Step& step, Time now) const;

  // cell_order.cc: orders to backend servers.
  void SendStart(const UnsentStart& start, Time now);
  platform::StartOrder MakeStartOrder(Server* server,
                                      const RunRef& run,
                                      const Job& job,
                                      const Task& task,
                                      Time now) const;
  bool RepeatStart(Server* server, const RunRef& run, LiveRun* live, Time now);
  void OnStartUnknown(Server* server,
                      const RunRef& run,
                      LiveRun* live,
                      Time sent,
                      Time now);
  void OnStartRejected(Server* server,
                       const RunRef& run,
                       OrderResult result,
                       Time now);
  void SendStop(Server* server,
                const RunRef& run,
                LiveRun* live,
                const char* why,
                Time now);

  // cell_place.cc: placing.
  struct Pass;
  struct ServiceCapacity;
  /// A waiting step with its rank in the placing order.
  struct RankedStep {
    WaitingStep rank;
    const StepRef* ref = nullptr;  ///< Points into `ready_`.
    Time examined_at = kNever;
  };
  void Place(Time now);
  std::vector<RankedStep> RankWaiting(Time now);
  std::span<const RankedStep> PlaceInOrder(Pass* pass,
                                           std::span<const RankedStep> order,
                                           uint32_t max_unplaced);
  WaitingStep RankOf(const Job& job,
                     const StepRef& ref,
                     const Step& step,
                     Time now) const;
  void OpenPass(Pass* pass);
  void CheckSpeed(Server* server, Time now);
  static std::vector<uint32_t> WaitingTasks(const Step& step,
                                            uint32_t* maybe_running);
  /// What a pass did with a waiting step.
  enum class PlaceResult : uint8_t {
    kPlaced,    ///< No task of it waits any more.
    kUnplaced,  ///< Some tasks did not fit.
    kSkipped,   ///< Nothing could change for it, so it was not examined.
  };
  PlaceResult PlaceStep(Pass* pass, const StepRef& ref, bool urgent);
  static bool HasReservation(const Step& step, Time now);
  bool MayChange(const Pass& pass,
                 const Job& job,
                 const Step& step,
                 const StepNeed& need,
                 bool urgent) const;
  /// What the advice service said about a server.
  enum class TicketState : uint8_t {
    kUnknown,
    kRejected,
    kAdmitted,  ///< Its ticket has expired or soon will.
    kValidTicket,
  };
  std::vector<TicketState> TicketStates(const Pass& pass,
                                        const AdviceState& advice,
                                        Time renew_at) const;
  static bool MayQueryAdvice(const Pass& pass,
                             const Job& job,
                             const Step& step,
                             bool urgent);
  uint32_t StartFitting(Pass* pass,
                        Job* job,
                        const StepRef& ref,
                        Step* step,
                        const std::vector<uint32_t>& waiting,
                        const StepNeed& need);
  void QueryAndReserve(Pass* pass,
                       Job* job,
                       const StepRef& ref,
                       Step* step,
                       const StepNeed& need,
                       bool urgent);
  void QueryAdvice(Pass* pass,
                   Job* job,
                   const StepRef& ref,
                   Step* step,
                   const StepNeed& need,
                   bool urgent);
  void PrefetchAdvice(Time now);
  void LogLongWaits(Time now) const;
  void PlaceTask(Pass* pass,
                 Job* job,
                 const TaskRef& ref,
                 Step* step,
                 Server* server,
                 uint64_t run);
  uint64_t NextRun(const Job& job, const Task& task) const;

  bool TakeRoom(Pass* pass,
                const Job& job,
                const StepRef& ref,
                const Step& step);

  // cell_room.cc: free and reserved resources of the servers.
  Resources OccupiedResources(const StepSpec& spec) const;
  StepNeed NeedOf(const Job& job,
                  const StepRef& ref,
                  const Step& step,
                  uint32_t count,
                  Time now) const;
  uint32_t QuotaSlots(const Job& job, const Resources& need) const;
  bool IsPossible(const Job& job, const StepSpec& spec) const;
  void FillCandidates(Pass* pass,
                      const Job& job,
                      const StepRef& ref,
                      const Step& step);
  int64_t BackfillMs(const Pass& pass,
                     const Job& job,
                     const StepSpec& spec,
                     const Step& step) const;
  static Resources FreeFor(const Pass& pass, size_t n, int64_t task_ms);
  void LimitToTickets(Pass* pass, const Step& step, Time valid_at);
  bool Reserve(Pass* pass, const StepNeed& need);
  static std::vector<Release> ReleasesOf(const Server& server, Time now);

  // cell_record.cc: persisted records.
  /// Pause before a record that the store refused is stored again.
  static constexpr milliseconds kRefusedRecordPause{1000};
  struct Changes;
  void StoreChanges();
  void OnProgressStored(const JobId& id, bool stored);
  void OnChangesStored(const Changes& changes);
  void RetryRefused(Time now);
  void AddRecords(const std::string& key,
                  const std::string& value,
                  PartSet* parts,
                  std::vector<std::string>* out);
  static std::string SerializeJob(const Job& job);
  std::string SerializeProgress(const Job& job) const;
  void LoadJob(const JobId& id, const std::string& value, Time now);
  void LoadProgress(const JobId& id, const std::string& value);
  void LoadContinued(Time now);
  void RemoveLeftovers();
  void LoadBackend(const BackendId& id, const std::string& value, Time now);
  void ApplyProgress(Job* job, const std::string& value, Time now);
  void DropExpiredJobs(uint64_t wall_ms);
  void EndFinishedJobs(Time now);

  const CellOptions options_;
  CellPort* const port_;
  std::shared_ptr<const CellConfig> config_;
  std::unordered_map<JobId, Job> jobs_;
  std::map<JobId, EndedJob> ended_;
  std::unordered_map<JobId, EarlyCancel> early_cancels_;
  std::map<TeamId, size_t> early_cancel_counts_;  ///< By client account.
  std::map<JobId, std::string> loaded_progress_;
  std::map<std::string, std::string> loaded_parts_;  ///< Further records.
  /// Keys that were loaded with further records, and which.
  std::map<std::string, PartSet> continued_;
  /// Keys of further records that belong to no value: a former owner stored
  /// only some of a job's records.
  std::vector<std::string> leftover_keys_;
  uint64_t last_part_set_ = 0;
  /// Jobs whose newest progress or end the store refused, and when it is to be
  /// stored again.
  std::map<JobId, Time> refused_jobs_;
  std::unordered_map<BackendId, Server> servers_;
  ReadySteps ready_;  ///< Steps with waiting tasks.
  std::set<JobId> changed_jobs_;
  std::vector<UnsentStart>
      unsent_starts_;  ///< Starts whose record is not stored yet.
  uint64_t last_serial_ = 0;
  std::set<JobId>
      scheduled_jobs_;  ///< Jobs with occurrences that are not due yet.
  /// Processed ends of a backend server that are not acknowledged yet.
  struct PendingEnds {
    uint64_t last = 0;  ///< Number of the last one.
    std::set<JobId> jobs;
  };
  std::map<BackendId, PendingEnds> ends_to_acknowledge_;
  std::map<TeamId, Resources> usage_;
  std::map<QueueId, double>
      admitted_share_;  ///< Share of servers that the advice service admits.
  AccountRateLimiter rate_limiter_;
  RunTimes run_times_;
  SpeedMeter speed_meter_{&run_times_};
  PlacingDelay placing_delay_;
  /// Time in which new jobs were expected to be late.
  struct LateSpan {
    Time since = kNever;
    Time last = kNever;
  };
  std::map<uint32_t, LateSpan> late_spans_;  ///< By priority.
  TicketMargin ticket_margin_;
  std::map<JobId, Time>
      rate_limited_at_;  ///< Jobs found over the rate limit recently.
  std::map<std::string, uint32_t> rack_numbers_;
  std::map<std::string, uint32_t> service_numbers_;
  /// Numbers of the services of all queues so far, also of removed ones, whose
  /// jobs go on.
  std::set<uint32_t> services_in_use_;
  /// By number of the service: whether less than half of its capacity was in
  /// use in the last pass.
  std::vector<bool> half_empty_;
  Time next_speed_check_ = kNever;
  Time now_ = kNever;  ///< Time of the last Tick or Run.
  uint64_t wall_ms_ = 0;
  Time loaded_at_ = kNever;
  bool settled_ = false;  ///< All tasks with `maybe_running` are resolved.
  /// Number of tasks with `maybe_running`, those of ended jobs included.
  uint32_t maybe_running_count_ = 0;
  /// Those tasks, and some that are resolved, by the server they may run on.
  std::map<BackendId, std::vector<TaskRef>> maybe_running_;
  /// Tasks with `maybe_running` whose job has ended since, by that server.
  std::map<BackendId, std::vector<EndedTask>> ended_maybe_running_;
  std::map<TeamId, Resources>
      maybe_running_usage_;  ///< Resources of all those tasks.
  Time next_prefetch_ = kNever;
  Time next_move_ = kNever;
  Time next_pass_ = kNever;
  Counts counters_;  ///< Only the cumulative fields are used.
  uint64_t last_arrival_ = 0;
  Time next_sweep_ = kNever;
  Time next_wait_log_ = kNever;
};

}  // namespace bw
