// Fetching the control state from a peer, for when the log does not give it.
#pragma once

#include <string>

#include "follow_base.h"
#include "net/mesh.h"

namespace bw {

/// Asks the placer at `address` for its fold and adopts it if it is newer.
/// Thread-safe. @pre `mesh` and `control` outlive the answer.
void FetchFold(net::Mesh* mesh,
               const std::string& address,
               ControlFollower* control);

}  // namespace bw
