// Plain types of the control stream: configuration, membership, ownership of
// shards and allowances. All of them are the fold of one stream of the
// platform's log.
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

/// How one queue's work is ordered and placed.
struct QueuePolicy {
  std::string strategy = "spread";  ///< A name in table/strategies.h.
  uint32_t priority = 5;            ///< 0 lowest to 9 urgent.
  bool open = false;                ///< Takes work without a key.
  uint32_t max_waiting = 100;       ///< Items that may wait in one shard.
  uint32_t max_wait_ms = 10'000;    ///< Then an item is refused as expired.

  auto operator<=>(const QueuePolicy&) const = default;
};

/// One team's account: a template stamped out with its parameters.
struct ClientAccount {
  TeamId id;
  std::vector<std::string> key_hashes;  ///< SHA-256 in hex.
  uint64_t share = 1;                   ///< Weight when the cell is full.
  uint64_t upper_limit = 0;  ///< Units running in the fleet; 1 request = 1
                             ///< unit, 1 task = its cores.
  std::map<QueueId, QueuePolicy> queues;

  auto operator<=>(const ClientAccount&) const = default;
};

/// One published object. Its name is "fleet/fleet", "template/NAME" or
/// "account/NAME".
struct ConfigObject {
  Offset version = 0;  ///< Offset of the change that set it.
  std::string body;    ///< JSON.

  auto operator<=>(const ConfigObject&) const = default;
};

/// A placer that has joined.
struct Member {
  InstanceId id;
  uint64_t incarnation = 0;
  ZoneId zone;
  std::string address;  ///< "ip:port" of its mesh socket.
  Offset joined = 0;

  auto operator<=>(const Member&) const = default;
};

/// How a shard came to its present owner.
enum class ShardOrigin : uint8_t {
  kNew,        ///< It never had another owner.
  kReleased,   ///< The former owner stopped acting before it said so.
  kRestarted,  ///< The same instance with a new incarnation.
  kEvicted,    ///< The former owner may act until its authority lapses.
};

/// One part of a zone's backend servers and of every team's allowance.
struct ShardOwner {
  ZoneId zone;
  InstanceId owner;  ///< Invalid while the zone has no member.
  uint64_t incarnation = 0;
  ShardOrigin origin = ShardOrigin::kNew;
  Offset since = 0;  ///< Record that made the owner; the fencing epoch.

  auto operator<=>(const ShardOwner&) const = default;
};

/// What became of a change; the same at every reader.
struct Verdict {
  std::string id;
  ErrorCode error = ErrorCode::kNone;
  std::string detail;
  Offset offset = 0;

  auto operator<=>(const Verdict&) const = default;
};

/// The fold at one offset. A plain value.
struct ControlState {
  Offset version = 0;  ///< Next offset to apply.
  Offset view = 0;     ///< 1 + offset of the last membership change.
  std::map<std::string, ConfigObject> objects;
  std::map<InstanceId, Member> members;
  std::vector<ShardOwner> shards;
  std::map<TeamId, std::vector<uint64_t>> allowances;  ///< Per shard.
  std::deque<Verdict> verdicts;  ///< The newest `kVerdictsKept`.

  // Derived from `objects`.
  std::vector<ZoneId> zones;
  std::map<TeamId, ClientAccount> accounts;
  std::map<std::string, TeamId> teams_by_key;  ///< By key hash.

  bool operator==(const ControlState&) const = default;
};

inline constexpr size_t kVerdictsKept = 512;

}  // namespace bw
