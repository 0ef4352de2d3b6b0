// Fake ShardPort: a manual clock, calls that stay pending until the test
// responds to them, and a log that stores records at once.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "../../src/control_func.h"
#include "../../src/shard_type.h"
#include "../../src/text_func.h"

namespace bw::test {

/// A call to a backend server without a response yet.
struct PendingCall {
  net::HttpCall call;
  std::function<void(net::HttpResult)> done;
};

/// Records calls and appended events. Tests set the public fields directly.
class FakePort : public ShardPort {
 public:
  FakePort() : events_("test", "a", "test", "") {}

  Time Now() const override { return now; }
  bool MayAct() const override { return may_act; }
  bool MayAcceptKeyed() const override { return keys_current; }
  void Call(net::HttpCall call,
            bool,
            std::function<void(net::HttpResult)> done) override {
    calls.push_back({std::move(call), std::move(done)});
  }
  void Append(const JobEvent& event,
              std::function<void(platform::AppendStatus)> done) override {
    if (append_status == platform::AppendStatus::kStored) {
      ApplyJobRecord(&jobs, jobs.version, WriteJobEvent(event));
      appended.push_back(event);
    }
    done(append_status);
  }
  void RequestAllowance(const TeamId&, uint64_t) override {
    ++allowance_requests;
  }
  const ControlState& State() const override { return state; }
  const JobsState& Jobs() const override { return jobs; }
  Timeline& Events() override { return events_; }
  Metrics& Counters() override { return metrics_; }

  /// Applies a configuration of one zone and teams "t0", "t1", ... with the
  /// queue "q" and the keys "k0", "k1", ...
  void Publish(int teams, uint64_t limit, uint64_t max_waiting = 1000) {
    std::vector<ObjectChange> changes = {
        {"fleet/fleet", 0, R"({"zones":"a","shards_per_zone":1})"},
        {"template/t", 0,
         R"({"keys":"$keys","upper_limit":"$limit","share":"1",)"
         R"("queue.q.strategy":"best_fit","queue.q.max_waiting":")" +
             std::to_string(max_waiting) + R"("})"}};
    for (int n = 0; n < teams; ++n) {
      changes.push_back({"account/t" + std::to_string(n), 0,
                         R"({"template":"t","limit":")" +
                             std::to_string(limit) + R"(","keys":")" +
                             HashApiKey("k" + std::to_string(n)) + R"("})"});
    }
    ApplyRecord(&state, 0, ChangeRecord("c", "op", changes));
  }

  /// @return An origin in queue "q" of team "t<team>", with its key.
  WorkOrigin Origin(int team, const std::string& idempotency_key = {}) const {
    return {TeamId("t" + std::to_string(team)), QueueId("q"),
            HashApiKey("k" + std::to_string(team)), idempotency_key};
  }

  /// Responds to the oldest pending call to `path`. @return False if there is
  /// none.
  bool Respond(const std::string& path, net::HttpResult result) {
    for (auto it = calls.begin(); it != calls.end(); ++it) {
      if (it->call.url.ends_with(path)) {
        auto done = std::move(it->done);
        calls.erase(it);
        done(std::move(result));
        return true;
      }
    }
    return false;
  }

  /// @return Number of pending calls to `path`.
  size_t CountPending(const std::string& path) const {
    size_t n = 0;
    for (const auto& it : calls) {
      n += it.call.url.ends_with(path) ? 1 : 0;
    }
    return n;
  }

  Time now{milliseconds(100'000)};
  bool may_act = true;
  bool keys_current = true;
  /// Result of every append. Only kStored applies the record to `jobs`.
  platform::AppendStatus append_status = platform::AppendStatus::kStored;
  std::deque<PendingCall> calls;  ///< Oldest first.
  std::vector<JobEvent> appended;
  ControlState state;
  JobsState jobs;
  int allowance_requests = 0;  ///< Number of RequestAllowance calls.

 private:
  Timeline events_;
  Metrics metrics_;
};

/// @return A complete response with the status and body.
inline net::HttpResult MakeResponse(int status, std::string body) {
  return {net::DeliveryStatus::kResponded, status, std::move(body),
          "text/plain"};
}

inline platform::ListedInstance MakeRunner(const std::string& name,
                                           uint32_t slots) {
  platform::ListedInstance out;
  out.name = name;
  out.kind = platform::InstanceKind::kRunner;
  out.zone = ZoneId("a");
  out.address = name;
  out.slots = slots;
  return out;
}

inline platform::ListedInstance MakeWorker(const std::string& name,
                                           uint64_t millicores,
                                           uint32_t rack) {
  platform::ListedInstance out;
  out.name = name;
  out.kind = platform::InstanceKind::kWorker;
  out.zone = ZoneId("a");
  out.address = name;
  out.total = {millicores, 64'000, 0};
  out.rack = rack;
  return out;
}

}  // namespace bw::test
