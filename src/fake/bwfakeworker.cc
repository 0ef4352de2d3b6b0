// bwfakeworker: stand-in for the platform's workers. Tasks run under leases.
//
//   POST /tasks       start; see platform/worker_type.h
//   GET  /tasks       list
//   POST /renew       renews leases, stops and acknowledges tasks -> list
//   POST /checkpoint  {"id":..}   POST /throttle {"id":..,"percent":n}
//   POST /control     {"fail_all":b,"stuck":b,"use_percent":n}
//   GET  /truth       every task so far with its start, end and way of ending

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "fake_settings.h"
#include "fleet.h"
#include "timer_thread.h"

namespace bw::fake {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kSweepInterval{20};

struct Capacity {
  uint64_t millicores = 0;
  uint64_t memory_mb = 0;
  uint64_t accelerators = 0;
};

struct Task {
  std::string id;
  std::string team;
  Capacity need;
  uint64_t begin_ms = 0;
  uint64_t run_until_ms = 0;  ///< 0: runs until stopped.
  uint64_t lease_until_ms = 0;
  uint64_t checkpoints = 0;
  uint64_t percent = 100;  ///< Limit on processor use after throttling.
  bool ended = false;      ///< Listed until the end is acknowledged.
  bool ok = false;
};

class FakeWorker {
 public:
  FakeWorker(Capacity total, uint64_t report_lag_ms, TimerThread* timer_thread)
      : total_(total),
        report_lag_ms_(report_lag_ms),
        timer_thread_(timer_thread) {
    Sweep();
  }

  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    const Json in = request.method == "POST"
                        ? Json::parse(request.body, nullptr, false)
                        : Json::object();
    if (!in.is_object()) {
      return respond({400, "application/json", "{}", {}});
    }
    if (request.path == "/control") {
      fail_all_ = in.value("fail_all", fail_all_);
      stuck_ = in.value("stuck", stuck_);
      use_percent_ = in.value("use_percent", use_percent_);
      return respond({200, "application/json", "{}", {}});
    }
    if (request.path == "/truth") {
      return RespondWithHistory(respond);
    }
    if (stuck_) {
      return;
    }
    if (request.path == "/tasks" && request.method == "POST") {
      Start(in, respond);
    } else if (request.path == "/renew") {
      Renew(in, respond);
    } else if (request.path == "/tasks") {
      respond({200, "application/json", List(), {}});
    } else {
      Adjust(request.path, in, respond);
    }
  }

 private:
  void Start(const Json& in, const net::Responder& respond) {
    const std::string id = in.value("id", "");
    if (NowMs() > in.value("not_after_ms", uint64_t{0})) {
      return respond({412, "application/json", "{}", {}});
    }
    if (tasks_.contains(id)) {
      const int status = tasks_[id].ended ? 409 : 200;
      return respond({status, "application/json", "{}", {}});
    }
    Task task;
    task.id = id;
    task.team = in.value("team", "");
    task.need = {in.value("millicores", uint64_t{0}),
                 in.value("memory_mb", uint64_t{0}),
                 in.value("accelerators", uint64_t{0})};
    const Capacity used = Used();
    if (used.millicores + task.need.millicores > total_.millicores ||
        used.memory_mb + task.need.memory_mb > total_.memory_mb ||
        used.accelerators + task.need.accelerators > total_.accelerators) {
      ++rejected_full_;
      return respond({409, "application/json", "{}", {}});
    }
    const uint64_t run_ms = in.value("run_ms", uint64_t{0});
    task.begin_ms = NowMs();
    task.run_until_ms = run_ms == 0 ? 0 : NowMs() + run_ms;
    task.lease_until_ms = NowMs() + in.value("lease_ms", uint64_t{0});
    if (fail_all_) {
      task.run_until_ms = NowMs();
    }
    history_.push_back(
        {id, task.team, task.need.millicores, task.begin_ms, 0, ""});
    record_index_[id] = history_.size() - 1;
    tasks_[id] = task;
    respond({200, "application/json", "{}", {}});
  }

  void Renew(const Json& in, const net::Responder& respond) {
    if (NowMs() > in.value("not_after_ms", uint64_t{0})) {
      return respond({412, "application/json", "{}", {}});
    }
    const uint64_t lease_ms = in.value("lease_ms", uint64_t{0});
    for (const auto& it : in.value("renew", Json::array())) {
      auto task = tasks_.find(it.get<std::string>());
      if (task != tasks_.end()) {
        task->second.lease_until_ms = NowMs() + lease_ms;
      }
    }
    for (const auto& it : in.value("stop", Json::array())) {
      End(it.get<std::string>(), false, "stopped");
    }
    for (const auto& it : in.value("acknowledge", Json::array())) {
      auto task = tasks_.find(it.get<std::string>());
      if (task != tasks_.end() && task->second.ended) {
        tasks_.erase(task);
      }
    }
    respond({200, "application/json", List(), {}});
  }

  /// Handles /checkpoint and /throttle.
  void Adjust(const std::string& path,
              const Json& in,
              const net::Responder& respond) {
    auto task = tasks_.find(in.value("id", ""));
    if (task == tasks_.end()) {
      return respond({404, "application/json", "{}", {}});
    }
    if (path == "/checkpoint") {
      ++task->second.checkpoints;
    } else if (path == "/throttle") {
      task->second.percent = in.value("percent", uint64_t{100});
    }
    respond({200, "application/json", "{}", {}});
  }

  /// @param how Way of ending in the event record.
  void End(const std::string& id, bool ok, const char* how) {
    auto it = tasks_.find(id);
    if (it == tasks_.end() || it->second.ended) {
      return;
    }
    it->second.ended = true;
    it->second.ok = ok;
    TaskRecord& entry = history_[record_index_[id]];
    entry.end_ms = NowMs();
    entry.how = how;
  }

  /// Ends tasks whose run time is over or whose lease has expired.
  void Sweep() {
    {
      std::lock_guard lock(mutex_);
      const uint64_t now = NowMs();
      for (auto& [id, task] : tasks_) {
        if (task.ended) {
          continue;
        }
        if (task.run_until_ms != 0 && now >= task.run_until_ms) {
          End(id, !fail_all_, fail_all_ ? "failed" : "done");
        } else if (now >= task.lease_until_ms) {
          End(id, false, "lapsed");
        }
      }
    }
    timer_thread_->At(BootClock::now() + kSweepInterval, [this] { Sweep(); });
  }

  Capacity Used() const {
    Capacity out;
    for (const auto& it : tasks_) {
      if (!it.second.ended) {
        out.millicores += it.second.need.millicores;
        out.memory_mb += it.second.need.memory_mb;
        out.accelerators += it.second.need.accelerators;
      }
    }
    return out;
  }

  std::string List() const {
    Json out = {{"now_ms", NowMs()}, {"tasks", Json::array()}};
    for (const auto& it : tasks_) {
      const Task& task = it.second;
      const bool reported = NowMs() >= task.begin_ms + report_lag_ms_;
      out["tasks"].push_back(
          {{"id", task.id},
           {"ended", task.ended},
           {"ok", task.ok},
           {"used_millicores",
            reported ? task.need.millicores * use_percent_ / 100 : 0},
           {"used_memory_mb",
            reported ? task.need.memory_mb * use_percent_ / 100 : 0}});
    }
    return out.dump();
  }

  void RespondWithHistory(const net::Responder& respond) const {
    Json out = {{"overfull", rejected_full_}, {"tasks", Json::array()}};
    for (const auto& it : history_) {
      out["tasks"].push_back({{"id", it.id},
                              {"team", it.team},
                              {"millicores", it.millicores},
                              {"begin_ms", it.begin_ms},
                              {"end_ms", it.end_ms},
                              {"how", it.how}});
    }
    respond({200, "application/json", out.dump(), {}});
  }

  /// Event record of one task.
  struct TaskRecord {
    std::string id;
    std::string team;
    uint64_t millicores = 0;
    uint64_t begin_ms = 0;
    uint64_t end_ms = 0;  ///< 0: still running.
    std::string how;      ///< "done", "failed", "stopped" or "lapsed".
  };

  const Capacity total_;
  const uint64_t report_lag_ms_;
  TimerThread* const timer_thread_;
  std::mutex mutex_;
  std::map<std::string, Task> tasks_;
  std::vector<TaskRecord> history_;
  std::map<std::string, size_t>
      record_index_;            ///< Newest index in history_ by id.
  uint64_t rejected_full_ = 0;  ///< Starts rejected for lack of capacity.
  bool fail_all_ = false;       ///< Tasks fail as soon as they start.
  bool stuck_ = false;          ///< Calls get no response.
  uint64_t use_percent_ = 100;  ///< Reported usage, of what a task requested.
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]", kWorkerSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  BlockSignals();
  TimerThread timer_thread;
  const Settings& settings = line->settings;
  const auto number = [&](const char* name) {
    return static_cast<uint64_t>(settings.Int(name));
  };
  constexpr uint64_t kMillicoresPerCore = 1000;
  const Capacity total{number("fake.cores") * kMillicoresPerCore,
                       number("fake.memory_mb"), number("fake.accelerators")};
  ServeFleet<FakeWorker>(
      settings.Text("fake.listen"), settings.Int("fake.count"), [&] {
        return std::make_unique<FakeWorker>(total, number("fake.report_lag_ms"),
                                            &timer_thread);
      });
  return 0;
}

}  // namespace
}  // namespace bw::fake

int main(int argc, const char** argv) {
  bw::RunMain(bw::fake::Main, argc, argv);
}
