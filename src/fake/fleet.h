// Runs several stand-in servers of one kind in one process.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../net/http_server.h"
#include "../process_func.h"
#include "../text_func.h"

namespace bw::fake {

/// Creates `count` servers with `make` and serves them over HTTP on consecutive
/// ports, beginning at `listen`, until a stop signal arrives.
template <typename T, typename Make>
void ServeFleet(const std::string& listen, int64_t count, Make make) {
  const HostPort first = SplitAddress(listen);
  std::vector<std::unique_ptr<T>> fleet;
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  for (int64_t n = 0; n < count; ++n) {
    fleet.push_back(make());
    net::HttpServerOptions options;
    options.listen = first.host + ":" + std::to_string(first.port + n);
    servers.push_back(std::make_unique<net::HttpServer>(
        options, [it = fleet.back().get()](const net::HttpRequest& request,
                                           const net::Responder& respond) {
          it->Serve(request, respond);
        }));
  }
  WaitForStopSignal();
}

}  // namespace bw::fake
