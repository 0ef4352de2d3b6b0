// bwload: open-loop load generator with seeded, reproducible arrivals.
//
// Waiting time counts from the planned time of an arrival, not from the time it
// was sent, so that delays of the tool or of a gate are part of the result.

#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "../load_func.h"
#include "../net/http_client.h"
#include "../process_func.h"
#include "../table/load_settings.h"

namespace bw {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kUsage =
    "[OPTION...] run | compare A.json B.json\n\n"
    "run: generates the load that the settings describe and reports waiting\n"
    "time, packing, deviation from the shares and control cost.\n"
    "compare: prints two reports side by side.\n";
constexpr milliseconds kCallTimeout{60'000};
constexpr uint64_t kMicrosPerMs = 1000;
constexpr uint64_t kSlotsPerRunner = 8;
/// Fraction of the capacity in use from which on the share error is measured.
constexpr double kFullFraction = 0.9;

uint64_t NowMs() {
  return ToMicros(BootClock::now()) / kMicrosPerMs;
}

/// Submits the arrivals at their planned times and collects the results.
class LoadGenerator {
 public:
  LoadGenerator(const Settings& settings, std::vector<LoadTeam> teams)
      : settings_(settings),
        teams_(std::move(teams)),
        gates_(settings.List("load.gates")),
        http_(net::MakeHttpClient(2000)) {}

  /// Blocks until every arrival has a result.
  std::vector<LoadResult> Run(const std::vector<Arrival>& arrivals) {
    results_.resize(arrivals.size());
    const Time start = BootClock::now();
    for (size_t n = 0; n < arrivals.size(); ++n) {
      const Time at =
          start + Duration(static_cast<int64_t>(arrivals[n].at_s * 1e6));
      std::this_thread::sleep_for(at - BootClock::now());
      Send(n, arrivals[n], at);
    }
    std::unique_lock lock(mutex_);
    all_done_.wait(lock, [&] { return ended_ == results_.size(); });
    return results_;
  }

 private:
  void Send(size_t n, const Arrival& arrival, Time intended) {
    net::HttpCall call;
    call.method = "POST";
    call.timeout = kCallTimeout;
    call.headers = {{"Bw-Key", teams_[arrival.team].key}};
    const std::string& gate = gates_[n % gates_.size()];
    if (arrival.is_job) {
      call.url = gate + "/v1/jobs?queue=" + settings_.Text("load.job_queue");
      call.body = Json{{"kind", arrival.is_gang ? "gang" : "batch"},
                       {"tasks", arrival.tasks},
                       {"millicores", arrival.millicores},
                       {"run_ms", arrival.run_ms}}
                      .dump();
    } else {
      call.url =
          gate + "/v1/requests?queue=" + settings_.Text("load.request_queue");
      call.body = arrival.name + " ms=" + std::to_string(arrival.run_ms);
    }
    http_->Send(std::move(call), nullptr,
                [this, n, &arrival, intended](const net::HttpResult& result) {
                  OnResponse(n, arrival, intended, result);
                });
  }

  void OnResponse(size_t n,
                  const Arrival& arrival,
                  Time intended,
                  const net::HttpResult& result) {
    LoadResult& out = results_[n];
    out.arrival = &arrival;
    out.intended_ms = ToMicros(intended) / kMicrosPerMs;
    out.latency_ms =
        static_cast<double>((BootClock::now() - intended).count()) /
        static_cast<double>(kMicrosPerMs);
    out.status = result.status;
    const Json in = Json::parse(result.body, nullptr, false);
    if (result.delivery != net::DeliveryStatus::kResponded) {
      out.code = "lost";
    } else if (in.is_object()) {
      out.code = in.value("code", "");
      out.job = in.value("job", "");
    }
    std::lock_guard lock(mutex_);
    ++ended_;
    all_done_.notify_one();
  }

  const Settings& settings_;
  const std::vector<LoadTeam> teams_;
  const std::vector<std::string> gates_;
  std::vector<LoadResult> results_;
  std::mutex mutex_;
  std::condition_variable all_done_;
  size_t ended_ = 0;
  std::unique_ptr<net::HttpClient> http_;
};

Json Fetch(const std::string& url) {
  net::HttpCall call;
  call.url = url;
  return Json::parse(net::CallAndWait(call).body, nullptr, false);
}

/// The stand-ins' event records: which work ran when, and where.
struct EventRecords {
  std::vector<UnitSpan> requests;
  std::vector<UnitSpan> tasks;
  /// First start in ms, by request body or task id.
  std::map<std::string, uint64_t> begins;

  void Read(const Settings& settings) {
    size_t backend = 0;
    for (const auto& it : settings.List("load.runners")) {
      const Json in = Fetch(it + "/truth");
      for (const auto& run : in["runs"]) {
        const std::string id = run["id"];
        requests.push_back({id.substr(0, id.find(':')), run["begin_ms"],
                            run["end_ms"], 1, backend});
        begins[run["body"]] = run["begin_ms"];
      }
      ++backend;
    }
    for (const auto& it : settings.List("load.workers")) {
      const Json in = Fetch(it + "/truth");
      for (const auto& task : in["tasks"]) {
        tasks.push_back({task["team"], task["begin_ms"], task["end_ms"],
                         task["millicores"], backend});
        begins.try_emplace(task["id"], task["begin_ms"]);
      }
      ++backend;
    }
  }
};

Json Quantiles(const std::vector<double>& samples) {
  return {{"n", samples.size()},
          {"p50_ms", Quantile(samples, 0.5)},
          {"p90_ms", Quantile(samples, 0.9)},
          {"p99_ms", Quantile(samples, 0.99)},
          {"max_ms", Quantile(samples, 1.0)}};
}

/// Waiting times by kind of work and by team, and the number of each outcome.
Json WaitingReport(const std::vector<LoadResult>& results,
                   const std::vector<LoadTeam>& teams,
                   const EventRecords& records) {
  std::map<std::string, std::vector<double>> waits;
  std::map<std::string, uint64_t> codes;
  for (const auto& it : results) {
    const Arrival& arrival = *it.arrival;
    ++codes[it.code.empty() ? "ok" : it.code];
    const std::string& team = teams[arrival.team].name;
    const auto add_wait = [&](const std::string& name, const char* kind) {
      auto begin = records.begins.find(name);
      if (begin != records.begins.end()) {
        const double wait = static_cast<double>(begin->second) -
                            static_cast<double>(it.intended_ms);
        waits[kind].push_back(wait);
        waits[std::string(kind) + " " + team].push_back(wait);
      }
    };
    if (!arrival.is_job) {
      add_wait(arrival.name + " ms=" + std::to_string(arrival.run_ms),
               "request");
      continue;
    }
    for (uint32_t n = 0; !it.job.empty() && n < arrival.tasks; ++n) {
      add_wait(it.job + "/" + std::to_string(n),
               arrival.is_gang ? "gang" : "task");
    }
  }
  Json out;
  for (const auto& it : waits) {
    out["waiting"][it.first] = Quantiles(it.second);
  }
  out["outcomes"] = codes;
  return out;
}

/// Prints the report as a table.
void PrintSummary(const Json& report) {
  std::printf("%-20s %8s %9s %9s %9s %9s\n", "waiting time, ms", "n", "p50",
              "p90", "p99", "max");
  const Json waiting = report.value("waiting", Json::object());
  for (const auto& it : waiting.items()) {
    const Json& row = it.value();
    std::printf("%-20s %8llu %9.1f %9.1f %9.1f %9.1f\n", it.key().c_str(),
                row.value("n", 0ULL), row.value("p50_ms", 0.0),
                row.value("p90_ms", 0.0), row.value("p99_ms", 0.0),
                row.value("max_ms", 0.0));
  }
  const Json& control = report["control"];
  std::printf(
      "outcomes            %s\n"
      "goodput             %.0f requests/s\n"
      "packing             %.3f of the cores of workers in use\n"
      "share error         %.3f requests, %.3f tasks (-1: never at capacity)\n"
      "control             %.1f%% of a core per process, %.0f MB at most, "
      "%.1f appends/s\n",
      report["outcomes"].dump().c_str(), report.value("goodput_per_s", 0.0),
      report.value("packing", 0.0), report.value("share_error_requests", 0.0),
      report.value("share_error_tasks", 0.0),
      control.value("cpu_percent_mean", 0.0),
      control.value("memory_mb_most", 0.0),
      control.value("appends_per_s", 0.0));
}

/// @param page A page of metrics, preceded by a line break.
/// @return The value of a metric without labels; 0 if it is missing.
double ReadMetric(const std::string& page, const std::string& name) {
  const auto n = page.find("\n" + name + " ");
  return n == std::string::npos
             ? 0
             : std::strtod(page.c_str() + n + name.size() + 2, nullptr);
}

/// Resource usage of the system's own processes, from their metrics.
struct ControlCost {
  double cpu_s = 0;          ///< CPU time so far, all processes.
  double max_cpu_s = 0;      ///< Of the process that has used most.
  double max_memory_mb = 0;  ///< Of the largest process.
  double appends = 0;        ///< Appends to the log so far, all processes.

  static ControlCost Read(const std::vector<std::string>& pages) {
    constexpr double kBytesPerMb = 1e6;
    ControlCost out;
    for (const auto& it : pages) {
      net::HttpCall call;
      call.url = it + "/metrics";
      const std::string page = "\n" + net::CallAndWait(call).body;
      const double cpu = ReadMetric(page, "process_cpu_seconds_total");
      out.cpu_s += cpu;
      out.max_cpu_s = std::max(out.max_cpu_s, cpu);
      out.max_memory_mb = std::max(
          out.max_memory_mb,
          ReadMetric(page, "process_resident_memory_bytes") / kBytesPerMb);
      out.appends += ReadMetric(page, "bw_log_appends_total");
    }
    return out;
  }
};

int RunLoad(const Settings& settings) {
  const auto teams = ParseTeams(settings.List("load.teams"));
  if (teams.empty() || settings.List("load.gates").empty()) {
    std::fputs("load.teams and load.gates must be set; see --help-settings.\n",
               stderr);
    return ToInt(ExitCode::kUsage);
  }
  const auto arrivals = PlanArrivals(settings, teams);
  const auto pages = settings.List("load.pages");
  const ControlCost before = ControlCost::Read(pages);
  const uint64_t began = NowMs();
  LoadGenerator generator(settings, teams);
  const auto results = generator.Run(arrivals);
  const double took_s = static_cast<double>(NowMs() - began) / 1000;
  const ControlCost after = ControlCost::Read(pages);
  EventRecords records;
  records.Read(settings);
  Json out = {{"seed", settings.Int("load.seed")},
              {"arrivals", arrivals.size()},
              {"took_s", took_s}};
  out.update(WaitingReport(results, teams, records));
  std::vector<double> added_latencies;
  for (const auto& it : results) {
    if (!it.arrival->is_job && it.status == 200) {
      added_latencies.push_back(it.latency_ms -
                                static_cast<double>(it.arrival->run_ms));
    }
  }
  out["added_latency"] = Quantiles(added_latencies);
  out["goodput_per_s"] = static_cast<double>(added_latencies.size()) / took_s;
  constexpr uint64_t kMillicoresPerCore = 1000;
  const auto worker_millicores =
      static_cast<uint64_t>(settings.Int("load.worker_cores")) *
      kMillicoresPerCore;
  const auto full_units = [](size_t backends, uint64_t units_each) {
    return static_cast<uint64_t>(kFullFraction *
                                 static_cast<double>(backends * units_each));
  };
  out["packing"] = AveragePacking(records.tasks, worker_millicores);
  out["share_error_requests"] = ShareError(
      records.requests, teams,
      full_units(settings.List("load.runners").size(), kSlotsPerRunner));
  out["share_error_tasks"] = ShareError(
      records.tasks, teams,
      full_units(settings.List("load.workers").size(), worker_millicores));
  out["control"] = {
      {"processes", pages.size()},
      {"cpu_percent_mean", pages.empty()
                               ? 0
                               : 100 * (after.cpu_s - before.cpu_s) / took_s /
                                     static_cast<double>(pages.size())},
      {"memory_mb_most", after.max_memory_mb},
      {"appends_per_s", (after.appends - before.appends) / took_s}};
  if (settings.Text("load.format") == "json") {
    std::printf("%s\n", out.dump(2).c_str());
  } else {
    PrintSummary(out);
  }
  if (const auto& file = settings.Text("load.out"); !file.empty()) {
    std::ofstream(file) << out.dump(2) << '\n';
  }
  return 0;
}

/// Prints the fields of `a` next to those of `b`, one line for each.
void PrintComparison(const std::string& name, const Json& a, const Json& b) {
  if (a.is_object()) {
    for (const auto& it : a.items()) {
      PrintComparison(
          name + (name.empty() ? "" : ".") + it.key(), it.value(),
          b.is_object() && b.contains(it.key()) ? b[it.key()] : Json());
    }
    return;
  }
  std::printf("%-44s %16s %16s\n", name.c_str(), a.dump().c_str(),
              b.dump().c_str());
}

int Compare(const std::string& first, const std::string& second) {
  const Json a = Json::parse(std::ifstream(first), nullptr, false);
  const Json b = Json::parse(std::ifstream(second), nullptr, false);
  if (a.is_discarded() || b.is_discarded()) {
    std::fputs("A report file is missing or is not valid JSON.\n", stderr);
    return ToInt(ExitCode::kFailed);
  }
  PrintComparison("", a, b);
  return 0;
}

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, kUsage, table::kLoadSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  const auto& arguments = line->arguments;
  if (arguments.size() == 1 && arguments[0] == "run") {
    return RunLoad(line->settings);
  }
  if (arguments.size() == 3 && arguments[0] == "compare") {
    return Compare(arguments[1], arguments[2]);
  }
  std::fputs("Unknown command; see --help.\n", stderr);
  return ToInt(ExitCode::kUsage);
}

}  // namespace
}  // namespace bw

int main(int argc, const char** argv) {
  bw::RunMain(bw::Main, argc, argv);
}
