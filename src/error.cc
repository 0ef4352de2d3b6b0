#include <iterator>

#include "error_type.h"
#include "table/errors.h"

namespace bw {

static_assert(std::size(table::kErrors) == static_cast<size_t>(ErrorCode::kEnd),
              "table::kErrors must have one row per ErrorCode");

const ErrorDesc& Describe(ErrorCode code) {
  auto n = static_cast<size_t>(code);
  if (n >= std::size(table::kErrors)) {
    n = static_cast<size_t>(ErrorCode::kOutcomeUnknown);
  }
  return table::kErrors[n];
}

}  // namespace bw
