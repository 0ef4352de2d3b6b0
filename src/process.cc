#include <malloc.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <system_error>
#include <thread>

#include "crash_report_func.h"
#include "event_log_func.h"
#include "log_func.h"
#include "process_func.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr const char* kVersion = "bilberrywing 0.1.0";
constexpr milliseconds kDrainPollInterval{20};
/// Delay before services stop, so that responses already queued are sent.
constexpr milliseconds kResponseFlushDelay{200};
/// Interval of the check for settings files that changed without a SIGHUP.
constexpr std::chrono::seconds kReloadInterval{5};
/// A settings file may be missing or incomplete until this long after its last
/// change and after the process began to read it.
constexpr milliseconds kSettingsSettleTime{1000};
constexpr milliseconds kSettingsRetryPause{50};
/// Stack of each thread, in bytes. The system's default reserves 8 MiB.
constexpr size_t kThreadStackBytes = 1U << 20;
/// Each further arena of the allocator reserves 64 MiB of address space.
constexpr int kMaxArenas = 1;

enum Option : int {
  kOptionSet = 1,
  kOptionVersion,
  kOptionHelpSettings,
};

sigset_t StopSignals() {
  sigset_t out;
  sigemptyset(&out);
  sigaddset(&out, SIGTERM);
  sigaddset(&out, SIGINT);
  return out;
}

/// @return True if an operator has interrupted the shutdown. Supervisors may
/// send SIGTERM more than once, so that ends no drain.
bool ConsumeInterrupt() {
  sigset_t interrupt;
  sigemptyset(&interrupt);
  sigaddset(&interrupt, SIGINT);
  const timespec none{};
  return sigtimedwait(&interrupt, nullptr, &none) > 0;
}

/// popt's option table and the variables that receive the values. Owns the
/// strings that popt allocates.
struct OptionTable {
  char* file = nullptr;
  int check_only = 0;
  std::vector<char*> extra_values;
  std::vector<poptOption> options;

  ~OptionTable() {
    free(file);
    for (char* it : extra_values) {
      free(it);
    }
  }
};

void AddOptions(const std::vector<ExtraOption>& extra, OptionTable* table) {
  table->extra_values.assign(extra.size(), nullptr);
  auto& out = table->options;
  out.push_back({"settings", 's', POPT_ARG_STRING, &table->file, 0,
                 "Read settings from FILE (INI)", "FILE"});
  out.push_back({"set", 'S', POPT_ARG_STRING, nullptr, kOptionSet,
                 "Set one setting; overrides the file", "SECTION.KEY=VALUE"});
  out.push_back({"check-settings", 'c', POPT_ARG_NONE, &table->check_only, 0,
                 "Validate the settings and exit", nullptr});
  out.push_back({"help-settings", 0, POPT_ARG_NONE, nullptr,
                 kOptionHelpSettings, "Describe every setting and exit",
                 nullptr});
  out.push_back({"version", 'V', POPT_ARG_NONE, nullptr, kOptionVersion,
                 "Show the version and exit", nullptr});
  for (size_t n = 0; n < extra.size(); ++n) {
    out.push_back({extra[n].name, 0, POPT_ARG_STRING, &table->extra_values[n],
                   0, extra[n].help, extra[n].value_name});
  }
  out.push_back({nullptr, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                 "Help options:", nullptr});
  out.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
}

/// @return True if the file was changed less than kSettingsSettleTime ago.
bool ChangedJustNow(const std::string& file) {
  std::error_code ec;
  const auto changed = std::filesystem::last_write_time(file, ec);
  return !ec && std::filesystem::file_time_type::clock::now() - changed <
                    kSettingsSettleTime;
}

/// Loads the settings. Reads a file with errors again while it may still be
/// being written or replaced.
/// @param patient False if nobody may be writing it.
Settings LoadSettings(const std::string& file,
                      std::span<const SettingDesc> table,
                      const Overrides& overrides,
                      bool patient,
                      std::vector<SettingError>* errors) {
  // A missing file has no time of its last change, and that of another one is
  // misleading when the time of day has been stepped.
  const Time settled = BootClock::now() + kSettingsSettleTime;
  Settings out = Settings::Load(file, table, overrides, errors);
  while (!errors->empty() && patient && !file.empty() &&
         (BootClock::now() < settled || ChangedJustNow(file))) {
    std::this_thread::sleep_for(kSettingsRetryPause);
    errors->clear();
    out = Settings::Load(file, table, overrides, errors);
  }
  return out;
}

}  // namespace

std::optional<CommandLine> ParseCommandLine(int argc,
                                            const char** argv,
                                            const char* usage,
                                            std::span<const SettingDesc> table,
                                            std::vector<ExtraOption> extra,
                                            int* exit_code) {
  if (sodium_init() < 0) {
    std::fputs("Cannot initialize libsodium: no usable random number source.\n",
               stderr);
    *exit_code = ToInt(ExitCode::kFailed);
    return std::nullopt;
  }
  OptionTable parsed;
  AddOptions(extra, &parsed);
  poptContext context =
      poptGetContext(nullptr, argc, argv, parsed.options.data(), 0);
  poptSetOtherOptionHelp(context, usage);
  Overrides overrides;
  *exit_code = ToInt(ExitCode::kOk);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    if (option == kOptionSet) {
      char* value = poptGetOptArg(context);
      overrides.emplace_back(value);
      free(value);
      continue;
    }
    std::printf("%s", option == kOptionVersion
                          ? (std::string(kVersion) + "\n").c_str()
                          : SettingsHelp(table).c_str());
    poptFreeContext(context);
    return std::nullopt;
  }
  if (option < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0),
                 poptStrerror(option));
    *exit_code = ToInt(ExitCode::kUsage);
    poptFreeContext(context);
    return std::nullopt;
  }
  CommandLine out;
  while (const char* it = poptGetArg(context)) {
    out.arguments.emplace_back(it);
  }
  for (size_t n = 0; n < extra.size(); ++n) {
    if (parsed.extra_values[n] != nullptr) {
      *extra[n].value = parsed.extra_values[n];
    }
  }
  std::vector<SettingError> errors;
  out.settings_file = parsed.file == nullptr ? "" : parsed.file;
  out.overrides = overrides;
  out.settings = LoadSettings(out.settings_file, table, overrides,
                              parsed.check_only == 0, &errors);
  poptFreeContext(context);
  for (const auto& it : errors) {
    std::fprintf(stderr, "%s\n", it.ToText().c_str());
  }
  if (!errors.empty()) {
    *exit_code = ToInt(ExitCode::kSettings);
    return std::nullopt;
  }
  if (!SetUpLog(out.settings.Text("log.levels"))) {
    std::fputs("[log] levels: unknown part or level\n", stderr);
    *exit_code = ToInt(ExitCode::kSettings);
    return std::nullopt;
  }
  if (parsed.check_only != 0) {
    std::puts("The settings are valid.");
    return std::nullopt;
  }
  return out;
}

void BoundAddressSpace() {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
  mallopt(M_ARENA_MAX, kMaxArenas);
}

uint64_t RaiseFileLimit(uint64_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < wanted) {
    limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  return limit.rlim_cur;
}

void RunMain(int (*main)(int, const char**), int argc, const char** argv) {
  InstallCrashReport();
  BoundAddressSpace();
  int code = ToInt(ExitCode::kFailed);
  try {
    code = main(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "Uncaught exception: %s\n", e.what());
  }
  if (StopEventLog()) {
    std::fflush(nullptr);
  }
  // Skip static destructors: those of log4cplus wait for its threads and hung
  // on the users' platform until the process was killed.
  std::quick_exit(code);
}

void BlockSignals() {
  sigset_t all = StopSignals();
  sigaddset(&all, SIGHUP);
  sigaddset(&all, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

void WaitForStopSignal(const std::function<void()>& on_reload) {
  sigset_t signals = StopSignals();
  if (!on_reload) {
    int signal = 0;
    sigwait(&signals, &signal);
    return;
  }
  sigaddset(&signals, SIGHUP);
  const timespec every{kReloadInterval.count(), 0};
  while (true) {
    const int signal = sigtimedwait(&signals, nullptr, &every);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    on_reload();
  }
}

int RunKernel(Kernel* kernel,
              milliseconds drain_limit,
              const std::function<void()>& on_reload) {
  try {
    kernel->StartAll();
  } catch (const std::exception& e) {
    Log(Part::kKernel, LogLevel::kError, "Cannot start services: {}.",
        e.what());
    kernel->StopAll();
    return ToInt(ExitCode::kFailed);
  }
  Log(Part::kKernel, LogLevel::kInfo, "Started.");
  WaitForStopSignal(on_reload);
  Log(Part::kKernel, LogLevel::kInfo, "Draining.");
  kernel->DrainAll();
  const Time limit = BootClock::now() + drain_limit;
  while (kernel->IsBusy() && BootClock::now() < limit && !ConsumeInterrupt()) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  const bool cut = kernel->IsBusy();
  kernel->CloseAll();
  std::this_thread::sleep_for(kResponseFlushDelay);
  kernel->StopAll();
  Log(Part::kKernel, LogLevel::kInfo, "Stopped{}.",
      cut ? " with unfinished work" : "");
  return ToInt(cut ? ExitCode::kFailed : ExitCode::kOk);
}

std::map<std::string, std::string> ParseLinks(
    const std::vector<std::string>& pairs) {
  std::map<std::string, std::string> out;
  for (const auto& it : pairs) {
    if (const auto n = it.find('='); n != std::string::npos) {
      out[Trim(it.substr(0, n))] = Trim(it.substr(n + 1));
    }
  }
  return out;
}

}  // namespace bw
