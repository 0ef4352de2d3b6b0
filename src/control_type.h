// Plain types of the control state: configuration, membership, shard ownership
// and allowances. The state is replayed from the control stream, one stream of
// the platform's log.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "error_type.h"
#include "id_type.h"

namespace bw {

/// Ordering and placement settings of one queue.
struct QueuePolicy {
  std::string strategy = "spread";  ///< A name in table/strategies.h.
  uint32_t priority = 5;            ///< 0 lowest to 9 urgent.
  bool open = false;                ///< Accepts requests without an API key.
  uint32_t max_waiting = 100;       ///< Limit of waiting items per shard.
  uint32_t max_wait_ms = 10'000;    ///< Longest wait of an item before it is
                                    ///< rejected as expired.

  auto operator<=>(const QueuePolicy&) const = default;
};

/// One team's account: a template with the account's parameters filled in.
struct ClientAccount {
  TeamId id;
  std::vector<std::string> key_hashes;  ///< SHA-256 of the API keys in hex.
  uint64_t share = 1;                   ///< Scheduling weight when the cell is
                                        ///< full.
  uint64_t upper_limit = 0;  ///< Units that may run in the fleet at a time; a
                             ///< request is 1 unit, a task 1 unit per core.
  std::map<QueueId, QueuePolicy> queues;

  auto operator<=>(const ClientAccount&) const = default;
};

/// A published configuration object, named "fleet/fleet", "template/NAME" or
/// "account/NAME".
struct ConfigObject {
  Offset version = 0;  ///< 1 + offset of the last change of the object.
  std::string body;    ///< JSON.

  auto operator<=>(const ConfigObject&) const = default;
};

/// A placer that is a member of the cluster.
struct Member {
  InstanceId id;
  uint64_t incarnation = 0;
  ZoneId zone;
  std::string address;     ///< "ip:port" of its mesh socket.
  Offset join_offset = 0;  ///< 1 + offset of the join record.

  auto operator<=>(const Member&) const = default;
};

/// How the current owner of a shard got it.
enum class ShardOrigin : uint8_t {
  kNew,        ///< The shard never had another owner.
  kReleased,   ///< The former owner stopped acting, then gave it up.
  kRestarted,  ///< The same instance restarted with a new incarnation.
  kEvicted,    ///< The former owner may act until its authority expires.
};

/// Ownership of a shard: one part of a zone's backend servers and of every
/// team's allowance.
struct ShardOwner {
  ZoneId zone;
  InstanceId owner;  ///< Invalid if the zone has no member.
  uint64_t incarnation = 0;
  ShardOrigin origin = ShardOrigin::kNew;
  Offset epoch = 0;  ///< Fencing epoch: 1 + offset of the record that set the
                     ///< owner.

  auto operator<=>(const ShardOwner&) const = default;
};

/// Result of a change record; identical at every reader.
struct ChangeResult {
  std::string id;  ///< Id of the record.
  ErrorCode error = ErrorCode::kNone;
  std::string detail;
  Offset offset = 0;

  auto operator<=>(const ChangeResult&) const = default;
};

/// The control state replayed up to one offset. A plain value.
struct ControlState {
  Offset version = 0;           ///< Next offset to apply.
  Offset membership_epoch = 0;  ///< Membership epoch: 1 + offset of the last
                                ///< change of members or shard owners.
  std::map<std::string, ConfigObject> objects;
  std::map<InstanceId, Member> members;
  std::vector<ShardOwner> shards;
  std::map<TeamId, std::vector<uint64_t>> allowances;  ///< Units per shard.
  std::deque<ChangeResult> recent_results;  ///< Results of the newest records,
                                            ///< at most `kMaxRecentResults`.

  // Derived from `objects`.
  std::vector<ZoneId> zones;
  std::map<TeamId, ClientAccount> accounts;
  std::map<std::string, TeamId> teams_by_key;  ///< By key hash.

  bool operator==(const ControlState&) const = default;
};

/// Also the number of record ids known for detecting repeated records.
inline constexpr size_t kMaxRecentResults = 512;

}  // namespace bw
