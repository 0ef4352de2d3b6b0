// Fetches the control state from a peer when it cannot be read from the log.
#pragma once

#include <string>

#include "follow_base.h"
#include "net/mesh.h"

namespace bw {

/// Requests a snapshot of the control state from the placer at `address` and
/// adopts it if it is newer.
/// Thread-safe. @pre `mesh` and `control` outlive the request.
void FetchControlState(net::Mesh* mesh,
                       const std::string& address,
                       ControlFollower* control);

}  // namespace bw
