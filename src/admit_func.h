// The checks every piece of work passes before it waits and again before it
// is sent. Thread-safe: pure functions.
#pragma once

#include "control_type.h"
#include "work_type.h"

namespace bw {

/// Finds the queue and checks the key.
/// @param keys_current False if keyed work must be refused.
/// @return kNone if the work may go on.
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

/// @return The queue's policy. @pre CheckOrigin said kNone.
inline const QueuePolicy& PolicyOf(const ControlState& state,
                                   const WorkOrigin& origin) {
  return state.accounts.at(origin.team).queues.at(origin.queue);
}

}  // namespace bw
