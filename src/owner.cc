#include "owner_base.h"

#include <algorithm>
#include <set>

#include "event_log_func.h"
#include "platform/configuration.h"

namespace bw {
namespace {

/// Delay before a failed step of a take-over or a failed read is repeated.
constexpr milliseconds kRetryPause{150};
constexpr milliseconds kBackendReadInterval{300};
/// Age of a renewal or an unanswered append beyond which the store, or a part
/// of it, counts as unavailable. A slow store takes 0.8 s to reply.
constexpr uint32_t kStoreTimeoutMs = 1100;
/// New jobs that waited longer than this for the core thread are refused: it
/// is busy with work accepted earlier.
constexpr milliseconds kMaxQueueTime{500};

const platform::Partition& BackendPartition() {
  static const platform::Partition out{platform::kBackendTopic, 0};
  return out;
}

}  // namespace

bool IsDeferrable(const proto::CellCall& call) {
  return static_cast<CellCallKind>(call.kind()) != CellCallKind::kCancel;
}

Owner::Owner(CellOptions options, size_t max_call_bytes, OwnerParts parts)
    : options_(options),
      max_call_bytes_(max_call_bytes),
      parts_(parts),
      relay_(parts.http) {}

Owner::~Owner() = default;

/// Wraps a callback so that it runs on the core thread, and only if the cell
/// was not lost since.
template <typename F>
auto Owner::BindToTenure(F step) {
  return
      [this, tenure = tenure_, step = std::move(step)](const auto& response) {
        parts_.core->PostBlocking([this, tenure, step, response] {
          if (tenure == tenure_) {
            step(response);
          }
        });
      };
}

void Owner::OnGain(uint64_t generation) {
  ++tenure_;
  epoch_ = generation;
  gained_at_ = BootClock::now();
  loaded_ = false;
  backends_loaded_ = false;
  reading_backends_ = false;
  advice_pool_ = AdvicePool();
  order_timeout_ = OrderTimeout();
  CellOptions options = options_;
  options.owner_number = epoch_;
  options.wall_ms = wall_.Read(gained_at_);
  cell_ = std::make_unique<Cell>(options, static_cast<CellPort*>(this));
  log_ = std::make_unique<RecordLog>(
      parts_.store, parts_.core, epoch_,
      RecordLimits{max_call_bytes_, options.max_record_bytes}, [this] {
        const uint64_t tenure = tenure_;
        parts_.core->Post([this, tenure] {
          if (tenure == tenure_) {
            OnFenced();
          }
        });
      });
  if (parts_.config->Current()) {
    cell_->SetConfig(parts_.config->Current());
  }
  FenceFormerOwners();
}

void Owner::OnLose() {
  ++tenure_;
  loaded_ = false;
  retry_step_ = nullptr;
  log_.reset();
  cell_.reset();
}

void Owner::OnConfig(const ConfigWatch::ConfigPtr& config) {
  if (cell_) {
    cell_->SetConfig(config);
  }
}

/// Raises the producer's epoch, so that former owners can store nothing more.
void Owner::FenceFormerOwners() {
  platform::StoreAppend append;
  append.partition = CellPartition();
  append.producer = kCellProducer;
  append.epoch = epoch_;
  parts_.store->Append(
      std::move(append), milliseconds(1000),
      BindToTenure([this](const platform::AppendResponse& response) {
        if (response.status == platform::StoreStatus::kOk) {
          LoadRecords({});
        } else if (response.status == platform::StoreStatus::kFenced) {
          OnFenced();
        } else {
          LogEvent(Part::kPlacer, "fence_failed",
                   {{"status", platform::StatusName(response.status)}});
          retry_step_ = [this] { FenceFormerOwners(); };
          retry_at_ = BootClock::now() + kRetryPause;
        }
      }));
}

void Owner::LoadRecords(const std::string& after) {
  parts_.store->ReadNewest(
      CellPartition(), after,
      BindToTenure([this, after](const platform::NewestResponse& response) {
        if (response.status == platform::StoreStatus::kOk) {
          OnRecordPage(response);
          return;
        }
        retry_step_ = [this, after] { LoadRecords(after); };
        retry_at_ = BootClock::now() + kRetryPause;
      }));
}

void Owner::OnRecordPage(const platform::NewestResponse& response) {
  const Time now = BootClock::now();
  for (const auto& it : response.records) {
    cell_->Load(it.key, it.value, now);
  }
  if (response.more && !response.records.empty()) {
    LoadRecords(response.records.back().key);
    return;
  }
  Activate();
}

void Owner::Activate() {
  const Time now = BootClock::now();
  loaded_ = true;
  cell_->OnLoaded(now);
  LogEvent(Part::kPlacer, "owner_active",
           {{"epoch", epoch_}, {"took_ms", AgeMs(gained_at_, now)}});
  first_backend_page_ = true;
  ReadAllBackends({});
}

void Owner::ReadAllBackends(const std::string& after) {
  reading_backends_ = true;
  parts_.store->ReadNewest(
      BackendPartition(), after,
      BindToTenure([this](const platform::NewestResponse& response) {
        reading_backends_ = false;
        OnBackendPage(response);
      }));
}

void Owner::OnBackendPage(const platform::NewestResponse& response) {
  if (response.status != platform::StoreStatus::kOk) {
    first_backend_page_ = true;
    next_backend_read_ = BootClock::now() + kRetryPause;
    return;
  }
  if (first_backend_page_) {
    first_backend_page_ = false;
    next_backend_offset_ = response.end;
    listed_backends_.clear();
  }
  for (const auto& it : response.records) {
    listed_backends_.push_back(it.key);
    ApplyBackend(it.key, it.value);
  }
  if (response.more && !response.records.empty()) {
    ReadAllBackends(response.records.back().key);
    return;
  }
  const std::set<std::string> listed(listed_backends_.begin(),
                                     listed_backends_.end());
  cell_->RetainBackends(listed);
  backends_loaded_ = true;
  next_backend_read_ = BootClock::now() + kBackendReadInterval;
}

void Owner::ReadBackendChanges() {
  reading_backends_ = true;
  parts_.store->Read(
      BackendPartition(), next_backend_offset_, milliseconds(0),
      BindToTenure([this](const platform::ReadResponse& response) {
        reading_backends_ = false;
        OnBackendChanges(response);
      }));
}

void Owner::OnBackendChanges(const platform::ReadResponse& response) {
  next_backend_read_ = BootClock::now() + kBackendReadInterval;
  if (response.status == platform::StoreStatus::kExpired) {
    backends_loaded_ = false;
    first_backend_page_ = true;
    next_backend_read_ = kNever;
    return;
  }
  if (response.status != platform::StoreStatus::kOk) {
    return;
  }
  for (const auto& it : response.records) {
    const auto record = platform::ReadKeyedRecord(it);
    ApplyBackend(record.key, record.value);
  }
  next_backend_offset_ += response.records.size();
}

void Owner::ApplyBackend(const std::string& id, const std::string& value) {
  if (id.empty()) {
    return;
  }
  if (value.empty()) {
    cell_->DropBackend(BackendId(id));
    return;
  }
  if (auto entry = platform::ReadBackendEntry(id, value)) {
    cell_->SetBackend(*entry, BootClock::now());
  } else {
    LogEvent(Part::kPlacer, "backend_unreadable",
             {{"backend", id}, {"bytes", value.size()}});
  }
}

/// Chooses the relays now and then, as instances and backend servers change.
void Owner::ChooseRelays(Time now) {
  constexpr milliseconds kInterval{1000};
  if (now < next_relay_choice_) {
    return;
  }
  next_relay_choice_ = now + kInterval;
  const FleetMember& self = parts_.membership->Self();
  relay_.SetRelays(bw::ChooseRelays(parts_.membership->Fleet(), self,
                                    cell_->CountServersByZone()),
                   self.address);
}

void Owner::OnStartHeldBack(const ZoneId& zone, Time now) {
  const bool evacuated = CheckStart(zone, now) == StartPermission::kEvacuated;
  parts_.metrics->Count(
      "bw_starts_held_back_total",
      evacuated ? R"(why="zone evacuated")" : R"(why="view too old")");
}

/// Logs when starts stop because the operator's records cannot be read, and
/// when they go on.
void Owner::LogHeldStarts(Time now) {
  const bool held = !parts_.evacuations->IsCurrent(now);
  if (held != starts_held_) {
    starts_held_ = held;
    LogEvent(Part::kPlacer, held ? "starts_held" : "starts_go_on",
             {{"view_age_ms", parts_.config->ConfigAgeMs(now)}});
  }
}

void Owner::Tick(Time now) {
  relay_.Tick(now);
  if (!cell_) {
    return;
  }
  LogHeldStarts(now);
  if (retry_step_ && now >= retry_at_) {
    auto retry = std::move(retry_step_);
    retry_step_ = nullptr;
    retry();
  }
  if (!loaded_) {
    return;
  }
  if (!reading_backends_ && now >= next_backend_read_) {
    if (backends_loaded_) {
      ReadBackendChanges();
    } else {
      ReadAllBackends({});
    }
  }
  ChooseRelays(now);
  cell_->Tick(now, wall_.Read(now));
}

void Owner::Idle(Time now) {
  if (cell_ && loaded_) {
    cell_->Run(now);
    if (log_) {
      log_->Flush(now);
    }
  }
  relay_.Flush();
}

Cell::Counts Owner::Count() const {
  return IsActive() ? cell_->Count() : Cell::Counts{};
}

void Owner::OnUnexpectedError() {
  if (cell_) {
    parts_.membership->Resign();
  }
}

void Owner::Handle(const proto::CellCall& call,
                   Duration queued,
                   CellDone done) {
  if (!IsActive() || !parts_.membership->MayAct()) {
    CellOutcome out;
    out.status = CellStatus::kNotOwner;
    out.reason = "not the owner";
    done(out);
    return;
  }
  const Time now = BootClock::now();
  const JobId job(call.job());
  const TeamId team(call.team());
  switch (static_cast<CellCallKind>(call.kind())) {
    case CellCallKind::kSubmit:
      if (queued > kMaxQueueTime && !cell_->Knows(job)) {
        done(cell_->RefuseOverload(job, "the owner is busy"));
        return;
      }
      cell_->Submit(job, team, QueueId(call.queue()), call.body(), now,
                    std::move(done));
      return;
    case CellCallKind::kState:
      done(cell_->State(job, team));
      return;
    case CellCallKind::kCancel:
      cell_->Cancel(job, team, now, std::move(done));
      return;
    case CellCallKind::kCount: {
      CellOutcome out;
      out.count = cell_->CountWaiting(QueueId(call.queue()));
      done(out);
      return;
    }
  }
  CellOutcome out;
  out.status = CellStatus::kMalformed;
  done(out);
}

void Owner::Start(const BackendEntry& to,
                  platform::StartOrder order,
                  bool repeated) {
  const RunRef run = order.run;
  const Time sent = BootClock::now();
  const milliseconds timeout =
      repeated ? order_timeout_.Final() : order_timeout_.First();
  parts_.metrics->Count("bw_orders_total", R"(kind="start")");
  relay_.Send(
      to, platform::MakeStartCall(to, order, timeout),
      [membership = parts_.membership, evacuations = parts_.evacuations,
       zone = to.zone] {
        return membership->MayAct() &&
               evacuations->MayStartIn(zone, BootClock::now());
      },
      BindToTenure(
          [this, id = to.id, run, sent](const net::HttpResult& result) {
            const Time now = BootClock::now();
            if (result.delivery == net::DeliveryStatus::kResponded) {
              order_timeout_.OnResponse(now - sent);
            }
            cell_->OnStartResponse(id, run, platform::ParseOrderResult(result),
                                   sent, now);
          }));
}

void Owner::Stop(const BackendEntry& to,
                 const RunRef& run,
                 uint64_t fencing_token) {
  parts_.metrics->Count("bw_orders_total", R"(kind="stop")");
  relay_.Send(
      to,
      platform::MakeStopCall(to, run, fencing_token, order_timeout_.Final()),
      {}, BindToTenure([this, id = to.id, run](const net::HttpResult& result) {
        cell_->OnStopResponse(id, run, platform::ParseOrderResult(result),
                              BootClock::now());
      }));
}

void Owner::Poll(const BackendEntry& to, platform::PollRequest request) {
  const Time sent = BootClock::now();
  parts_.metrics->Count("bw_orders_total", R"(kind="hold")");
  const milliseconds timeout =
      order_timeout_.Final() +
      milliseconds(static_cast<int64_t>(request.wait_ms));
  relay_.Send(
      to, platform::MakePollCall(to, request, timeout), {},
      BindToTenure([this, id = to.id, sent](const net::HttpResult& result) {
        cell_->OnPollResponse(id, platform::ParseBackendReport(result), sent,
                              BootClock::now());
      }));
}

bool Owner::QueryAdvice(const StepRef& step,
                        const std::vector<BackendId>& backends,
                        milliseconds expected,
                        bool urgent) {
  const Time now = BootClock::now();
  const std::string to =
      advice_pool_.Acquire(parts_.membership->Members(), expected, urgent, now);
  if (to.empty()) {
    return false;
  }
  const milliseconds timeout = advice_pool_.ResponseTimeout(to, now);
  const auto finish = [this, tenure = tenure_, step, backends,
                       to](const platform::AdviceResponse& response) {
    if (tenure == tenure_) {
      OnAdviceResponse(to, step, backends, response);
    }
  };
  std::vector<std::string> names;
  names.reserve(backends.size());
  for (const auto& it : backends) {
    names.push_back(it.value);
  }
  if (parts_.membership->IsSelf(to)) {
    parts_.advisor->Query(platform::StepName(step), std::move(names), timeout,
                          finish);
    return true;
  }
  proto::Envelope request;
  auto* call = request.mutable_advice_call();
  call->set_step(platform::StepName(step));
  call->set_wait_ms(static_cast<uint32_t>(timeout.count()));
  for (auto& it : names) {
    call->add_backends(std::move(it));
  }
  const auto post = [core = parts_.core,
                     finish](const platform::AdviceResponse& response) {
    core->PostBlocking([finish, response] { finish(response); });
  };
  mesh_->SendRequest(
      to, std::move(request), timeout,
      [post](const proto::Envelope* envelope) {
        platform::AdviceResponse response;
        if (envelope != nullptr && envelope->has_advice_reply()) {
          const auto& reply = envelope->advice_reply();
          response.answered = reply.answered();
          response.overloaded = reply.overloaded();
          response.valid_ms = reply.valid_ms();
          for (const auto& it : reply.good()) {
            response.recommended.push_back(
                {BackendId(it.backend()), it.text()});
          }
        }
        post(response);
      },
      [post] {
        platform::AdviceResponse response;
        response.not_sent = true;
        post(response);
      });
  return true;
}

void Owner::OnAdviceResponse(const std::string& from,
                             const StepRef& step,
                             const std::vector<BackendId>& queried,
                             const platform::AdviceResponse& response) {
  const Time now = BootClock::now();
  const QueryOutcome outcome = response.answered     ? QueryOutcome::kAnswered
                               : response.overloaded ? QueryOutcome::kOverloaded
                               : response.not_sent   ? QueryOutcome::kNotSent
                                                     : QueryOutcome::kTimedOut;
  if (outcome == QueryOutcome::kTimedOut) {
    LogEvent(Part::kPlacer, "advice_silent",
             {{"instance", from}, {"step", platform::StepName(step)}});
  }
  advice_pool_.OnQueryEnd(from, outcome, now);
  cell_->OnAdviceResponse(step, queried, response, now);
}

uint64_t Owner::StoreRecords(std::vector<std::string> records,
                             std::function<void(bool stored)> done) {
  return log_->Append(std::move(records), std::move(done));
}

bool Owner::CancelUnsent(uint64_t number) {
  return log_->CancelUnsent(number);
}

bool Owner::HasStoreBacklog() const {
  return log_->HasBacklog();
}

void Owner::OnFenced() {
  const uint64_t tenure = tenure_;
  // Posted, because the cell may be in the middle of an event.
  parts_.core->Post([this, tenure] {
    if (tenure == tenure_) {
      parts_.membership->Resign();
    }
  });
}

bool Owner::MayAct() const {
  return parts_.membership->MayAct();
}

bool Owner::MayRenew(milliseconds after) const {
  return parts_.membership->MayRenew(after);
}

Time Owner::ReadClock() const {
  return BootClock::now();
}

bool Owner::IsStoreResponsive() const {
  const Time now = BootClock::now();
  return parts_.membership->RenewalAgeMs(now) < kStoreTimeoutMs &&
         (!log_ || log_->StalledFor(now) < milliseconds(kStoreTimeoutMs));
}

}  // namespace bw
