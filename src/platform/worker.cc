#include <nlohmann/json.hpp>

#include "worker_type.h"

namespace bw::platform {

namespace {

using Json = nlohmann::json;

constexpr milliseconds kStartTimeout{2000};
constexpr milliseconds kPollTimeout{1500};
constexpr milliseconds kCheckpointTimeout{500};

net::HttpCall MakePost(const std::string& address_and_path,
                       milliseconds timeout,
                       const Json& body) {
  net::HttpCall out;
  out.method = "POST";
  out.url = "http://" + address_and_path;
  out.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  out.timeout = timeout;
  return out;
}

}  // namespace

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

net::HttpCall MakeListCall(const std::string& address) {
  net::HttpCall out;
  out.url = "http://" + address + "/tasks";
  out.timeout = kPollTimeout;
  return out;
}

net::HttpCall MakeRenewCall(const std::string& address,
                            const WorkerRenewal& it) {
  return MakePost(address + "/renew", kPollTimeout,
                  {{"lease_ms", it.lease_ms},
                   {"not_after_ms", it.not_after_ms},
                   {"renew", it.renew},
                   {"stop", it.stop},
                   {"acknowledge", it.acknowledge}});
}

net::HttpCall MakeStartCall(const std::string& address, const WorkerStart& it) {
  return MakePost(address + "/tasks", kStartTimeout,
                  {{"id", it.id},
                   {"team", it.team},
                   {"millicores", it.millicores},
                   {"memory_mb", it.memory_mb},
                   {"accelerators", it.accelerators},
                   {"lease_ms", it.lease_ms},
                   {"not_after_ms", it.start_deadline_ms},
                   {"run_ms", it.run_ms},
                   {"command", it.command}});
}

net::HttpCall MakeCheckpointCall(const std::string& address,
                                 const std::string& task) {
  return MakePost(address + "/checkpoint", kCheckpointTimeout, {{"id", task}});
}

}  // namespace bw::platform
