#include "instance_list.h"

#include <array>
#include <nlohmann/json.hpp>

#include "../net/http_client.h"

namespace bw::platform {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 3> kKindNames = {"entry", "runner", "worker"};
constexpr milliseconds kTimeout{2000};

InstanceKind KindOf(const std::string& name) {
  for (size_t n = 0; n < kKindNames.size(); ++n) {
    if (name == kKindNames[n]) {
      return static_cast<InstanceKind>(n);
    }
  }
  throw Json::other_error::create(501, "unknown kind of instance", nullptr);
}

ListedInstance FromJson(const Json& in) {
  ListedInstance out;
  out.name = in.at("name");
  out.kind = KindOf(in.at("kind"));
  out.zone = ZoneId(in.at("zone"));
  out.address = in.at("address");
  out.leaving = in.value("leaving", false);
  out.total = {in.value("cores", uint64_t{0}) * 1000,
               in.value("memory_mb", uint64_t{0}),
               in.value("accelerators", uint64_t{0})};
  out.rack = in.value("rack", 0U);
  out.slots = in.value("slots", 0U);
  out.connections = in.value("connections", 0U);
  return out;
}

class HttpInstanceList : public InstanceList {
 public:
  explicit HttpInstanceList(std::string url) : url_(std::move(url)) {}

  leaf::result<std::vector<ListedInstance>> Read(const ZoneId& zone) override {
    net::HttpCall call;
    call.url = url_ + "/instances?zone=" + zone.value;
    call.timeout = kTimeout;
    const auto result = net::CallAndWait(call);
    if (!result.Ok()) {
      return Fail(ErrorCode::kOutcomeUnknown, "instance list");
    }
    try {
      std::vector<ListedInstance> out;
      const Json in = Json::parse(result.body);
      for (const auto& it : in) {
        out.push_back(FromJson(it));
      }
      return out;
    } catch (const Json::exception&) {
      return Fail(ErrorCode::kMalformed, "instance list");
    }
  }

 private:
  const std::string url_;
};

}  // namespace

std::unique_ptr<InstanceList> MakeHttpInstanceList(std::string url) {
  return std::make_unique<HttpInstanceList>(std::move(url));
}

std::string ToJson(const ListedInstance& it) {
  constexpr uint64_t kMillicoresPerCore = 1000;
  return Json{{"name", it.name},
              {"kind", kKindNames[static_cast<size_t>(it.kind)]},
              {"zone", it.zone.value},
              {"address", it.address},
              {"leaving", it.leaving},
              {"cores", it.total.millicores / kMillicoresPerCore},
              {"memory_mb", it.total.memory_mb},
              {"accelerators", it.total.accelerators},
              {"rack", it.rack},
              {"slots", it.slots},
              {"connections", it.connections}}
      .dump();
}

}  // namespace bw::platform
