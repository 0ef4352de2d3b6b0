#include <nlohmann/json.hpp>

#include "runner_type.h"

namespace bw::platform {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kLoadTimeout{1000};
constexpr int kStatusExpired = 412;
constexpr int kStatusFull = 429;
constexpr const char* kNotRunMarker = "bw-not-run";

}  // namespace

net::HttpCall MakeRunCall(const std::string& address,
                          const RunnerRequest& request,
                          milliseconds timeout) {
  net::HttpCall out;
  out.method = "POST";
  out.url = "http://" + address + "/run";
  out.body = request.body.empty() ? " " : request.body;
  out.timeout = timeout;
  out.headers = {
      {"Content-Type", request.content_type.empty() ? "application/octet-stream"
                                                    : request.content_type},
      {"Bw-Request", request.id},
      {"Bw-Queue", request.queue},
      {"Bw-Not-After", std::to_string(request.start_deadline_ms)}};
  return out;
}

net::HttpCall MakeRunnerReportCall(const std::string& address) {
  net::HttpCall out;
  out.url = "http://" + address + "/load";
  out.timeout = kLoadTimeout;
  return out;
}

std::optional<RunnerReport> ParseRunnerReport(const net::HttpResult& result) {
  if (!result.Ok()) {
    return std::nullopt;
  }
  try {
    const Json in = Json::parse(result.body);
    return RunnerReport{in.at("now_ms").get<uint64_t>(),
                        in.at("running").get<std::set<std::string>>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

bool IsRunnerRefusal(const net::HttpResult& result) {
  return result.delivery == net::DeliveryStatus::kResponded &&
         (result.status == kStatusExpired || result.status == kStatusFull) &&
         result.body.find(kNotRunMarker) != std::string::npos;
}

}  // namespace bw::platform
