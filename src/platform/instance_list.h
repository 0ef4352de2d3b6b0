// The platform's lagging list of live and leaving instances.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "../error_type.h"
#include "../id_type.h"
#include "../place_type.h"

namespace bw::platform {

enum class InstanceKind : uint8_t { kEntry, kRunner, kWorker };

/// One row of the list.
struct ListedInstance {
  std::string name;
  InstanceKind kind = InstanceKind::kEntry;
  ZoneId zone;
  std::string address;  ///< "ip:port"
  bool leaving = false;
  Resources total;           ///< Workers only.
  uint32_t rack = 0;         ///< Workers only.
  uint32_t slots = 0;        ///< Runners only.
  uint32_t connections = 0;  ///< Runners only.

  auto operator<=>(const ListedInstance&) const = default;
};

/// Interface to the list. Calls block; thread-safe.
class InstanceList {
 public:
  virtual ~InstanceList() = default;

  /// @param zone Only instances of this zone; invalid: all.
  virtual leaf::result<std::vector<ListedInstance>> Read(
      const ZoneId& zone) = 0;
};

std::unique_ptr<InstanceList> MakeHttpInstanceList(std::string url);

/// JSON of one row, as the HTTP list gives it.
std::string ToJson(const ListedInstance& instance);

}  // namespace bw::platform
