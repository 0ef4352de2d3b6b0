// One placing pass of the cell; only the files cell_*.cc include it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cell_base.h"

namespace bw {

/// A ticket must stay valid this long after a start is sent.
inline constexpr milliseconds kTicketMargin{120};

inline int64_t SignedMs(uint64_t n) {
  return static_cast<int64_t>(n);
}

/// The backend servers of one service together, at the start of a pass.
struct Cell::ServiceRoom {
  Resources total;
  Resources free;  ///< Less what is kept for gangs.
};

/// One placing pass: the free room of all servers, less what steps that came
/// first took or are kept.
struct Cell::Pass {
  Time now;
  std::vector<Server*> servers;
  std::vector<ServerRoom> rooms;  ///< Of the step that is being placed.
  std::vector<Resources> free;    ///< Less what was placed in this pass.
  std::vector<std::vector<KeptRoom>> kept;     ///< For gangs that came first.
  std::vector<std::vector<Release>> releases;  ///< Filled when first needed.
  std::vector<bool> bad;  ///< Of each server: far slower than others.
  std::map<std::string, ServiceRoom> services;
  uint32_t reservations = 0;
};

}  // namespace bw
