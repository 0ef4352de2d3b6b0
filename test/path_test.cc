// A request and a job from the caller to a backend server and back, with real
// processes.
#include <CppUTest/TestHarness.h>

#include "support/audit.h"
#include "support/fleet.h"

namespace bw::test {

TEST_GROUP(Path){};

TEST(Path, RequestAndJobFromEndToEnd) {
  Fleet fleet({.instances = {2, 1}});
  CHECK(fleet.Start());
  const auto response =
      fleet.Post(0, "/v1/requests?queue=now", "one ms=5", "perchas");
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("done one ms=5", response.body.c_str());

  const auto accepted = fleet.Post(
      1, "/v1/jobs?queue=batch",
      R"({"kind":"batch","tasks":3,"millicores":1000,"run_ms":50})", "tayside");
  LONGS_EQUAL(202, accepted.status);
  const std::string job = Json::parse(accepted.body)["job"];
  CHECK(Eventually([&] {
    const auto status = fleet.Get(2, "/v1/jobs/" + job, "tayside");
    const Json in = Json::parse(status.body, nullptr, false);
    return status.status == 200 && in["state"] == "ended" &&
           in["tasks"]["done"] == 3;
  }));
}

}  // namespace bw::test
