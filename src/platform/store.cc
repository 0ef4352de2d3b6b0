#include "store.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "../text_func.h"
#include "json_func.h"

namespace bw::platform {
namespace {

using nlohmann::json;

constexpr size_t kRecordLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;
constexpr int kServerError = 500;
/// Timeout of calls without a long poll. A slow store responds after about
/// 400 ms.
constexpr milliseconds kCallTimeout{1500};
/// Added to the wait of a long poll to cover the round trip.
constexpr milliseconds kRoundTripAllowance{700};

uint64_t ReadBigEndian(const std::string& bytes, size_t at, size_t count) {
  uint64_t out = 0;
  for (size_t n = 0; n < count; ++n) {
    out = (out << 8) | static_cast<unsigned char>(bytes[at + n]);
  }
  return out;
}

void AppendLength(std::string* out, size_t length) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out->push_back(static_cast<char>((length >> shift) & 0xff));
  }
}

/// Maps the HTTP status of a failed call to a StoreStatus.
StoreStatus ErrorStatusOf(const net::HttpResult& result) {
  switch (result.status) {
    case 409: {
      const json body = ParseObject(result.body);
      return TextOf(body, "reason") == "seq" ? StoreStatus::kOutOfOrder
                                             : StoreStatus::kFenced;
    }
    case 410:
      return StoreStatus::kExpired;
    case 412:
      return StoreStatus::kConditionFailed;
    case 507:
      return StoreStatus::kFull;
    case 429:
      return StoreStatus::kRefused;
    default:
      // An error of the server says nothing about the request.
      return result.status >= kServerError ? StoreStatus::kRefused
                                           : StoreStatus::kInvalid;
  }
}

StoreStatus StatusOf(const net::HttpResult& result) {
  if (result.delivery == net::DeliveryStatus::kNotSent) {
    return StoreStatus::kNotSent;
  }
  if (result.delivery == net::DeliveryStatus::kUnknown) {
    return StoreStatus::kUnknown;
  }
  return result.Ok() ? StoreStatus::kOk : ErrorStatusOf(result);
}

/// Splits length-prefixed records, starting at offset `at`.
/// @return The records, or nothing if the last one is truncated.
std::optional<std::vector<std::string>> SplitRecords(const std::string& bytes,
                                                     size_t at) {
  std::vector<std::string> out;
  while (at < bytes.size()) {
    if (bytes.size() - at < kRecordLengthBytes) {
      return std::nullopt;
    }
    const size_t length = ReadBigEndian(bytes, at, kRecordLengthBytes);
    at += kRecordLengthBytes;
    if (bytes.size() - at < length) {
      return std::nullopt;
    }
    out.push_back(bytes.substr(at, length));
    at += length;
  }
  return out;
}

AppendResponse ParseAppendResponse(const net::HttpResult& result) {
  AppendResponse out;
  out.status = StatusOf(result);
  const json body = ParseObject(result.body);
  out.offset = NumberOf(body, "offset").value_or(0);
  out.end = NumberOf(body, "end").value_or(0);
  out.expected_sequence = NumberOf(body, "sequence").value_or(0);
  return out;
}

ReadResponse ParseReadResponse(const net::HttpResult& result) {
  ReadResponse out;
  out.status = StatusOf(result);
  if (out.status != StoreStatus::kOk) {
    return out;
  }
  if (result.body.size() < 2 * kOffsetBytes) {
    out.status = StoreStatus::kInvalid;
    return out;
  }
  out.end = ReadBigEndian(result.body, 0, kOffsetBytes);
  out.first = ReadBigEndian(result.body, kOffsetBytes, kOffsetBytes);
  if (auto records = SplitRecords(result.body, 2 * kOffsetBytes)) {
    out.records = std::move(*records);
  } else {
    out.status = StoreStatus::kInvalid;
  }
  return out;
}

NewestResponse ParseNewestResponse(const net::HttpResult& result) {
  NewestResponse out;
  out.status = StatusOf(result);
  if (out.status != StoreStatus::kOk) {
    return out;
  }
  const json body = ParseObject(result.body);
  out.more = FlagOf(body, "more");
  out.end = NumberOf(body, "end").value_or(0);
  for (const json& it : ListOf(body, "items")) {
    out.records.push_back({TextOf(it, "key"), FromBase64(TextOf(it, "value")),
                           NumberOf(it, "offset").value_or(0)});
  }
  return out;
}

JoinResponse ParseJoinResponse(const net::HttpResult& result) {
  JoinResponse out;
  out.status = StatusOf(result);
  const json body = ParseObject(result.body);
  out.generation = NumberOf(body, "generation").value_or(0);
  for (const json& it : ListOf(body, "parts")) {
    if (it.is_array() && it.size() >= 2 && it[0].is_string() &&
        it[1].is_number_unsigned()) {
      out.partitions.push_back(
          {it[0].get<std::string>(), it[1].get<uint32_t>()});
    }
  }
  return out;
}

OwnersResponse ParseOwnersResponse(const net::HttpResult& result) {
  OwnersResponse out;
  out.status = StatusOf(result);
  const json body = ParseObject(result.body);
  for (const char* field : {"parts", "items", "owners"}) {
    for (const json& it : ListOf(body, field)) {
      if (it.is_array() && it.size() >= 3 && it[0].is_string() &&
          it[1].is_number_unsigned() && it[2].is_string()) {
        out.owners.push_back({{it[0].get<std::string>(), it[1].get<uint32_t>()},
                              it[2].get<std::string>()});
      }
    }
  }
  return out;
}

class HttpStore : public Store {
 public:
  HttpStore(std::string address, net::HttpClient* http)
      : base_url_("http://" + std::move(address) + "/v1/"), http_(http) {}

  void Append(StoreAppend append,
              milliseconds timeout,
              std::function<void(AppendResponse)> done) override {
    net::HttpCall call;
    call.method = "POST";
    call.url = fmt::format(
        "{}log-append?topic={}&part={}&producer={}&epoch={}&sequence={}",
        base_url_, append.partition.topic, append.partition.number,
        append.producer, append.epoch, append.sequence);
    call.headers = {{"Content-Type", "application/octet-stream"}};
    for (const auto& it : append.records) {
      AppendLength(&call.body, it.size());
      call.body += it;
    }
    call.timeout = timeout;
    http_->Send(std::move(call), {},
                [done = std::move(done)](const net::HttpResult& result) {
                  done(ParseAppendResponse(result));
                });
  }

  void Read(const Partition& partition,
            Offset from,
            milliseconds wait,
            std::function<void(ReadResponse)> done) override {
    net::HttpCall call;
    call.url =
        fmt::format("{}log-read?topic={}&part={}&from={}&waitMs={}", base_url_,
                    partition.topic, partition.number, from, wait.count());
    call.timeout = wait + kRoundTripAllowance;
    http_->Send(std::move(call), {},
                [done = std::move(done)](const net::HttpResult& result) {
                  done(ParseReadResponse(result));
                });
  }

  void ReadNewest(const Partition& partition,
                  const std::string& after,
                  std::function<void(NewestResponse)> done) override {
    net::HttpCall call;
    call.url = fmt::format("{}log-newest?topic={}&part={}", base_url_,
                           partition.topic, partition.number);
    if (!after.empty()) {
      // Page cursor; the store's API names it so.
      call.url += "&dependsOn=" + net::EscapeQuery(after);
    }
    call.timeout = kCallTimeout;
    http_->Send(std::move(call), {},
                [done = std::move(done)](const net::HttpResult& result) {
                  done(ParseNewestResponse(result));
                });
  }

  void Join(const GroupMember& member,
            std::function<void(JoinResponse)> done) override {
    Post("log-join",
         json{{"group", member.group},
              {"member", member.member},
              {"topics", member.topics},
              {"ttlMs", member.ttl_ms},
              {"generation", member.generation}},
         [done = std::move(done)](const net::HttpResult& result) {
           done(ParseJoinResponse(result));
         });
  }

  void Leave(const std::string& group,
             const std::string& member,
             std::function<void(StoreStatus)> done) override {
    Post("log-leave", json{{"group", group}, {"member", member}},
         [done = std::move(done)](const net::HttpResult& result) {
           done(StatusOf(result));
         });
  }

  void ReadOwners(const std::string& group,
                  std::function<void(OwnersResponse)> done) override {
    net::HttpCall call;
    call.url = fmt::format("{}log-owners?group={}", base_url_, group);
    call.timeout = kCallTimeout;
    http_->Send(std::move(call), {},
                [done = std::move(done)](const net::HttpResult& result) {
                  done(ParseOwnersResponse(result));
                });
  }

 private:
  void Post(const char* method, const json& body, net::HttpClient::Done done) {
    net::HttpCall call;
    call.method = "POST";
    call.url = base_url_ + method;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    call.timeout = kCallTimeout;
    http_->Send(std::move(call), {}, std::move(done));
  }

  const std::string base_url_;
  net::HttpClient* const http_;
};

}  // namespace

const char* StatusName(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kFenced:
      return "fenced";
    case StoreStatus::kOutOfOrder:
      return "out_of_order";
    case StoreStatus::kConditionFailed:
      return "condition";
    case StoreStatus::kExpired:
      return "expired";
    case StoreStatus::kFull:
      return "full";
    case StoreStatus::kInvalid:
      return "invalid";
    case StoreStatus::kUnknown:
      return "no_answer";
    case StoreStatus::kNotSent:
      return "not_sent";
  }
  return "no_answer";
}

std::unique_ptr<Store> MakeHttpStore(std::string address,
                                     net::HttpClient* http) {
  return std::make_unique<HttpStore>(std::move(address), http);
}

std::string MakeKeyedRecord(const std::string& key, const std::string& value) {
  std::string out(1, static_cast<char>(key.size()));
  out += key;
  out += value;
  return out;
}

KeyedRecord ReadKeyedRecord(const std::string& record) {
  if (record.empty()) {
    return {};
  }
  const size_t length = static_cast<unsigned char>(record[0]);
  if (record.size() < 1 + length) {
    return {};
  }
  return {record.substr(1, length), record.substr(1 + length), 0};
}

}  // namespace bw::platform
