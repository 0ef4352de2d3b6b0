// Conversions between mesh messages (protobuf) and plain types. Thread-safe.
#pragma once

#include <string>

#include "proto/bw.pb.h"
#include "work_type.h"

namespace bw {

/// Wraps the outcome in a mesh message.
inline proto::Envelope ToEnvelope(WorkOutcome outcome) {
  proto::Envelope out;
  auto* it = out.mutable_outcome();
  it->set_error(static_cast<uint32_t>(outcome.error));
  it->set_status(static_cast<uint32_t>(outcome.status));
  it->set_body(std::move(outcome.body));
  it->set_content_type(std::move(outcome.content_type));
  it->set_retry_after_ms(outcome.retry_after_ms);
  it->set_detail(std::move(outcome.detail));
  return out;
}

/// Converts a received outcome. An error code that this version does not know
/// becomes kOutcomeUnknown.
inline WorkOutcome FromMessage(const proto::Outcome& in) {
  const auto end = static_cast<uint32_t>(ErrorCode::kEnd);
  return {in.error() < end ? static_cast<ErrorCode>(in.error())
                           : ErrorCode::kOutcomeUnknown,
          static_cast<int>(in.status()),
          in.body(),
          in.content_type(),
          in.retry_after_ms(),
          in.detail()};
}

}  // namespace bw
