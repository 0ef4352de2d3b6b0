// bwentry: runs the front and the owner of one instance on the users' platform.

#include <algorithm>
#include <cstdlib>
#include <vector>

#include "../entry_base.h"
#include "../event_log_func.h"
#include "../platform/deployment.h"
#include "../process_func.h"
#include "../table/entry_settings.h"

namespace bw {
namespace {

/// A shutdown stops waiting for work in progress this long before SIGKILL.
constexpr milliseconds kKillMargin{900};
/// File descriptors kept free of connections to backend servers: files, and
/// those of callers, of other instances and of the store.
constexpr int64_t kOtherFds = 1000;
constexpr int64_t kMinBackendConnections = 64;

EntryOptions OptionsFrom(const Settings& settings) {
  const auto ms = [&](const char* name, double factor = 1) {
    return milliseconds(static_cast<int64_t>(settings.Real(name) * factor));
  };
  constexpr double kMsPerSecond = 1000;
  const std::string& host = settings.Text("mesh.host");
  const int64_t port = settings.Int("mesh.first_port");
  const auto at = [&](int64_t n) { return host + ":" + std::to_string(n); };
  EntryOptions out;
  out.listen_front = settings.Text("listen.front");
  out.listen_ready = settings.Text("listen.ready");
  if (const int64_t n = settings.Int("listen.metrics_offset"); n > 0) {
    out.listen_metrics = at(port + n);
  }
  const auto wanted_fds =
      static_cast<uint64_t>(settings.Real("instance.max_fds"));
  const auto fds =
      static_cast<int64_t>(std::min(wanted_fds, RaiseFileLimit(wanted_fds)));
  out.backend_connections =
      static_cast<long>(std::max(kMinBackendConnections, fds - kOtherFds));
  out.store = settings.Text("platform.store");
  out.advice = settings.Text("platform.advice");
  out.max_call_bytes =
      static_cast<size_t>(settings.Real("platform.call_bytes"));
  out.cell.max_record_bytes =
      static_cast<size_t>(settings.Real("platform.record_bytes"));
  out.grace = ms("bounds.grace_s", kMsPerSecond);
  out.membership.name = settings.Text("instance.name");
  out.listen_mesh = at(port);
  const std::string& advertised = settings.Text("mesh.advertise");
  out.membership.address = advertised.empty() ? out.listen_mesh : advertised;
  out.membership.zone = ZoneId(settings.Text("instance.zone"));
  constexpr double kMillicoresPerCore = 1000;
  out.membership.millicores = static_cast<uint32_t>(
      settings.Real("instance.cpu_share") *
      settings.Real("instance.cpu_cores") * kMillicoresPerCore);
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  out.membership.incarnation = static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(wall).count());
  out.membership.ttl =
      std::max(milliseconds(settings.Int("timing.member_ttl_ms")),
               ms("platform.member_ttl_min_ms"));
  out.membership.join_every =
      milliseconds(settings.Int("timing.join_every_ms"));
  out.cell.max_lease = ms("bounds.hold_max_ms");
  constexpr int kPercent = 100;
  out.cell.lease =
      out.cell.max_lease * settings.Int("timing.lease_percent") / kPercent;
  out.cell.ended_job_retention = ms("bounds.status_s", kMsPerSecond);
  out.cell.learn_run_times = settings.Int("cell.learn_run_times") != 0;
  out.cell.far_factor = std::max(1.0, settings.Real("bounds.far_x"));
  out.front.revoke = ms("bounds.revoke_ms");
  return out;
}

/// @return True if a change of the setting applies without a restart.
bool IsReloadable(const std::string& name) {
  return name.starts_with("bounds.") || name.starts_with("cell.") ||
         name == "log.levels" || name == "timing.lease_percent";
}

/// Reads the settings file again and applies the reloadable settings. A file
/// with errors changes nothing.
void Reload(CommandLine* line, Entry* entry) {
  std::vector<SettingError> errors;
  Settings read = Settings::Load(line->settings_file, table::kEntrySettings,
                                 line->overrides, &errors);
  if (!errors.empty()) {
    LogEvent(Part::kKernel, "reload_refused",
             {{"faults", errors.size()}, {"first", errors.front().ToText()}});
    return;
  }
  std::vector<std::string> in_force;
  std::vector<std::string> at_next_start;
  for (auto& it : read.ChangedFrom(line->settings)) {
    (IsReloadable(it) ? in_force : at_next_start).push_back(it);
  }
  if (in_force.empty() && at_next_start.empty()) {
    return;
  }
  if (!SetUpLog(read.Text("log.levels"))) {
    LogEvent(Part::kKernel, "reload_refused",
             {{"faults", 1}, {"first", "[log] levels: unknown part or level"}});
    return;
  }
  line->settings = std::move(read);
  entry->Reload(OptionsFrom(line->settings));
  LogEvent(Part::kKernel, "reload",
           {{"in_force", in_force}, {"at_next_start", at_next_start}});
}

int Main(int argc, const char** argv) {
  BlockSignals();
  // The platform passes the path of the settings file in the environment.
  std::vector<const char*> arguments(argv, argv + argc);
  std::string from_platform;
  const char* file = std::getenv(platform::kSettingsVariable);
  const bool given =
      std::any_of(arguments.begin(), arguments.end(), [](const char* it) {
        return std::string_view(it).starts_with("--settings");
      });
  if (file != nullptr && !given) {
    from_platform = std::string("--settings=") + file;
    arguments.push_back(from_platform.c_str());
  }
  int exit_code = 0;
  auto line =
      ParseCommandLine(static_cast<int>(arguments.size()), arguments.data(),
                       "[OPTION...]", table::kEntrySettings, {}, &exit_code);
  if (!line) {
    return exit_code;
  }
  UseStructuredOutput();
  const EntryOptions options = OptionsFrom(line->settings);
  LogEvent(Part::kKernel, "start",
           {{"instance", options.membership.name},
            {"zone", line->settings.Text("instance.zone")},
            {"front", options.listen_front},
            {"mesh", options.membership.address},
            {"incarnation", options.membership.incarnation}});
  Kernel kernel;
  auto entry = std::make_unique<Entry>(options);
  const auto reload = [&line, it = entry.get()] { Reload(&*line, it); };
  kernel.Add("entry", std::move(entry));
  const int code = RunKernel(&kernel, options.grace - kKillMargin, reload);
  LogEvent(Part::kKernel, "stop", {{"exit_code", code}});
  return code;
}

}  // namespace
}  // namespace bw

/// Entry point of the library; see bwentry_launch.cc.
extern "C" [[gnu::visibility("default")]] int BwEntryMain(int argc,
                                                          const char** argv) {
  bw::RunMain(bw::Main, argc, argv);
}
