#define SI_NO_CONVERSION
#include <SimpleIni.h>
#include <fmt/format.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

#include "publish_func.h"
#include "table/account_fields.h"
#include "table/strategies.h"
#include "text_func.h"

namespace bw {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kReadWait{200};
constexpr milliseconds kAppendTimeout{3000};
constexpr const char* kFleetObject = "fleet/fleet";

/// @return The object name of a section, as "template/small" for
/// "template.small"; empty if the section is unknown.
std::string ObjectNameOf(const std::string& section) {
  if (section == "fleet") {
    return kFleetObject;
  }
  for (const char* kind : {"template", "account"}) {
    const std::string prefix = std::string(kind) + ".";
    if (section.starts_with(prefix) && IsName(section.substr(prefix.size()))) {
      return std::string(kind) + "/" + section.substr(prefix.size());
    }
  }
  return {};
}

Json SectionBody(const CSimpleIniA& ini,
                 const char* section,
                 const std::string& file,
                 std::vector<SettingError>* errors) {
  Json out = Json::object();
  CSimpleIniA::TNamesDepend keys;
  ini.GetAllKeys(section, keys);
  for (const auto& key : keys) {
    CSimpleIniA::TNamesDepend values;
    ini.GetAllValues(section, key.pItem, values);
    if (values.size() > 1) {
      errors->push_back({file, section, key.pItem, "is given twice"});
    }
    out[key.pItem] = Trim(values.begin()->pItem);
  }
  if (std::string(section) == "fleet" && out.contains("shards_per_zone")) {
    out["shards_per_zone"] = std::strtoull(
        out["shards_per_zone"].get<std::string>().c_str(), nullptr, 10);
  }
  return out;
}

void CheckFleet(const Json& body,
                const std::string& file,
                std::vector<SettingError>* errors) {
  if (SplitList(body.value("zones", ""), ',').empty()) {
    errors->push_back(
        {file, "fleet", "zones", "wanted 1 to 64 names separated by commas"});
  }
  const Json n = body.value("shards_per_zone", Json(0));
  constexpr uint64_t kMaxShardsPerZone = 64;
  if (!n.is_number_unsigned() || n.get<uint64_t>() < 1 ||
      n.get<uint64_t>() > kMaxShardsPerZone) {
    errors->push_back({file, "fleet", "shards_per_zone",
                       "wanted a whole number from 1 to 64"});
  }
}

/// Expands the template of every account and reports each error with its
/// section.
void CheckAccounts(const ObjectSet& wanted,
                   const std::string& file,
                   std::vector<SettingError>* errors) {
  for (const auto& object : wanted) {
    const std::string& name = object.first;
    const std::string& body = object.second;
    if (!name.starts_with("account/")) {
      continue;
    }
    const std::string account = name.substr(name.find('/') + 1);
    const std::string template_name = Json::parse(body).value("template", "");
    auto it = wanted.find("template/" + template_name);
    if (it == wanted.end()) {
      errors->push_back({file, "account." + account, "template",
                         "wanted the name of a template"});
      continue;
    }
    HandleFailure(
        [&]() { return ExpandTemplate(account, body, it->second); },
        [&](const Failure& e) {
          errors->push_back({file, "account." + account, "", e.detail});
          return ClientAccount{};
        });
  }
}

/// @return The published state with the file's objects added or replaced.
ControlState MergeObjects(const ControlState& published,
                          const ObjectSet& wanted) {
  ControlState out = published;
  for (const auto& it : wanted) {
    out.objects[it.first].body = it.second;
  }
  return out;
}

}  // namespace

ObjectSet ReadTemplateFile(const std::string& file,
                           const ControlState& published,
                           std::vector<SettingError>* errors) {
  ObjectSet out;
  CSimpleIniA ini(/*bUtf8=*/true, /*bMultiKey=*/true);
  if (ini.LoadFile(file.c_str()) < 0) {
    errors->push_back({file, "", "", "the file cannot be read"});
    return out;
  }
  CSimpleIniA::TNamesDepend sections;
  ini.GetAllSections(sections);
  for (const auto& section : sections) {
    const std::string object = ObjectNameOf(section.pItem);
    if (object.empty()) {
      errors->push_back({file, section.pItem, "",
                         "wanted fleet, template.NAME or account.NAME"});
      continue;
    }
    const Json body = SectionBody(ini, section.pItem, file, errors);
    if (object == kFleetObject) {
      CheckFleet(body, file, errors);
    }
    out[object] = body.dump();
  }
  ControlState merged = MergeObjects(published, out);
  ObjectSet all;
  for (const auto& it : merged.objects) {
    all[it.first] = it.second.body;
  }
  CheckAccounts(all, file, errors);
  if (errors->empty()) {
    HandleFailure(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(ValidateAndDerive(&merged));
          return true;
        },
        [&](const Failure& e) {
          errors->push_back({file, "", "", e.detail});
          return false;
        });
  }
  return out;
}

std::vector<ObjectChange> Difference(const ControlState& published,
                                     const ObjectSet& wanted,
                                     bool prune) {
  std::vector<ObjectChange> out;
  for (const auto& [name, body] : wanted) {
    auto it = published.objects.find(name);
    if (it == published.objects.end()) {
      out.push_back({name, 0, body});
    } else if (it->second.body != body) {
      out.push_back({name, it->second.version, body});
    }
  }
  for (const auto& [name, object] : published.objects) {
    if (prune && name != kFleetObject && !wanted.contains(name)) {
      out.push_back({name, object.version, ""});
    }
  }
  return out;
}

leaf::result<ControlState> ReadControl(platform::LogService* log) {
  ControlState state;
  for (;;) {
    BOOST_LEAF_AUTO(batch,
                    log->Read("control", state.version, milliseconds(0)));
    if (state.version < batch.first) {
      for (const auto& it : batch.records) {
        auto snapshot = ParseSnapshotRecord(it.data);
        if (snapshot && snapshot->version >= batch.first) {
          state = std::move(*snapshot);
          break;
        }
      }
      if (state.version < batch.first) {
        return Fail(ErrorCode::kLogUnavailable,
                    "the log has removed its oldest records and contains no "
                    "snapshot yet");
      }
    }
    for (const auto& it : batch.records) {
      if (it.offset == state.version) {
        ApplyRecord(&state, it.offset, it.data);
      }
    }
    if (state.version >= batch.next) {
      return state;
    }
  }
}

leaf::result<ChangeResult> Publish(platform::LogService* log,
                                   ControlState state,
                                   const std::string& by,
                                   const std::vector<ObjectChange>& changes,
                                   milliseconds timeout) {
  const std::string id = RandomHex();
  const std::string record = ChangeRecord(id, by, changes);
  const Time deadline = BootClock::now() + timeout;
  auto result = log->Append("control", {record}, kAppendTimeout);
  if (result.status == platform::AppendStatus::kNotStored) {
    return Fail(ErrorCode::kLogUnavailable, "nothing was published");
  }
  while (BootClock::now() < deadline) {
    std::optional<ChangeResult> found;
    HandleFailure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(batch,
                          log->Read("control", state.version, kReadWait));
          for (const auto& it : batch.records) {
            if (it.offset != state.version) {
              continue;
            }
            auto outcome = ApplyRecord(&state, it.offset, it.data);
            if (outcome && outcome->id == id) {
              found = outcome;
            }
          }
          return {};
        },
        [&](const Failure&) { std::this_thread::sleep_for(kReadWait); });
    if (found) {
      return *found;
    }
  }
  return Fail(ErrorCode::kOutcomeUnknown, "no result for change " + id +
                                              " in time; it may be in the log: "
                                              "run show before retrying");
}

std::string TemplateHelp() {
  std::string out =
      "[fleet]\n  zones            names separated by commas\n"
      "  shards_per_zone  1 to 64; fixed once published\n"
      "[template.NAME]    values may be $PARAMETER\n"
      "  keys             SHA-256 hashes in hex (bwctl hash-key)\n";
  for (const auto& it : table::kAccountFields) {
    out += fmt::format("  {:<16} {} to {}. {}\n", it.name, it.min, it.max,
                       it.text);
  }
  for (const auto& it : table::kQueueFields) {
    out += fmt::format("  queue.NAME.{:<12} {} to {}. {}\n", it.name, it.min,
                       it.max, it.text);
  }
  out +=
      "  queue.NAME.open         yes or no: accepts requests without an API "
      "key\n";
  for (const auto& it : table::kStrategies) {
    out += fmt::format("  queue.NAME.strategy = {:<10} {}\n", it.name, it.help);
  }
  out +=
      "[account.NAME]\n  template         name of a template\n"
      "  PARAMETER        value for $PARAMETER\n";
  return out;
}

}  // namespace bw
