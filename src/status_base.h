// The service "status": HTTP pages for the load balancer, operators and the
// metrics collector.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel_base.h"
#include "metric_base.h"
#include "net/http_server.h"
#include "timeline_base.h"

namespace bw {

/// Sources of the pages' contents. @pre The pointers outlive the service; the
/// functions are thread-safe.
struct StatusParts {
  Metrics* metrics = nullptr;
  Timeline* events = nullptr;
  std::function<bool()> is_ready;
  std::function<std::string()> status;  ///< JSON without secrets.
};

/// Serves /healthz, /readyz, /metrics, /status and /timeline, and POST /drain.
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
