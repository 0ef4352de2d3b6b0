// bwfakerunner: stand-in for runners. A request runs for the N milliseconds
// that its body states as "ms=N"; the response is "done " and the body.
//
//   POST /run      headers Bw-Request, Bw-Not-After (this server's clock, ms)
//   GET  /load     {"now_ms": n, "running": [ids]}
//   POST /control  {"broken":b,"drop_answers":n}
//   GET  /truth    every run so far, and the most that ran at once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "fake_settings.h"
#include "fleet.h"
#include "timer_thread.h"

namespace bw::fake {
namespace {

using Json = nlohmann::json;

struct Run {
  std::string id;
  std::string body;
  uint64_t begin_ms = 0;
  uint64_t end_ms = 0;  ///< 0: still running.
};

class FakeRunner {
 public:
  FakeRunner(uint64_t slots, TimerThread* timer_thread)
      : slots_(slots), timer_thread_(timer_thread) {}

  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    if (request.path == "/run") {
      Begin(request, respond);
    } else if (request.path == "/load") {
      respond({200,
               "application/json",
               Json{{"now_ms", NowMs()}, {"running", running_}}.dump(),
               {}});
    } else if (request.path == "/control") {
      const Json in = Json::parse(request.body, nullptr, false);
      fails_runs_ = in.value("broken", fails_runs_);
      responses_to_drop_ = in.value("drop_answers", responses_to_drop_);
      respond({200, "application/json", "{}", {}});
    } else {
      RespondWithRuns(respond);
    }
  }

 private:
  void Begin(const net::HttpRequest& request, const net::Responder& respond) {
    const uint64_t not_after =
        std::strtoull(request.Header("bw-not-after").c_str(), nullptr, 10);
    if (not_after != 0 && NowMs() > not_after) {
      return respond({412, "application/json", R"({"bw-not-run":1})", {}});
    }
    if (running_.size() >= slots_) {
      ++rejected_full_;
      return respond({429, "application/json", R"({"bw-not-run":1})", {}});
    }
    const size_t index = runs_.size();
    const std::string id = request.Header("bw-request");
    runs_.push_back({id, request.body, NowMs(), 0});
    running_.insert(id);
    most_running_ = std::max(most_running_, running_.size());
    const size_t at = request.body.find("ms=");
    const uint64_t ms =
        at == std::string::npos
            ? 0
            : std::strtoull(request.body.c_str() + at + 3, nullptr, 10);
    timer_thread_->At(BootClock::now() + milliseconds(ms),
                      [this, index, id, respond] { End(index, id, respond); });
  }

  void End(size_t index, const std::string& id, const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    runs_[index].end_ms = NowMs();
    running_.erase(id);
    if (responses_to_drop_ > 0) {
      --responses_to_drop_;
      return;
    }
    respond({fails_runs_ ? 500 : 200,
             "text/plain",
             "done " + runs_[index].body,
             {}});
  }

  void RespondWithRuns(const net::Responder& respond) {
    Json out = {{"overfull", rejected_full_},
                {"most", most_running_},
                {"runs", Json::array()}};
    for (const auto& it : runs_) {
      out["runs"].push_back({{"id", it.id},
                             {"body", it.body},
                             {"begin_ms", it.begin_ms},
                             {"end_ms", it.end_ms}});
    }
    respond({200, "application/json", out.dump(), {}});
  }

  const uint64_t slots_;
  TimerThread* const timer_thread_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::set<std::string> running_;  ///< Request ids.
  size_t most_running_ = 0;
  /// Requests rejected because all slots were in use.
  uint64_t rejected_full_ = 0;
  bool fails_runs_ = false;         ///< Runs end with status 500.
  uint64_t responses_to_drop_ = 0;  ///< Next runs that get no response.
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]", kRunnerSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  BlockSignals();
  TimerThread timer_thread;
  const auto slots = static_cast<uint64_t>(line->settings.Int("fake.slots"));
  ServeFleet<FakeRunner>(
      line->settings.Text("fake.listen"), line->settings.Int("fake.count"),
      [&] { return std::make_unique<FakeRunner>(slots, &timer_thread); });
  return 0;
}

}  // namespace
}  // namespace bw::fake

int main(int argc, const char** argv) {
  bw::RunMain(bw::fake::Main, argc, argv);
}
