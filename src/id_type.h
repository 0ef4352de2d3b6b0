// Strongly typed identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bw {

/// String identifier. `Tag` makes each kind of identifier a distinct type.
template <typename Tag>
struct NamedId {
  std::string value;  ///< Empty if invalid.

  NamedId() = default;
  explicit NamedId(std::string name) : value(std::move(name)) {}
  bool IsValid() const { return !value.empty(); }
  auto operator<=>(const NamedId&) const = default;
};

using InstanceId = NamedId<struct InstanceTag>;  ///< An entry instance.
using ZoneId = NamedId<struct ZoneTag>;          ///< An availability zone.
using TeamId = NamedId<struct TeamTag>;          ///< A client account.
using QueueId = NamedId<struct QueueTag>;        ///< A queue of one account.
using BackendId = NamedId<struct BackendTag>;    ///< A backend server.
using JobId = NamedId<struct JobTag>;            ///< A job.

/// Index of a shard in the fleet's fixed list of shards.
enum class ShardId : uint32_t {};
inline constexpr ShardId INVALID_SHARD{0xffffffff};
constexpr uint32_t ToIndex(ShardId id) {
  return static_cast<uint32_t>(id);
}

/// Offset of a record within one stream of the platform's log.
using Offset = uint64_t;

}  // namespace bw

template <typename Tag>
struct std::hash<bw::NamedId<Tag>> {
  size_t operator()(const bw::NamedId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};
