// The state machine of the control stream as pure functions: readers that apply
// the same records reach the same state. Thread-safe, as the functions access
// only their arguments.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control_type.h"

namespace bw {

/// Applies one record. Malformed and repeated records and records that are
/// invalid in this state change the version only (and the list of recent
/// results).
/// @pre `offset` is `state->version`.
/// @return The result, if the record was a change that was not a repetition.
std::optional<ChangeResult> ApplyRecord(ControlState* state,
                                        Offset offset,
                                        const std::string& record);

/// Serializes the state for ReadSnapshot.
std::string WriteSnapshot(const ControlState& state);

/// @return The state, or nullopt if the text is malformed or invalid.
std::optional<ControlState> ReadSnapshot(const std::string& text);

/// Splits `limit` over `n` shards as evenly as possible in whole units.
std::vector<uint64_t> SplitEvenly(uint64_t limit, size_t n);

/// Scales the parts of a limit so that they add up to the new limit. Lowering
/// the limit raises no part and raising it lowers none, so readers at different
/// offsets together never use more than the larger of the two limits.
std::vector<uint64_t> Rescale(const std::vector<uint64_t>& parts,
                              uint64_t limit);

/// Fills an account's parameters into its template.
/// @param name Name of the account.
leaf::result<ClientAccount> ExpandTemplate(const std::string& name,
                                           const std::string& account_body,
                                           const std::string& template_body);

/// Validates all objects and derives zones, accounts and keys from them.
leaf::result<void> ValidateAndDerive(ControlState* state);

// Serialized records. `id` makes a record idempotent.

/// Change of one object in a change record.
struct ObjectChange {
  std::string object;  ///< "account/NAME" and so on.
  Offset base = 0;     ///< Version the change is based on; 0: a new object.
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

/// Moves units of a team's allowance from one shard to another.
struct AllowanceMove {
  TeamId team;
  ShardId from = INVALID_SHARD;
  ShardId to = INVALID_SHARD;
  uint64_t units = 0;
  Offset epoch = 0;  ///< Fencing epoch of the `from` shard's owner.

  bool operator==(const AllowanceMove&) const = default;
};
std::string MoveRecord(const std::string& id, const AllowanceMove& move);
std::string SnapshotRecord(const std::string& id, const ControlState& state);

/// @return The id of a record; empty if it has none.
std::string RecordId(const std::string& record);

/// @return The state in a snapshot record; nullopt for other records.
std::optional<ControlState> ParseSnapshotRecord(const std::string& record);

}  // namespace bw
