// bwctl: checks, compares and publishes configuration; shows status.

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "../net/http_client.h"
#include "../process_func.h"
#include "../publish_func.h"
#include "../table/ctl_settings.h"
#include "../text_func.h"

namespace bw {
namespace {

using Json = nlohmann::json;
using Arguments = std::vector<std::string>;

constexpr const char* kUsage =
    "[OPTION...] COMMAND\n\n"
    "Commands:\n"
    "  check FILE              check a template file against what is "
    "published\n"
    "  diff FILE               show what publishing the file would change\n"
    "  publish FILE            publish the file and wait for the verdict\n"
    "  set OBJECT KEY=VALUE... change parameters of one object\n"
    "  remove OBJECT           remove an account or a template\n"
    "  show [OBJECT]           print what is published\n"
    "  status URL...           print the status pages of processes\n"
    "  drain URL               ask a process to drain and end\n"
    "  hash-key                read a key from standard input, print its hash\n"
    "  help-templates          describe the fields of template files\n\n"
    "Exit codes: 0 done, 1 failed, 2 usage, 3 not valid, 4 conflict, "
    "5 unavailable, 6 unknown\n";

/// The desk: one command at a time.
class Desk {
 public:
  explicit Desk(const Settings& settings)
      : settings_(settings),
        log_(platform::MakeHttpLog(settings.Text("platform.log"))) {}

  ExitCode Check(const Arguments& arguments) {
    ControlState state;
    ObjectSet wanted;
    const ExitCode code = Load(arguments[1], &state, &wanted);
    if (code == ExitCode::kOk) {
      std::puts("The file is valid.");
    }
    return code;
  }

  ExitCode Diff(const Arguments& arguments) {
    ControlState state;
    ObjectSet wanted;
    const ExitCode code = Load(arguments[1], &state, &wanted);
    if (code == ExitCode::kOk) {
      for (const auto& it : Changes(state, wanted)) {
        Print(state, it);
      }
    }
    return code;
  }

  ExitCode PublishFile(const Arguments& arguments) {
    ControlState state;
    ObjectSet wanted;
    const ExitCode code = Load(arguments[1], &state, &wanted);
    return code == ExitCode::kOk ? Send(state, Changes(state, wanted)) : code;
  }

  ExitCode Set(const Arguments& arguments) {
    ControlState state;
    ExitCode code = Read(&state);
    if (code != ExitCode::kOk) {
      return code;
    }
    auto it = state.objects.find(arguments[1]);
    if (it == state.objects.end()) {
      std::fprintf(stderr, "%s: no such object\n", arguments[1].c_str());
      return ExitCode::kFailed;
    }
    Json body = Json::parse(it->second.body);
    for (size_t n = 2; n < arguments.size(); ++n) {
      const auto at = arguments[n].find('=');
      if (at == std::string::npos) {
        std::fprintf(stderr, "%s: wanted KEY=VALUE\n", arguments[n].c_str());
        return ExitCode::kUsage;
      }
      body[arguments[n].substr(0, at)] = arguments[n].substr(at + 1);
    }
    return Send(state, {{arguments[1], it->second.version, body.dump()}});
  }

  ExitCode Remove(const Arguments& arguments) {
    ControlState state;
    const ExitCode code = Read(&state);
    if (code != ExitCode::kOk) {
      return code;
    }
    auto it = state.objects.find(arguments[1]);
    if (it == state.objects.end()) {
      std::fprintf(stderr, "%s: no such object\n", arguments[1].c_str());
      return ExitCode::kFailed;
    }
    return Send(state, {{arguments[1], it->second.version, ""}});
  }

  ExitCode Show(const Arguments& arguments) {
    ControlState state;
    const ExitCode code = Read(&state);
    if (code != ExitCode::kOk) {
      return code;
    }
    Json out = {{"version", state.version}, {"objects", Json::object()}};
    for (const auto& [name, object] : state.objects) {
      if (arguments.size() < 2 || arguments[1] == name) {
        out["objects"][name] = {{"version", object.version},
                                {"body", Json::parse(object.body)}};
      }
    }
    for (const auto& it : state.members) {
      out["members"].push_back(
          {{"instance", it.first.value}, {"zone", it.second.zone.value}});
    }
    for (const auto& it : state.shards) {
      out["shards"].push_back(
          {{"zone", it.zone.value}, {"owner", it.owner.value}});
    }
    for (const auto& it : state.allowances) {
      out["allowances"][it.first.value] = it.second;
    }
    std::printf("%s\n", out.dump(2).c_str());
    return ExitCode::kOk;
  }

  ExitCode Status(const Arguments& arguments) {
    ExitCode code = ExitCode::kOk;
    for (size_t n = 1; n < arguments.size(); ++n) {
      net::HttpCall call;
      call.url = arguments[n] + "/status";
      const auto result = net::CallAndWait(call);
      if (!result.Ok()) {
        std::fprintf(stderr, "%s: cannot be reached\n", arguments[n].c_str());
        code = ExitCode::kUnavailable;
      } else {
        std::printf("%s", result.body.c_str());
      }
    }
    return code;
  }

  ExitCode Drain(const Arguments& arguments) {
    net::HttpCall call;
    call.method = "POST";
    call.url = arguments[1] + "/drain";
    if (!net::CallAndWait(call).Ok()) {
      std::fprintf(stderr, "%s: cannot be reached\n", arguments[1].c_str());
      return ExitCode::kUnavailable;
    }
    std::puts("Draining.");
    return ExitCode::kOk;
  }

  ExitCode PrintHash(const Arguments&) {
    std::string key;
    std::getline(std::cin, key);
    key = Trim(key);
    if (key.empty()) {
      std::fputs("The key is empty.\n", stderr);
      return ExitCode::kUsage;
    }
    std::printf("%s\n", HashKey(key).c_str());
    return ExitCode::kOk;
  }

  ExitCode PrintTemplateHelp(const Arguments&) {
    std::printf("%s", TemplateHelp().c_str());
    return ExitCode::kOk;
  }

 private:
  ExitCode Read(ControlState* state) {
    return Handle(
        [&]() -> leaf::result<ExitCode> {
          BOOST_LEAF_ASSIGN(*state, ReadControl(log_.get()));
          return ExitCode::kOk;
        },
        [](const Failure& e) {
          std::fprintf(stderr, "The log cannot be read: %s\n",
                       e.detail.c_str());
          return ExitCode::kUnavailable;
        });
  }

  ExitCode Load(const std::string& file,
                ControlState* state,
                ObjectSet* wanted) {
    const ExitCode code = Read(state);
    if (code != ExitCode::kOk) {
      return code;
    }
    std::vector<SettingFault> faults;
    *wanted = ReadTemplateFile(file, *state, &faults);
    for (const auto& it : faults) {
      std::fprintf(stderr, "%s\n", it.ToText().c_str());
    }
    return faults.empty() ? ExitCode::kOk : ExitCode::kSettings;
  }

  std::vector<ObjectChange> Changes(const ControlState& state,
                                    const ObjectSet& wanted) const {
    return Difference(state, wanted, settings_.Int("ctl.prune") == 1);
  }

  static void Print(const ControlState& state, const ObjectChange& change) {
    auto it = state.objects.find(change.object);
    if (it != state.objects.end()) {
      std::printf("- %s %s\n", change.object.c_str(), it->second.body.c_str());
    }
    if (!change.body.empty()) {
      std::printf("+ %s %s\n", change.object.c_str(), change.body.c_str());
    }
  }

  ExitCode Send(const ControlState& state,
                const std::vector<ObjectChange>& changes) {
    if (changes.empty()) {
      std::puts("Nothing to change.");
      return ExitCode::kOk;
    }
    return Handle(
        [&]() -> leaf::result<ExitCode> {
          BOOST_LEAF_AUTO(
              verdict,
              Publish(log_.get(), state, settings_.Text("ctl.operator"),
                      changes, milliseconds(settings_.Int("ctl.timeout_ms"))));
          return Report(verdict);
        },
        [](const Failure& e) {
          std::fprintf(stderr, "%s: %s\n", Describe(e.code).name,
                       e.detail.c_str());
          return e.code == ErrorCode::kOutcomeUnknown ? ExitCode::kUnknown
                                                      : ExitCode::kUnavailable;
        });
  }

  static ExitCode Report(const Verdict& verdict) {
    if (verdict.error == ErrorCode::kNone) {
      std::cout << "Accepted as version " << verdict.offset + 1 << ".\n";
      return ExitCode::kOk;
    }
    std::fprintf(stderr, "Rejected: %s: %s\n", Describe(verdict.error).name,
                 verdict.detail.c_str());
    return verdict.error == ErrorCode::kConflict ? ExitCode::kConflict
                                                 : ExitCode::kSettings;
  }

  const Settings& settings_;
  std::unique_ptr<platform::LogService> log_;
};

struct CommandRow {
  const char* name;
  size_t min_arguments;  ///< With the command itself.
  size_t max_arguments;
  ExitCode (Desk::*run)(const Arguments&);
};

constexpr CommandRow kCommands[] = {
    {"check", 2, 2, &Desk::Check},
    {"diff", 2, 2, &Desk::Diff},
    {"publish", 2, 2, &Desk::PublishFile},
    {"set", 3, 100, &Desk::Set},
    {"remove", 2, 2, &Desk::Remove},
    {"show", 1, 2, &Desk::Show},
    {"status", 2, 1000, &Desk::Status},
    {"drain", 2, 2, &Desk::Drain},
    {"hash-key", 1, 1, &Desk::PrintHash},
    {"help-templates", 1, 1, &Desk::PrintTemplateHelp},
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line =
      ReadCommandLine(argc, argv, kUsage, table::kCtlSettings, {}, &exit_code);
  if (!line) {
    return exit_code;
  }
  Desk desk(line->settings);
  const auto& arguments = line->arguments;
  for (const auto& it : kCommands) {
    const bool fits = !arguments.empty() && arguments[0] == it.name &&
                      arguments.size() >= it.min_arguments &&
                      arguments.size() <= it.max_arguments;
    if (fits) {
      return ToInt((desk.*it.run)(arguments));
    }
  }
  std::fputs("Unknown command or wrong number of arguments; see --help.\n",
             stderr);
  return ToInt(ExitCode::kUsage);
}

}  // namespace
}  // namespace bw

int main(int argc, const char** argv) {
  bw::RunMain(bw::Main, argc, argv);
}
