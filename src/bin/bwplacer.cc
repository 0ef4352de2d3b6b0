// bwplacer: the placer process of one entry instance. It owns shards of its
// zone's backend servers.

#include <chrono>

#include "../placer_base.h"
#include "../process_func.h"
#include "../status_base.h"
#include "../table/placer_settings.h"

namespace bw {
namespace {

constexpr long kConnectionsPerBackend = 16;

PlacerOptions OptionsFrom(const Settings& settings) {
  const auto ms = [&](const char* name) {
    return milliseconds(settings.Int(name));
  };
  PlacerOptions out;
  // A restarted process must have a higher incarnation number; the wall clock
  // provides one without persistent storage.
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  out.self = {
      InstanceId(settings.Text("instance.name")),
      static_cast<uint64_t>(std::chrono::duration_cast<Duration>(wall).count()),
      ZoneId(settings.Text("instance.zone")), settings.Text("mesh.listen"), 0};
  out.times = {ms("timing.log_fresh_ms"), ms("timing.promise_ms"),
               ms("timing.dead_after_ms"), ms("timing.action_ms")};
  out.lease = ms("timing.lease_ms");
  out.max_key_age = ms("timing.key_bound_ms");
  out.serve_in_outage = settings.Int("timing.serve_in_outage") == 1;
  out.snapshot_interval = ms("platform.snapshot_every_ms");
  out.log_poll_timeout = ms("platform.log_wait_ms");
  out.append_interval = ms("platform.append_interval_ms");
  out.address_overrides = ParseLinks(settings.List("mesh.links"));
  out.seeds = settings.List("mesh.seeds");
  return out;
}

int Main(int argc, const char** argv) {
  BlockSignals();
  int exit_code = 0;
  auto line = ParseCommandLine(argc, argv, "[OPTION...]",
                               table::kPlacerSettings, {}, &exit_code);
  if (!line) {
    return exit_code;
  }
  const Settings& settings = line->settings;
  auto log = platform::MakeHttpLogClient(settings.Text("platform.log"));
  auto list = platform::MakeHttpInstanceList(settings.Text("platform.list"));
  auto http = net::MakeHttpClient(kConnectionsPerBackend);
  Metrics metrics;
  Timeline events(settings.Text("instance.name"),
                  settings.Text("instance.zone"), "bwplacer",
                  settings.Text("timeline.file"));
  Kernel kernel;
  auto placer = std::make_unique<Placer>(
      OptionsFrom(settings),
      PlacerParts{log.get(), list.get(), http.get(), &events, &metrics,
                  settings.Text("mesh.listen")});
  Placer* it = placer.get();
  kernel.Add("placer", std::move(placer));
  kernel.Add("status",
             std::make_unique<StatusPages>(
                 settings.Text("status.listen"),
                 StatusParts{&metrics, &events, [it] { return it->IsReady(); },
                             [it] { return it->StatusText(); }}));
  const int code =
      RunKernel(&kernel, milliseconds(settings.Int("timing.drain_limit_ms")));
  http.reset();  // Its callbacks refer to the placer.
  return code;
}

}  // namespace
}  // namespace bw

int main(int argc, const char** argv) {
  bw::RunMain(bw::Main, argc, argv);
}
