#include "ingress.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include "json_func.h"

namespace bw::platform {
namespace {

using nlohmann::json;

constexpr const char* kApiKeyHeader = "bilberrywing-credential";
constexpr const char* kDeadlineHeader = "bilberrywing-deadline-ms";
constexpr milliseconds kDefaultWait{3000};
constexpr size_t kJobIdLength = 16;
constexpr uint64_t kMaxTasksPerJob = 20'000;
constexpr int64_t kMaxWaitMs = 600'000;

StepSpec ParseStep(const json& row) {
  StepSpec out;
  out.count = static_cast<uint32_t>(
      NumberUpTo(kMaxTasksPerJob + 1, row, "count").value_or(1));
  out.need = {NumberUpTo(kMaxAmount, row, "cpu").value_or(0),
              NumberUpTo(kMaxAmount, row, "memMb").value_or(0),
              NumberUpTo(kMaxAmount, row, "gpu").value_or(0)};
  out.estimate_ms = NumberUpTo(kMaxDurationMs, row, "estimateMs").value_or(0);
  for (const json& it : ListOf(row, "dependsOn")) {
    if (it.is_number_unsigned()) {
      out.depends_on.push_back(it.get<uint32_t>());
    }
  }
  out.gang = FlagOf(row, "gang");
  out.same_rack = FlagOf(row, "sameRack");
  out.checkpoint = FlagOf(row, "checkpoint");
  out.speculative = FlagOf(row, "speculative");
  out.perpetual = FlagOf(row, "perpetual");
  out.best_effort = FlagOf(row, "fills");
  out.label = TextOf(row, "requires");
  out.rack = TextOf(row, "affinity");
  out.per_server =
      static_cast<uint32_t>(NumberOf(row, "antiAffinity").value_or(0));
  out.image = TextOf(row, "image");
  out.target_ms = NumberOf(row, "targetMs").value_or(0);
  if (auto n = NumberOf(row, "mayMiss")) {
    out.max_unavailable = static_cast<uint32_t>(*n);
  }
  return out;
}

bool DependsOnlyOnEarlierSteps(const BatchSpec& spec) {
  for (size_t n = 0; n < spec.steps.size(); ++n) {
    for (uint32_t dependency : spec.steps[n].depends_on) {
      if (dependency >= n) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

IngressCall ReadIngressCall(const net::HttpRequest& request) {
  IngressCall out;
  if (request.method == "POST") {
    out.kind = IngressKind::kSubmit;
  } else if (request.method == "GET") {
    out.kind = IngressKind::kState;
  } else if (request.method == "DELETE") {
    out.kind = IngressKind::kCancel;
  }
  out.host = request.Header("host");
  if (const auto n = out.host.find(':'); n != std::string::npos) {
    out.host.resize(n);
  }
  out.path = request.path;
  out.api_key = request.Header(kApiKeyHeader);
  const std::string wait = request.Header(kDeadlineHeader);
  int64_t ms = 0;
  const auto read = std::from_chars(wait.data(), wait.data() + wait.size(), ms);
  out.wait = read.ec == std::errc() && ms > 0
                 ? milliseconds(std::min(ms, kMaxWaitMs))
                 : kDefaultWait;
  out.body = request.body;
  return out;
}

const CellQueue* FindRoute(const CellConfig& config,
                           const std::string& host,
                           const std::string& path) {
  const CellQueue* best = nullptr;
  for (const auto& it : config.queues) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

bool IsJobId(const std::string& text) {
  return text.size() == kJobIdLength &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

SpecError ReadBatchSpec(const std::string& body, BatchSpec* spec) {
  const json object = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) {
    return SpecError::kMalformed;
  }
  spec->payload = TextOf(object, "spec");
  uint64_t tasks = 0;
  for (const json& it : ListOf(object, "steps")) {
    if (!it.is_object()) {
      return SpecError::kMalformed;
    }
    spec->steps.push_back(ParseStep(it));
    tasks += spec->steps.back().count;
    if (spec->steps.back().count == 0 || tasks > kMaxTasksPerJob) {
      return SpecError::kMalformed;
    }
  }
  spec->start_at_ms = NumberUpTo(kMaxWallMs, object, "startAtMs").value_or(0);
  spec->repeat_count =
      NumberUpTo(std::numeric_limits<uint32_t>::max(), object, "repeatCount")
          .value_or(0);
  spec->interval_ms =
      NumberUpTo(kMaxDurationMs, object, "intervalMs").value_or(0);
  if (spec->steps.empty()) {
    return SpecError::kNoSteps;
  }
  return DependsOnlyOnEarlierSteps(*spec) ? SpecError::kNone
                                          : SpecError::kForwardDependency;
}

net::HttpResponse MakeStateResponse(const std::string& state) {
  net::HttpResponse out;
  out.body = json{{"state", state}}.dump();
  return out;
}

net::HttpResponse MakeCountResponse(uint64_t waiting) {
  net::HttpResponse out;
  out.body = json{{"waiting", waiting}}.dump();
  return out;
}

net::HttpResponse MakeErrorResponse(int status,
                                    const std::string& reason,
                                    uint32_t retry_after_ms) {
  net::HttpResponse out;
  out.status = status;
  out.body = json{{"reason", reason}}.dump();
  if (retry_after_ms > 0) {
    constexpr uint32_t kMsPerSecond = 1000;
    out.headers.emplace_back(
        "Retry-After",
        std::to_string((retry_after_ms + kMsPerSecond - 1) / kMsPerSecond));
  }
  return out;
}

}  // namespace bw::platform
