#include "platform.h"

#include <algorithm>
#include <charconv>
#include <functional>

#include "../../src/text_func.h"

namespace review {
namespace {

constexpr uint64_t kHoldMaxMs = 10'000;  ///< holdMaxMs
constexpr uint64_t kStopMs = 100;        ///< Below stopMs, 400.
constexpr uint64_t kSaveMs = 500;        ///< saveS
constexpr uint64_t kRestoreMs = 600;     ///< restoreMs
constexpr uint64_t kTicketMs = 2000;     ///< validMs
constexpr size_t kEndsPerCall = 500;
constexpr size_t kKeptBytes = 64U << 20;  ///< History kept of a partition.

std::FILE* record_file = nullptr;
std::mutex record_mutex;

uint64_t QueryNumber(const HttpRequest& request, const char* name) {
  const std::string text = request.Query(name);
  uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

uint64_t NumberIn(const std::string& text, const std::string& name) {
  uint64_t out = 0;
  if (const auto at = text.find(name + "="); at != std::string::npos) {
    std::from_chars(text.data() + at + name.size() + 1,
                    text.data() + text.size(), out);
  }
  return out;
}

std::string BigEndian(uint64_t n, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((n >> shift) & 0xff));
  }
  return out;
}

HttpResponse JsonReply(int status, const Json& body) {
  HttpResponse out;
  out.status = status;
  out.body = body.dump();
  return out;
}

bool IsKeyed(const std::string& topic) {
  return topic.starts_with("keyed.");
}

}  // namespace

uint64_t NowMs() {
  static const auto began = std::chrono::steady_clock::now();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - began)
          .count());
}

uint64_t WallMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void OpenRecord(const std::string& path) {
  record_file = std::fopen(path.c_str(), "w");
}

void Record(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  if (record_file == nullptr) {
    return;
  }
  std::fprintf(record_file, "%8.3f ", static_cast<double>(NowMs()) / 1000);
  va_list args;
  va_start(args, format);
  std::vfprintf(record_file, format, args);
  va_end(args);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// ---- Store ----

void Store::Serve(const HttpRequest& request, const Responder& respond) {
  std::lock_guard lock(mutex_);
  const std::string name = request.path.substr(request.path.rfind('/') + 1);
  const Json body = Json::parse(request.body, nullptr, false);
  if (name == "log-append") {
    Append(request, respond);
  } else if (name == "log-read") {
    PendingRead read{{request.Query("topic"),
                      static_cast<uint32_t>(QueryNumber(request, "part"))},
                     QueryNumber(request, "from"),
                     NowMs() + QueryNumber(request, "waitMs"),
                     respond};
    if (!TryRead(read, NowMs() >= read.until_ms)) {
      reads_.push_back(read);
    }
  } else if (name == "log-newest" && request.Query("topic").empty()) {
    // The project's HTTP server drops a query with a ':', as in the cursor of a
    // second page. No case here has so many keys.
    Record("store: log-newest with a query that could not be decoded");
    respond(JsonReply(400, Json::object()));
  } else if (name == "log-newest") {
    Newest(request, respond);
  } else if (name == "log-join" && body.is_object()) {
    Join(body, respond);
  } else if (name == "log-leave" && body.is_object()) {
    Remove(&groups_[body.value("group", "")], body.value("member", ""));
    respond(JsonReply(200, Json::object()));
  } else if (name == "log-owners") {
    Json rows = Json::array();
    for (const auto& it : groups_[request.Query("group")].holder) {
      if (!it.second.empty()) {
        rows.push_back({it.first.first, it.first.second, it.second, 0});
      }
    }
    respond(JsonReply(200, {{"parts", rows}}));
  } else {
    respond(JsonReply(404, Json::object()));
  }
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  std::lock_guard lock(mutex_);
  Add(&parts_[{topic, 0}], true,
      std::string(1, static_cast<char>(key.size())) + key + value);
}

void Store::Add(Part* part, bool keyed, std::string record) {
  if (keyed && !record.empty()) {
    const auto length = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, length);
    std::string value = record.substr(1 + length);
    if (value.empty()) {
      part->newest.erase(key);
    } else {
      part->newest[key] = {std::move(value), part->End()};
    }
  }
  part->bytes += record.size();
  part->records.push_back(std::move(record));
  while (part->bytes > kKeptBytes) {
    part->bytes -= part->records.front().size();
    part->records.pop_front();
    ++part->first;
  }
}

void Store::Append(const HttpRequest& request, const Responder& respond) {
  const PartId id{request.Query("topic"),
                  static_cast<uint32_t>(QueryNumber(request, "part"))};
  std::vector<std::string> records;
  for (size_t at = 0; at + 4 <= request.body.size();) {
    size_t length = 0;
    for (int n = 0; n < 4; ++n) {
      length = (length << 8) | static_cast<unsigned char>(request.body[at + n]);
    }
    if (length > kRecordBytes || request.body.size() > kCallBytes + 4096) {
      // "each record consists of a length and at most `recordBytes`"
      largest_refused_ = std::max(largest_refused_, length);
      if (++refusals_ <= 20) {
        Record(
            "store: append refused with 400: record of %zu bytes, at most "
            "%zu",
            length, kRecordBytes);
      }
      return respond(JsonReply(400, {{"reason", "size"}}));
    }
    records.push_back(request.body.substr(at + 4, length));
    at += 4 + length;
  }
  Part& part = parts_[id];
  Producer* producer = nullptr;
  const uint64_t sequence = QueryNumber(request, "sequence");
  if (const std::string name = request.Query("producer"); !name.empty()) {
    producer = &producers_[{id, name}];
    const uint64_t epoch = QueryNumber(request, "epoch");
    if (epoch < producer->epoch) {
      return respond(JsonReply(409, {{"reason", "fenced"}}));
    }
    if (epoch > producer->epoch) {
      *producer = {epoch, 0, true, {}};
    }
    if (records.empty()) {
      return respond(
          JsonReply(200, {{"offset", part.End()}, {"end", part.End()}}));
    }
    if (auto it = producer->responses.find(sequence);
        it != producer->responses.end()) {
      return respond(JsonReply(200, it->second));
    }
    if (!producer->fresh && sequence != producer->next_sequence) {
      return respond(JsonReply(
          409, {{"reason", "seq"}, {"sequence", producer->next_sequence}}));
    }
  }
  const uint64_t offset = part.End();
  for (auto& it : records) {
    Add(&part, IsKeyed(id.first), std::move(it));
  }
  const Json reply = {{"offset", offset}, {"end", part.End()}};
  if (producer != nullptr) {
    producer->fresh = false;
    producer->next_sequence = sequence + 1;
    producer->responses[sequence] = reply;
    if (producer->responses.size() > 5) {
      producer->responses.erase(producer->responses.begin());
    }
  }
  respond(JsonReply(200, reply));
}

bool Store::TryRead(const PendingRead& read, bool last) {
  const Part& part = parts_[read.part];
  HttpResponse out;
  out.content_type = "application/octet-stream";
  if (read.from < part.first) {
    read.respond(JsonReply(410, {{"first", part.first}}));
    return true;
  }
  if (read.from >= part.End() && !last) {
    return false;
  }
  out.body = BigEndian(part.End(), 8) + BigEndian(part.first, 8);
  constexpr size_t kMaxBytes = 1U << 20;
  for (uint64_t n = read.from; n < part.End() && out.body.size() < kMaxBytes;
       ++n) {
    const auto& record = part.records[n - part.first];
    out.body += BigEndian(record.size(), 4) + record;
  }
  read.respond(out);
  return true;
}

void Store::Newest(const HttpRequest& request, const Responder& respond) {
  const Part& part =
      parts_[{request.Query("topic"),
              static_cast<uint32_t>(QueryNumber(request, "part"))}];
  Json items = Json::array();
  size_t bytes = 0;
  bool more = false;
  for (auto it = part.newest.upper_bound(request.Query("dependsOn"));
       it != part.newest.end(); ++it) {
    if (items.size() == 500 || bytes > (1U << 20)) {
      more = true;
      break;
    }
    bytes += it->second.first.size();
    items.push_back({{"key", it->first},
                     {"value", bw::ToBase64(it->second.first)},
                     {"offset", it->second.second}});
  }
  respond(
      JsonReply(200, {{"items", items}, {"more", more}, {"end", part.End()}}));
}

/// Assigns the partitions of each topic evenly to its members. A partition
/// stays where it is while that is even.
void Store::Deal(Group* group) {
  ++group->generation;
  std::map<std::string, std::vector<std::string>> members;
  for (const auto& it : group->members) {
    for (const auto& topic : it.second.topics) {
      members[topic].push_back(it.first);
    }
  }
  group->target.clear();
  for (auto& [topic, names] : members) {
    const uint32_t parts = IsKeyed(topic) ? 1 : kParts;
    const size_t most = (parts + names.size() - 1) / names.size();
    std::map<std::string, size_t> count;
    std::vector<PartId> open;
    for (uint32_t n = 0; n < parts; ++n) {
      const PartId id{topic, n};
      const auto& holder = group->holder[id];
      if (group->members.contains(holder) && count[holder] < most) {
        ++count[holder];
        group->target[id] = holder;
      } else {
        open.push_back(id);
      }
    }
    std::sort(names.begin(), names.end(),
              [&](const std::string& a, const std::string& b) {
                return group->members[a].order < group->members[b].order;
              });
    for (const auto& id : open) {
      const auto least = std::min_element(
          names.begin(), names.end(),
          [&](const auto& a, const auto& b) { return count[a] < count[b]; });
      group->target[id] = *least;
      ++count[*least];
    }
  }
  for (auto& it : group->holder) {
    if (!group->members.contains(it.second)) {
      it.second.clear();
    }
  }
  for (const auto& it : group->target) {
    if (group->holder[it.first].empty()) {
      group->holder[it.first] = it.second;
    }
  }
}

void Store::Remove(Group* group, const std::string& member) {
  if (group->members.erase(member) > 0) {
    Deal(group);
  }
}

void Store::Join(const Json& body, const Responder& respond) {
  Group& group = groups_[body.value("group", "")];
  const std::string name = body.value("member", "");
  const bool added = !group.members.contains(name);
  Member& member = group.members[name];
  member.topics =
      body.value("topics", Json::array()).get<std::vector<std::string>>();
  member.expires_ms = NowMs() + body.value("ttlMs", uint64_t{1000});
  if (added) {
    member.order = ++group.joined;
    Deal(&group);
  }
  if (body.value("generation", uint64_t{0}) >= group.generation) {
    for (auto& it : group.holder) {  // It gives up what it no longer has.
      if (it.second == name && group.target[it.first] != name) {
        it.second = group.target[it.first];
      }
    }
  }
  Json parts = Json::array();
  for (const auto& it : group.holder) {
    if (it.second == name && group.target[it.first] == name) {
      parts.push_back({it.first.first, it.first.second, 0});
    }
  }
  respond(JsonReply(200, {{"generation", group.generation},
                          {"ttlMs", body.value("ttlMs", 0)},
                          {"parts", parts}}));
}

void Store::Tick() {
  std::lock_guard lock(mutex_);
  const uint64_t now = NowMs();
  for (auto& it : groups_) {
    std::vector<std::string> expired;
    for (const auto& member : it.second.members) {
      if (member.second.expires_ms < now) {
        expired.push_back(member.first);
      }
    }
    for (const auto& member : expired) {
      Remove(&it.second, member);
    }
  }
  std::erase_if(reads_, [&](const PendingRead& read) {
    return TryRead(read, now >= read.until_ms);
  });
}

std::string Store::HolderOf(const std::string& group,
                            const std::string& topic) {
  std::lock_guard lock(mutex_);
  return groups_[group].holder[{topic, 0}];
}

// ---- Advice ----

void Advice::Serve(const HttpRequest& request, const Responder& respond) {
  std::lock_guard lock(mutex_);
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return respond(JsonReply(400, Json::object()));
  }
  const std::string step = body.value("step", "");
  Json good = Json::array();
  for (const auto& it : body.value("workers", Json::array())) {
    const std::string ticket = "t-" + std::to_string(NowMs());
    tickets_[{step, it.get<std::string>()}] = {ticket, NowMs()};
    good.push_back({it, ticket});
  }
  respond(JsonReply(200, {{"good", good}, {"validMs", kTicketMs}}));
}

bool Advice::IsValid(const std::string& step,
                     const std::string& runner,
                     const std::string& ticket) {
  std::lock_guard lock(mutex_);
  const auto it = tickets_.find({step, runner});
  return it != tickets_.end() && it->second.first == ticket &&
         NowMs() <= it->second.second + kTicketMs;
}

// ---- Runner ----

Runner::Runner(std::string id,
               std::string address,
               Store* store,
               Advice* advice,
               uint64_t cpu,
               uint64_t memory_mb)
    : id_(std::move(id)),
      address_(std::move(address)),
      store_(store),
      advice_(advice),
      cpu_(cpu),
      memory_mb_(memory_mb) {}

HttpResponse Runner::Reply(int status, Json body) const {
  body["clockMs"] = Clock();
  body["born"] = born_wall_;
  return JsonReply(status, body);
}

void Runner::Announce() {
  std::lock_guard lock(mutex_);
  const Json entry = {
      {"service", "svc"},
      {"address", address_},
      {"zone", "zone-a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"sequence", ++sequence_},
      {"clockMs", Clock()},
      {"born", born_wall_},
      {"labels", {"a", "r1-1"}},
      {"capacity", {{"cpu", cpu_}, {"memMb", memory_mb_}, {"gpu", 0}}}};
  store_->Put("keyed.servers", id_, entry.dump());
}

void Runner::SetHang(bool on) {
  std::lock_guard lock(mutex_);
  hang_ = on;
}

void Runner::Extend(const Json& body) {
  const uint64_t wanted = body.value("deadlineMs", uint64_t{0});
  lease_end_ = std::max(lease_end_, std::min(wanted, Clock() + kHoldMaxMs));
}

void Runner::Serve(const HttpRequest& request, const Responder& respond) {
  std::lock_guard lock(mutex_);
  const std::string name = request.path.substr(request.path.rfind('/') + 1);
  const std::string expected = request.Header("bilberrywing-expect-instance");
  if (!expected.empty() && expected != id_) {
    return respond(Reply(421, Json::object()));
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return respond(Reply(400, Json::object()));
  }
  if (hang_) {
    if (name != "hold") {
      Record("runner %s: %s of %s run %lu gets no answer", id_.c_str(),
             name.c_str(), body.value("task", "").c_str(),
             body.value("run", 0UL));
    }
    return;
  }
  const uint64_t fence = body.value("fencingToken", uint64_t{0});
  if (fence < fence_) {
    return respond(Reply(409, {{"reason", "fence"}}));
  }
  fence_ = fence;
  if (name == "run-start") {
    respond(Start(body));
  } else if (name == "run-stop") {
    respond(Stop(body));
  } else if (name == "hold") {
    Extend(body);
    const uint64_t noted = body.value("ackCursor", uint64_t{0});
    while (!ends_.empty() && ends_.front()[0].get<uint64_t>() <= noted) {
      runs_[end_runs_.front()].noted_ms = NowMs();
      ends_.pop_front();
      end_runs_.pop_front();
    }
    const uint64_t wait =
        std::min<uint64_t>(body.value("waitMs", uint64_t{0}), 2000);
    if (wait > 0 && ends_.empty()) {
      holds_.push_back({NowMs() + wait, respond});
    } else {
      respond(Lists());
    }
  } else {
    respond(Reply(404, Json::object()));
  }
}

HttpResponse Runner::Start(const Json& body) {
  const std::string task = body.value("task", "");
  const uint64_t run = body.value("run", uint64_t{0});
  if (body.value("deadlineMs", uint64_t{0}) <= Clock()) {
    return Reply(409, {{"reason", "late"}});
  }
  Extend(body);
  if (active_.contains({task, run})) {
    return Reply(200, Json::object());
  }
  if (const auto it = barred_.find(task);
      it != barred_.end() && run <= it->second) {
    return Reply(409, {{"reason", "old"}});
  }
  const std::string spec = body.value("spec", "");
  if (NumberIn(spec, "advice") > 0 &&
      !advice_->IsValid(task.substr(0, task.rfind('.')), id_,
                        body.value("ticket", ""))) {
    if (++rejected_tickets_ <= 5) {
      Record("runner %s: start of %s run %lu rejected, ticket \"%s\"",
             id_.c_str(), task.c_str(), run, body.value("ticket", "").c_str());
    }
    return Reply(409, {{"reason", "ticket"}});
  }
  const std::string saved = body.value("saved", "");
  Active active;
  active.began_ms = NowMs();
  active.index = runs_.size();
  const uint64_t index =
      static_cast<uint64_t>(std::atoll(task.c_str() + task.rfind('.') + 1));
  uint64_t work = NumberIn(spec, "ms");
  if (const uint64_t spread = NumberIn(spec, "spread"); spread > 0) {
    work += index * 7919 % spread;
  }
  if (const uint64_t ends = NumberIn(spec, "ends"); ends > 0) {
    work = run == 1 ? ends : 0;  // A task that lasts.
  }
  if (saved.size() >= 8) {
    active.progress_ms = std::strtoull(saved.substr(0, 8).c_str(), nullptr, 16);
  }
  if (work > 0) {
    const uint64_t left = work - std::min(work, active.progress_ms);
    active.done_ms = NowMs() + left + (saved.empty() ? 0 : kRestoreMs);
  }
  active_[{task, run}] = active;
  runs_.push_back({task, run, id_, NowMs(), 0, "", 0, 0});
  return Reply(200, Json::object());
}

HttpResponse Runner::Stop(const Json& body) {
  const std::string task = body.value("task", "");
  const uint64_t run = body.value("run", uint64_t{0});
  barred_[task] = std::max(barred_[task], run);
  if (auto it = active_.find({task, run}); it != active_.end()) {
    stopping_.push_back({NowMs() + kStopMs, it->first});
  }
  return Reply(200, Json::object());
}

std::string Runner::SavedOf(const std::string& task,
                            const Active& active) const {
  const uint64_t worked =
      active.progress_ms + (NowMs() - active.began_ms) / kSaveMs * kSaveMs;
  if (worked == 0) {
    return {};
  }
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%.8s", static_cast<unsigned>(worked),
                task.c_str());
  return text;
}

void Runner::End(const std::pair<std::string, uint64_t>& run, const char* how) {
  const Active active = active_.at(run);
  active_.erase(run);
  barred_[run.first] = std::max(barred_[run.first], run.second);
  Run& it = runs_[active.index];
  it.ended_ms = NowMs();
  it.how = how;
  it.end_number = ++last_end_;
  const std::string saved = it.how == "done" ? "" : SavedOf(run.first, active);
  ends_.push_back(Json::array({last_end_, run.first, run.second, how, saved}));
  end_runs_.push_back(active.index);
  most_ends_ = std::max(most_ends_, ends_.size());
}

HttpResponse Runner::Lists() {
  Json running = Json::array();
  for (const auto& it : active_) {
    running.push_back({it.first.first, it.first.second,
                       SavedOf(it.first.first, it.second), 100, 50});
  }
  Json ended = Json::array();
  for (size_t n = 0; n < std::min(ends_.size(), kEndsPerCall); ++n) {
    ended.push_back(ends_[n]);
  }
  return Reply(200, {{"running", running}, {"ended", ended}});
}

void Runner::Tick() {
  std::lock_guard lock(mutex_);
  const uint64_t now = NowMs();
  std::erase_if(stopping_, [&](const auto& it) {
    if (it.first <= now && active_.contains(it.second)) {
      End(it.second, "stopped");
    }
    return it.first <= now;
  });
  std::vector<std::pair<std::string, uint64_t>> over;
  const bool lapsed = Clock() > lease_end_;
  for (const auto& it : active_) {
    if (lapsed || (it.second.done_ms != 0 && it.second.done_ms <= now)) {
      over.push_back(it.first);
    }
  }
  if (lapsed && !over.empty()) {
    Record("runner %s: lease lapsed, %zu runs end", id_.c_str(), over.size());
    lapses_.push_back(now);
  }
  std::sort(over.begin(), over.end(), [&](const auto& a, const auto& b) {
    return active_.at(a).done_ms < active_.at(b).done_ms;
  });
  for (const auto& it : over) {
    End(it, lapsed ? "lapsed" : "done");
  }
  for (auto it = holds_.begin(); it != holds_.end();) {
    if (!ends_.empty() || it->until_ms <= now) {
      it->respond(Lists());
      it = holds_.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<Run> Runner::Runs() {
  std::lock_guard lock(mutex_);
  return runs_;
}

size_t Runner::CountRunning() {
  std::lock_guard lock(mutex_);
  return active_.size();
}

std::vector<uint64_t> Runner::Lapses() {
  std::lock_guard lock(mutex_);
  return lapses_;
}

}  // namespace review
