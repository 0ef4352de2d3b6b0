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
    "  check FILE              validate a template file against the "
    "published state\n"
    "  diff FILE               show the changes that publishing would make\n"
    "  publish FILE            publish the file and wait for the result\n"
    "  set OBJECT KEY=VALUE... change parameters of one object\n"
    "  remove OBJECT           remove an account or a template\n"
    "  show [OBJECT]           print the published state\n"
    "  status URL...           print the status pages of processes\n"
    "  drain URL               ask a process to drain and exit\n"
    "  hash-key                read a key from standard input, print its hash\n"
    "  help-templates          describe the fields of template files\n\n"
    "Exit codes: 0 done, 1 failed, 2 usage, 3 invalid, 4 conflict, "
    "5 unavailable, 6 unknown\n";

/// The commands of the operator tool. In all of them arguments[0] is the
/// command's name.
class OperatorTool {
 public:
  explicit OperatorTool(const Settings& settings)
      : settings_(settings),
        log_(platform::MakeHttpLogClient(settings.Text("platform.log"))) {}

  ExitCode Check(const Arguments& arguments) {
    ControlState state;
    ObjectSet desired;
    const ExitCode code = LoadFile(arguments[1], &state, &desired);
    if (code == ExitCode::kOk) {
      std::puts("The file is valid.");
    }
    return code;
  }

  ExitCode Diff(const Arguments& arguments) {
    ControlState state;
    ObjectSet desired;
    const ExitCode code = LoadFile(arguments[1], &state, &desired);
    if (code == ExitCode::kOk) {
      for (const auto& it : ChangesTo(state, desired)) {
        PrintChange(state, it);
      }
    }
    return code;
  }

  ExitCode PublishFile(const Arguments& arguments) {
    ControlState state;
    ObjectSet desired;
    const ExitCode code = LoadFile(arguments[1], &state, &desired);
    return code == ExitCode::kOk
               ? PublishChanges(state, ChangesTo(state, desired))
               : code;
  }

  ExitCode Set(const Arguments& arguments) {
    ControlState state;
    ExitCode code = ReadState(&state);
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
        std::fprintf(stderr, "%s: expected KEY=VALUE\n", arguments[n].c_str());
        return ExitCode::kUsage;
      }
      body[arguments[n].substr(0, at)] = arguments[n].substr(at + 1);
    }
    return PublishChanges(state,
                          {{arguments[1], it->second.version, body.dump()}});
  }

  ExitCode Remove(const Arguments& arguments) {
    ControlState state;
    const ExitCode code = ReadState(&state);
    if (code != ExitCode::kOk) {
      return code;
    }
    auto it = state.objects.find(arguments[1]);
    if (it == state.objects.end()) {
      std::fprintf(stderr, "%s: no such object\n", arguments[1].c_str());
      return ExitCode::kFailed;
    }
    return PublishChanges(state, {{arguments[1], it->second.version, ""}});
  }

  ExitCode Show(const Arguments& arguments) {
    ControlState state;
    const ExitCode code = ReadState(&state);
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
    std::printf("%s\n", HashApiKey(key).c_str());
    return ExitCode::kOk;
  }

  ExitCode PrintTemplateHelp(const Arguments&) {
    std::printf("%s", TemplateHelp().c_str());
    return ExitCode::kOk;
  }

 private:
  /// Reads the published state from the log; prints an error if that fails.
  ExitCode ReadState(ControlState* state) {
    return HandleFailure(
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

  /// Reads the published state and a template file. Prints all errors.
  ExitCode LoadFile(const std::string& file,
                    ControlState* state,
                    ObjectSet* desired) {
    const ExitCode code = ReadState(state);
    if (code != ExitCode::kOk) {
      return code;
    }
    std::vector<SettingError> errors;
    *desired = ReadTemplateFile(file, *state, &errors);
    for (const auto& it : errors) {
      std::fprintf(stderr, "%s\n", it.ToText().c_str());
    }
    return errors.empty() ? ExitCode::kOk : ExitCode::kSettings;
  }

  std::vector<ObjectChange> ChangesTo(const ControlState& state,
                                      const ObjectSet& desired) const {
    return Difference(state, desired, settings_.Int("ctl.prune") == 1);
  }

  /// Prints one change as lines marked "-" (old) and "+" (new).
  static void PrintChange(const ControlState& state,
                          const ObjectChange& change) {
    auto it = state.objects.find(change.object);
    if (it != state.objects.end()) {
      std::printf("- %s %s\n", change.object.c_str(), it->second.body.c_str());
    }
    if (!change.body.empty()) {
      std::printf("+ %s %s\n", change.object.c_str(), change.body.c_str());
    }
  }

  /// Publishes changes and waits for the result.
  ExitCode PublishChanges(const ControlState& state,
                          const std::vector<ObjectChange>& changes) {
    if (changes.empty()) {
      std::puts("Nothing to change.");
      return ExitCode::kOk;
    }
    return HandleFailure(
        [&]() -> leaf::result<ExitCode> {
          BOOST_LEAF_AUTO(
              result,
              Publish(log_.get(), state, settings_.Text("ctl.operator"),
                      changes, milliseconds(settings_.Int("ctl.timeout_ms"))));
          return PrintResult(result);
        },
        [](const Failure& e) {
          std::fprintf(stderr, "%s: %s\n", Describe(e.code).name,
                       e.detail.c_str());
          return e.code == ErrorCode::kOutcomeUnknown ? ExitCode::kUnknown
                                                      : ExitCode::kUnavailable;
        });
  }

  static ExitCode PrintResult(const ChangeResult& result) {
    if (result.error == ErrorCode::kNone) {
      std::cout << "Accepted as version " << result.offset + 1 << ".\n";
      return ExitCode::kOk;
    }
    std::fprintf(stderr, "Rejected: %s: %s\n", Describe(result.error).name,
                 result.detail.c_str());
    return result.error == ErrorCode::kConflict ? ExitCode::kConflict
                                                : ExitCode::kSettings;
  }

  const Settings& settings_;
  std::unique_ptr<platform::LogService> log_;
};

struct CommandRow {
  const char* name;
  size_t min_arguments;  ///< Including the command itself.
  size_t max_arguments;
  ExitCode (OperatorTool::*run)(const Arguments&);
};

constexpr CommandRow kCommands[] = {
    {"check", 2, 2, &OperatorTool::Check},
    {"diff", 2, 2, &OperatorTool::Diff},
    {"publish", 2, 2, &OperatorTool::PublishFile},
    {"set", 3, 100, &OperatorTool::Set},
    {"remove", 2, 2, &OperatorTool::Remove},
    {"show", 1, 2, &OperatorTool::Show},
    {"status", 2, 1000, &OperatorTool::Status},
    {"drain", 2, 2, &OperatorTool::Drain},
    {"hash-key", 1, 1, &OperatorTool::PrintHash},
    {"help-templates", 1, 1, &OperatorTool::PrintTemplateHelp},
};

int Main(int argc, const char** argv) {
  int exit_code = 0;
  auto line =
      ParseCommandLine(argc, argv, kUsage, table::kCtlSettings, {}, &exit_code);
  if (!line) {
    return exit_code;
  }
  OperatorTool tool(line->settings);
  const auto& arguments = line->arguments;
  for (const auto& it : kCommands) {
    const bool fits = !arguments.empty() && arguments[0] == it.name &&
                      arguments.size() >= it.min_arguments &&
                      arguments.size() <= it.max_arguments;
    if (fits) {
      return ToInt((tool.*it.run)(arguments));
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
