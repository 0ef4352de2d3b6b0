#include "load.h"

namespace bw::test {

Load::Load(const Fleet* fleet, LoadOptions options)
    : fleet_(fleet),
      options_(std::move(options)),
      ready_(fleet->InstanceCount()) {
  for (auto& it : ready_) {
    it = true;
  }
  threads_.emplace_back([this] { WatchReady(); });
  for (int n = 0; n < options_.callers; ++n) {
    threads_.emplace_back([this, n] { Run(n); });
  }
}

void Load::Stop() {
  stop_ = true;
  for (auto& it : threads_) {
    it.join();
  }
  threads_.clear();
}

void Load::WatchReady() {
  while (!stop_) {
    for (size_t n = 0; n < ready_.size(); ++n) {
      ready_[n] =
          fleet_->StatusOf(static_cast<int>(n), true, "/readyz") == "ready\n";
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
}

void Load::Run(int caller) {
  const int gates = fleet_->InstanceCount();
  for (int n = 0; !stop_; ++n) {
    const int gate = (caller + n) % gates;
    if (!ready_[gate]) {
      std::this_thread::sleep_for(milliseconds(2));
      continue;
    }
    CallerRecord record;
    record.team = options_.team;
    record.body = options_.name + "-" + std::to_string(caller) + "-" +
                  std::to_string(n) + " ms=" + std::to_string(options_.run_ms);
    const auto result =
        fleet_->Post(gate, "/v1/requests?queue=" + options_.queue, record.body,
                     options_.team);
    if (result.delivery == net::DeliveryStatus::kNotSent) {
      continue;
    }
    record.status = result.status;
    record.response = result.body;
    record.got_response = result.delivery == net::DeliveryStatus::kResponded;
    successes_ += result.status == 200 ? 1 : 0;
    if (result.status != 200) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    std::lock_guard lock(mutex_);
    records_.push_back(std::move(record));
  }
}

bool Load::WaitForSuccesses(int more, milliseconds timeout) const {
  const int goal = successes_ + more;
  return Eventually([&] { return successes_ >= goal; }, timeout);
}

Evidence Collect(const Fleet& fleet, const std::vector<const Load*>& loads) {
  Evidence out;
  out.runners = fleet.RunnerRecords();
  out.workers = fleet.WorkerRecords();
  for (const Load* it : loads) {
    out.callers.insert(out.callers.end(), it->records().begin(),
                       it->records().end());
  }
  return out;
}

}  // namespace bw::test
