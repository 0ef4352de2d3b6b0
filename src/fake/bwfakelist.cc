// bwfakelist: stand-in for the platform's instance list, which lags behind.
//
//   GET  /instances?zone=Z    the list as of `lag_ms` ago; all zones without Z
//   POST /control             {"instances":[...],"lag_ms":n,"down":b}
//   GET  /truth               every list set so far, with its time

#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "../net/http_server.h"
#include "../process_func.h"
#include "fake_settings.h"
#include "timer_thread.h"

namespace bw::fake {
namespace {

using Json = nlohmann::json;

class FakeList {
 public:
  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    if (request.path == "/control") {
      const Json in = Json::parse(request.body, nullptr, false);
      if (in.is_object()) {
        lag_ms_ = in.value("lag_ms", lag_ms_);
        down_ = in.value("down", down_);
        if (in.contains("instances")) {
          history_.push_back({NowMs(), in["instances"]});
        }
      }
      return respond({200, "application/json", "{}", {}});
    }
    if (request.path == "/truth") {
      Json out = Json::array();
      for (const auto& it : history_) {
        out.push_back({{"set_ms", it.set_ms}, {"instances", it.instances}});
      }
      return respond({200, "application/json", out.dump(), {}});
    }
    if (down_) {
      return respond({503, "application/json", "{}", {}});
    }
    respond({200, "application/json", VisibleList(request.Query("zone")), {}});
  }

 private:
  struct Version {
    uint64_t set_ms = 0;
    Json instances;
  };

  /// @return The list as JSON. The first one is visible at once, later ones
  /// after the lag.
  std::string VisibleList(const std::string& zone) const {
    Json out = Json::array();
    const Version* current = history_.empty() ? nullptr : &history_.front();
    for (const auto& it : history_) {
      if (it.set_ms + lag_ms_ <= NowMs()) {
        current = &it;
      }
    }
    if (current != nullptr) {
      for (const auto& it : current->instances) {
        if (zone.empty() || it.value("zone", "") == zone) {
          out.push_back(it);
        }
      }
    }
    return out.dump();
  }

  std::mutex mutex_;
  std::vector<Version> history_;
  uint64_t lag_ms_ = 500;
  bool down_ = false;
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]", kServerSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  BlockSignals();
  FakeList list;
  net::HttpServer server(
      {.listen = line->settings.Text("fake.listen")},
      [&](const auto& request, auto respond) { list.Serve(request, respond); });
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace bw::fake

int main(int argc, const char** argv) {
  bw::RunMain(bw::fake::Main, argc, argv);
}
