#include "entry_base.h"

#include <exception>
#include <thread>
#include <utility>

#include "event_log_func.h"
#include "platform/deployment.h"
#include "thread_cpu_func.h"

namespace bw {
namespace {

constexpr milliseconds kCoreTick{20};
/// A longer interruption of the core thread is logged.
constexpr milliseconds kCoreGap{1000};
constexpr long kConnectionsPerHost = 8;
/// Standbys find that there is no owner within this time.
constexpr milliseconds kMaxOfferTime{1000};
constexpr milliseconds kMetricsEvery{1000};
/// The load balancer stops sending callers after two failed readiness checks,
/// which are one second apart.
constexpr milliseconds kBalancerReactionTime{2500};
/// While draining, calls are refused from this long before SIGKILL on.
constexpr milliseconds kRefuseBeforeKill{1600};
constexpr milliseconds kIdleConnection{60'000};
/// Until there is a configuration.
constexpr size_t kMaxBodyBytes = 1 << 20;
/// Of the connections: of the readiness check and of the metrics, each.
constexpr double kOtherConnectionShare = 0.05;
/// Of requests that need no body.
constexpr size_t kMaxOtherBodyBytes = 16 << 10;
/// Longest wait for a listen address that is in use, as by a former process
/// that is ending.
constexpr milliseconds kMaxListenWait{5000};
constexpr milliseconds kListenRetryPause{200};

/// Calls `listen` again if it throws, for kMaxListenWait at most.
template <typename F>
auto ListenWithRetry(const std::string& address, const F& listen) {
  const Time limit = BootClock::now() + kMaxListenWait;
  while (true) {
    try {
      return listen();
    } catch (const std::exception& e) {
      LogEvent(Part::kKernel, "listen_failed",
               {{"address", address}, {"error", e.what()}});
      if (BootClock::now() >= limit) {
        throw;
      }
    }
    std::this_thread::sleep_for(kListenRetryPause);
  }
}

std::unique_ptr<net::HttpServer> Listen(const net::HttpServerOptions& options,
                                        const net::HttpHandler& handler) {
  return ListenWithRetry(options.listen, [&] {
    return std::make_unique<net::HttpServer>(options, handler);
  });
}

}  // namespace

Entry::Entry(EntryOptions options)
    : options_(std::move(options)),
      http_(net::MakeHttpClient(kConnectionsPerHost,
                                options_.backend_connections)),
      store_http_(net::MakeHttpClient(kConnectionsPerHost)),
      store_(platform::MakeHttpStore(options_.store, store_http_.get())),
      core_(
          kCoreTick,
          kCoreGap,
          [this] { Tick(); },
          [] { LogEvent(Part::kKernel, "process_was_held_up", {}); }),
      evacuations_(options_.evacuate),
      config_(store_.get(), &core_, &evacuations_),
      membership_(options_.membership, store_.get(), &core_),
      advisor_(options_.advice, http_.get(), &core_),
      owner_(options_.cell,
             options_.max_call_bytes,
             {store_.get(), http_.get(), &core_, &membership_, &config_,
              &advisor_, &metrics_, &evacuations_}),
      relay_server_(http_.get(),
                    &core_,
                    &evacuations_,
                    options_.membership.zone,
                    options_.membership.address),
      front_(options_.front,
             {&core_, &membership_, &config_, &owner_, &metrics_}),
      max_body_bytes_(kMaxBodyBytes),
      budget_(std::make_shared<net::CallerBudget>(options_.unfinished_bytes)) {}

Entry::~Entry() = default;

void Entry::Start(Kernel&) {
  const std::string& listen = options_.listen_mesh.empty()
                                  ? options_.membership.address
                                  : options_.listen_mesh;
  mesh_ = ListenWithRetry(listen, [this, &listen] {
    return net::MakeMesh(
        {listen, options_.membership.name}, &clock_,
        [this](const proto::Envelope& request, net::Mesh::Reply reply) {
          OnMeshRequest(request, std::move(reply));
        });
  });
  owner_.SetMesh(mesh_.get());
  relay_server_.SetMesh(mesh_.get());
  front_.SetMesh(mesh_.get());
  config_.Start([this](const ConfigWatch::ConfigPtr& it) {
    max_body_bytes_ = it->max_body_bytes;
    owner_.OnConfig(it);
  });
  membership_.Start({[this](uint64_t generation) { owner_.OnGain(generation); },
                     [this] { owner_.OnLose(); },
                     [this](const std::string& to) {
                       core_.Post([this, to] {
                         LogEvent(Part::kMember, "cell_offered", {{"to", to}});
                         OfferCell(to, BootClock::now() + kMaxOfferTime);
                       });
                     }});
  core_.SetIdleCallback([this] { owner_.Idle(BootClock::now()); });
  core_.SetErrorCallback([this] { owner_.OnUnexpectedError(); });
  core_.Start();
  net::HttpServerOptions front;
  front.listen = options_.listen_front;
  front.read_timeout = kIdleConnection;
  front.max_body_bytes_now = [this] { return max_body_bytes_.load(); };
  front.connection_share = 1 - 2 * kOtherConnectionShare;
  front.budget = budget_;
  front_server_ = Listen(
      front, [this](const net::HttpRequest& request, net::Responder respond) {
        front_.Serve(request, std::move(respond));
      });
  net::HttpServerOptions ready;
  ready.listen = options_.listen_ready;
  ready.read_timeout = kIdleConnection;
  ready.max_body_bytes = kMaxOtherBodyBytes;
  ready.connection_share = kOtherConnectionShare;
  ready.budget = budget_;
  ready_server_ = Listen(ready, [this](const net::HttpRequest& request,
                                       const net::Responder& respond) {
    respond(ReadyPage(request));
  });
  if (!options_.listen_metrics.empty()) {
    net::HttpServerOptions metrics;
    metrics.listen = options_.listen_metrics;
    metrics.max_body_bytes = kMaxOtherBodyBytes;
    metrics.connection_share = kOtherConnectionShare;
    metrics.budget = budget_;
    metrics_server_ = Listen(metrics, [this](const net::HttpRequest&,
                                             const net::Responder& respond) {
      net::HttpResponse out;
      out.content_type = "text/plain; version=0.0.4";
      out.body = metrics_.ToText();
      respond(out);
    });
  }
}

void Entry::Reload(const EntryOptions& options) {
  evacuations_.SetBound(options.evacuate);
  core_.Post([this, cell = options.cell, front = options.front] {
    owner_.SetOptions(cell);
    front_.SetOptions(front);
  });
}

net::HttpResponse Entry::ReadyPage(const net::HttpRequest& request) const {
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  net::HttpResponse out;
  if (request.path != platform::kReadyPath) {
    out.status = kNotFound;
  } else if (!front_.IsReady()) {
    out.status = kUnavailable;
  }
  return out;
}

void Entry::Tick() {
  const Time now = BootClock::now();
  config_.Tick(now);
  membership_.Tick(now);
  owner_.Tick(now);
  relay_server_.Tick(now);
  front_.Tick(now);
  UpdateMetrics(now);
  if (unsent_offer_) {
    const UnsentOffer offer = *std::exchange(unsent_offer_, std::nullopt);
    OfferCell(offer.to, offer.until);
  }
  if (!owner_.IsFlushed()) {
    return;
  }
  if (!draining_) {
    membership_.HandOverToLarger(now);
  } else if (!leaving_) {
    leaving_ = true;
    membership_.Leave([this] { handed_over_ = true; });
  }
}

/// Offers the cell again while there is no connection to the instance. Without
/// an offer, a standby finds that there is no owner.
void Entry::OfferCell(const std::string& to, Time until) {
  constexpr milliseconds kOfferTimeout{1000};
  proto::Envelope offer;
  offer.mutable_cell_offer();
  mesh_->SendRequest(
      to, std::move(offer), kOfferTimeout, {}, [this, to, until] {
        if (BootClock::now() < until) {
          core_.Post([this, to, until] { unsent_offer_ = {to, until}; });
        }
      });
}

void Entry::UpdateMetrics(Time now) {
  if (now < next_metrics_) {
    return;
  }
  next_metrics_ = now + kMetricsEvery;
  const auto counts = owner_.Count();
  metrics_.Set("bw_owner", "", owner_.IsActive() ? 1 : 0);
  metrics_.Set("bw_jobs", "", static_cast<double>(counts.jobs));
  metrics_.Set("bw_runs", "", static_cast<double>(counts.runs));
  metrics_.Set("bw_early_cancels", "",
               static_cast<double>(counts.early_cancels));
  metrics_.Set("bw_waiting_steps", "",
               static_cast<double>(counts.waiting_steps));
  metrics_.Set("bw_backends", "", static_cast<double>(counts.servers));
  metrics_.Set("bw_backends_usable", "",
               static_cast<double>(counts.usable_servers));
  metrics_.Set("bw_free_millicores", "",
               static_cast<double>(counts.free_millicores));
  metrics_.Set("bw_evacuated_zones", "",
               static_cast<double>(evacuations_.Zones().size()));
  metrics_.Set("bw_config_age_seconds", "", config_.ConfigAgeMs(now) / 1000.0);
  metrics_.Set(
      "bw_config_version", "",
      config_.Current() ? static_cast<double>(config_.Current()->version) : 0);
  metrics_.Set("bw_renewal_age_seconds", "",
               membership_.RenewalAgeMs(now) / 1000.0);
  metrics_.Set("bw_open_calls", "", static_cast<double>(front_.OpenCalls()));
  ReportRefusals();
  const auto cpu_us = ReadThreadCpu();
  for (const auto& it : cpu_us) {
    constexpr double kMicrosPerSecond = 1e6;
    metrics_.Set("bw_cpu_seconds", "thread=\"" + it.first + "\"",
                 static_cast<double>(it.second) / kMicrosPerSecond);
  }
  const auto queue_delay =
      std::chrono::duration_cast<milliseconds>(core_.TakeMaxQueueDelay());
  metrics_.Set("bw_max_queue_delay_seconds", "",
               static_cast<double>(queue_delay.count()) / 1000.0);
  const auto records = owner_.CountRecords();
  metrics_.Set("bw_append_latency_seconds", "",
               static_cast<double>(records.latency_ms) / 1000.0);
  metrics_.Set("bw_records_refused", "", static_cast<double>(records.refused));
  if (owner_.IsActive()) {
    LogEvent(Part::kPlacer, "cell_state",
             {{"jobs", counts.jobs},
              {"runs", counts.runs},
              {"waiting_steps", counts.waiting_steps},
              {"usable", counts.usable_servers},
              {"backends", counts.servers},
              {"free_millicores", counts.free_millicores},
              {"total_millicores", counts.total_millicores},
              {"passes", counts.passes},
              {"pass_us", counts.pass_us},
              {"questions", counts.advice_queries},
              {"questions_ms", counts.advice_query_ms},
              {"advice_busy", counts.advice_busy},
              {"members", membership_.Members().size()},
              {"queued_steps", core_.QueueSize()},
              {"appends", records.calls},
              {"records", records.records},
              {"record_bytes", records.bytes},
              {"append_ms", records.latency_ms},
              {"unsent_batches", records.queued},
              {"max_queue_ms", queue_delay.count()},
              {"cpu_us", cpu_us}});
  }
}

/// Called once per kMetricsEvery, which bounds the log lines.
void Entry::ReportRefusals() {
  const auto counts = budget_->Count();
  const auto set = [this](const char* why, uint64_t count) {
    metrics_.Set("bw_callers_refused", std::string("why=\"") + why + "\"",
                 static_cast<double>(count));
  };
  set("too_large", counts.too_large);
  set("closed", counts.closed);
  set("no_room", counts.refused);
  metrics_.Set("bw_unfinished_bytes", "", static_cast<double>(budget_->Used()));
  const uint64_t all = counts.too_large + counts.closed + counts.refused;
  if (all != logged_refusals_) {
    logged_refusals_ = all;
    LogEvent(Part::kGate, "callers_refused",
             {{"too_large", counts.too_large},
              {"closed", counts.closed},
              {"no_room", counts.refused},
              {"used_bytes", budget_->Used()},
              {"limit_bytes", options_.unfinished_bytes}});
  }
}

void Entry::OnMeshRequest(const proto::Envelope& request,
                          net::Mesh::Reply reply) {
  if (request.has_cell_call()) {
    const proto::CellCall& call = request.cell_call();
    if (IsDeferrable(call)) {
      core_.PostDeferrable([this, call, reply](Duration queued) {
        HandleCellCall(call, queued, reply);
      });
    } else {
      core_.Post([this, call, reply] {
        HandleCellCall(call, Duration::zero(), reply);
      });
    }
  } else if (request.has_relay_request()) {
    relay_server_.OnRequest(request.relay_request());
  } else if (request.has_relay_results()) {
    owner_.OnRelayResults(request.relay_results());
  } else if (request.has_cell_offer()) {
    core_.Post([this] { membership_.AcceptOffer(); });
  } else if (request.has_advice_call()) {
    core_.Post([this, call = request.advice_call(), reply] {
      HandleAdviceCall(call, reply);
    });
  }
}

void Entry::HandleCellCall(const proto::CellCall& call,
                           Duration queued,
                           net::Mesh::Reply reply) {
  owner_.Handle(call, queued, [reply](const CellOutcome& outcome) {
    proto::Envelope out;
    auto* it = out.mutable_cell_reply();
    it->set_verdict(static_cast<uint32_t>(outcome.status));
    it->set_state(outcome.state);
    it->set_count(outcome.count);
    it->set_retry_after_ms(outcome.retry_after_ms);
    it->set_reason(outcome.reason);
    it->set_applies_ms(outcome.applies_ms);
    reply(out);
  });
}

void Entry::HandleAdviceCall(const proto::AdviceCall& call,
                             net::Mesh::Reply reply) {
  advisor_.Query(call.step(), {call.backends().begin(), call.backends().end()},
                 milliseconds(call.wait_ms()),
                 [reply](const platform::AdviceResponse& response) {
                   proto::Envelope out;
                   auto* it = out.mutable_advice_reply();
                   it->set_answered(response.answered);
                   it->set_overloaded(response.overloaded);
                   it->set_valid_ms(response.valid_ms);
                   for (const auto& row : response.recommended) {
                     auto* ticket = it->add_good();
                     ticket->set_backend(row.backend.value);
                     ticket->set_text(row.text);
                   }
                   reply(out);
                 });
}

void Entry::Drain() {
  drain_began_ = BootClock::now();
  front_.Drain(drain_began_ + options_.grace - kRefuseBeforeKill);
  draining_ = true;
}

void Entry::Close() {
  front_.Drain(BootClock::now());
}

bool Entry::IsBusy() const {
  return !draining_ || front_.OpenCalls() > 0 ||
         BootClock::now() - drain_began_ < kBalancerReactionTime;
}

void Entry::Stop() {
  front_server_.reset();
  ready_server_.reset();
  metrics_server_.reset();
  core_.Stop();
  // Before the HTTP clients: a peer's message may still need one. Their
  // callbacks reach the mesh through the core thread only.
  mesh_.reset();
  http_.reset();
  store_http_.reset();
}

}  // namespace bw
