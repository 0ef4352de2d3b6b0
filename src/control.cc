#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

#include "control_func.h"
#include "log_func.h"
#include "text_func.h"

namespace bw {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kMaxShardsPerZone = 64;
constexpr size_t kMaxZones = 64;

std::string StringField(const Json& in, const char* key) {
  auto it = in.find(key);
  return it != in.end() && it->is_string() ? it->get<std::string>()
                                           : std::string();
}

uint64_t UintField(const Json& in, const char* key) {
  auto it = in.find(key);
  return it != in.end() && it->is_number_unsigned() ? it->get<uint64_t>() : 0;
}

const Member* FindMember(const ControlState& state,
                         const Json& in,
                         const char* name_key,
                         const char* number_key) {
  auto it = state.members.find(InstanceId(StringField(in, name_key)));
  if (it == state.members.end() ||
      it->second.incarnation != UintField(in, number_key)) {
    return nullptr;
  }
  return &it->second;
}

/// @return The zone's member with the fewest shards; ties are broken by
/// rendezvous hash. Null if the zone has no member.
const Member* PickOwner(const ControlState& state, size_t shard) {
  const Member* best = nullptr;
  std::pair<size_t, uint64_t> best_rank;
  for (const auto& it : state.members) {
    const Member& member = it.second;
    if (member.zone != state.shards[shard].zone) {
      continue;
    }
    const auto load = static_cast<size_t>(
        std::count_if(state.shards.begin(), state.shards.end(),
                      [&](const auto& s) { return s.owner == member.id; }));
    const uint64_t weight =
        ~StableHash(member.id.value + "/" + std::to_string(shard));
    if (best == nullptr || std::pair(load, weight) < best_rank) {
      best = &member;
      best_rank = {load, weight};
    }
  }
  return best;
}

void Reassign(ControlState* state,
              size_t shard,
              ShardOrigin origin,
              Offset offset) {
  ShardOwner& it = state->shards[shard];
  it.owner = InstanceId();
  it.incarnation = 0;
  const Member* member = PickOwner(*state, shard);
  if (member != nullptr) {
    it.owner = member->id;
    it.incarnation = member->incarnation;
  }
  it.origin = origin;
  it.epoch = offset + 1;
}

/// Assigns shards without an owner to members of their zones. The origin of the
/// loss stays, as the wait for the former owner still applies.
void AssignOwnerlessShards(ControlState* state, Offset offset) {
  for (size_t n = 0; n < state->shards.size(); ++n) {
    if (!state->shards[n].owner.IsValid()) {
      Reassign(state, n, state->shards[n].origin, offset);
    }
  }
}

void RemoveMember(ControlState* state,
                  const InstanceId& id,
                  ShardOrigin origin,
                  Offset offset) {
  state->members.erase(id);
  for (size_t n = 0; n < state->shards.size(); ++n) {
    if (state->shards[n].owner == id) {
      Reassign(state, n, origin, offset);
    }
  }
  state->membership_epoch = offset + 1;
}

void ApplyJoin(ControlState* state, Offset offset, const Json& in) {
  Member member{InstanceId(StringField(in, "instance")),
                UintField(in, "incarnation"), ZoneId(StringField(in, "zone")),
                StringField(in, "address"), offset + 1};
  if (!IsName(member.id.value) || !IsName(member.zone.value)) {
    return;
  }
  auto old = state->members.find(member.id);
  if (old != state->members.end() &&
      old->second.incarnation >= member.incarnation) {
    return;  // The record is stale or repeated.
  }
  for (auto& it : state->shards) {
    if (it.owner == member.id) {
      it.incarnation = member.incarnation;
      // The wait for the evicted former owner still applies.
      if (it.origin != ShardOrigin::kEvicted) {
        it.origin = ShardOrigin::kRestarted;
      }
      it.epoch = offset + 1;
    }
  }
  state->members[member.id] = member;
  state->membership_epoch = offset + 1;
  AssignOwnerlessShards(state, offset);
}

void ApplyEvict(ControlState* state, Offset offset, const Json& in) {
  const Member* target = FindMember(*state, in, "instance", "incarnation");
  const Member* by = FindMember(*state, in, "by", "by_incarnation");
  if (target != nullptr && by != nullptr && target->zone == by->zone &&
      target != by) {
    RemoveMember(state, InstanceId(target->id), ShardOrigin::kEvicted, offset);
  }
}

void ApplyLeave(ControlState* state, Offset offset, const Json& in) {
  if (const Member* it = FindMember(*state, in, "instance", "incarnation")) {
    RemoveMember(state, InstanceId(it->id), ShardOrigin::kReleased, offset);
  }
}

void ApplyHandover(ControlState* state, Offset offset, const Json& in) {
  const Member* from = FindMember(*state, in, "instance", "incarnation");
  const Member* to = FindMember(*state, in, "to", "to_incarnation");
  const uint64_t n = UintField(in, "shard");
  if (from == nullptr || to == nullptr || n >= state->shards.size() ||
      state->shards[n].owner != from->id || from->zone != to->zone) {
    return;
  }
  ShardOwner& shard = state->shards[n];
  shard.owner = to->id;
  shard.incarnation = to->incarnation;
  shard.origin = ShardOrigin::kReleased;
  shard.epoch = offset + 1;
  state->membership_epoch = offset + 1;
}

void ApplyMove(ControlState* state, const Json& in) {
  auto it = state->allowances.find(TeamId(StringField(in, "team")));
  const uint64_t from = UintField(in, "from");
  const uint64_t to = UintField(in, "to");
  const uint64_t units = UintField(in, "units");
  if (it == state->allowances.end() || from >= it->second.size() ||
      to >= it->second.size() || it->second[from] < units ||
      state->shards[from].epoch != UintField(in, "epoch")) {
    return;
  }
  it->second[from] -= units;
  it->second[to] += units;
}

/// Adds the shards that the fleet object asks for. Shards are never removed.
void AddMissingShards(ControlState* state, uint64_t per_zone, Offset offset) {
  const size_t wanted = state->zones.size() * per_zone;
  while (state->shards.size() < wanted) {
    const size_t n = state->shards.size();
    state->shards.push_back(
        {state->zones[n / per_zone], {}, 0, ShardOrigin::kNew, offset + 1});
    Reassign(state, n, ShardOrigin::kNew, offset);
    state->membership_epoch = offset + 1;
  }
}

void UpdateAllowances(ControlState* state) {
  const size_t n = state->shards.size();
  std::erase_if(state->allowances, [&](const auto& it) {
    return !state->accounts.contains(it.first);
  });
  for (const auto& [team, account] : state->accounts) {
    auto& parts = state->allowances[team];
    if (parts.size() != n) {
      parts = SplitEvenly(account.upper_limit, n);
    } else {
      parts = Rescale(parts, account.upper_limit);
    }
  }
}

uint64_t ShardsPerZone(const ControlState& state) {
  auto it = state.objects.find("fleet/fleet");
  return it == state.objects.end()
             ? 0
             : UintField(Json::parse(it->second.body), "shards_per_zone");
}

Failure TryChange(const ControlState& state,
                  const Json& in,
                  Offset offset,
                  ControlState* out) {
  auto changes = in.find("changes");
  if (changes == in.end() || !changes->is_array() || changes->empty()) {
    return {ErrorCode::kMalformed, "changes"};
  }
  *out = state;
  for (const auto& change : *changes) {
    const std::string name = StringField(change, "object");
    const Offset base = UintField(change, "base");
    auto it = out->objects.find(name);
    const Offset now = it == out->objects.end() ? 0 : it->second.version;
    if (now != base) {
      return {ErrorCode::kConflict, name};
    }
    auto body = change.find("body");
    if (body == change.end() || body->is_null()) {
      out->objects.erase(name);
    } else {
      out->objects[name] = {offset + 1, body->dump()};
    }
  }
  const bool had_fleet = state.objects.contains("fleet/fleet");
  return HandleFailure(
      [&]() -> leaf::result<Failure> {
        BOOST_LEAF_CHECK(ValidateAndDerive(out));
        if (had_fleet && (out->zones != state.zones ||
                          ShardsPerZone(*out) != ShardsPerZone(state))) {
          return Fail(ErrorCode::kInvalidConfig,
                      "zones and shards are fixed once published");
        }
        return Failure{};
      },
      [](const Failure& e) { return e; });
}

ChangeResult ApplyChange(ControlState* state, Offset offset, const Json& in) {
  ChangeResult result{StringField(in, "id"), ErrorCode::kNone, "", offset};
  ControlState next;
  const Failure failure = TryChange(*state, in, offset, &next);
  result.error = failure.code;
  result.detail = failure.detail;
  if (failure.code == ErrorCode::kNone) {
    AddMissingShards(&next, ShardsPerZone(next), offset);
    UpdateAllowances(&next);
    *state = std::move(next);
  }
  state->recent_results.push_back(result);
  if (state->recent_results.size() > kMaxRecentResults) {
    state->recent_results.pop_front();
  }
  return result;
}

using MembershipFunction = void (*)(ControlState*, Offset, const Json&);
struct MembershipHandler {
  const char* kind;
  MembershipFunction apply;
};
constexpr MembershipHandler kMembershipHandlers[] = {
    {"join", ApplyJoin},
    {"evict", ApplyEvict},
    {"leave", ApplyLeave},
    {"handover", ApplyHandover},
};

bool IsProcessed(const ControlState& state, const std::string& id) {
  return std::any_of(state.recent_results.begin(), state.recent_results.end(),
                     [&](const auto& it) { return it.id == id; });
}

/// Stores the id of a record other than a change, to detect repetitions.
void StoreProcessedId(ControlState* state,
                      const std::string& id,
                      Offset offset) {
  state->recent_results.push_back({id, ErrorCode::kNone, "", offset});
  if (state->recent_results.size() > kMaxRecentResults) {
    state->recent_results.pop_front();
  }
}

Json MemberJson(const Member& it) {
  return {{"instance", it.id.value},
          {"incarnation", it.incarnation},
          {"zone", it.zone.value},
          {"address", it.address},
          {"joined", it.join_offset}};
}

std::string Dump(const Json& in) {
  return in.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::vector<uint64_t> SplitEvenly(uint64_t limit, size_t n) {
  std::vector<uint64_t> out(n, 0);
  for (size_t i = 0; i < n; ++i) {
    out[i] = limit / n + (i < limit % n ? 1 : 0);
  }
  return out;
}

std::vector<uint64_t> Rescale(const std::vector<uint64_t>& parts,
                              uint64_t limit) {
  const uint64_t total =
      std::accumulate(parts.begin(), parts.end(), uint64_t{0});
  auto out = parts;
  if (total == limit || parts.empty()) {
    return out;
  }
  if (total < limit) {
    const auto extra = SplitEvenly(limit - total, parts.size());
    for (size_t n = 0; n < out.size(); ++n) {
      out[n] += extra[n];
    }
    return out;
  }
  uint64_t given = 0;
  for (size_t n = 0; n < out.size(); ++n) {
    out[n] = static_cast<uint64_t>(static_cast<unsigned __int128>(parts[n]) *
                                   limit / total);
    given += out[n];
  }
  for (size_t n = 0; given < limit; n = (n + 1) % out.size()) {
    if (out[n] < parts[n]) {
      ++out[n];
      ++given;
    }
  }
  return out;
}

std::optional<ChangeResult> ApplyRecord(ControlState* state,
                                        Offset offset,
                                        const std::string& record) {
  state->version = offset + 1;
  const Json in = Json::parse(record, nullptr, /*allow_exceptions=*/false);
  if (!in.is_object()) {
    return std::nullopt;
  }
  const std::string id = StringField(in, "id");
  const std::string kind = StringField(in, "kind");
  if (id.empty() || kind == "snapshot" || IsProcessed(*state, id)) {
    return std::nullopt;
  }
  if (kind == "change") {
    return ApplyChange(state, offset, in);
  }
  if (kind == "move") {
    ApplyMove(state, in);
  }
  for (const auto& it : kMembershipHandlers) {
    if (kind == it.kind) {
      it.apply(state, offset, in);
    }
  }
  StoreProcessedId(state, id, offset);
  return std::nullopt;
}

std::string WriteSnapshot(const ControlState& state) {
  Json out = {{"version", state.version}, {"view", state.membership_epoch}};
  out["objects"] = Json::object();
  for (const auto& [name, object] : state.objects) {
    out["objects"][name] = {{"version", object.version}, {"body", object.body}};
  }
  out["members"] = Json::array();
  for (const auto& it : state.members) {
    out["members"].push_back(MemberJson(it.second));
  }
  out["shards"] = Json::array();
  for (const auto& it : state.shards) {
    out["shards"].push_back({it.zone.value, it.owner.value, it.incarnation,
                             static_cast<int>(it.origin), it.epoch});
  }
  out["allowances"] = Json::object();
  for (const auto& it : state.allowances) {
    out["allowances"][it.first.value] = it.second;
  }
  out["verdicts"] = Json::array();
  for (const auto& it : state.recent_results) {
    out["verdicts"].push_back(
        {it.id, static_cast<uint32_t>(it.error), it.detail, it.offset});
  }
  return Dump(out);
}

std::optional<ControlState> ReadSnapshot(const std::string& text) {
  try {
    const Json in = Json::parse(text);
    ControlState out;
    out.version = in.at("version");
    out.membership_epoch = in.at("view");
    for (const auto& it : in.at("objects").items()) {
      out.objects[it.key()] = {it.value().at("version"), it.value().at("body")};
    }
    for (const auto& it : in.at("members")) {
      Member member{InstanceId(it.at("instance")), it.at("incarnation"),
                    ZoneId(it.at("zone")), it.at("address"), it.at("joined")};
      out.members[member.id] = member;
    }
    for (const auto& it : in.at("shards")) {
      out.shards.push_back({ZoneId(it.at(0)), InstanceId(it.at(1)), it.at(2),
                            static_cast<ShardOrigin>(it.at(3).get<int>()),
                            it.at(4)});
    }
    for (const auto& it : in.at("allowances").items()) {
      out.allowances[TeamId(it.key())] =
          it.value().get<std::vector<uint64_t>>();
    }
    for (const auto& it : in.at("verdicts")) {
      out.recent_results.push_back(
          {it.at(0), static_cast<ErrorCode>(it.at(1).get<uint32_t>()), it.at(2),
           it.at(3)});
    }
    const bool valid = HandleFailure(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(ValidateAndDerive(&out));
          return true;
        },
        [](const Failure&) { return false; });
    return valid ? std::optional(std::move(out)) : std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

leaf::result<void> ValidateAndDerive(ControlState* state) {
  state->zones.clear();
  state->accounts.clear();
  state->teams_by_key.clear();
  for (const auto& [name, object] : state->objects) {
    const auto slash = name.find('/');
    const std::string kind = name.substr(0, slash);
    const std::string rest = name.substr(slash + 1);
    const Json body = Json::parse(object.body, nullptr, false);
    if (slash == std::string::npos || !IsName(rest) || !body.is_object()) {
      return Fail(ErrorCode::kInvalidConfig, name);
    }
    if (kind == "fleet") {
      for (const auto& it : SplitList(StringField(body, "zones"), ',')) {
        state->zones.emplace_back(it);
      }
      const uint64_t n = UintField(body, "shards_per_zone");
      if (state->zones.empty() || state->zones.size() > kMaxZones || n == 0 ||
          n > kMaxShardsPerZone) {
        return Fail(ErrorCode::kInvalidConfig, name);
      }
    } else if (kind == "account") {
      auto it =
          state->objects.find("template/" + StringField(body, "template"));
      if (it == state->objects.end()) {
        return Fail(ErrorCode::kInvalidConfig, name + ": no such template");
      }
      BOOST_LEAF_AUTO(account,
                      ExpandTemplate(rest, object.body, it->second.body));
      for (const auto& hash : account.key_hashes) {
        if (!state->teams_by_key.emplace(hash, account.id).second) {
          return Fail(ErrorCode::kInvalidConfig,
                      name + ": the key is another account's");
        }
      }
      state->accounts[account.id] = std::move(account);
    } else if (kind != "template") {
      return Fail(ErrorCode::kInvalidConfig, name);
    }
  }
  return {};
}

std::string ChangeRecord(const std::string& id,
                         const std::string& by,
                         const std::vector<ObjectChange>& changes) {
  Json out = {{"id", id}, {"kind", "change"}, {"by", by}};
  for (const auto& it : changes) {
    out["changes"].push_back(
        {{"object", it.object},
         {"base", it.base},
         {"body", it.body.empty() ? Json() : Json::parse(it.body)}});
  }
  return Dump(out);
}

std::string JoinRecord(const std::string& id, const Member& member) {
  Json out = MemberJson(member);
  out["id"] = id;
  out["kind"] = "join";
  return Dump(out);
}

std::string EvictRecord(const std::string& id,
                        const Member& target,
                        const Member& by) {
  return Dump({{"id", id},
               {"kind", "evict"},
               {"instance", target.id.value},
               {"incarnation", target.incarnation},
               {"by", by.id.value},
               {"by_incarnation", by.incarnation}});
}

std::string LeaveRecord(const std::string& id, const Member& member) {
  return Dump({{"id", id},
               {"kind", "leave"},
               {"instance", member.id.value},
               {"incarnation", member.incarnation}});
}

std::string HandoverRecord(const std::string& id,
                           ShardId shard,
                           const Member& from,
                           const Member& to) {
  return Dump({{"id", id},
               {"kind", "handover"},
               {"shard", ToIndex(shard)},
               {"instance", from.id.value},
               {"incarnation", from.incarnation},
               {"to", to.id.value},
               {"to_incarnation", to.incarnation}});
}

std::string MoveRecord(const std::string& id, const AllowanceMove& move) {
  return Dump({{"id", id},
               {"kind", "move"},
               {"team", move.team.value},
               {"from", ToIndex(move.from)},
               {"to", ToIndex(move.to)},
               {"units", move.units},
               {"epoch", move.epoch}});
}

std::string SnapshotRecord(const std::string& id, const ControlState& state) {
  return Dump(
      {{"id", id}, {"kind", "snapshot"}, {"state", WriteSnapshot(state)}});
}

std::string RecordId(const std::string& record) {
  const Json in = Json::parse(record, nullptr, false);
  return in.is_object() ? StringField(in, "id") : std::string();
}

std::optional<ControlState> ParseSnapshotRecord(const std::string& record) {
  const Json in = Json::parse(record, nullptr, false);
  if (!in.is_object() || StringField(in, "kind") != "snapshot") {
    return std::nullopt;
  }
  return ReadSnapshot(StringField(in, "state"));
}

}  // namespace bw
