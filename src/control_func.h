// The fold of the control stream: pure functions over plain values. Every
// reader that applies the same records has the same state. Thread-safe, as
// they touch only their arguments.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control_type.h"

namespace bw {

/// Applies one record. Records that cannot be read, come twice or are not
/// valid in this state change nothing but the version.
/// @pre `offset` is `state->version`.
/// @return The verdict, if the record was a change.
std::optional<Verdict> ApplyRecord(ControlState* state,
                                   Offset offset,
                                   const std::string& record);

/// @return The state as a text that ReadSnapshot understands.
std::string WriteSnapshot(const ControlState& state);

/// @return The state, or nothing if the text cannot be read.
std::optional<ControlState> ReadSnapshot(const std::string& text);

/// Splits `limit` over `n` shards as evenly as whole units allow.
std::vector<uint64_t> SplitEvenly(uint64_t limit, size_t n);

/// Moves a division of an old limit to a new one. A lower limit raises no
/// part and a higher one lowers none, so that readers at different offsets
/// never use more than the larger of the two limits.
std::vector<uint64_t> Rescale(const std::vector<uint64_t>& parts,
                              uint64_t limit);

/// Stamps a template out with an account's parameters.
/// @param name Of the account.
leaf::result<ClientAccount> StampOut(const std::string& name,
                                     const std::string& account_body,
                                     const std::string& template_body);

/// Checks all objects together and derives zones, accounts and keys.
leaf::result<void> Derive(ControlState* state);

/// Texts of the records. `id` makes a record idempotent.
struct ObjectChange {
  std::string object;  ///< "account/NAME" and so on.
  Offset base = 0;     ///< Version it was made against; 0: the object is new.
  std::string body;    ///< JSON; empty removes the object.

  bool operator==(const ObjectChange&) const = default;
};
std::string ChangeRecord(const std::string& id,
                         const std::string& by,
                         const std::vector<ObjectChange>& changes);
std::string JoinRecord(const std::string& id, const Member& member);
std::string EvictRecord(const std::string& id,
                        const Member& target,
                        const Member& by);
std::string LeaveRecord(const std::string& id, const Member& member);
std::string HandoverRecord(const std::string& id,
                           ShardId shard,
                           const Member& from,
                           const Member& to);
struct AllowanceMove {
  TeamId team;
  ShardId from = INVALID_SHARD;
  ShardId to = INVALID_SHARD;
  uint64_t units = 0;
  Offset epoch = 0;  ///< `since` of the giving shard's owner.

  bool operator==(const AllowanceMove&) const = default;
};
std::string MoveRecord(const std::string& id, const AllowanceMove& move);
std::string SnapshotRecord(const std::string& id, const ControlState& state);

/// @return The id inside a record, or an empty text.
std::string RecordId(const std::string& record);

/// @return The snapshot inside a record, if it is one.
std::optional<ControlState> SnapshotIn(const std::string& record);

}  // namespace bw
