// The cell: all jobs and backend servers of one shard under one owner. Decides
// what starts, stops and ends; does no input or output of its own.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "cell_type.h"
#include "fit_func.h"
#include "order_func.h"
#include "platform/advice.h"
#include "platform/backend.h"
#include "speed_base.h"

namespace bw {

/// A job as its callers see it. The numbers are kept in records: only append.
enum class JobState : uint32_t {
  kActive = 0,
  kCompleted = 1,
  kFailed = 2,
  kCancelled = 3,
};

/// Bounds and times of a cell, from the settings.
struct CellOptions {
  uint64_t fencing_token = 0;     ///< Higher than that of any former owner.
  milliseconds hold_max{10'000};  ///< Longest lease backend servers grant.
  milliseconds lease{6'500};      ///< Lease asked for; shorter than hold_max.
  milliseconds status_kept{120'000};  ///< Ended jobs stay known this long.
  double far_factor = 3;              ///< Slowness far from the data.
  uint64_t wall_ms = 0;               ///< Wall clock at the start.
};

/// What the cell needs done. Answers come back through the methods of Cell
/// named beside. Calls come on the core thread.
class CellPort {
 public:
  virtual ~CellPort() = default;

  /// Answer: Cell::OnStartAnswer.
  virtual void Start(const BackendEntry& to, platform::StartOrder order) = 0;
  /// Answer: Cell::OnStopAnswer.
  virtual void Stop(const BackendEntry& to, const RunRef& run) = 0;
  /// Answer: Cell::OnReport.
  virtual void Hold(const BackendEntry& to, platform::HoldOrder order) = 0;
  /// @return False if the advice service takes no more questions now.
  /// Answer: Cell::OnAdvice.
  /// @param urgent May wait for an instance that is still asking.
  virtual bool AskAdvice(const StepRef& step,
                         const std::vector<BackendId>& backends,
                         milliseconds expected,
                         bool urgent) = 0;
  /// Stores records as one; `done` runs once they are kept for good, in the
  /// order of the calls. Not run if the cell is lost first.
  /// @return A number for Withdraw.
  virtual uint64_t Keep(std::vector<std::string> records,
                        std::function<void()> done) = 0;
  /// Takes records back that surely did not leave yet. @return False if they
  /// may be stored.
  virtual bool Withdraw(uint64_t number) = 0;
  /// A backend server has seen a higher fencing token.
  virtual void OnFenced() = 0;
  /// @return True while the owner may start tasks.
  virtual bool MayAct() const = 0;
  /// @return True while leases may be renewed: while the owner may act, and
  /// for a given time after, which a new owner waits out.
  virtual bool MayRenew(milliseconds after) const = 0;
  /// @return True while ownership is renewed and records are kept in time.
  virtual bool IsSettled() const = 0;
};

/// Answer to a caller.
enum class CellVerdict : uint32_t {
  kOk = 0,
  kUnknownJob,    ///< No such job, surely.
  kOtherAccount,  ///< The job belongs to another client account.
  kNotOwner,      ///< Not taken: another process owns the cell.
  kBehind,        ///< Not taken: the queue is not known here yet.
  kOverloaded,    ///< Not taken: it would be done too late.
  kStoreAway,     ///< Not taken: the store keeps nothing now.
  kMalformed,     ///< Not taken: the job cannot be read.
  kUnknown,       ///< May have been taken.
};

struct CellOutcome {
  CellVerdict verdict = CellVerdict::kOk;
  std::string state;
  uint64_t count = 0;
  uint32_t retry_after_ms = 0;
  std::string reason;

  bool operator==(const CellOutcome&) const = default;
};
using CellDone = std::function<void(CellOutcome)>;

/// Not thread-safe: belongs to the core thread.
class Cell {
 public:
  Cell(CellOptions options, CellPort* port);

  /// Takes in a record kept by a former owner. Before the first Run.
  void Load(const std::string& key, const std::string& value, Time now);
  /// All records were loaded.
  void OnLoaded(Time now);

  void SetConfig(std::shared_ptr<const CellConfig> config);
  /// An entry in the store was written.
  void SetBackend(const BackendEntry& entry, Time now);
  /// An entry in the store was dropped.
  void DropBackend(const BackendId& id);
  /// All entries were read: those not among them are gone.
  void DropBackendsBut(const std::set<std::string>& listed);

  void Submit(const JobId& id,
              const TeamId& team,
              const QueueId& queue,
              const std::string& body,
              Time now,
              CellDone done);
  CellOutcome State(const JobId& id, const TeamId& team) const;
  void Cancel(const JobId& id, const TeamId& team, Time now, CellDone done);
  uint64_t CountWaiting(const QueueId& queue) const;

  void OnStartAnswer(const BackendId& backend,
                     const RunRef& run,
                     OrderVerdict verdict,
                     Time sent,
                     Time now);
  void OnStopAnswer(const BackendId& backend,
                    const RunRef& run,
                    OrderVerdict verdict,
                    Time now);
  void OnReport(const BackendId& backend,
                const BackendReport& report,
                Time sent,
                Time now);
  void OnAdvice(const StepRef& step,
                const std::vector<BackendId>& asked,
                const platform::AdviceAnswer& answer,
                Time now);

  /// Time passes: leases, holds, stops and due occurrences.
  void Tick(Time now, uint64_t wall_ms);
  /// Places what waits and keeps what changed. Call after events.
  void Run(Time now);

  /// Counts for pages and logs.
  struct Counts {
    size_t jobs = 0;
    size_t servers = 0;
    size_t usable_servers = 0;
    size_t waiting_steps = 0;
    size_t runs = 0;
    uint64_t free_millicores = 0;
    uint64_t total_millicores = 0;
    uint64_t passes = 0;        ///< Placing passes so far.
    uint64_t pass_us = 0;       ///< Time of all passes.
    uint64_t questions = 0;     ///< To the advice service so far.
    uint64_t questions_ms = 0;  ///< Their expected time.
    uint64_t advice_busy = 0;   ///< Questions that no instance could take.
  };
  Counts Count() const;

 private:
  enum class RunPhase : uint8_t {
    kStarting,  ///< The order's answer is not known.
    kRunning,
    kStopping,
    kDoubt,  ///< The order got no answer; it may be executed late.
  };
  struct LiveRun {
    RunPhase phase = RunPhase::kStarting;
    Resources need;
    TeamId team;
    bool foreign = false;    ///< Its job is not known; its needs neither.
    bool timed = false;      ///< Started here from the beginning of its work.
    Time sent = kNever;      ///< When the start was sent.
    Time answered = kNever;  ///< When the start was answered.
    Time stop_sent = kNever;
    Time stop_answered = kNever;
    bool stop_in_flight = false;
    uint64_t serial = 0;  ///< Tells it from a later run of the same number.
    uint64_t estimate_ms = 0;
    Time idle_since = kNever;  ///< No processor time used since.
    std::string saved;
  };
  /// A start that is sent once its record is stored.
  struct UnsentStart {
    RunRef run;
    BackendId backend;
    uint64_t serial = 0;
  };
  struct Server {
    BackendEntry entry;
    bool listed = false;
    bool kept = false;  ///< Its record is stored; work may go there.
    bool keeping = false;
    bool known = false;  ///< Its lists were read under this owner.
    Resources used;
    std::map<RunRef, LiveRun> runs;
    uint32_t foreign_runs = 0;
    bool hold_in_flight = false;
    Time next_hold = kNever;
    Time clear_at = kNever;  ///< Unknown leases have lapsed by then.
    uint64_t clock_ms = 0;
    Time clock_at = kNever;  ///< When `clock_ms` was received.
    uint64_t lease_end_ms = 0;
    uint64_t last_end = 0;      ///< Newest end taken in.
    uint64_t acknowledged = 0;  ///< Ends up to here are stored.
    Time leaves_at = kNever;    ///< While draining; not before.
    Time suspect_until = kNever;
    uint32_t strikes = 0;              ///< Failures in a row.
    uint32_t rack = 0;                 ///< Number of its rack.
    uint32_t pass_index = 0xffffffff;  ///< Its place in the present pass.
    Time avoid_until = kNever;
    bool bad = false;  ///< Found several times slower than others.
  };
  enum class TaskPhase : uint8_t { kWaiting, kLive, kDone };
  struct Task {
    TaskPhase phase = TaskPhase::kWaiting;
    std::vector<uint64_t> failed_runs;  ///< Whose failures are counted.
    uint64_t run = 0;                   ///< Newest run number used.
    BackendId where;      ///< While live, or where a former owner put it.
    bool hidden = false;  ///< A former owner's run may be there, unseen.
    BackendId failed_on;  ///< Where it failed last.
    std::string saved;
  };
  struct TicketInfo {
    std::string text;
    Time until = kNever;
  };
  struct AdviceState {
    bool asking = false;
    Time asked_at = kNever;
    Time next_ask = kNever;
    std::map<BackendId, TicketInfo> good;
    std::set<BackendId> bad;
  };
  struct Step {
    std::vector<Task> tasks;
    uint32_t done = 0;
    uint32_t live = 0;
    bool ready = false;       ///< All steps before it are done; its time came.
    bool breaking = false;    ///< A gang that is being taken apart.
    Time room_kept = kNever;  ///< Last pass that kept room for it.
    Time looked_at = kNever;  ///< Last pass that looked for room for it.
    std::vector<uint64_t> failed_runs;  ///< Of a gang.
    Time started = kNever;
    Time waits_since = kNever;
    const char* why = "";      ///< What it waited for in the last pass.
    Time not_before = kNever;  ///< After an order that was not accepted.
    AdviceState advice;
  };
  struct Occurrence {
    std::vector<Step> steps;
    uint32_t steps_done = 0;
    uint64_t remaining_ms = 0;  ///< Longest chain of what is still to do.
  };
  struct Job {
    JobId id;
    TeamId team;
    QueueId queue;
    std::string body;
    BatchSpec spec;
    CellQueue policy;  ///< As last configured.
    uint64_t accepted_ms = 0;
    Time accepted = kNever;
    uint64_t arrival = 0;
    bool over_share = false;
    bool inherited = false;
    bool stored = false;
    uint64_t keep_number = 0;  ///< Of its acceptance, until stored.
    bool started = false;
    bool changed = false;  ///< Progress to be kept.
    JobState state = JobState::kActive;
    Objective objective;
    std::map<uint32_t, Occurrence> occurrences;
    uint32_t next_occurrence = 0;
    uint32_t first_occurrence = 0;
    std::vector<CellDone> waiting_accept;
    std::vector<CellDone> waiting_cancel;
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
  void StopAll(Job* job, Time now);
  void OnAccepted(const JobId& id);
  void OpenJob(Job* job, Time now);
  void RefuseUnstored(Time now);
  void ForgetRuns(const JobId& id);
  size_t CountOverShareWaiting() const;
  bool IsOverShare(const JobId& id, const TeamId& team, Time now);
  void OnEndStored(const JobId& id, const EndedJob& ended);
  CellOutcome Refuse(CellVerdict verdict, const char* reason) const;

  // cell_server.cc: backend servers and runs.
  uint32_t RackNumber(const std::string& rack);
  void ForgetIncarnation(Server* server, Time now);
  void KeepServer(Server* server);
  void DropServerIfIdle(const BackendId& id);
  void SendHold(Server* server, Time now);
  void SendStop(Server* server, const RunRef& run, LiveRun* live, Time now);
  void TakeEnds(Server* server, const BackendReport& report, Time now);
  void TakeRunning(Server* server,
                   const BackendReport& report,
                   Time sent,
                   Time now);
  void Adopt(Server* server, const ListedRun& row, Time now);
  void NoteIdle(Server* server, const ListedRun& row, LiveRun* live, Time now);
  const StepSpec* SpecOfTimedRun(const RunRef& run, const LiveRun& live) const;
  void EraseRun(Server* server, const RunRef& run);
  void OnEnd(Server* server, const ListedEnd& end, Time now);
  void OnGone(Server* server, const RunRef& run, const char* why, Time now);
  void TaskDone(Job* job, const TaskRef& task, Time now);
  void TaskFailed(Server* server, Job* job, const RunRef& run, Time now);
  void TaskWaits(Job* job,
                 const TaskRef& task,
                 const std::string& saved,
                 Time now);
  void Unhide(const BackendId& id, Time now);
  void ForgetHidden(const Job& job, const TaskRef& ref, Task* task);
  void BreakPartialGang(Job* job, const StepRef& ref, Time now);
  void BreakGang(Job* job, const TaskRef& member, Time now);
  void Avoid(Server* server, Time now);
  void Strike(Server* server, Time now);
  bool LeasesLapsed(const Server& server, Time now) const;
  uint64_t ClockOf(const Server& server, Time now) const;
  void CheckServer(Server* server, Time now);
  void Evacuate(Server* server, Time now);

  // cell_place.cc: placing.
  struct Pass;
  struct ServiceRoom;
  struct RankedStep {
    WaitingStep rank;
    const StepRef* ref = nullptr;  ///< In `ready_`.
    Time looked_at = kNever;
  };
  void Place(Time now);
  std::span<const RankedStep> PlaceInOrder(Pass* pass,
                                           std::span<const RankedStep> order,
                                           uint32_t most);
  WaitingStep Describe(const Job& job,
                       const StepRef& ref,
                       const Step& step,
                       Time now) const;
  void OpenPass(Pass* pass);
  static std::vector<uint32_t> WaitingTasks(const Step& step, uint32_t* hidden);
  bool PlaceStep(Pass* pass, const StepRef& ref, bool urgent);
  uint32_t StartFitting(Pass* pass,
                        Job* job,
                        const StepRef& ref,
                        Step* step,
                        const std::vector<uint32_t>& waiting,
                        const StepNeed& need);
  void PrepareRoom(Pass* pass,
                   Job* job,
                   const StepRef& ref,
                   Step* step,
                   const StepNeed& need,
                   bool urgent);
  void AskForAdvice(Pass* pass,
                    Job* job,
                    const StepRef& ref,
                    Step* step,
                    const StepNeed& need,
                    bool urgent);
  void AskAhead(Time now);
  void LogLongWaits(Time now) const;
  void StartTask(Pass* pass,
                 Job* job,
                 const TaskRef& ref,
                 Step* step,
                 Server* server,
                 uint64_t run);
  void SendStart(const UnsentStart& start, Time now);
  uint64_t NextRun(const Job& job, const Task& task) const;

  // cell_room.cc: room on the servers.
  Resources RoomOf(const StepSpec& spec) const;
  StepNeed NeedOf(const StepSpec& spec,
                  const Step& step,
                  uint32_t count,
                  Time now) const;
  uint32_t QuotaSlots(const Job& job, const Resources& need) const;
  bool IsPossible(const Job& job, const StepSpec& spec) const;
  void FillRooms(Pass* pass,
                 const Job& job,
                 const StepRef& ref,
                 const Step& step);
  static int64_t BackfillMs(const Pass& pass,
                            const Job& job,
                            const StepSpec& spec,
                            const Step& step);
  static Resources FreeFor(const Pass& pass, size_t n, int64_t task_ms);
  void LimitToTickets(Pass* pass, const Step& step, Time valid_at);
  bool Reserve(Pass* pass, const StepNeed& need);
  static std::vector<Release> ReleasesOf(const Server& server, Time now);

  // cell_record.cc: what is kept.
  void KeepChanges();
  std::string ProgressOf(const Job& job) const;
  void LoadJob(const JobId& id, const std::string& value, Time now);
  void LoadProgress(const JobId& id, const std::string& value);
  void LoadBackend(const BackendId& id, const std::string& value, Time now);
  void ApplyProgress(Job* job, const std::string& value, Time now);
  void DropOldJobs(uint64_t wall_ms);
  void EndDecidedJobs(Time now);

  const CellOptions options_;
  CellPort* const port_;
  std::shared_ptr<const CellConfig> config_;
  std::map<JobId, Job> jobs_;
  std::map<JobId, EndedJob> ended_;
  std::map<JobId, std::string> loaded_progress_;
  std::map<BackendId, Server> servers_;
  std::set<StepRef> ready_;  ///< Steps with tasks that wait.
  std::set<JobId> changed_;
  std::vector<UnsentStart> unsent_;  ///< Starts that wait for their record.
  uint64_t serials_ = 0;
  std::set<JobId> timed_;  ///< Jobs with occurrences still to come.
  std::map<BackendId, uint64_t> to_acknowledge_;
  std::map<TeamId, Resources> usage_;
  std::map<QueueId, double> good_share_;  ///< Of servers named to the advice.
  ShareMeter shares_;
  SpeedMeter speeds_;
  std::map<JobId, Time> over_share_;  ///< Jobs found beyond the rate lately.
  std::map<std::string, uint32_t> racks_;
  Time now_ = kNever;  ///< Of the last tick or run.
  uint64_t wall_ms_ = 0;
  Time loaded_at_ = kNever;
  bool settled_ = false;  ///< No former owner's run can be hidden any more.
  uint32_t hidden_ = 0;   ///< Tasks that may be running unseen.
  std::map<TeamId, Resources> hidden_usage_;  ///< What those take.
  Time next_ahead_ = kNever;
  Time next_pass_ = kNever;
  Counts work_;  ///< Only what is counted as it happens.
  uint64_t arrivals_ = 0;
  Time next_sweep_ = kNever;
  Time next_wait_log_ = kNever;
};

/// @return The name of a state as callers know it.
const char* StateName(JobState state);

}  // namespace bw
