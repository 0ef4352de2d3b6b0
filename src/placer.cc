#include "placer_base.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "control_func.h"
#include "log_func.h"
#include "peer_func.h"
#include "placer_port.h"
#include "text_func.h"

namespace bw {
namespace {

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kClockGapThreshold{400};
constexpr milliseconds kInstanceListInterval{500};
constexpr milliseconds kStatusInterval{200};
constexpr milliseconds kMembershipRecordInterval{1000};
constexpr milliseconds kEndedJobRetention{3'600'000};
constexpr Duration kInstanceListSettleTime = milliseconds(30'000);
constexpr Duration kSnapshotRankDelay = milliseconds(2000);
constexpr milliseconds kLeaveTimeout{3000};

}  // namespace

Placer::Placer(PlacerOptions options, PlacerParts parts)
    : options_(std::move(options)),
      parts_(std::move(parts)),
      jobs_stream_("jobs." + options_.self.zone.value),
      authority_(options_.self, options_.times, BootClock::now()),
      keys_(options_.max_key_age, options_.serve_in_outage),
      state_(control_.state()),
      loop_(
          kTickInterval,
          kClockGapThreshold,
          [this] { Tick(); },
          [this] { OnClockGap(); }) {}

Placer::~Placer() = default;

void Placer::Start(Kernel&) {
  appender_ = std::make_unique<Appender>(parts_.log, parts_.metrics,
                                         options_.append_interval);
  mesh_ = net::MakeMesh(
      {parts_.listen, options_.self.id.value}, &parts_.events->clock(),
      [this](const proto::Envelope& request, net::Mesh::Reply reply) {
        OnMeshRequest(request, std::move(reply));
      });
  control_.SetListener([this](const ControlFollower::StatePtr& state, bool tail,
                              Time read_began) {
    loop_.PostBlocking([this, state, tail, read_began] {
      if (state != state_) {
        OnControl(state);
      }
      if (tail) {
        OnControlTail(read_began);
      }
    });
  });
  parts_.events->Write(EventKind::kStarted, options_.self.id.value);
  loop_.Start();
  control_follower_ = std::make_unique<StreamFollower>(
      parts_.log, "control", options_.log_poll_timeout, &control_);
  jobs_follower_ = std::make_unique<StreamFollower>(
      parts_.log, jobs_stream_, options_.log_poll_timeout, this);
  list_thread_ =
      std::jthread([this](const std::stop_token& it) { PollInstanceList(it); });
}

void Placer::Drain() {
  busy_ = true;
  draining_ = true;
  loop_.PostBlocking([this] {
    parts_.events->Write(EventKind::kDrainBegan, options_.self.id.value);
    resigned_ = true;
    authority_.Resign();
    UpdateAuthorityDeadline();
    for (auto& it : shards_) {
      it.second->requests.RefuseWaiting(ErrorCode::kDraining);
    }
    AppendControl(LeaveRecord(RandomHex(), options_.self), true, nullptr);
  });
}

void Placer::Stop() {
  list_thread_ = {};
  jobs_follower_.reset();
  control_follower_.reset();
  loop_.Stop();
  mesh_.reset();
  appender_.reset();
  parts_.events->Write(EventKind::kStopped, options_.self.id.value);
}

void Placer::AppendControl(const std::string& record,
                           bool persistent,
                           std::function<void(platform::AppendStatus)> done) {
  appender_->Put({"control", record, persistent, std::move(done)});
}

void Placer::OnControl(const ControlFollower::StatePtr& state) {
  if (state->version < state_->version) {
    return;  // Older than the current configuration.
  }
  LogMemberChanges(*state_, *state);
  state_ = state;
  authority_.OnState(*state_, BootClock::now());
  UpdateAuthorityDeadline();
  UpdateShards();
  ReleaseRecordedTransfers();
  parts_.metrics->Set("bw_control_version", "",
                      static_cast<double>(state_->version));
  parts_.events->Write(EventKind::kConfigApplied,
                       std::to_string(state_->version));
}

/// Writes members that joined or left between two states to the time line.
void Placer::LogMemberChanges(const ControlState& before,
                              const ControlState& now) {
  for (const auto& [id, member] : now.members) {
    auto it = before.members.find(id);
    if (it == before.members.end() || it->second != member) {
      parts_.events->Write(EventKind::kMemberJoined, id.value,
                           member.zone.value);
    }
  }
  for (const auto& old_member : before.members) {
    const InstanceId& id = old_member.first;
    const Member& member = old_member.second;
    if (!now.members.contains(id)) {
      parts_.events->Write(EventKind::kMemberLeft, id.value, member.zone.value);
    }
  }
}

void Placer::OnControlTail(Time read_began) {
  authority_.OnTailRead(read_began);
  keys_.OnTailRead(read_began);
  UpdateAuthorityDeadline();
}

/// Applies records of the jobs stream. If records before the batch have been
/// removed by the log's retention, continues from a snapshot in the batch, or
/// without one from the batch's first record.
Offset Placer::OnBatch(const platform::LogBatch& batch) {
  auto usable = batch;
  if (jobs_next_ < batch.first) {
    bool gap_closed = false;
    for (const auto& it : batch.records) {
      auto snapshot = ReadJobsSnapshot(it.data);
      if (snapshot && snapshot->version >= batch.first) {
        jobs_next_ = snapshot->version;
        loop_.PostBlocking(
            [this, state = std::move(*snapshot)] { jobs_ = state; });
        gap_closed = true;
        break;
      }
    }
    if (!gap_closed && batch.records.empty()) {
      jobs_next_ = batch.next;  // The log has no records to catch up on.
    } else if (!gap_closed) {
      jobs_next_ = batch.first;
    }
  }
  std::erase_if(usable.records,
                [this](const auto& it) { return it.offset < jobs_next_; });
  if (!usable.records.empty()) {
    jobs_next_ = usable.records.back().offset + 1;
    loop_.PostBlocking([this, usable] { ApplyJobs(usable); });
  }
  return jobs_next_;
}

void Placer::OnCaughtUp(Time) {
  loop_.PostBlocking([this] {
    if (!jobs_loaded_) {
      jobs_loaded_ = true;
      UpdateShards();
    }
  });
}

void Placer::ApplyJobs(const platform::LogBatch& batch) {
  for (const auto& it : batch.records) {
    auto event = ApplyJobRecord(&jobs_, it.offset, it.data);
    if (!event) {
      continue;
    }
    auto job = jobs_.jobs.find(event->job);
    if (job != jobs_.jobs.end() && job->second.Ended()) {
      ended_jobs_.emplace_back(BootClock::now(), event->job);
    }
    if (Shard* shard = FindShard(event->shard)) {
      shard->jobs.OnEvent(*event);
    }
  }
}

Shard* Placer::FindShard(uint32_t n) {
  auto it = shards_.find(static_cast<ShardId>(n));
  return it == shards_.end() ? nullptr : it->second.get();
}

void Placer::UpdateAuthorityDeadline() {
  authority_until_us_ =
      authority_.AuthorityExpiresAt().time_since_epoch().count();
}

/// Creates missing shards that this placer owns according to its newest state,
/// and refuses the waiting requests of shards it no longer owns.
void Placer::UpdateShards() {
  for (uint32_t n = 0; n < state_->shards.size(); ++n) {
    const auto id = static_cast<ShardId>(n);
    if (!authority_.Owns(id)) {
      if (Shard* shard = FindShard(n); shard != nullptr && shard->epoch != 0) {
        shard->epoch = 0;
        shard->requests.RefuseWaiting(ErrorCode::kNotOwner);
      }
      continue;
    }
    auto& shard = shards_[id];
    if (!shard) {
      shard = std::make_unique<Shard>(id, std::make_unique<Port>(this, id),
                                      options_.lease);
    }
  }
}

/// Updates whether this placer acts on `shard`, and takes the shard over as
/// soon as it may act on it in a new ownership epoch.
void Placer::UpdateShardActing(Shard* shard, Time now) {
  const bool acts =
      jobs_loaded_ && listed_at_ != kNever && authority_.MayAct(shard->id, now);
  if (acts) {
    const ShardOwner& owner = state_->shards[ToIndex(shard->id)];
    if (shard->epoch != owner.epoch) {
      shard->epoch = owner.epoch;
      const bool inherits = owner.origin != ShardOrigin::kNew;
      shard->requests.OnOwnershipGained(inherits);
      shard->jobs.OnOwnershipGained(inherits);
      OnInstances(listed_instances_);
    }
  }
  if (acts != shard->acting) {
    shard->acting = acts;
    parts_.events->Write(
        acts ? EventKind::kAuthorityGained : EventKind::kAuthorityLost,
        fmt::format("shard {}", ToIndex(shard->id)));
    Log(Part::kPlacer, LogLevel::kInfo, "Shard {}: {}.", ToIndex(shard->id),
        acts ? "authority gained" : "authority lost");
  }
}

void Placer::OnClockGap() {
  const Time now = BootClock::now();
  authority_.OnClockGap(now);
  keys_.OnClockGap();
  health_.Clear();
  UpdateAuthorityDeadline();
  parts_.events->Write(EventKind::kClockGap, options_.self.id.value);
  Log(Part::kPlacer, LogLevel::kWarn,
      "Clock gap detected: process was paused; dropping all authority.");
}

void Placer::Tick() {
  const Time now = BootClock::now();
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.times.no_eviction_lease / 3;
    SendHeartbeats();
  }
  UpdateMembership();
  UpdateAuthorityDeadline();
  size_t in_flight = 0;
  for (auto& it : shards_) {
    Shard* shard = it.second.get();
    UpdateShardActing(shard, now);
    if (shard->epoch != 0) {
      shard->requests.Tick();
      shard->jobs.Tick();
    }
    in_flight += shard->requests.InFlight();
  }
  WriteSnapshots();
  RemoveExpiredJobs();
  RemoveOldOutcomes();
  if (now >= next_status_) {
    next_status_ = now + kStatusInterval;
    for (auto& it : shards_) {
      it.second->usage.UpdatePeaks(now);
    }
    UpdateStatus();
  }
  if (draining_) {
    // Wait for the leave record and the results of ended work to be appended to
    // the log, but only for kLeaveTimeout in case the log is unavailable.
    const bool log_pending = authority_.IsMember() || appender_->IsBusy();
    const bool may_wait = BootClock::now() <= next_join_ + kLeaveTimeout;
    busy_ = in_flight > 0 || (may_wait && log_pending);
  } else {
    next_join_ = std::max(next_join_, now - kMembershipRecordInterval);
  }
}

void Placer::UpdateMembership() {
  const Time now = BootClock::now();
  if (resigned_ || control_.tail_asked() == kNever) {
    return;
  }
  if (!authority_.IsMember()) {
    if (now >= next_join_ && !control_.HasGap()) {
      next_join_ = now + kMembershipRecordInterval;
      AppendControl(JoinRecord(RandomHex(), options_.self), false, nullptr);
    }
    return;
  }
  if (now < next_evict_) {
    return;
  }
  auto is_gone = [](const InstanceId& id, void* user) {
    const auto* placer = static_cast<const Placer*>(user);
    const auto& listed = placer->listed_instances_;
    auto member = placer->state_->members.find(placer->options_.self.id);
    const bool settled = placer->listed_at_ != kNever &&
                         BootClock::now() - placer->authority_.started() >
                             kInstanceListSettleTime;
    return settled && member != placer->state_->members.end() &&
           std::none_of(listed.begin(), listed.end(),
                        [&](const auto& it) { return it.name == id.value; });
  };
  if (auto to_evict = authority_.FindMemberToEvict(now, is_gone, this)) {
    next_evict_ = now + kMembershipRecordInterval;
    authority_.BeginEvict(to_evict->id);
    parts_.events->Write(EventKind::kMemberEvicted, to_evict->id.value);
    Log(Part::kMember, LogLevel::kWarn, "Evicting unresponsive member {}.",
        to_evict->id.value);
    AppendControl(EvictRecord(RandomHex(), *to_evict, options_.self), true,
                  nullptr);
  }
}

void Placer::PollInstanceList(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    HandleFailure(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(listed, parts_.list->Read(options_.self.zone));
          loop_.PostBlocking([this, listed] {
            listed_instances_ = listed;
            listed_at_ = BootClock::now();
            OnInstances(listed);
          });
          return {};
        },
        [](const Failure&) {});
    std::this_thread::sleep_for(kInstanceListInterval);
  }
}

/// @return The shard of this zone that a backend server belongs to, or
/// INVALID_SHARD if the zone has none.
size_t Placer::ZoneShardOf(const std::string& backend) const {
  std::vector<size_t> zone_shards;
  for (size_t n = 0; n < state_->shards.size(); ++n) {
    if (state_->shards[n].zone == options_.self.zone) {
      zone_shards.push_back(n);
    }
  }
  return zone_shards.empty()
             ? ToIndex(INVALID_SHARD)
             : zone_shards[StableHash(backend) % zone_shards.size()];
}

void Placer::OnInstances(const std::vector<platform::ListedInstance>& listed) {
  for (auto& it : shards_) {
    if (it.second->epoch == 0) {
      continue;
    }
    std::vector<platform::ListedInstance> runners;
    std::vector<platform::ListedInstance> workers;
    for (const auto& instance : listed) {
      if (ZoneShardOf(instance.name) != ToIndex(it.first)) {
        continue;
      }
      if (instance.kind == platform::InstanceKind::kRunner) {
        runners.push_back(instance);
      } else if (instance.kind == platform::InstanceKind::kWorker) {
        workers.push_back(instance);
      }
    }
    it.second->requests.OnInstances(runners);
    it.second->jobs.OnInstances(workers);
  }
}

/// Writes snapshots of the control and jobs streams when they are due. Members
/// are ranked by their order in the membership: a higher rank waits longer, so
/// it writes a control snapshot only if the lower ones did not. Duplicate
/// snapshots are harmless.
void Placer::WriteSnapshots() {
  const Time now = BootClock::now();
  if (!authority_.HasAuthority(now)) {
    return;
  }
  const auto rank = static_cast<int>(std::distance(
      state_->members.begin(), state_->members.find(options_.self.id)));
  const Duration every = options_.snapshot_interval * (1 + rank);
  if (control_.SnapshotDue(now, every) &&
      now - last_control_snapshot_ > kSnapshotRankDelay * (1 + rank)) {
    last_control_snapshot_ = now;
    AppendControl(SnapshotRecord(RandomHex(), *control_.state()), false,
                  nullptr);
  }
  const bool any_acting =
      std::any_of(shards_.begin(), shards_.end(),
                  [](const auto& it) { return it.second->acting; });
  if (any_acting && jobs_.version > 0 &&
      now - last_jobs_snapshot_ > options_.snapshot_interval) {
    if (last_jobs_snapshot_ != kNever) {
      appender_->Put({jobs_stream_, WriteJobsSnapshot(RandomHex(), jobs_),
                      false, nullptr});
    }
    last_jobs_snapshot_ = now;
  }
}

void Placer::RemoveExpiredJobs() {
  const Time now = BootClock::now();
  while (!ended_jobs_.empty() &&
         now - ended_jobs_.front().first > kEndedJobRetention) {
    auto it = jobs_.jobs.find(ended_jobs_.front().second);
    if (it != jobs_.jobs.end()) {
      const auto& origin = it->second.spec.origin;
      jobs_.job_keys.erase({origin.team, origin.idempotency_key});
      jobs_.jobs.erase(it);
    }
    ended_jobs_.pop_front();
  }
}

/// Releases the reservations of transfers whose result is in the control state.
void Placer::ReleaseRecordedTransfers() {
  for (auto& it : shards_) {
    for (const auto& move : it.second->usage.PendingTransfers()) {
      const bool seen = std::any_of(
          state_->recent_results.begin(), state_->recent_results.end(),
          [&](const ChangeResult& result) { return result.id == move; });
      if (seen) {
        it.second->usage.EndTransfer(move);
      }
    }
  }
}

void Placer::UpdateStatus() {
  const Time now = BootClock::now();
  nlohmann::json out = {{"instance", options_.self.id.value},
                        {"zone", options_.self.zone.value},
                        {"version", state_->version},
                        {"view", state_->membership_epoch},
                        {"member", authority_.IsMember()},
                        {"fresh", authority_.HasAuthority(now)},
                        {"log_age_ms", AgeMs(control_.tail_asked(), now)}};
  for (const auto& it : shards_) {
    const Shard& shard = *it.second;
    nlohmann::json teams = nlohmann::json::object();
    for (const auto& team : shard.usage.RunningByTeam()) {
      teams[team.first.value] = team.second;
    }
    out["shards"].push_back({{"shard", ToIndex(shard.id)},
                             {"acting", shard.acting},
                             {"free_slots", shard.requests.FreeSlots()},
                             {"waiting_requests", shard.requests.Waiting()},
                             {"waiting_tasks", shard.jobs.Waiting()},
                             {"running_units", teams}});
  }
  parts_.metrics->Set("bw_mesh_bytes_total", "",
                      static_cast<double>(mesh_->BytesTransferred()));
  parts_.metrics->Set("bw_log_bytes_total", "",
                      static_cast<double>(parts_.log->BytesTransferred()));
  ready_ = authority_.IsMember() && !state_->zones.empty();
  std::lock_guard lock(status_mutex_);
  status_ = out.dump();
}

std::string Placer::StatusText() const {
  std::lock_guard lock(status_mutex_);
  return status_;
}

}  // namespace bw
