// The service "owner": owns the cell while the group deals it to this process,
// and carries the cell's decisions out.
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
#include "record_log_base.h"
#include "wall_clock_base.h"

namespace bw {

/// What callers' calls ask of the cell. The numbers travel between processes.
enum class CellCallKind : uint32_t {
  kSubmit = 1,
  kState = 2,
  kCancel = 3,
  kCount = 4,
};

struct OwnerParts {
  platform::Store* store = nullptr;
  net::HttpClient* http = nullptr;
  Loop* core = nullptr;
  Membership* membership = nullptr;
  ConfigWatch* config = nullptr;
  Advisor* advisor = nullptr;
  Metrics* metrics = nullptr;
};

/// Belongs to the core thread.
class Owner : private CellPort {
 public:
  /// @pre All parts outlive the owner.
  Owner(CellOptions options, size_t max_call_bytes, OwnerParts parts);
  ~Owner() override;

  void SetMesh(net::Mesh* mesh) { mesh_ = mesh; }
  /// In force from the next take-over on.
  void SetOptions(const CellOptions& options) { options_ = options; }

  void OnGain(uint64_t generation);
  void OnLose();
  void OnConfig(const ConfigWatch::ConfigPtr& config);

  /// Handles a call of a client. `done` runs at most once; not at all if the
  /// cell is lost before the outcome is known.
  void Handle(const proto::CellCall& call, CellDone done);

  void Tick(Time now);
  /// Runs when all queued steps were handled.
  void Idle(Time now);

  /// @return True if nothing waits to be stored.
  bool IsFlushed() const { return !log_ || log_->IsEmpty(); }
  bool IsActive() const { return cell_ != nullptr && loaded_; }
  Cell::Counts Count() const;

 private:
  void Start(const BackendEntry& to, platform::StartOrder order) override;
  void Stop(const BackendEntry& to, const RunRef& run) override;
  void Hold(const BackendEntry& to, platform::HoldOrder order) override;
  bool AskAdvice(const StepRef& step,
                 const std::vector<BackendId>& backends,
                 milliseconds expected,
                 bool urgent) override;
  uint64_t Keep(std::vector<std::string> records,
                std::function<void()> done) override;
  bool Withdraw(uint64_t number) override;
  void OnFenced() override;
  bool MayAct() const override;
  bool MayRenew(milliseconds after) const override;
  bool IsSettled() const override;

  void Fence();
  void LoadPage(const std::string& after);
  void OnPage(const platform::NewestAnswer& answer);
  void Activate();
  void ReadBackends(const std::string& after);
  void OnBackends(const platform::NewestAnswer& answer);
  void ReadBackendTail();
  void OnBackendTail(const platform::ReadAnswer& answer);
  void TakeBackend(const std::string& id, const std::string& value);
  /// Runs `step` on the core thread if the cell is still the same.
  void PostToCell(std::function<void()> step);
  template <typename F>
  auto ForThisCell(F step);

  void OnAdvice(const std::string& from,
                const StepRef& step,
                const std::vector<BackendId>& asked,
                const platform::AdviceAnswer& answer);

  CellOptions options_;
  const size_t max_call_bytes_;
  const OwnerParts parts_;
  net::Mesh* mesh_ = nullptr;
  WallClock wall_;
  std::unique_ptr<Cell> cell_;
  std::unique_ptr<RecordLog> log_;
  uint64_t tenure_ = 0;  ///< Counts gains and losses.
  uint64_t epoch_ = 0;
  bool loaded_ = false;
  Time gained_at_ = kNever;
  std::function<void()> retry_;  ///< A step of the take-over that failed.
  Time retry_at_ = kNever;
  bool backends_known_ = false;
  bool reading_backends_ = false;
  Offset backend_next_ = 0;
  Time next_backend_read_ = kNever;
  std::vector<std::string> listed_;  ///< While the newest entries are read.
  bool first_backend_page_ = true;
  AdvicePool advice_pool_;
};

}  // namespace bw
