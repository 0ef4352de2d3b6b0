#include "fit_func.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <utility>

namespace bw {
namespace {

uint64_t Quotient(uint64_t room, uint64_t need) {
  return need == 0 ? std::numeric_limits<uint32_t>::max() : room / need;
}

constexpr uint32_t kMaxLag = 2 * kUsualLag;
/// A server keeps its lag up to this many factors of two from the lag's middle:
/// measured speeds vary with the tasks that ran.
constexpr double kKeptOctaves = 0.65;
/// A step with this multiple of its critical path left is patient: it meets its
/// objective on a server of half the usual speed, also after some waiting.
constexpr int64_t kPatientFactor = 3;

/// Sort key of servers for a step, the preferred server first.
struct Preference {
  bool slow = false;
  uint32_t penalty = 0;
  uint32_t far_from_data = 0;  ///< 0 or 1.
  uint32_t unwanted_speed = 0;
  uint64_t rank = 0;

  auto operator<=>(const Preference&) const = default;
};

Preference PreferenceOf(const ServerCandidate& server, const StepNeed& need) {
  const uint64_t rank =
      need.spread
          ? (uint64_t{server.step_tasks} << 32) +
                (std::numeric_limits<uint32_t>::max() -
                 std::min<uint64_t>(server.free.millicores,
                                    std::numeric_limits<uint32_t>::max()))
          : server.free.millicores;
  return {server.slow, server.penalty, server.near_data ? 0U : 1U,
          UnwantedSpeed(need.speed, server.lag), rank};
}

/// @return Servers with room for at least one task, the preferred first.
std::vector<uint32_t> Candidates(std::span<const ServerCandidate> servers,
                                 const StepNeed& need) {
  std::vector<std::pair<Preference, uint32_t>> ranked;
  for (uint32_t n = 0; n < servers.size(); ++n) {
    if (MayUse(servers[n], need) &&
        SlotsIn(servers[n], servers[n].free, need) > 0) {
      ranked.emplace_back(PreferenceOf(servers[n], need), n);
    }
  }
  // At most one server for each task is used, so the rest needs no sorting.
  const size_t enough = need.same_rack
                            ? ranked.size()
                            : std::min<size_t>(ranked.size(), need.count);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(enough),
                    ranked.end());
  std::vector<uint32_t> out;
  out.reserve(enough);
  for (size_t n = 0; n < enough; ++n) {
    out.push_back(ranked[n].second);
  }
  return out;
}

/// Assigns tasks to servers in the given order; with `spread` one task to each
/// server in turn.
std::vector<uint32_t> Fill(std::span<const ServerCandidate> servers,
                           const std::vector<uint32_t>& order,
                           const StepNeed& need) {
  std::vector<uint32_t> out;
  std::vector<uint32_t> slots;
  slots.reserve(order.size());
  for (uint32_t n : order) {
    slots.push_back(SlotsIn(servers[n], servers[n].free, need));
  }
  bool progress = true;
  while (out.size() < need.count && progress) {
    progress = false;
    for (size_t n = 0; n < order.size() && out.size() < need.count; ++n) {
      const uint32_t limit = need.spread ? 1 : slots[n];
      const uint32_t take = std::min<uint32_t>(
          {slots[n], limit, need.count - static_cast<uint32_t>(out.size())});
      out.insert(out.end(), take, order[n]);
      slots[n] -= take;
      progress = progress || take > 0;
    }
  }
  return out;
}

/// Calls Fill for each rack. @return The assignment with the most tasks; of
/// equal ones that of the lowest rack.
std::vector<uint32_t> FillOneRack(std::span<const ServerCandidate> servers,
                                  const std::vector<uint32_t>& order,
                                  const StepNeed& need) {
  std::map<uint32_t, std::vector<uint32_t>> racks;
  for (uint32_t n : order) {
    racks[servers[n].rack].push_back(n);
  }
  std::vector<uint32_t> best;
  for (const auto& it : racks) {
    auto filled = Fill(servers, it.second, need);
    if (filled.size() > best.size()) {
      best = std::move(filled);
    }
  }
  return best;
}

/// Room for one task on a server, now or after running tasks end.
struct TaskSlot {
  int64_t free_in_ms = 0;        ///< Estimated time until it is free.
  uint64_t busy_millicores = 0;  ///< Millicores in use on the server now.
  uint32_t server = 0;

  auto operator<=>(const TaskSlot&) const = default;
};

/// Time assumed for slots that no estimated release frees.
constexpr int64_t kUnknownReleaseMs = 60'000;

/// Appends the task slots of one server in the order in which they become free.
void AddSlots(const ServerCandidate& server,
              uint32_t n,
              std::vector<Release> releases,
              const StepNeed& need,
              std::vector<TaskSlot>* out) {
  std::sort(releases.begin(), releases.end(),
            [](const Release& a, const Release& b) {
              return a.ends_in_ms < b.ends_in_ms;
            });
  const uint32_t max_slots = SlotsIn(server, server.total, need);
  const uint64_t busy = server.total.Without(server.free).millicores;
  uint32_t found = std::min(max_slots, SlotsIn(server, server.free, need));
  out->insert(out->end(), found, {0, busy, n});
  Resources released;
  for (const auto& it : releases) {
    released = released + it.room;
    const Resources room = server.free + released.Without(server.over_reserved);
    for (; found < std::min(max_slots, SlotsIn(server, room, need)); ++found) {
      out->push_back({it.ends_in_ms, busy, n});
    }
  }
  out->insert(out->end(), max_slots - found, {kUnknownReleaseMs, busy, n});
}

}  // namespace

uint32_t LagOf(double speed, uint32_t last) {
  const double lag = std::clamp<double>(
      speed > 0 ? kUsualLag - std::log2(speed) : kMaxLag, 0, kMaxLag);
  return std::abs(lag - last) <= kKeptOctaves
             ? last
             : static_cast<uint32_t>(std::lround(lag));
}

SpeedWish SpeedWishOf(bool gang,
                      int64_t remaining_ms,
                      int64_t objective_in_ms) {
  if (!gang && remaining_ms <= 0) {
    return SpeedWish::kAny;  // Its run time is not known.
  }
  const bool patient = objective_in_ms > kPatientFactor * remaining_ms;
  return gang || !patient ? SpeedWish::kFast : SpeedWish::kSlow;
}

uint32_t UnwantedSpeed(SpeedWish wish, uint32_t lag) {
  if (wish == SpeedWish::kSlow) {
    // Patience covers a factor of two. Servers beyond it are in trouble.
    return lag > kUsualLag + 1 ? kMaxLag + lag : kMaxLag - lag;
  }
  return wish == SpeedWish::kFast ? lag : 0;
}

bool MayUse(const ServerCandidate& server, const StepNeed& need) {
  return server.usable && (!need.near_only || server.near_data) &&
         (!need.avoid_slow || !server.slow);
}

uint32_t SlotsIn(const ServerCandidate& server,
                 const Resources& room,
                 const StepNeed& need) {
  uint64_t out =
      std::min({Quotient(room.millicores, need.task.millicores),
                Quotient(room.memory_mb, need.task.memory_mb),
                Quotient(room.accelerators, need.task.accelerators)});
  if (need.per_server > 0) {
    out = std::min<uint64_t>(
        out, need.per_server - std::min(need.per_server, server.step_tasks));
  }
  return static_cast<uint32_t>(std::min<uint64_t>(out, need.count));
}

std::vector<uint32_t> FitStep(std::span<const ServerCandidate> servers,
                              const StepNeed& need) {
  const auto order = Candidates(servers, need);
  auto out = need.same_rack ? FillOneRack(servers, order, need)
                            : Fill(servers, order, need);
  if (need.gang && out.size() < need.count) {
    out.clear();
  }
  out.resize(need.count, kNoServer);
  return out;
}

Resources ReservedDuring(std::span<const Reservation> reserved,
                         int64_t task_ms) {
  Resources out;
  for (const auto& it : reserved) {
    if (it.start_in_ms < task_ms) {
      out = out + it.room;
    }
  }
  return out;
}

GangReservation ReserveForGang(std::span<const ServerCandidate> servers,
                               std::span<const std::vector<Release>> releases,
                               const StepNeed& need) {
  std::map<uint32_t, std::vector<TaskSlot>> racks;
  for (uint32_t n = 0; n < servers.size(); ++n) {
    if (MayUse(servers[n], need)) {
      AddSlots(servers[n], n,
               n < releases.size() ? releases[n] : std::vector<Release>(), need,
               &racks[need.same_rack ? servers[n].rack : 0]);
    }
  }
  const std::vector<TaskSlot>* best = nullptr;
  for (auto& it : racks) {
    auto& slots = it.second;
    if (slots.size() < need.count) {
      continue;
    }
    std::sort(slots.begin(), slots.end());
    slots.resize(need.count);
    if (best == nullptr || slots.back().free_in_ms < best->back().free_in_ms) {
      best = &slots;
    }
  }
  GangReservation out;
  if (best != nullptr && need.count > 0) {
    out.start_in_ms = best->back().free_in_ms;
    out.tasks.resize(servers.size());
    for (const auto& it : *best) {
      ++out.tasks[it.server];
    }
  }
  return out;
}

}  // namespace bw
