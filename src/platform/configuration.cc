#include "configuration.h"

#include <algorithm>
#include <string_view>

#include "../text_func.h"
#include "json_func.h"

namespace bw::platform {
namespace {

using nlohmann::json;

/// Larger values would overflow when times are derived from them.
constexpr double kMaxStretch = 1000;
constexpr double kMaxAdviceMs = 60'000;
constexpr std::string_view kEvacuationPrefix = "evacuate/";

CellQueue ParseQueue(const json& route) {
  CellQueue out;
  out.name = QueueId(TextOf(route, "name"));
  out.host = TextOf(route, "host");
  out.path_prefix = TextOf(route, "pathPrefix");
  out.service = TextOf(route, "service");
  out.priority = static_cast<uint32_t>(NumberOf(route, "priority").value_or(0));
  out.max_attempts =
      static_cast<uint32_t>(NumberOf(route, "maxAttempts").value_or(1));
  out.stretch = std::clamp(RealOf(route, "stretch", 1), 0.0, kMaxStretch);
  out.target_latency_ms =
      NumberUpTo(kMaxDurationMs, route, "targetLatencyMs").value_or(0);
  out.anonymous = FlagOf(route, "anonymous");
  auto advice = route.find("advice");
  if (advice != route.end() && advice->is_object()) {
    out.advice = AdvicePolicy{
        std::clamp(RealOf(*advice, "decideMs", 0), 0.0, kMaxAdviceMs),
        std::clamp(RealOf(*advice, "eachMs", 0), 0.0, kMaxAdviceMs),
        NumberUpTo(kMaxDurationMs, *advice, "validMs").value_or(0)};
  }
  return out;
}

AccountPolicy ParseAccount(const json& tenant) {
  AccountPolicy out;
  out.name = TeamId(TextOf(tenant, "name"));
  out.weight = RealOf(tenant, "weight", 1);
  for (const json& it : ListOf(tenant, "apiKeys")) {
    if (it.is_string()) {
      out.keys.push_back(HashApiKey(it.get<std::string>()));
    }
  }
  auto maximum = tenant.find("maximum");
  if (maximum != tenant.end()) {
    out.maximum = {NumberUpTo(kMaxAmount, *maximum, "cpu").value_or(0),
                   NumberUpTo(kMaxAmount, *maximum, "memMb").value_or(0),
                   NumberUpTo(kMaxAmount, *maximum, "gpu").value_or(0)};
  }
  return out;
}

}  // namespace

std::shared_ptr<const CellConfig> ReadConfiguration(const std::string& value) {
  const json body = ParseObject(value);
  const auto version = NumberOf(body, "version");
  if (!version) {
    return nullptr;
  }
  auto out = std::make_shared<CellConfig>();
  out->version = *version;
  for (const json& it : ListOf(body, "routes")) {
    if (it.is_object()) {
      out->queues.push_back(ParseQueue(it));
    }
  }
  for (const json& it : ListOf(body, "tenants")) {
    if (it.is_object()) {
      out->accounts.push_back(ParseAccount(it));
    }
  }
  for (const auto& account : out->accounts) {
    for (const auto& key : account.keys) {
      out->teams_by_key.emplace(key, account.name);
    }
  }
  auto limits = body.find("limits");
  if (limits != body.end()) {
    out->max_body_bytes =
        NumberOf(*limits, "maxBodyBytes").value_or(out->max_body_bytes);
  }
  return out;
}

std::optional<ZoneId> ReadEvacuationKey(const std::string& key) {
  if (!key.starts_with(kEvacuationPrefix) ||
      key.size() == kEvacuationPrefix.size()) {
    return std::nullopt;
  }
  return ZoneId(key.substr(kEvacuationPrefix.size()));
}

}  // namespace bw::platform
