// The service "entry": the front and the owner of one instance of bwentry, on
// one core thread.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "advisor_base.h"
#include "config_watch_base.h"
#include "front_base.h"
#include "kernel_base.h"
#include "membership_base.h"
#include "metric_base.h"
#include "net/http_server.h"
#include "owner_base.h"
#include "relay_server_base.h"
#include "timeline_base.h"

namespace bw {

/// Validated settings of an instance of bwentry.
struct EntryOptions {
  std::string listen_front;  ///< "ip:port" for callers.
  /// "ip:port" for other instances; empty: membership.address.
  std::string listen_mesh;
  std::string listen_ready;    ///< "ip:port" of the readiness check.
  std::string listen_metrics;  ///< "ip:port" of the metrics; empty: none.
  std::string store;           ///< "ip:port" of the platform's store.
  std::string advice;  ///< "ip:port" of the advice service; may be empty.
  long backend_connections = 1024;     ///< Kept open to backend servers.
  size_t max_call_bytes = 1 << 20;     ///< Most record bytes in one store call.
  size_t unfinished_bytes = 64 << 20;  ///< See net::CallerBudget.
  milliseconds grace{6000};            ///< Between SIGTERM and SIGKILL.
  milliseconds evacuate{0};  ///< See EvacuationView; 0: without a limit.
  MembershipOptions membership;
  CellOptions cell;
  FrontOptions front;
};

/// Start and Stop run on the main thread.
class Entry : public Service {
 public:
  explicit Entry(EntryOptions options);
  ~Entry() override;

  void Start(Kernel& kernel) override;
  void Drain() override;
  bool IsBusy() const override;
  void Close() override;
  void Stop() override;

  /// Applies changed settings: those of the front immediately, those of the
  /// cell from the next take-over on. Thread-safe.
  void Reload(const EntryOptions& options);

 private:
  void Tick();
  void OnMeshRequest(const proto::Envelope& request, net::Mesh::Reply reply);
  void OfferCell(const std::string& to, Time until);
  void HandleCellCall(const proto::CellCall& call,
                      Duration queued,
                      net::Mesh::Reply reply);
  void HandleAdviceCall(const proto::AdviceCall& call, net::Mesh::Reply reply);
  net::HttpResponse ReadyPage(const net::HttpRequest& request) const;
  void UpdateMetrics(Time now);
  void ReportRefusals();

  const EntryOptions options_;
  Metrics metrics_;
  HybridClock clock_;
  std::unique_ptr<net::HttpClient> http_;
  /// The store has a client of its own, so that renewals and appends do not
  /// wait behind bursts of orders.
  std::unique_ptr<net::HttpClient> store_http_;
  std::unique_ptr<platform::Store> store_;
  EventLoop core_;
  EvacuationView evacuations_;
  ConfigWatch config_;
  Membership membership_;
  Advisor advisor_;
  Owner owner_;
  RelayServer relay_server_;
  Front front_;
  std::unique_ptr<net::Mesh> mesh_;
  /// Of the newest configuration.
  std::atomic<size_t> max_body_bytes_;
  const std::shared_ptr<net::CallerBudget> budget_;
  uint64_t logged_refusals_ = 0;
  std::unique_ptr<net::HttpServer> front_server_;
  std::unique_ptr<net::HttpServer> ready_server_;
  std::unique_ptr<net::HttpServer> metrics_server_;
  /// An offer of the cell that waits for a connection.
  struct UnsentOffer {
    std::string to;  ///< Mesh address.
    Time until;
  };
  std::optional<UnsentOffer> unsent_offer_;
  Time next_metrics_ = kNever;
  std::atomic<bool> draining_{false};
  std::atomic<bool> handed_over_{false};
  bool leaving_ = false;
  Time drain_began_ = kNever;
};

}  // namespace bw
