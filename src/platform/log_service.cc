#include "log_service.h"

#include <fmt/format.h>

#include <atomic>
#include <nlohmann/json.hpp>

#include "../net/http_client.h"

namespace bw::platform {
namespace {

using Json = nlohmann::json;

/// Added to the wait of a long poll to cover the round trip.
constexpr milliseconds kRoundTripAllowance{3000};
constexpr int kMaxRecordsPerRead = 2000;

class HttpLog : public LogService {
 public:
  explicit HttpLog(std::string url) : url_(std::move(url)) {}

  uint64_t BytesTransferred() const override { return bytes_transferred_; }

  AppendResult Append(const std::string& stream,
                      const std::vector<std::string>& records,
                      milliseconds timeout) override {
    net::HttpCall call;
    call.method = "POST";
    call.url = fmt::format("{}/streams/{}", url_, stream);
    call.body = Json(records).dump();
    call.timeout = timeout;
    const auto result = CallLog(call);
    if (result.delivery == net::DeliveryStatus::kNotSent ||
        result.status == 503) {
      return {AppendStatus::kNotStored, 0};
    }
    const Json in = Json::parse(result.body, nullptr, false);
    if (!result.Ok() || !in.is_object() || !in.contains("offset")) {
      return {AppendStatus::kUnknown, 0};
    }
    return {AppendStatus::kStored, in["offset"].get<Offset>()};
  }

  leaf::result<LogBatch> Read(const std::string& stream,
                              Offset from,
                              milliseconds wait) override {
    net::HttpCall call;
    call.url = fmt::format("{}/streams/{}?from={}&wait_ms={}&max={}", url_,
                           stream, from, wait.count(), kMaxRecordsPerRead);
    call.timeout = wait + kRoundTripAllowance;
    const auto result = CallLog(call);
    if (!result.Ok()) {
      return Fail(ErrorCode::kLogUnavailable, stream);
    }
    try {
      const Json in = Json::parse(result.body);
      LogBatch out{in.at("first"), in.at("next"), {}};
      for (const auto& it : in.at("records")) {
        out.records.push_back({it.at(0), it.at(1)});
      }
      return out;
    } catch (const Json::exception&) {
      return Fail(ErrorCode::kLogUnavailable, stream + ": malformed response");
    }
  }

 private:
  net::HttpResult CallLog(const net::HttpCall& call) {
    auto result = net::CallAndWait(call);
    bytes_transferred_ +=
        call.url.size() + call.body.size() + result.body.size();
    return result;
  }

  const std::string url_;
  std::atomic<uint64_t> bytes_transferred_{0};
};

}  // namespace

std::unique_ptr<LogService> MakeHttpLogClient(std::string url) {
  return std::make_unique<HttpLog>(std::move(url));
}

}  // namespace bw::platform
