// The placer: owns shards of its zone's backend servers and schedules requests
// and jobs on them.
#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "append_base.h"
#include "authority_base.h"
#include "event_loop_base.h"
#include "follow_base.h"
#include "kernel_base.h"
#include "key_freshness_base.h"
#include "net/http_client.h"
#include "net/mesh.h"
#include "peer_base.h"
#include "platform/instance_list.h"
#include "shard_base.h"

namespace bw {

/// Validated settings of a placer.
struct PlacerOptions {
  Member self;
  AuthorityTimes times;
  Duration lease{10'000'000};       ///< Lease of a task on a worker.
  Duration max_key_age{5'000'000};  ///< Age up to which API keys count as
                                    ///< current.
  bool serve_in_outage = true;
  Duration snapshot_interval{600'000'000};
  milliseconds log_poll_timeout{500};  ///< Time-out of a long poll.
  milliseconds append_interval{50};
  uint64_t shards_cap = 64;
  /// Mesh address by instance name, used in place of the member's own address.
  std::map<std::string, std::string> address_overrides;
  std::vector<std::string> seeds;  ///< Mesh addresses to fetch the control
                                   ///< state from.
};

/// Dependencies of the placer. @pre All outlive the placer.
struct PlacerParts {
  platform::LogService* log = nullptr;
  platform::InstanceList* list = nullptr;
  net::HttpClient* http = nullptr;
  Timeline* events = nullptr;
  Metrics* metrics = nullptr;
  std::string listen;  ///< Mesh address to listen on, as "ip:port".
};

/// The service "placer". Start, Drain and Stop run on the main thread;
/// everything else runs on the core thread unless marked thread-safe.
class Placer : public Service, public StreamListener {
 public:
  Placer(PlacerOptions options, PlacerParts parts);
  ~Placer() override;

  void Start(Kernel& kernel) override;
  void Drain() override;
  bool IsBusy() const override { return busy_; }
  void Stop() override;

  /// @return True if the placer has a configuration and is a member of the
  /// fleet. Thread-safe.
  bool IsReady() const { return ready_; }

  /// @return The state of this placer and its shards as JSON. Thread-safe.
  std::string StatusText() const;

 private:
  class Port;

  /// Rate limiter and rotation of allowance requests for one shard and team.
  struct AllowanceQuery {
    Time last_sent = kNever;
    size_t next_donor = 0;  ///< Counter that rotates over the donor shards.
  };

  /// A call from a gate. Its outcome is stored so that the gate can query it
  /// when the reply was lost.
  struct CallRecord {
    bool ended = false;
    WorkOutcome outcome;
  };

  // Log streams.
  void OnControl(const ControlFollower::StatePtr& state);
  void LogMemberChanges(const ControlState& before, const ControlState& now);
  void OnControlTail(Time read_began);
  Offset OnBatch(const platform::LogBatch& batch) override;
  void OnCaughtUp(Time read_began) override;
  void ApplyJobs(const platform::LogBatch& batch);

  // Periodic work.
  void Tick();
  void OnClockGap();
  void UpdateAuthorityDeadline();
  void UpdateShards();
  void UpdateShardActing(Shard* shard, Time now);
  void UpdateMembership();
  void UpdateStatus();
  void WriteSnapshots();
  void RemoveExpiredJobs();
  void PollInstanceList(const std::stop_token& stop);
  void OnInstances(const std::vector<platform::ListedInstance>& listed);
  size_t ZoneShardOf(const std::string& backend) const;

  // Mesh messages.
  void OnMeshRequest(const proto::Envelope& request, net::Mesh::Reply reply);
  void HandleRequest(const proto::Envelope& request,
                     const net::Mesh::Reply& reply);
  proto::Envelope MakeHelloReply(const proto::Envelope& request);
  void OnSubmit(const proto::Submit& in,
                const std::string& from,
                const net::Mesh::Reply& reply);
  void OnSubmitJob(const proto::SubmitJob& in, const net::Mesh::Reply& reply);
  void OnJobQuery(const proto::JobQuery& in, const net::Mesh::Reply& reply);
  void OnOutcomeQuery(const proto::Settle& in, const net::Mesh::Reply& reply);
  bool BeginCall(const std::string& call, const net::Mesh::Reply& reply);
  OutcomeReply MakeCompletion(const std::string& call, net::Mesh::Reply reply);
  void RemoveOldOutcomes();
  void OnAllowanceRequest(const proto::AllowanceAsk& in);
  void SendHeartbeats();
  void OnHelloReply(const Member& peer,
                    Time sent_at,
                    const proto::Ticket& ticket);
  std::string AddressOf(const Member& member) const;

  // Transfers of allowance between shards.
  void RequestAllowance(ShardId shard, const TeamId& team, uint64_t units);
  void ReleaseRecordedTransfers();

  Shard* FindShard(uint32_t n);
  void AppendControl(const std::string& record,
                     bool persistent,
                     std::function<void(platform::AppendStatus)> done);

  const PlacerOptions options_;
  const PlacerParts parts_;
  const std::string jobs_stream_;
  Authority authority_;
  KeyFreshness keys_;
  PeerHealth health_;
  ControlFollower control_;
  ControlFollower::StatePtr state_;
  JobsState jobs_;
  Offset jobs_next_ = 0;      ///< Next offset to apply; follower thread only.
  bool jobs_loaded_ = false;  ///< The jobs stream was read to its tail.
  std::map<ShardId, std::unique_ptr<Shard>> shards_;
  std::vector<platform::ListedInstance> listed_instances_;
  Time listed_at_ = kNever;
  std::map<std::pair<ShardId, TeamId>, AllowanceQuery> allowance_queries_;
  std::unordered_map<std::string, CallRecord> calls_;  ///< By gate's call ID.
  std::deque<std::pair<Time, std::string>> ended_calls_;
  uint64_t last_request_ = 0;
  size_t stored_outcome_bytes_ = 0;  ///< Size of the bodies in `calls_`.
  std::deque<std::pair<Time, JobId>> ended_jobs_;
  Time next_heartbeat_ = kNever;
  Time next_remote_heartbeat_ = kNever;  ///< To members of other zones.
  Time next_status_ = kNever;
  Time next_join_ = kNever;
  Time next_evict_ = kNever;
  Time next_state_fetch_ = kNever;
  Time last_control_snapshot_ = kNever;
  Time last_jobs_snapshot_ = kNever;
  bool resigned_ = false;
  /// When the current authority to act expires; read by the HTTP thread.
  std::atomic<int64_t> authority_until_us_{0};
  std::atomic<bool> busy_{false};
  std::atomic<bool> ready_{false};
  std::atomic<bool> draining_{false};
  mutable std::mutex status_mutex_;
  std::string status_;

  std::unique_ptr<Appender> appender_;
  std::unique_ptr<net::Mesh> mesh_;
  std::unique_ptr<StreamFollower> control_follower_;
  std::unique_ptr<StreamFollower> jobs_follower_;
  std::jthread list_thread_;
  EventLoop loop_;
};

}  // namespace bw
