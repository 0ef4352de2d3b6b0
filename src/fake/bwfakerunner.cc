// bwfakerunner: stand-in for runners. A request runs for the number of ms that
// its body names in "ms=N", and is answered with "done " and its body.
//
//   POST /run      headers Bw-Request, Bw-Not-After (this server's clock, ms)
//   GET  /load     {"now_ms": n, "running": [ids]}
//   POST /control  {"stuck":b,"broken":b,"drop_answers":n}
//   GET  /truth    every run that ever began, and the most at once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "alarm.h"
#include "fake_settings.h"
#include "fleet.h"

namespace bw::fake {
namespace {

using Json = nlohmann::json;

struct Run {
  std::string id;
  std::string body;
  uint64_t begin_ms = 0;
  uint64_t end_ms = 0;  ///< 0 while it runs.
};

class FakeRunner {
 public:
  FakeRunner(uint64_t slots, Alarm* alarm) : slots_(slots), alarm_(alarm) {}

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
      broken_ = in.value("broken", broken_);
      drop_answers_ = in.value("drop_answers", drop_answers_);
      respond({200, "application/json", "{}", {}});
    } else {
      Truth(respond);
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
      ++overfull_;
      return respond({429, "application/json", R"({"bw-not-run":1})", {}});
    }
    const size_t index = runs_.size();
    const std::string id = request.Header("bw-request");
    runs_.push_back({id, request.body, NowMs(), 0});
    running_.insert(id);
    most_ = std::max(most_, running_.size());
    const size_t at = request.body.find("ms=");
    const uint64_t ms =
        at == std::string::npos
            ? 0
            : std::strtoull(request.body.c_str() + at + 3, nullptr, 10);
    alarm_->At(BootClock::now() + milliseconds(ms),
               [this, index, id, respond] { End(index, id, respond); });
  }

  void End(size_t index, const std::string& id, const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    runs_[index].end_ms = NowMs();
    running_.erase(id);
    if (drop_answers_ > 0) {
      --drop_answers_;
      return;
    }
    respond(
        {broken_ ? 500 : 200, "text/plain", "done " + runs_[index].body, {}});
  }

  void Truth(const net::Responder& respond) {
    Json out = {
        {"overfull", overfull_}, {"most", most_}, {"runs", Json::array()}};
    for (const auto& it : runs_) {
      out["runs"].push_back({{"id", it.id},
                             {"body", it.body},
                             {"begin_ms", it.begin_ms},
                             {"end_ms", it.end_ms}});
    }
    respond({200, "application/json", out.dump(), {}});
  }

  const uint64_t slots_;
  Alarm* const alarm_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::set<std::string> running_;
  size_t most_ = 0;
  uint64_t overfull_ = 0;
  bool broken_ = false;
  uint64_t drop_answers_ = 0;
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ReadCommandLine(argc, argv, "[OPTION...]", kRunnerSettings, {},
                              &exit_code);
  if (!line) {
    return exit_code;
  }
  BlockSignals();
  Alarm alarm;
  const auto slots = static_cast<uint64_t>(line->settings.Int("fake.slots"));
  ServeFleet<FakeRunner>(
      line->settings.Text("fake.listen"), line->settings.Int("fake.count"),
      [&] { return std::make_unique<FakeRunner>(slots, &alarm); });
  return 0;
}

}  // namespace
}  // namespace bw::fake

int main(int argc, const char** argv) {
  bw::RunMain(bw::fake::Main, argc, argv);
}
