#include "driver.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "../../src/net/http_client.h"

namespace review {
namespace {

constexpr const char* kHost = "a.example";
constexpr const char* kKey = "6x73d3zji9n73hh2b9wu";

bool IsFree(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool out =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return out;
}

std::string Local(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// @param both With the second route, which has advice.
Json Configuration(bool both) {
  Json out = {{"version", both ? 7 : 9},
              {"routes",
               {{{"name", "r-a"},
                 {"host", kHost},
                 {"pathPrefix", "/q/"},
                 {"kind", "non_idempotent"},
                 {"timeoutMs", 3000},
                 {"targetLatencyMs", 3000},
                 {"priority", 1},
                 {"service", "svc"},
                 {"maxAttempts", 3},
                 {"stretch", 4.0},
                 {"anonymous", false}}}},
              {"services",
               {{{"name", "svc"},
                 {"healthPath", "/health"},
                 {"maxConns", 64},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"admissionCheck", false},
                 {"spare", false}}}},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}},
              {"tenants",
               {{{"name", "t-1"},
                 {"apiKeys", {kKey}},
                 {"priority", 1},
                 {"weight", 1000},
                 {"maximum",
                  {{"cpu", 8'000'000}, {"memMb", 16'000'000}, {"gpu", 0}}}}}}};
  if (both) {
    Json route = out["routes"][0];
    route["name"] = "r-b";
    route["pathPrefix"] = "/b/";
    route["advice"] = {{"decideMs", 5.0}, {"eachMs", 0.1}, {"validMs", 2000}};
    out["routes"].push_back(route);
  }
  return out;
}

}  // namespace

void SleepMs(uint64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

uint16_t FreePorts(int count) {
  static int next = 21'000 + static_cast<int>(getpid()) * 37 % 110 * 100;
  while (true) {
    bool free = true;
    for (int n = 0; n < count && free; ++n) {
      free = IsFree(static_cast<uint16_t>(next + n));
    }
    const int out = next;
    next += count;
    if (next > 32'000) {
      next = 21'000;
    }
    if (free) {
      return static_cast<uint16_t>(out);
    }
  }
}

World::World(const Setup& setup) : setup_(setup) {
  char folder[] = "/tmp/review.XXXXXX";
  folder_ = mkdtemp(folder);
  const uint16_t store_port = FreePorts(1);
  store_address_ = Local(store_port);
  bw::net::HttpServerOptions options;
  options.max_body_bytes = 4U << 20;
  options.read_timeout = std::chrono::seconds(60);
  options.listen = store_address_;
  servers_.push_back(std::make_unique<bw::net::HttpServer>(
      options, [this](const HttpRequest& request, const Responder& respond) {
        store_.Serve(request, respond);
      }));
  store_.Put("keyed.op", "config", Configuration(true).dump());
  advice_address_ = Local(FreePorts(1));
  options.listen = advice_address_;
  servers_.push_back(std::make_unique<bw::net::HttpServer>(
      options, [this](const HttpRequest& request, const Responder& respond) {
        advice_.Serve(request, respond);
      }));
  for (int n = 0; n < setup_.runners; ++n) {
    char id[16];
    std::snprintf(id, sizeof(id), "i-7f3a91%02x", static_cast<unsigned>(n));
    options.listen = Local(FreePorts(1));
    runners_.push_back(std::make_unique<Runner>(
        id, options.listen, &store_, &advice_, setup_.cpu, setup_.memory_mb));
    servers_.push_back(std::make_unique<bw::net::HttpServer>(
        options, [it = runners_.back().get()](const HttpRequest& request,
                                              const Responder& respond) {
          it->Serve(request, respond);
        }));
  }
  ticker_ = std::thread([this] {
    uint64_t next_announce = 0;
    while (!stop_) {
      store_.Tick();
      const bool announce = NowMs() >= next_announce;
      for (auto& it : runners_) {
        it->Tick();
        if (announce) {
          it->Announce();
        }
      }
      if (announce) {
        next_announce = NowMs() + 1500;  // heartbeatMs
      }
      SleepMs(5);
    }
  });
  pids_.assign(static_cast<size_t>(setup_.entries), 0);
  for (int n = 0; n < setup_.entries; ++n) {
    first_ports_.push_back(FreePorts(16));
  }
}

World::~World() {
  for (size_t n = 0; n < pids_.size(); ++n) {
    if (Alive(n)) {
      kill(pids_[n], SIGCONT);
      Signal(n, SIGKILL);
    }
  }
  stop_ = true;
  ticker_.join();
  servers_.clear();
  for (const auto& it : {"boot", "log"}) {
    for (size_t n = 0; n < pids_.size(); ++n) {
      if (std::getenv("KEEP_LOGS") == nullptr) {
        unlink((folder_ + "/" + it + std::to_string(n)).c_str());
      }
    }
  }
  rmdir(folder_.c_str());
}

/// Fills in the placeholders of the settings template, as the platform does.
std::string World::SettingsOf(size_t n) const {
  std::ifstream in("src/platform/settings.ini.in");
  std::stringstream buffer;
  buffer << in.rdbuf();
  std::string out = buffer.str();
  const int port = first_ports_[n];
  const std::vector<std::pair<std::string, std::string>> values = {
      {"nodeName", "front-" + std::to_string(n + 1)},
      {"zone", n % 2 == 0 ? "zone-a" : "zone-b"},
      {"limits.cpuShare", "0.25"},
      {"limits.cores", "1"},
      {"limits.maxFds", "4100"},
      {"listen.front", Local(port + 8)},
      {"listen.ready", Local(port + 9)},
      {"ip", "127.0.0.1"},
      {"portRange.0", std::to_string(port)},
      {"platform.address", store_address_},
      {"advice", advice_address_},
      {"platform.ttlMinMs", "1000"},
      {"platform.callBytes", "2097152"},
      {"timingBounds.holdMaxMs", "10000"},
      {"timingBounds.revokeMs", "5000"},
      {"timingBounds.graceS", "6"},
      {"timingBounds.status_s", "120"},
      {"timingBounds.farX", "3"}};
  for (const auto& it : values) {
    const std::string name = "{{" + it.first + "}}";
    for (auto at = out.find(name); at != std::string::npos;
         at = out.find(name)) {
      out.replace(at, name.size(), it.second);
    }
  }
  return out;
}

void World::StartEntry(size_t n) {
  const std::string settings = folder_ + "/boot" + std::to_string(n);
  std::ofstream(settings) << SettingsOf(n);
  const std::string log = folder_ + "/log" + std::to_string(n);
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with this process.
    for (int fd = 3; fd < 1024; ++fd) {
      close(fd);
    }
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    setenv("BILBERRYWING_BOOT", settings.c_str(), 1);
    // The line `run` of deploy/system.toml.
    execl("target/bin/bwentry", "target/bin/bwentry", nullptr);
    _exit(127);
  }
  pids_[n] = pid;
  Record("process front-%zu starts", n + 1);
}

void World::Signal(size_t n, int signal) {
  Record("process front-%zu gets signal %d", n + 1, signal);
  kill(pids_[n], signal);
  if (signal == SIGKILL) {
    waitpid(pids_[n], nullptr, 0);
    pids_[n] = 0;
  }
}

int World::Owner() {
  // A member's name begins with the instance's name: "front-N|...".
  const std::string name = store_.HolderOf("bilberrywing-cell", "keyed.cell");
  if (!name.starts_with("front-")) {
    return -1;
  }
  return std::atoi(name.c_str() + 6) - 1;
}

bool World::Start() {
  for (size_t n = 0; n < Entries(); ++n) {
    StartEntry(n);
  }
  const uint64_t until = NowMs() + 10'000;  // Traffic starts 10 s later.
  size_t ready = 0;
  while (NowMs() < until && ready < Entries()) {
    SleepMs(100);
    ready = 0;
    for (size_t n = 0; n < Entries(); ++n) {
      bw::net::HttpCall call;
      call.url = "http://" + Local(first_ports_[n] + 9) + "/v1/ready";
      call.timeout = std::chrono::milliseconds(500);
      ready += bw::net::CallAndWait(call).Ok() ? 1 : 0;
    }
  }
  while (NowMs() < until && Owner() < 0) {
    SleepMs(50);
  }
  SleepMs(2000);
  Record("%zu of %zu processes ready, owner front-%d", ready, Entries(),
         Owner() + 1);
  return ready == Entries() && Owner() >= 0;
}

Answer World::Call(const char* method,
                   const std::string& path,
                   const std::string& body,
                   size_t entry,
                   int timeout_ms,
                   const char* prefix) {
  bw::net::HttpCall call;
  call.method = method;
  call.url = "http://" + Local(first_ports_[entry] + 8) + prefix + path;
  call.body = body;
  call.timeout = std::chrono::milliseconds(timeout_ms);
  call.headers = {{"Host", kHost},
                  {"Bilberrywing-Credential", kKey},
                  {"Bilberrywing-Deadline-Ms", std::to_string(timeout_ms)}};
  if (!body.empty()) {
    call.headers.emplace_back("Content-Type", "application/json");
  }
  const auto result = bw::net::CallAndWait(call);
  Answer out;
  if (result.delivery == bw::net::DeliveryStatus::kResponded) {
    out.status = result.status;
    out.body = Json::parse(result.body, nullptr, false);
  }
  return out;
}

bool World::Submit(const std::string& id,
                   const Json& job,
                   int attempts,
                   const char* prefix) {
  const std::string body = job.dump();
  for (int n = 0; n < attempts; ++n) {
    const size_t entry = static_cast<size_t>(n) % Entries();
    const Answer answer = Call("POST", id, body, entry, 3000, prefix);
    Record("client: POST %s (%zu bytes) at front-%zu -> %d", id.c_str(),
           body.size(), entry + 1, answer.status);
    if (answer.status / 100 == 2) {
      return true;
    }
    SleepMs(500);
  }
  return false;
}

std::string World::State(const std::string& id, int attempts) {
  std::string last = "no answer";
  for (int n = 0; n < attempts; ++n) {
    const size_t entry = static_cast<size_t>(n) % Entries();
    const Answer answer = Call("GET", id, "", entry);
    if (answer.status == 200 && answer.body.is_object()) {
      last = answer.body.value("state", "");
      Record("client: GET %s at front-%zu -> 200 %s", id.c_str(), entry + 1,
             last.c_str());
      return last;
    }
    Record("client: GET %s at front-%zu -> %d", id.c_str(), entry + 1,
           answer.status);
    if (answer.status == 410) {
      return "410";
    }
    SleepMs(500);
  }
  return last;
}

Answer World::Cancel(const std::string& id) {
  Answer out;
  for (size_t n = 0; n < 6; ++n) {
    out = Call("DELETE", id, "", n % Entries());
    Record("client: DELETE %s at front-%zu -> %d", id.c_str(),
           n % Entries() + 1, out.status);
    if (out.status / 100 == 2 || out.status == 410) {
      return out;
    }
    SleepMs(300);
  }
  return out;
}

void World::RemoveSecondRoute() {
  store_.Put("keyed.op", "config", Configuration(false).dump());
  Record("operator: version 9, without the route /b/");
}

std::vector<Run> World::Runs() {
  std::vector<Run> out;
  for (auto& it : runners_) {
    auto runs = it->Runs();
    out.insert(out.end(), runs.begin(), runs.end());
  }
  std::sort(out.begin(), out.end(), [](const Run& a, const Run& b) {
    return std::tie(a.began_ms, a.task) < std::tie(b.began_ms, b.task);
  });
  return out;
}

size_t World::Running() {
  size_t out = 0;
  for (auto& it : runners_) {
    out += it->CountRunning();
  }
  return out;
}

void World::WriteRuns(size_t most) {
  const auto runs = Runs();
  Record("%zu runs in all; the first %zu:", runs.size(),
         std::min(most, runs.size()));
  for (size_t n = 0; n < std::min(most, runs.size()); ++n) {
    const Run& it = runs[n];
    Record("run: %s %lu on %s, began %.3f, ended %.3f %s, noted %.3f",
           it.task.c_str(), it.run, it.runner.c_str(),
           static_cast<double>(it.began_ms) / 1000,
           static_cast<double>(it.ended_ms) / 1000, it.how.c_str(),
           static_cast<double>(it.noted_ms) / 1000);
  }
}

}  // namespace review
