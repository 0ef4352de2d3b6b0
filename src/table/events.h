// Names of the event kinds, in the order of EventKind.
#pragma once

#include <array>

#include "../timeline_type.h"

namespace bw::table {

inline constexpr std::array<const char*, static_cast<size_t>(EventKind::kEnd)>
    kEventNames = {"started",
                   "stopped",
                   "drain_began",
                   "member_joined",
                   "member_evicted",
                   "member_left",
                   "authority_gained",
                   "authority_lost",
                   "config_applied",
                   "change_accepted",
                   "change_rejected",
                   "request_accepted",
                   "request_sent",
                   "request_ended",
                   "request_refused",
                   "job_accepted",
                   "job_ended",
                   "task_sent",
                   "task_running",
                   "task_ended",
                   "task_unknown",
                   "allowance_moved",
                   "backend_quarantined",
                   "clock_gap",
                   "zone_cut",
                   "zone_healed",
                   "task_preempted"};

}  // namespace bw::table
