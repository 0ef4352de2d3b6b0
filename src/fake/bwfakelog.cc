// bwfakelog: stand-in for the platform's log: appends, reads from an offset,
// limited retention, and faults: outage, delay, hang and lost responses.
//
//   POST /streams/NAME        body: JSON array of strings -> {"offset": N}
//   GET  /streams/NAME?from=N&wait_ms=W&max=M
//        long poll -> {"first": F, "next": N, "records": [[offset, text],...]}
//   POST /control             {"down":b,"hang":b,"slow_ms":n,"lose":n,
//                              "trim":"NAME","keep":n}   trims a stream to its
//                              newest n records
//   GET  /truth?stream=NAME   every record stored so far, with its time

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "../log_func.h"
#include "../net/http_server.h"
#include "../process_func.h"
#include "fake_settings.h"
#include "timer_thread.h"

namespace bw::fake {
namespace {

using Json = nlohmann::json;

/// One stream: all records stored so far, also those that retention removed.
struct Stream {
  uint64_t first = 0;  ///< Oldest readable offset.
  std::vector<std::string> records;
  std::vector<uint64_t> stored_ms;  ///< By offset.
};

struct Faults {
  bool down = false;     ///< Calls are rejected with status 503.
  bool hang = false;     ///< Calls get no response.
  uint64_t slow_ms = 0;  ///< Delay before a call is executed.
  uint64_t lose = 0;     ///< Next appends to execute, then fail with 500.
};

class FakeLog {
 public:
  void Serve(const net::HttpRequest& request, const net::Responder& respond) {
    if (request.path == "/control") {
      return Control(request, respond);
    }
    if (request.path == "/truth") {
      return RespondWithRecords(request, respond);
    }
    constexpr std::string_view kStreams = "/streams/";
    if (!request.path.starts_with(kStreams)) {
      return respond({404, "application/json", "{}", {}});
    }
    const std::string name = request.path.substr(kStreams.size());
    uint64_t slow_ms = 0;
    {
      std::lock_guard lock(mutex_);
      if (faults_.hang) {
        return;
      }
      if (faults_.down) {
        return respond({503, "application/json", "{}", {}});
      }
      slow_ms = faults_.slow_ms;
    }
    auto execute = [this, request, respond, name] {
      if (request.method == "POST") {
        Append(name, request, respond);
      } else {
        const uint64_t wait =
            std::strtoull(request.Query("wait_ms").c_str(), nullptr, 10);
        Read(name, request, respond, NowMs() + wait);
      }
    };
    if (slow_ms == 0) {
      execute();
    } else {
      timer_thread_.At(BootClock::now() + milliseconds(slow_ms), execute);
    }
  }

 private:
  void Append(const std::string& name,
              const net::HttpRequest& request,
              const net::Responder& respond) {
    const Json in = Json::parse(request.body, nullptr, false);
    if (!in.is_array()) {
      return respond({400, "application/json", "{}", {}});
    }
    std::lock_guard lock(mutex_);
    Stream& stream = streams_[name];
    const uint64_t offset = stream.records.size();
    for (const auto& it : in) {
      stream.records.push_back(it.get<std::string>());
      stream.stored_ms.push_back(NowMs());
    }
    ++appends_;
    if (faults_.lose > 0) {
      --faults_.lose;
      return respond({500, "application/json", "{}", {}});
    }
    respond({200, "application/json", Json{{"offset", offset}}.dump(), {}});
    CompleteReads(name);
  }

  /// Completes the pending long polls of a stream. @pre mutex_ is held.
  void CompleteReads(const std::string& name) {
    for (auto& it : pending_reads_) {
      if (it.first == name) {
        timer_thread_.At(BootClock::now(), std::move(it.second));
      }
    }
    std::erase_if(pending_reads_,
                  [&](const auto& it) { return it.first == name; });
  }

  /// @param until_ms End of the long poll; 0: respond at once.
  void Read(const std::string& name,
            const net::HttpRequest& request,
            const net::Responder& respond,
            uint64_t until_ms) {
    const uint64_t from =
        std::strtoull(request.Query("from").c_str(), nullptr, 10);
    const uint64_t max =
        std::strtoull(request.Query("max").c_str(), nullptr, 10);
    std::lock_guard lock(mutex_);
    if (faults_.down) {
      return respond({503, "application/json", "{}", {}});
    }
    if (faults_.hang) {
      return;
    }
    const Stream& stream = streams_[name];
    const uint64_t next = stream.records.size();
    if (from >= next && NowMs() < until_ms) {
      pending_reads_.emplace_back(name, [this, name, request, respond] {
        Read(name, request, respond, 0);
      });
      // Responds at the end of the long poll too. The HTTP server ignores the
      // second response to a call.
      timer_thread_.At(
          Time(milliseconds(until_ms)),
          [this, name, request, respond] { Read(name, request, respond, 0); });
      return;
    }
    Json out = {{"first", stream.first}, {"next", next}};
    out["records"] = Json::array();
    for (uint64_t n = std::max(from, stream.first);
         n < next && out["records"].size() < max; ++n) {
      out["records"].push_back({n, stream.records[n]});
    }
    respond({200, "application/json", out.dump(), {}});
  }

  void Control(const net::HttpRequest& request, const net::Responder& respond) {
    const Json in = Json::parse(request.body, nullptr, false);
    std::lock_guard lock(mutex_);
    if (in.is_object()) {
      faults_.down = in.value("down", faults_.down);
      faults_.hang = in.value("hang", faults_.hang);
      faults_.slow_ms = in.value("slow_ms", faults_.slow_ms);
      faults_.lose = in.value("lose", faults_.lose);
      if (in.contains("trim")) {
        Stream& stream = streams_[in["trim"].get<std::string>()];
        const uint64_t keep = in.value("keep", uint64_t{0});
        const uint64_t size = stream.records.size();
        stream.first = std::max(stream.first, size - std::min(size, keep));
      }
    }
    respond({200, "application/json", Json{{"appends", appends_}}.dump(), {}});
  }

  void RespondWithRecords(const net::HttpRequest& request,
                          const net::Responder& respond) {
    std::lock_guard lock(mutex_);
    const Stream& stream = streams_[request.Query("stream")];
    Json out = {{"appends", appends_}, {"records", Json::array()}};
    for (size_t n = 0; n < stream.records.size(); ++n) {
      out["records"].push_back({{"offset", n},
                                {"stored_ms", stream.stored_ms[n]},
                                {"record", stream.records[n]}});
    }
    respond({200, "application/json", out.dump(), {}});
  }

  std::mutex mutex_;
  std::map<std::string, Stream> streams_;
  Faults faults_;
  uint64_t appends_ = 0;
  std::vector<std::pair<std::string, std::function<void()>>> pending_reads_;
  TimerThread timer_thread_;
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]", kServerSettings, {},
                               &exit_code);
  if (!line) {
    return exit_code;
  }
  BlockSignals();
  FakeLog log;
  net::HttpServerOptions options;
  options.listen = line->settings.Text("fake.listen");
  options.max_body_bytes = 16U << 20;
  net::HttpServer server(options, [&](const auto& request, auto respond) {
    log.Serve(request, respond);
  });
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace bw::fake

int main(int argc, const char** argv) {
  bw::RunMain(bw::fake::Main, argc, argv);
}
