#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "status_base.h"

namespace bw {
namespace {

constexpr const char* kPlain = "text/plain; charset=utf-8";

/// Sets the metrics of this process: processor time and resident memory.
void UpdateProcessMetrics(Metrics* metrics) {
  constexpr double kMicrosPerSecond = 1e6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / kMicrosPerSecond;
  };
  metrics->Set("process_cpu_seconds_total", "",
               seconds(usage.ru_utime) + seconds(usage.ru_stime));
  long pages = 0;
  long resident = 0;
  if (FILE* file = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(file, "%ld %ld", &pages, &resident) == 2) {
      metrics->Set("process_resident_memory_bytes", "",
                   static_cast<double>(resident * sysconf(_SC_PAGESIZE)));
    }
    std::fclose(file);
  }
}

}  // namespace

void StatusPages::Start(Kernel&) {
  server_ = std::make_unique<net::HttpServer>(
      net::HttpServerOptions{.listen = listen_},
      [this](const net::HttpRequest& request, const net::Responder& respond) {
        Serve(request, respond);
      });
}

void StatusPages::Serve(const net::HttpRequest& request,
                        const net::Responder& respond) {
  if (request.path == "/healthz") {
    respond({200, kPlain, "ok\n", {}});
  } else if (request.path == "/readyz") {
    const bool ready = parts_.is_ready();
    respond({ready ? 200 : 503, kPlain, ready ? "ready\n" : "not ready\n", {}});
  } else if (request.path == "/metrics") {
    UpdateProcessMetrics(parts_.metrics);
    respond({200, "text/plain; version=0.0.4", parts_.metrics->ToText(), {}});
  } else if (request.path == "/status") {
    respond({200, "application/json", parts_.status() + "\n", {}});
  } else if (request.path == "/timeline") {
    const uint64_t after =
        std::strtoull(request.Query("after").c_str(), nullptr, 10);
    respond({200, "application/x-ndjson", parts_.events->ToLines(after), {}});
  } else if (request.path == "/drain" && request.method == "POST") {
    respond({200, kPlain, "draining\n", {}});
    kill(getpid(), SIGTERM);  // The platform requests a drain the same way.
  } else {
    respond({404, kPlain, "no such page\n", {}});
  }
}

}  // namespace bw
