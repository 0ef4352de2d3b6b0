// Distributes the owner's queries to the advice service over the instances.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "advice_func.h"

namespace bw {

/// Outcome of a query.
enum class QueryOutcome : uint8_t {
  kAnswered,
  kOverloaded,  ///< The instance or the service refused more queries.
  kNotSent,     ///< No connection to the instance; it was not delivered.
  kTimedOut,    ///< No reply within the time-out.
};

/// Tracks the pending queries of each instance, by its address, and whether it
/// replies. Does no I/O. Not thread-safe.
class AdvicePool {
 public:
  /// Chooses an instance for a query and counts the query as sent to it.
  /// @param expected Expected duration of the query.
  /// @param urgent See ChooseChannel.
  /// @return Address of the instance; empty if none is available.
  std::string Acquire(const std::vector<std::string>& members,
                      milliseconds expected,
                      bool urgent,
                      Time now);

  /// @return Number of instances that could send a long query now.
  size_t CountIdle(const std::vector<std::string>& members, Time now) const;

  /// @return Time-out of the newest query to `address`.
  /// @pre The last call of Acquire returned `address`.
  milliseconds ResponseTimeout(const std::string& address, Time now) const;

  /// Records the outcome of a query that was sent to `address`.
  void OnQueryEnd(const std::string& address, QueryOutcome outcome, Time now);

 private:
  std::vector<AdviceChannel> ChannelsOf(
      const std::vector<std::string>& members) const;

  std::map<std::string, AdviceChannel> instances_;
};

}  // namespace bw
