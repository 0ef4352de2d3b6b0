#include "advice.h"

#include "json_func.h"

namespace bw::platform {

using nlohmann::json;

net::HttpCall MakeAdviceCall(const std::string& address,
                             const std::string& step_name,
                             const std::vector<std::string>& backends,
                             milliseconds timeout) {
  net::HttpCall out;
  out.method = "POST";
  out.url = "http://" + address + "/v1/advise";
  out.headers = {{"Content-Type", "application/json"}};
  out.body = json{{"step", step_name}, {"workers", backends}}.dump();
  out.timeout = timeout;
  return out;
}

AdviceResponse ParseAdviceResponse(const net::HttpResult& result) {
  AdviceResponse out;
  if (!result.Ok()) {
    constexpr int kTooManyRequests = 429;
    out.overloaded = result.status == kTooManyRequests;
    return out;
  }
  const json body = ParseObject(result.body);
  out.answered = true;
  out.valid_ms = NumberUpTo(kMaxDurationMs, body, "validMs").value_or(0);
  for (const json& it : ListOf(body, "good")) {
    if (it.is_array() && it.size() >= 2 && it[0].is_string() &&
        it[1].is_string()) {
      out.recommended.push_back(
          {BackendId(it[0].get<std::string>()), it[1].get<std::string>()});
    }
  }
  return out;
}

}  // namespace bw::platform
