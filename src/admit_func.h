// Authorization checks of requests and jobs, made at submission and again
// before dispatch. Pure functions; thread-safe.
#pragma once

#include "control_type.h"
#include "work_type.h"

namespace bw {

/// Checks that the account and queue exist and that the key may use them.
/// @param keys_current False if the key table may be out of date; work that
/// needs a key is refused then.
/// @return kNone if the work is authorized.
inline ErrorCode CheckOrigin(const ControlState& state,
                             const WorkOrigin& origin,
                             bool keys_current) {
  auto account = state.accounts.find(origin.team);
  if (account == state.accounts.end()) {
    return ErrorCode::kUnknownTeam;
  }
  auto queue = account->second.queues.find(origin.queue);
  if (queue == account->second.queues.end()) {
    return ErrorCode::kUnknownQueue;
  }
  if (queue->second.open && origin.key_hash.empty()) {
    return ErrorCode::kNone;
  }
  if (!keys_current) {
    return ErrorCode::kZoneCutOff;
  }
  auto key = state.teams_by_key.find(origin.key_hash);
  if (key == state.teams_by_key.end()) {
    return ErrorCode::kUnknownKey;
  }
  return key->second == origin.team ? ErrorCode::kNone
                                    : ErrorCode::kKeyOfOtherTeam;
}

/// @return The queue's policy. @pre CheckOrigin returned kNone.
inline const QueuePolicy& PolicyOf(const ControlState& state,
                                   const WorkOrigin& origin) {
  return state.accounts.at(origin.team).queues.at(origin.queue);
}

}  // namespace bw
