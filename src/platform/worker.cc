#include <nlohmann/json.hpp>

#include "worker_type.h"

namespace bw::platform {

using Json = nlohmann::json;

std::optional<WorkerReport> ReadWorkerReport(const std::string& json) {
  try {
    const Json in = Json::parse(json);
    WorkerReport out;
    out.now_ms = in.at("now_ms");
    for (const auto& it : in.at("tasks")) {
      out.tasks.push_back({it.at("id"), it.at("ended"), it.at("ok"),
                           it.value("used_millicores", uint64_t{0}),
                           it.value("used_memory_mb", uint64_t{0})});
    }
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string ToJson(const WorkerRenewal& it) {
  return Json{{"lease_ms", it.lease_ms},
              {"not_after_ms", it.not_after_ms},
              {"renew", it.renew},
              {"stop", it.stop},
              {"acknowledge", it.acknowledge}}
      .dump();
}

std::string ToJson(const WorkerStart& it) {
  return Json{{"id", it.id},
              {"team", it.team},
              {"millicores", it.millicores},
              {"memory_mb", it.memory_mb},
              {"accelerators", it.accelerators},
              {"lease_ms", it.lease_ms},
              {"not_after_ms", it.not_after_ms},
              {"run_ms", it.run_ms},
              {"command", it.command}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace bw::platform
