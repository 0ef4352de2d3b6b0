// bwgate: the gate process of one entry instance. It accepts callers' requests
// and jobs.

#include "../gate_base.h"
#include "../net/http_server.h"
#include "../process_func.h"
#include "../status_base.h"
#include "../table/gate_settings.h"

namespace bw {
namespace {

/// Ratio of the largest body read to the largest body accepted.
constexpr size_t kReadLimitFactor = 4;

/// The service "callers": the HTTP server that receives callers' requests.
class CallerServer : public Service {
 public:
  CallerServer(net::HttpServerOptions options, Gate* gate)
      : options_(std::move(options)), gate_(gate) {}

  void Start(Kernel&) override {
    server_ = std::make_unique<net::HttpServer>(
        options_,
        [this](const net::HttpRequest& request, net::Responder responder) {
          gate_->Serve(request, std::move(responder));
        });
  }
  void Stop() override { server_.reset(); }

 private:
  const net::HttpServerOptions options_;
  Gate* const gate_;
  std::unique_ptr<net::HttpServer> server_;
};

GateOptions OptionsFrom(const Settings& settings) {
  GateOptions out;
  out.instance = InstanceId(settings.Text("instance.name"));
  out.zone = ZoneId(settings.Text("instance.zone"));
  out.max_key_age = milliseconds(settings.Int("timing.key_bound_ms"));
  out.serve_in_outage = settings.Int("timing.serve_in_outage") == 1;
  out.log_poll_timeout = milliseconds(settings.Int("platform.log_wait_ms"));
  out.max_run = milliseconds(settings.Int("gate.max_run_ms"));
  out.drain_grace = milliseconds(settings.Int("gate.drain_grace_ms"));
  out.max_body_bytes = static_cast<size_t>(settings.Int("gate.max_body_bytes"));
  out.max_open_calls = static_cast<size_t>(settings.Int("gate.max_open"));
  out.address_overrides = ParseLinks(settings.List("mesh.links"));
  out.seeds = settings.List("mesh.seeds");
  return out;
}

int Main(int argc, const char** argv) {
  BlockSignals();
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]", table::kGateSettings,
                               {}, &exit_code);
  if (!line) {
    return exit_code;
  }
  const Settings& settings = line->settings;
  auto log = platform::MakeHttpLogClient(settings.Text("platform.log"));
  Metrics metrics;
  Timeline events(settings.Text("instance.name"),
                  settings.Text("instance.zone"), "bwgate",
                  settings.Text("timeline.file"));
  Kernel kernel;
  auto gate = std::make_unique<Gate>(OptionsFrom(settings),
                                     GateParts{log.get(), &events, &metrics});
  Gate* it = gate.get();
  kernel.Add("gate", std::move(gate));
  net::HttpServerOptions server_options;
  server_options.listen = settings.Text("gate.listen");
  // Bodies somewhat above the limit are read, so that their callers receive an
  // error response.
  server_options.max_body_bytes =
      static_cast<size_t>(settings.Int("gate.max_body_bytes")) *
      kReadLimitFactor;
  kernel.Add("callers", std::make_unique<CallerServer>(server_options, it));
  kernel.Add("status",
             std::make_unique<StatusPages>(
                 settings.Text("status.listen"),
                 StatusParts{&metrics, &events, [it] { return it->IsReady(); },
                             [it] { return it->StatusText(); }}));
  return RunKernel(&kernel,
                   milliseconds(settings.Int("timing.drain_limit_ms")));
}

}  // namespace
}  // namespace bw

int main(int argc, const char** argv) {
  bw::RunMain(bw::Main, argc, argv);
}
