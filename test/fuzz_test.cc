// Malformed input: random changes of valid messages, with fixed seeds. A
// decoder may reject or skip what it cannot read; it must not throw, and what
// it takes over must be within bounds. Nor may a message end a process.
#include <CppUTest/TestHarness.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <zmq.hpp>

#include "../src/fleet_func.h"
#include "../src/net/mesh.h"
#include "../src/platform/advice.h"
#include "../src/platform/backend.h"
#include "../src/platform/configuration.h"
#include "../src/platform/ingress.h"
#include "../src/timeline_base.h"
#include "support/cell_harness.h"
#include "support/process.h"

namespace bw::test {
namespace {

using Json = nlohmann::json;
using Random = std::mt19937_64;

constexpr int kRounds = 3000;
constexpr uint64_t kMaxMs = 100'000'000'000'000;

size_t Pick(Random* random, size_t n) {
  return std::uniform_int_distribution<size_t>(0, n - 1)(*random);
}

/// @return A value of a random type, often at the limits of its type.
Json RandomValue(Random* random) {
  const std::vector<Json> values = {
      nullptr,
      true,
      0,
      -1,
      1.5,
      -1e300,
      1e300,
      std::numeric_limits<uint64_t>::max(),
      std::numeric_limits<int64_t>::min(),
      uint64_t{1} << 53,
      "",
      "text",
      "\xc3\xa4",
      std::string(300, 'x'),
      Json::array(),
      Json::object(),
      Json::array({Json::array({1, 2}), "a"}),
      Json::object({{"a", Json::object()}}),
  };
  return values[Pick(random, values.size())];
}

/// Replaces, removes or duplicates one random part of a JSON value.
void ChangeJson(Json* value, Random* random) {
  if (value->empty() || !value->is_structured() || Pick(random, 4) == 0) {
    *value = RandomValue(random);
    return;
  }
  auto it = value->begin();
  std::advance(it, static_cast<ptrdiff_t>(Pick(random, value->size())));
  const size_t action = Pick(random, 6);
  if (action == 0) {
    value->erase(it);
  } else if (action == 1 && value->is_array()) {
    const Json copy = *it;
    value->push_back(copy);
  } else {
    ChangeJson(&*it, random);
  }
}

void ChangeBytes(std::string* text, Random* random) {
  const size_t changes = 1 + Pick(random, 4);
  for (size_t n = 0; n < changes && !text->empty(); ++n) {
    const size_t at = Pick(random, text->size());
    switch (Pick(random, 4)) {
      case 0:
        text->resize(at);
        break;
      case 1:
        text->erase(at, 1 + Pick(random, 8));
        break;
      case 2:
        text->insert(at, text->substr(0, Pick(random, 20)));
        break;
      default:
        (*text)[at] = static_cast<char>(Pick(random, 256));
    }
  }
}

/// @return `sample`, changed as JSON or byte by byte.
std::string Changed(const std::string& sample, Random* random) {
  Json value = Json::parse(sample, nullptr, false);
  std::string out = sample;
  if (!value.is_discarded() && Pick(random, 3) > 0) {
    ChangeJson(&value, random);
    out = value.dump();
  }
  if (Pick(random, 3) == 0) {
    ChangeBytes(&out, random);
  }
  return out;
}

void Fuzz(const std::string& sample,
          const std::function<void(const std::string&)>& decode) {
  for (int n = 0; n < kRounds; ++n) {
    Random random(static_cast<uint64_t>(n));
    const std::string input = Changed(sample, &random);
    try {
      decode(input);
    } catch (const std::exception& e) {
      FAIL(("seed " + std::to_string(n) + ": " + e.what()).c_str());
    }
  }
}

net::HttpResult Response(const std::string& body) {
  net::HttpResult out;
  out.delivery = net::DeliveryStatus::kResponded;
  out.status = 200;
  out.body = body;
  return out;
}

const char* const kJobBody =
    R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,)"
    R"("estimateMs":900,"gang":true,"affinity":"r1"},{"count":2,"cpu":2000,)"
    R"("dependsOn":[0],"checkpoint":true,"antiAffinity":1,"requires":"a"}],)"
    R"("startAtMs":1700000000000,"repeatCount":2,"intervalMs":500})";
const char* const kReport =
    R"({"clockMs":482113,"born":1700000000000,"running":)"
    R"([["00000000000000a1.0.0.0",2,"0bb8",41,900]],"ended":)"
    R"([[58,"00000000000000a1.0.0.1",1,"done",""]]})";
const char* const kEntry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,)"
    R"("state":"draining","remainingMs":900,"born":1700000000000,)"
    R"("capacity":{"cpu":16000,"memMb":3000,"gpu":0},"labels":["a","r1"]})";

}  // namespace

TEST_GROUP(Fuzz){};

TEST(Fuzz, Job) {
  Fuzz(kJobBody, [](const std::string& input) {
    BatchSpec spec;
    if (platform::ReadBatchSpec(input, &spec) != platform::SpecError::kNone) {
      return;
    }
    uint64_t tasks = 0;
    for (const auto& it : spec.steps) {
      tasks += it.count;
      CHECK(it.estimate_ms <= kMaxMs);
      CHECK(it.need.millicores <= uint64_t{1} << 50);
    }
    CHECK(tasks <= 100'000);
    CHECK(spec.start_at_ms <= kMaxMs && spec.interval_ms <= kMaxMs);
  });
}

TEST(Fuzz, ReportOfABackendServer) {
  Fuzz(kReport, [](const std::string& input) {
    platform::ParseBackendReport(Response(input));
    platform::ParseOrderResult(Response(input));
    net::HttpResult rejected = Response(input);
    rejected.status = 409;
    platform::ParseOrderResult(rejected);
  });
}

TEST(Fuzz, EntryOfABackendServer) {
  Fuzz(kEntry, [](const std::string& input) {
    if (const auto entry = platform::ReadBackendEntry("i-1", input)) {
      CHECK(entry->remaining_ms.value_or(0) <= kMaxMs);
      CHECK(entry->capacity.millicores <= uint64_t{1} << 50);
    }
  });
  // Names go into headers, records and calls to the advice service.
  CHECK(platform::ReadBackendEntry("i-7f3a", kEntry).has_value());
  for (const char* name : {"", "a b", "\xff\xfe", "a\r\nx: y"}) {
    CHECK(!platform::ReadBackendEntry(name, kEntry).has_value());
  }
}

/// Values that another writer of the store may send, far beyond any limit.
std::vector<std::string> OddValues() {
  constexpr size_t kDepth = 200'000;
  const std::string arrays =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string objects;
  for (size_t n = 0; n < kDepth; ++n) {
    objects += R"({"a":)";
  }
  objects += "1" + std::string(kDepth, '}');
  return {arrays,
          objects,
          std::string(kDepth, '['),
          "1e999",
          "-1e999",
          "1e308",
          "-1",
          "18446744073709551615",
          "18446744073709551616",
          std::string(kDepth, '9'),
          R"("10.0.0.1:65536")",
          R"("10.0.0.1:99999999999999999999")",
          R"("10.0.0.1:-1")",
          R"("10.0.0.1:0")",
          R"("\ud800")"};
}

// Another writer's odd entry among those of the backend servers: very deeply
// nested, with a number too large, or with a port out of range. The first one
// overflowed the stack of each instance that read it.
TEST(Fuzz, OddEntriesOfOtherWriters) {
  for (const char* field :
       {"service", "address", "zone", "state", "remainingMs", "born",
        "capacity", "labels", "odd"}) {
    for (const auto& value : OddValues()) {
      Json entry = Json::parse(kEntry);
      entry.erase(field);
      std::string text = entry.dump();
      text.back() = ',';
      text += '"' + std::string(field) + "\":" + value + '}';
      if (const auto read = platform::ReadBackendEntry("i-1", text)) {
        CHECK(read->remaining_ms.value_or(0) <= kMaxMs);
        CHECK(read->capacity.millicores <= uint64_t{1} << 50);
        STRCMP_EQUAL("10.0.0.1:80", read->address.c_str());
      }
    }
  }
  for (const auto& value : OddValues()) {
    CHECK(!platform::ReadBackendEntry("i-1", value).has_value());
  }
}

// Such values from the operator, a backend server and a caller.
TEST(Fuzz, OddValuesElsewhere) {
  for (const auto& value : OddValues()) {
    const std::string field = R"({"version":)" + value + '}';
    const auto config = platform::ReadConfiguration(field);
    CHECK(config == nullptr || config->queues.empty());
    platform::ReadConfiguration(R"({"version":7,"routes":[{"stretch":)" +
                                value + R"(,"advice":)" + value +
                                R"(}],"limits":)" + value + "}");
    platform::ParseBackendReport(Response(R"({"running":[["a.0.0.1",1,"",)" +
                                          value + "," + value +
                                          R"(]],"ended":)" + value + "}"));
    platform::ParseAdviceResponse(Response(R"({"good":)" + value + "}"));
    BatchSpec spec;
    platform::ReadBatchSpec(R"({"spec":"x","steps":[{"count":)" + value +
                                R"(,"dependsOn":)" + value + "}]}",
                            &spec);
  }
}

TEST(Fuzz, Configuration) {
  const char* const sample =
      R"({"version":7,"routes":[{"name":"q","host":"h","pathPrefix":"/p/",)"
      R"("service":"s","priority":1,"maxAttempts":3,"stretch":2.2,)"
      R"("targetLatencyMs":1000,"advice":{"decideMs":390,"eachMs":5.6,)"
      R"("validMs":2000}}],"tenants":[{"name":"t","weight":9,"apiKeys":["k"],)"
      R"("maximum":{"cpu":1000,"memMb":5}}],"limits":{"maxBodyBytes":262144}})";
  Fuzz(sample, [](const std::string& input) {
    const auto config = platform::ReadConfiguration(input);
    if (config == nullptr) {
      return;
    }
    for (const auto& it : config->queues) {
      CHECK(it.stretch >= 0 && it.stretch <= 1e6);
      if (it.advice) {
        CHECK(it.advice->query_ms >= 0 && it.advice->query_ms <= 1e6);
      }
    }
  });
}

TEST(Fuzz, AdviceAndNamesOfMembersAndTasks) {
  Fuzz(R"({"good":[["i-7f3a91c2","c81e"]],"validMs":3000})",
       [](const std::string& input) {
         CHECK(platform::ParseAdviceResponse(Response(input)).valid_ms <=
               kMaxMs);
       });
  Fuzz("front-a-1|10.0.0.1:7420|17.1|500",
       [](const std::string& input) { ParseMemberName(input); });
  Fuzz("00000000000000a1.0.1.17",
       [](const std::string& input) { platform::ParseTaskName(input); });
}

TEST(Fuzz, HeadersOfACall) {
  Fuzz("3000", [](const std::string& input) {
    net::HttpRequest request;
    request.method = "POST";
    request.headers["bilberrywing-deadline-ms"] = input;
    const auto wait = platform::ReadIngressCall(request).wait;
    CHECK(wait > milliseconds(0) && wait <= std::chrono::hours(24));
  });
}

/// A store client on an HTTP client that responds with the given body.
class BodyClient : public net::HttpClient {
 public:
  void Send(net::HttpCall call, std::function<bool()>, Done done) override {
    url = call.url;
    done(Response(body));
  }
  std::string body;
  std::string url;  ///< Of the last call.
};

// The key of an odd entry may be the last one of a page. Its cursor made a URL
// that could not be sent, or named another key, and no further page was read.
TEST(Fuzz, OddKeyAtTheEndOfAPage) {
  BodyClient http;
  const auto store = platform::MakeHttpStore("10.0.0.1:80", &http);
  store->ReadNewest({"keyed.servers", 0},
                    "a b&c#d\r\n%\xc3\xa4+:", [](const auto&) {});
  STRCMP_CONTAINS("&dependsOn=a%20b%26c%23d%0D%0A%25%C3%A4%2B:",
                  http.url.c_str());
  store->ReadNewest({"keyed.cell", 0}, "s:5c0e7a21d94b36f8",
                    [](const auto&) {});
  STRCMP_CONTAINS("&dependsOn=s:5c0e7a21d94b36f8", http.url.c_str());
}

TEST(Fuzz, ResponsesOfTheStore) {
  const std::string offsets(16, '\1');
  const std::string items =
      R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":3}],)"
      R"("more":true,"end":9})";
  const std::vector<std::string> samples = {
      R"({"offset":5,"end":6,"sequence":2,"reason":"seq"})", items,
      R"({"generation":4,"parts":[["keyed.cell",0,0]]})",
      R"({"parts":[["keyed.cell",0,"front-a-1|10.0.0.1:7420|17.1|500",0]]})",
      offsets + std::string("\0\0\0\5\1kabc", 9)};
  for (const auto& sample : samples) {
    BodyClient client;
    const auto store = platform::MakeHttpStore("10.0.0.1:80", &client);
    Fuzz(sample, [&](const std::string& input) {
      client.body = input;
      store->Append({}, milliseconds(1), [](const auto&) {});
      store->Read({}, 0, milliseconds(1), [](const auto& response) {
        for (const auto& it : response.records) {
          platform::ReadKeyedRecord(it);
        }
      });
      store->ReadNewest({}, {}, [](const auto&) {});
      store->Join({}, [](const auto&) {});
      store->ReadOwners({}, [](const auto&) {});
    });
  }
}

// Records of former owners and other writers, jobs and reports: a cell that
// reads them goes on to serve a valid job.
TEST(Fuzz, CellServesOnAfterMalformedInput) {
  constexpr int kSeeds = 60;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    Random random(seed);
    CellHarness it(3);
    it.config->accounts.front().weight = 1e6;
    it.Submit("00000000000000a1", CellHarness::Tasks(3, 1000));
    it.Submit("00000000000000a2",
              CellHarness::Tasks(2, 1000, R"(,"gang":true)"));
    for (auto& record : it.port.stored) {
      if (Pick(&random, 2) == 0) {
        ChangeBytes(&record.second, &random);
      }
    }
    it.port.stored["x:unknown"] = "?";
    it.StartOwner(2);
    for (int n = 0; n < 20; ++n) {
      it.cell->Submit(JobId("b" + std::to_string(n)), TeamId("t0"),
                      QueueId("q"), Changed(kJobBody, &random), it.now,
                      [](const CellOutcome&) {});
      const auto report =
          platform::ParseBackendReport(Response(Changed(kReport, &random)));
      it.cell->OnPollResponse(BackendId("b0"), report, it.now, it.now);
      it.Advance(40);
    }
    it.backends.at(BackendId("b0")).Restart();
    it.Submit("00000000000000a9", CellHarness::Tasks(1, 10));
    it.Advance(12'000);
    CHECK_EQUAL(1, it.Running({JobId("00000000000000a9"), 0, 0, 0}));
  }
}

// Bytes from anywhere on the mesh's port.
TEST(Fuzz, MeshServesOnAfterMalformedMessages) {
  const std::string address = "127.0.0.1:" + std::to_string(FreePorts(1));
  HybridClock clock;
  int throws = 0;
  const auto server = net::MakeMesh(
      {address, "server"}, &clock,
      [&](const proto::Envelope& request, net::Mesh::Reply reply) {
        if (request.has_cell_call() && ++throws <= 3) {
          throw std::runtime_error("seeded");
        }
        reply({});
      });
  {
    zmq::context_t context(1);
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 1000);
    socket.connect("tcp://" + address);
    proto::Envelope valid;
    valid.mutable_cell_call()->set_job("00000000000000a1");
    const std::string sample = valid.SerializeAsString();
    for (uint64_t seed = 0; seed < 500; ++seed) {
      Random random(seed);
      std::string bytes = sample;
      ChangeBytes(&bytes, &random);
      const auto more = Pick(&random, 5) == 0 ? zmq::send_flags::sndmore
                                              : zmq::send_flags::none;
      socket.send(zmq::buffer(bytes), more);
    }
    socket.send(zmq::buffer(sample), zmq::send_flags::none);
  }
  const auto client = net::MakeMesh({"", "client"}, &clock,
                                    [](const proto::Envelope&, auto) {});
  std::atomic<bool> answered{false};
  CHECK(Eventually([&] {
    proto::Envelope request;
    request.mutable_cell_offer();
    client->SendRequest(address, request, milliseconds(500),
                        [&](const proto::Envelope* reply) {
                          answered = answered || reply != nullptr;
                        },
                        {});
    usleep(20'000);
    return answered.load();
  }));
}

}  // namespace bw::test
