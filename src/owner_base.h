// The owner: runs the cell while the store's group assigns it to this process,
// and connects it to the store, the backend servers and the advice service.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "advice_pool_base.h"
#include "advisor_base.h"
#include "cell_base.h"
#include "config_watch_base.h"
#include "membership_base.h"
#include "metric_base.h"
#include "net/mesh.h"
#include "order_timeout_base.h"
#include "record_log_base.h"
#include "relay_client_base.h"
#include "wall_clock_base.h"

namespace bw {

/// Kind of a client's call to the cell. The values are sent between processes:
/// append only.
enum class CellCallKind : uint32_t {
  kSubmit = 1,
  kState = 2,
  kCancel = 3,
  kCount = 4,
};

/// @return True for calls that wait until the owner has handled what belongs to
/// work in progress.
bool IsDeferrable(const proto::CellCall& call);

/// The components that an owner uses.
struct OwnerParts {
  platform::Store* store = nullptr;
  net::HttpClient* http = nullptr;
  EventLoop* core = nullptr;
  Membership* membership = nullptr;
  ConfigWatch* config = nullptr;
  Advisor* advisor = nullptr;
  Metrics* metrics = nullptr;
  const EvacuationView* evacuations = nullptr;
};

/// Belongs to the core thread.
class Owner : private CellPort {
 public:
  /// @pre All parts outlive the owner.
  Owner(CellOptions options, size_t max_call_bytes, OwnerParts parts);
  ~Owner() override;

  void SetMesh(net::Mesh* mesh) {
    mesh_ = mesh;
    relay_.SetMesh(mesh);
  }
  /// Handles results of calls that another instance sent. Thread-safe.
  void OnRelayResults(const proto::RelayResults& results) {
    relay_.OnResults(results);
  }
  /// Sets the options that apply from the next take-over on.
  void SetOptions(const CellOptions& options) { options_ = options; }

  void OnGain(uint64_t generation);
  void OnLose();
  void OnConfig(const ConfigWatch::ConfigPtr& config);

  /// Handles a client's call. `done` runs at most once, and never if the cell
  /// is lost before the outcome is known.
  /// @param queued How long the call waited for this process.
  void Handle(const proto::CellCall& call, Duration queued, CellDone done);

  /// Gives the cell up after an exception, as its state may be inconsistent.
  /// The next owner restores it from the stored records.
  void OnUnexpectedError();

  void Tick(Time now);
  /// Places tasks and flushes records; runs when the core thread's queue is
  /// empty.
  void Idle(Time now);

  /// @return True if no records wait to be stored.
  bool IsFlushed() const { return !log_ || log_->IsEmpty(); }
  bool IsActive() const { return cell_ != nullptr && loaded_; }
  Cell::Counts Count() const;
  RecordLog::Counts CountRecords() const {
    return log_ ? log_->Count() : RecordLog::Counts{};
  }

 private:
  void Start(const BackendEntry& to,
             platform::StartOrder order,
             bool repeated) override;
  void Stop(const BackendEntry& to,
            const RunRef& run,
            uint64_t fencing_token) override;
  void Poll(const BackendEntry& to, platform::PollRequest request) override;
  bool QueryAdvice(const StepRef& step,
                   const std::vector<BackendId>& backends,
                   milliseconds expected,
                   bool urgent) override;
  uint64_t StoreRecords(std::vector<std::string> records,
                        std::function<void(bool stored)> done) override;
  bool CancelUnsent(uint64_t number) override;
  bool HasStoreBacklog() const override;
  size_t CountAdviceInstances() const override {
    return parts_.membership->Members().size();
  }
  size_t CountIdleAdviceInstances() const override {
    return advice_pool_.CountIdle(parts_.membership->Members(),
                                  BootClock::now());
  }
  void OnFenced() override;
  bool MayAct() const override;
  StartPermission CheckStart(const ZoneId& zone, Time now) const override {
    return parts_.evacuations->CheckStart(zone, now);
  }
  void OnStartHeldBack(const ZoneId& zone, Time now) override;
  Time ReadClock() const override;
  bool MayRenew(milliseconds after) const override;
  bool IsStoreResponsive() const override;

  void ChooseRelays(Time now);
  void LogHeldStarts(Time now);
  void FenceFormerOwners();
  void LoadRecords(const std::string& after);
  void OnRecordPage(const platform::NewestResponse& response);
  void Activate();
  void ReadAllBackends(const std::string& after);
  void OnBackendPage(const platform::NewestResponse& response);
  void ReadBackendChanges();
  void OnBackendChanges(const platform::ReadResponse& response);
  void ApplyBackend(const std::string& id, const std::string& value);
  /// Runs `step` on the core thread unless the cell was lost meanwhile.
  void PostToCell(std::function<void()> step);
  template <typename F>
  auto BindToTenure(F step);

  void OnAdviceResponse(const std::string& from,
                        const StepRef& step,
                        const std::vector<BackendId>& queried,
                        const platform::AdviceResponse& response);

  CellOptions options_;
  const size_t max_call_bytes_;
  const OwnerParts parts_;
  net::Mesh* mesh_ = nullptr;
  WallClock wall_;
  std::unique_ptr<Cell> cell_;
  std::unique_ptr<RecordLog> log_;
  /// Incremented when the cell is gained or lost, so that replies to calls of
  /// an earlier ownership are discarded.
  uint64_t tenure_ = 0;
  uint64_t epoch_ = 0;   ///< Producer epoch and fencing token.
  bool loaded_ = false;  ///< The cell's records were read.
  Time gained_at_ = kNever;
  std::function<void()> retry_step_;  ///< The step of the take-over to repeat.
  Time retry_at_ = kNever;
  bool starts_held_ = false;  ///< The evacuations known are too old.
  bool backends_loaded_ = false;
  bool reading_backends_ = false;
  Offset next_backend_offset_ = 0;
  Time next_backend_read_ = kNever;
  /// Backend servers found so far while all entries are read.
  std::vector<std::string> listed_backends_;
  bool first_backend_page_ = true;
  AdvicePool advice_pool_;
  OrderTimeout order_timeout_;
  RelayClient relay_;
  Time next_relay_choice_ = kNever;
};

}  // namespace bw
