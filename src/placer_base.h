// The placer: owns shards of its zone's backend servers and runs them.
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
#include "follow_base.h"
#include "kernel_base.h"
#include "keytrust_base.h"
#include "loop_base.h"
#include "net/http_client.h"
#include "net/mesh.h"
#include "peer_base.h"
#include "platform/instance_list.h"
#include "shard_base.h"

namespace bw {

/// Settings of a placer, already checked.
struct PlacerOptions {
  Member self;
  AuthorityTimes times;
  Duration lease{10'000'000};     ///< Of tasks on workers.
  Duration key_bound{5'000'000};  ///< Age up to which keys are current.
  bool serve_in_outage = true;
  Duration snapshot_every{600'000'000};
  milliseconds log_wait{500};  ///< Long poll of the log.
  milliseconds append_interval{50};
  uint64_t shards_cap = 64;
  std::map<std::string, std::string> links;  ///< Instance to address to use
                                             ///< in place of its own.
  std::vector<std::string> seeds;  ///< Mesh addresses to ask for the fold.
};

/// What the placer needs from outside. @pre All outlive the placer.
struct PlacerParts {
  platform::LogService* log = nullptr;
  platform::InstanceList* list = nullptr;
  net::HttpClient* http = nullptr;
  Timeline* events = nullptr;
  Metrics* metrics = nullptr;
  std::string listen;  ///< "ip:port" of the mesh.
};

/// The service "placer". Start, Drain and Stop belong to the main thread; all
/// else runs on the core thread.
class Placer : public Service, public FollowSink {
 public:
  Placer(PlacerOptions options, PlacerParts parts);
  ~Placer() override;

  void Start(Kernel& kernel) override;
  void Drain() override;
  bool IsBusy() const override { return busy_; }
  void Stop() override;

  /// @return True if the placer knows a configuration and is a member.
  /// Thread-safe.
  bool IsReady() const { return ready_; }

  /// Stops the record of an owned shard for people. Thread-safe.
  std::string StatusText() const;

 private:
  class Port;
  struct OwnAsk {
    Time at = kNever;
    size_t turn = 0;  ///< Which other shard is asked next.
  };

  /// A gate's call, kept so that a lost answer can be asked for again.
  struct GateCall {
    bool ended = false;
    WorkOutcome outcome;
  };

  // Streams.
  void OnControl(const ControlFollower::StatePtr& state);
  void NoteMembers(const ControlState& before, const ControlState& now);
  void OnControlTail(Time asked);
  Offset OnBatch(const platform::LogBatch& batch) override;
  void OnTail(Time asked) override;
  void ApplyJobs(const platform::LogBatch& batch);

  // Ticking.
  void Tick();
  void OnGap();
  void UpdateFence();
  void UpdateShards();
  void UpdateShardActing(Shard* shard, Time now);
  void UpdateMembership();
  void UpdateStatus();
  void WriteSnapshots();
  void ForgetEndedJobs();
  void ListThread(const std::stop_token& stop);
  void OnInstances(const std::vector<platform::ListedInstance>& listed);
  size_t ZoneShardOf(const std::string& backend) const;

  // Messages.
  void OnQuestion(const proto::Envelope& question, net::Mesh::Reply reply);
  void Handle(const proto::Envelope& question, const net::Mesh::Reply& reply);
  proto::Envelope MakeTicket(const proto::Envelope& question);
  void OnSubmit(const proto::Submit& in,
                const std::string& from,
                const net::Mesh::Reply& reply);
  void OnSubmitJob(const proto::SubmitJob& in, const net::Mesh::Reply& reply);
  void OnJobQuery(const proto::JobQuery& in, const net::Mesh::Reply& reply);
  void OnSettle(const proto::Settle& in, const net::Mesh::Reply& reply);
  bool BeginCall(const std::string& call, const net::Mesh::Reply& reply);
  OutcomeReply EndCallWith(const std::string& call, net::Mesh::Reply reply);
  void ForgetOldCalls();
  void OnAsk(const proto::AllowanceAsk& in);
  void SendHeartbeats();
  void OnTicket(const Member& peer, Time asked, const proto::Ticket& ticket);
  std::string AddressOf(const Member& member) const;

  // Allowances.
  void AskAllowance(ShardId shard, const TeamId& team, uint64_t units);
  void EndPledges();

  Shard* FindShard(uint32_t n);
  void PutControl(const std::string& record,
                  bool persistent,
                  std::function<void(platform::AppendFate)> done);

  const PlacerOptions options_;
  const PlacerParts parts_;
  const std::string jobs_stream_;
  Authority authority_;
  KeyTrust keys_;
  PeerHealth health_;
  ControlFollower control_;
  ControlFollower::StatePtr state_;
  JobsState jobs_;
  Offset jobs_next_ = 0;       ///< Follower thread only.
  bool jobs_current_ = false;  ///< The tail was read once.
  std::map<ShardId, std::unique_ptr<Shard>> shards_;
  std::vector<platform::ListedInstance> listed_;
  Time listed_at_ = kNever;
  std::map<std::pair<ShardId, TeamId>, OwnAsk> asks_;
  std::unordered_map<std::string, GateCall> calls_;  ///< By the gate's name.
  std::deque<std::pair<Time, std::string>> ended_calls_;
  uint64_t last_request_ = 0;
  size_t kept_bytes_ = 0;  ///< Bodies in `calls_`.
  std::deque<std::pair<Time, JobId>> ended_jobs_;
  Time next_heartbeat_ = kNever;
  Time next_far_ = kNever;  ///< Next heartbeat to other zones.
  Time next_status_ = kNever;
  Time next_join_ = kNever;
  Time next_evict_ = kNever;
  Time next_fetch_ = kNever;
  Time last_snapshot_ = kNever;
  Time last_jobs_snapshot_ = kNever;
  bool resigned_ = false;
  std::atomic<int64_t> fresh_until_us_{0};  ///< Read by the HTTP thread.
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
  Loop loop_;
};

}  // namespace bw
