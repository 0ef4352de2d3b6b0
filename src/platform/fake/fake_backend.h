// A simulated backend server of the stand-in for the users' platform.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../../fake/timer_thread.h"
#include "../../net/http_server.h"

namespace bw::fake {

using Json = nlohmann::json;

net::HttpResponse JsonResponse(int status, const Json& body);

/// How the tasks of a step behave. The spec of a job has one comma-separated
/// list of directives for each of its steps, separated by semicolons; further
/// steps are as the last one.
struct TaskScript {
  uint64_t duration_ms = 0;  ///< "ms=": 0: runs until stopped.
  uint64_t dies_ms = 0;      ///< "dies=": each run fails after this time.
  uint32_t failures = 0;     ///< "fail=": so many runs of a task fail first.
  uint32_t gang = 0;         ///< "gang=": number of members.
  bool saves = false;        ///< "save=1": has checkpoints.
  uint64_t cpu = 0;          ///< "cpu=": millicores, to check the capacity.
};
TaskScript ScriptOf(const std::string& spec, uint32_t step);

/// Ground truth about a run, for the tests' consistency checks.
struct RunRecord {
  std::string task;
  uint64_t run = 0;
  std::string spec;
  uint64_t cpu = 0;
  uint64_t began_ms = 0;
  uint64_t ended_ms = 0;  ///< 0: still running.
  std::string how;        ///< Why it ended.
  /// A crash lost its end before it was acknowledged.
  bool forgotten = false;
  /// The lease lapsed between its end and the end's acknowledgement.
  bool lapsed_unread = false;
  bool late = false;       ///< The start was carried out late.
  bool over = false;       ///< Brought the server over its capacity.
  bool bad_saved = false;  ///< Its checkpoint was not one of its step.
};

/// What the backend servers of a process share. The mutex guards it and them.
struct SharedState {
  struct Gang {
    std::set<std::string> present;
    uint64_t complete_ms = 0;
    std::string ended;  ///< How the first of its members ended.
  };
  std::mutex mutex;
  std::map<std::string, uint32_t> failures;  ///< By task, or step of a gang.
  std::map<std::pair<std::string, uint64_t>, Gang> gangs;  ///< By step, run.
  bool tickets_required = false;
  uint64_t advice_share = 100;  ///< Percent of servers that may run a step.
};

/// Thread-safe.
class FakeBackend {
 public:
  /// Writes the server's entry; an empty text removes it.
  using Announcer =
      std::function<void(const std::string& id, const std::string& entry)>;

  FakeBackend(std::string id,
              std::string address,
              std::string zone,
              std::string rack,
              SharedState* shared,
              Announcer announce)
      : id_(std::move(id)),
        address_(std::move(address)),
        zone_(std::move(zone)),
        rack_(std::move(rack)),
        shared_(shared),
        announce_(std::move(announce)) {}

  void Serve(const net::HttpRequest& request, const net::Responder& respond);
  /// Simulates a crash and restart: ends all runs and resets the lists, the
  /// fencing token and the lease.
  void Crash();
  /// Reports that it drains, and leaves after `ms` until the next crash.
  void Drain(uint64_t ms);
  /// A silent server does not respond to any call.
  void SetSilent(bool on);
  /// A late server carries orders out kLateMs later and does not respond.
  void SetLate(bool on);
  void Tick();
  /// Writes the server's entry to the store.
  void Announce();
  /// Appends all runs to `out`.
  void AppendRunRecords(Json* out);
  /// @return The ticket for a step; empty if the server may not run it.
  std::string TicketFor(const std::string& step);

 private:
  struct ActiveRun {
    TaskScript script;
    std::string step;
    uint32_t index = 0;
    uint64_t began_ms = 0;
    uint64_t progress_ms = 0;  ///< Of the checkpoint it resumed from.
    size_t record = 0;         ///< Index in run_records_.
  };
  using RunKey = std::pair<std::string, uint64_t>;
  struct PendingPoll {
    uint64_t until_ms = 0;
    net::Responder respond;
  };
  struct LateOrder {
    uint64_t due_ms = 0;
    std::string name;
    Json body;
  };

  void Execute(const std::string& name,
               const Json& body,
               bool late,
               const net::Responder& respond);
  void Start(const Json& body, bool late, const net::Responder& respond);
  void Stop(const Json& body, const net::Responder& respond);
  void Poll(const Json& body, const net::Responder& respond);
  void TryFinishPoll(PendingPoll poll, uint64_t now);
  void ExtendLease(const Json& body);
  bool IsTicketGood(const std::string& ticket, const std::string& step) const;
  /// @return How a run ends now; null if it does not.
  const char* EndOf(const RunKey& key, const ActiveRun& run, uint64_t now);
  static uint64_t ProgressOf(const ActiveRun& run,
                             const SharedState::Gang* gang,
                             uint64_t now);
  SharedState::Gang* GangOf(const RunKey& key, const ActiveRun& run);
  /// @param key Not a reference, as it may be the key that is erased.
  void End(RunKey key, const char* how);
  void Reset();

  const std::string id_;
  const std::string address_;
  const std::string zone_;
  const std::string rack_;
  SharedState* const shared_;
  const Announcer announce_;
  bool silent_ = false;
  bool late_ = false;
  bool gone_ = false;
  uint64_t leaves_ms_ = 0;  ///< 0: is not draining.
  uint64_t incarnation_ = NowMs();
  uint64_t announcements_ = 0;
  uint64_t fencing_token_ = 0;
  uint64_t lease_end_ms_ = 0;
  uint64_t last_end_number_ = 0;
  std::map<RunKey, ActiveRun> running_;
  /// By task: highest number of a run that was ended or stopped.
  std::map<std::string, uint64_t> highest_ended_run_;
  struct EndRow {
    Json row;
    size_t record = 0;  ///< Index in run_records_.
  };
  std::vector<EndRow> ended_;
  std::vector<PendingPoll> pending_polls_;
  std::vector<LateOrder> late_orders_;
  std::vector<RunRecord> run_records_;
};

}  // namespace bw::fake
