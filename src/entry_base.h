// The service "entry": front and owner of one entry instance, on one core
// thread.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "advisor_base.h"
#include "config_watch_base.h"
#include "front_base.h"
#include "kernel_base.h"
#include "membership_base.h"
#include "metric_base.h"
#include "net/http_server.h"
#include "owner_base.h"
#include "timeline_base.h"

namespace bw {

/// Settings of an entry instance, already checked.
struct EntryOptions {
  std::string listen_front;
  std::string listen_ready;
  std::string listen_metrics;
  std::string store;
  std::string advice;
  size_t max_call_bytes = 1 << 20;
  milliseconds grace{6000};  ///< Between SIGTERM and SIGKILL.
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
  void Stop() override;

  /// Takes changed bounds into force: those of callers' calls at once, those of
  /// the cell from the next take-over on. Thread-safe.
  void Reload(const EntryOptions& options);

 private:
  void Tick();
  void OnQuestion(const proto::Envelope& question, net::Mesh::Reply reply);
  void AnswerCell(const proto::CellCall& call, net::Mesh::Reply reply);
  void AnswerAdvice(const proto::AdviceCall& call, net::Mesh::Reply reply);
  net::HttpResponse Page(const net::HttpRequest& request) const;
  void UpdateMetrics(Time now);

  const EntryOptions options_;
  Metrics metrics_;
  HybridClock clock_;
  std::unique_ptr<net::HttpClient> http_;
  std::unique_ptr<platform::Store> store_;
  Loop core_;
  ConfigWatch config_;
  Membership membership_;
  Advisor advisor_;
  Owner owner_;
  Front front_;
  std::unique_ptr<net::Mesh> mesh_;
  std::unique_ptr<net::HttpServer> front_server_;
  std::unique_ptr<net::HttpServer> ready_server_;
  std::unique_ptr<net::HttpServer> metrics_server_;
  Time next_metrics_ = kNever;
  std::atomic<bool> draining_{false};
  std::atomic<bool> handed_over_{false};
  bool leaving_ = false;
  Time drain_began_ = kNever;
};

}  // namespace bw
