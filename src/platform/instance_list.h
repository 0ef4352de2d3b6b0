// Client interface of the platform's list of running and leaving instances. The
// list lags behind the actual state.
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

/// An entry of the list.
struct ListedInstance {
  std::string name;
  InstanceKind kind = InstanceKind::kEntry;
  ZoneId zone;
  std::string address;       ///< "ip:port"
  bool leaving = false;      ///< Its shutdown has been announced.
  Resources total;           ///< Workers only.
  uint32_t rack = 0;         ///< Workers only.
  uint32_t slots = 0;        ///< Runners only.
  uint32_t connections = 0;  ///< Runners only.

  auto operator<=>(const ListedInstance&) const = default;
};

/// Blocking interface to the list. Thread-safe.
class InstanceList {
 public:
  virtual ~InstanceList() = default;

  /// @param zone Zone to list; an invalid id selects all zones.
  virtual leaf::result<std::vector<ListedInstance>> Read(
      const ZoneId& zone) = 0;
};

/// @return A client that reads the list over HTTP.
std::unique_ptr<InstanceList> MakeHttpInstanceList(std::string url);

/// @return An entry in the JSON format of the HTTP list.
std::string ToJson(const ListedInstance& instance);

}  // namespace bw::platform
