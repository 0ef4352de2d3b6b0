// The service "status": pages for the balancer, operators and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel_base.h"
#include "metric_base.h"
#include "net/http_server.h"
#include "timeline_base.h"

namespace bw {

/// What the pages show. @pre The pointers outlive the service; the functions
/// are thread-safe.
struct StatusParts {
  Metrics* metrics = nullptr;
  Timeline* events = nullptr;
  std::function<bool()> is_ready;
  std::function<std::string()> status;  ///< JSON; holds no secrets.
};

/// Serves /healthz, /readyz, /metrics, /status and /timeline.
class StatusPages : public Service {
 public:
  StatusPages(std::string listen, StatusParts parts)
      : listen_(std::move(listen)), parts_(std::move(parts)) {}

  void Start(Kernel& kernel) override;
  void Stop() override { server_.reset(); }

 private:
  void Serve(const net::HttpRequest& request, const net::Responder& respond);

  const std::string listen_;
  const StatusParts parts_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace bw
