#include "backend.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "../text_func.h"
#include "json_func.h"

namespace bw::platform {
namespace {

using nlohmann::json;

/// Most ends that a backend server lists in one report.
constexpr size_t kMaxListedEnds = 500;
/// Largest load metric that is taken over.
constexpr double kMaxLoad = 1e12;
constexpr const char* kStartMethod = "run-start";
constexpr const char* kExpectInstanceHeader = "Bilberrywing-Expect-Instance";

constexpr std::array<std::pair<const char*, RunEnd>, 6> kRunEndNames = {{
    {"done", RunEnd::kDone},
    {"failed", RunEnd::kFailed},
    {"stopped", RunEnd::kStopped},
    {"lapsed", RunEnd::kLapsed},
    {"broken", RunEnd::kGangMemberEnded},
    {"alone", RunEnd::kGangIncomplete},
}};

constexpr std::array<std::pair<const char*, OrderResult>, 5> kRejections = {{
    {"fence", OrderResult::kFenced},
    {"old", OrderResult::kSuperseded},
    {"late", OrderResult::kExpired},
    {"room", OrderResult::kNoRoom},
    {"ticket", OrderResult::kNoTicket},
}};

net::HttpCall MakeCall(const BackendEntry& backend,
                       const char* method,
                       const json& body,
                       milliseconds timeout) {
  net::HttpCall out;
  out.method = "POST";
  out.url = fmt::format("http://{}/v1/{}", backend.address, method);
  out.headers = {{"Content-Type", "application/json"},
                 {kExpectInstanceHeader, backend.id.value}};
  out.body = body.dump();
  out.timeout = timeout;
  return out;
}

std::optional<RunRef> ParseRunRef(const json& name, const json& number) {
  if (!name.is_string() || !number.is_number_unsigned()) {
    return std::nullopt;
  }
  auto task = ParseTaskName(name.get<std::string>());
  if (!task) {
    return std::nullopt;
  }
  return RunRef{*task, number.get<uint64_t>()};
}

std::optional<ListedRun> ParseRunningRow(const json& row) {
  if (!row.is_array() || row.size() < 2) {
    return std::nullopt;
  }
  auto run = ParseRunRef(row[0], row[1]);
  if (!run) {
    return std::nullopt;
  }
  ListedRun out;
  out.run = std::move(*run);
  if (row.size() > 2 && row[2].is_string()) {
    out.checkpoint = row[2].get<std::string>();
  }
  if (row.size() > 3 && row[3].is_number_unsigned()) {
    out.percent = row[3].get<uint32_t>();
  }
  if (row.size() > 4 && row[4].is_number()) {
    out.load_metric =
        static_cast<uint64_t>(std::clamp(row[4].get<double>(), 0.0, kMaxLoad));
  }
  return out;
}

std::optional<ListedEnd> ParseEndedRow(const json& row) {
  if (!row.is_array() || row.size() < 4 || !row[0].is_number_unsigned() ||
      !row[3].is_string()) {
    return std::nullopt;
  }
  auto run = ParseRunRef(row[1], row[2]);
  if (!run) {
    return std::nullopt;
  }
  ListedEnd out;
  out.number = row[0].get<uint64_t>();
  out.run = std::move(*run);
  const auto end_name = row[3].get<std::string>();
  bool known = false;
  for (const auto& it : kRunEndNames) {
    if (end_name == it.first) {
      out.end = it.second;
      known = true;
    }
  }
  if (!known) {
    return std::nullopt;
  }
  if (row.size() > 4 && row[4].is_string()) {
    out.checkpoint = row[4].get<std::string>();
  }
  return out;
}

OrderResult RejectionReasonOf(const std::string& body) {
  const std::string reason = TextOf(ParseObject(body), "reason");
  for (const auto& it : kRejections) {
    if (reason == it.first) {
      return it.second;
    }
  }
  return OrderResult::kInvalid;
}

Resources ParseResources(const json& value) {
  return {NumberUpTo(kMaxAmount, value, "cpu").value_or(0),
          NumberUpTo(kMaxAmount, value, "memMb").value_or(0),
          NumberUpTo(kMaxAmount, value, "gpu").value_or(0)};
}

/// Longest id of a backend server: it is a part of a key, whose length takes
/// one byte.
constexpr size_t kMaxIdBytes = 250;
/// Longest name of a service or zone, and longest address.
constexpr size_t kMaxNameBytes = 300;

/// @return True if `id` can be a backend server's name: it is sent in headers
/// and stored in records, which take no other bytes.
bool IsBackendId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

std::string StepName(const StepRef& step) {
  return fmt::format("{}.{}.{}", step.job.value, step.occurrence, step.step);
}

std::string TaskName(const TaskRef& task) {
  return fmt::format("{}.{}.{}.{}", task.job.value, task.occurrence, task.step,
                     task.index);
}

std::optional<TaskRef> ParseTaskName(const std::string& name) {
  const auto parts = SplitList(name, '.');
  if (parts.size() != 4) {
    return std::nullopt;
  }
  std::array<uint32_t, 3> numbers{};
  for (size_t n = 0; n < numbers.size(); ++n) {
    const std::string& it = parts[n + 1];
    const auto read =
        std::from_chars(it.data(), it.data() + it.size(), numbers[n]);
    if (read.ec != std::errc() || read.ptr != it.data() + it.size()) {
      return std::nullopt;
    }
  }
  return TaskRef{JobId(parts[0]), numbers[0], numbers[1], numbers[2]};
}

net::HttpCall MakeStartCall(const BackendEntry& backend,
                            const StartOrder& order,
                            milliseconds timeout) {
  json body = {{"task", TaskName(order.run.task)},
               {"run", order.run.number},
               {"spec", order.payload},
               {"deadlineMs", order.lease_end_ms},
               {"fencingToken", order.fencing_token}};
  if (!order.checkpoint.empty()) {
    body["saved"] = order.checkpoint;
  }
  if (!order.ticket.empty()) {
    body["ticket"] = order.ticket;
  }
  return MakeCall(backend, kStartMethod, body, timeout);
}

bool IsStartCall(const std::string& url) {
  return url.ends_with(std::string("/") + kStartMethod);
}

net::HttpCall MakeStopCall(const BackendEntry& backend,
                           const RunRef& run,
                           uint64_t fencing_token,
                           milliseconds timeout) {
  return MakeCall(backend, "run-stop",
                  {{"task", TaskName(run.task)},
                   {"run", run.number},
                   {"fencingToken", fencing_token}},
                  timeout);
}

net::HttpCall MakePollCall(const BackendEntry& backend,
                           const PollRequest& request,
                           milliseconds timeout) {
  json body = {{"fencingToken", request.fencing_token},
               {"ackCursor", request.acknowledged}};
  if (request.lease_end_ms) {
    body["deadlineMs"] = *request.lease_end_ms;
  }
  if (request.wait_ms > 0) {
    body["waitMs"] = request.wait_ms;
  }
  return MakeCall(backend, "hold", body, timeout);
}

net::HttpCall MakePaceCall(const BackendEntry& backend,
                           const RunRef& run,
                           uint32_t percent,
                           uint64_t fencing_token,
                           milliseconds timeout) {
  return MakeCall(backend, "pace",
                  {{"task", TaskName(run.task)},
                   {"run", run.number},
                   {"percent", percent},
                   {"fencingToken", fencing_token}},
                  timeout);
}

OrderResult ParseOrderResult(const net::HttpResult& result) {
  if (result.delivery == net::DeliveryStatus::kNotSent) {
    return OrderResult::kNotSent;
  }
  if (result.delivery == net::DeliveryStatus::kUnknown) {
    return OrderResult::kUnknown;
  }
  if (result.Ok()) {
    return OrderResult::kDone;
  }
  switch (result.status) {
    case 409:
      return RejectionReasonOf(result.body);
    case 421:
      return OrderResult::kOtherIncarnation;
    case 429:
    case 503:
      return OrderResult::kUnhealthy;
    default:
      return OrderResult::kInvalid;
  }
}

BackendReport ParseBackendReport(const net::HttpResult& result) {
  BackendReport out;
  out.result = ParseOrderResult(result);
  if (out.result != OrderResult::kDone) {
    return out;
  }
  const json body = ParseObject(result.body);
  out.clock_ms = NumberOf(body, "clockMs").value_or(0);
  out.incarnation = NumberOf(body, "born").value_or(0);
  for (const json& it : ListOf(body, "running")) {
    if (auto row = ParseRunningRow(it)) {
      out.running.push_back(std::move(*row));
    }
  }
  const json& ended = ListOf(body, "ended");
  out.more_ends = ended.size() >= kMaxListedEnds;
  for (const json& it : ended) {
    if (auto row = ParseEndedRow(it)) {
      out.ended.push_back(std::move(*row));
    }
  }
  return out;
}

std::optional<BackendEntry> ReadBackendEntry(const std::string& id,
                                             const std::string& value) {
  const json body = ParseObject(value);
  BackendEntry out;
  out.id = BackendId(id);
  out.service = TextOf(body, "service");
  out.address = TextOf(body, "address");
  out.zone = ZoneId(TextOf(body, "zone"));
  const std::string state = TextOf(body, "state");
  const bool known_state = state == "ready" || state == "draining";
  const bool too_long = out.service.size() > kMaxNameBytes ||
                        out.address.size() > kMaxNameBytes ||
                        out.zone.value.size() > kMaxNameBytes;
  if (!IsBackendId(id) || too_long || out.service.empty() ||
      SplitAddress(out.address).port == 0 || !known_state ||
      body.find("capacity") == body.end()) {
    return std::nullopt;
  }
  out.draining = state == "draining";
  out.incarnation = NumberOf(body, "born").value_or(0);
  out.remaining_ms = NumberUpTo(kMaxDurationMs, body, "remainingMs");
  out.cold_left_ms = NumberUpTo(kMaxDurationMs, body, "coldLeftMs").value_or(0);
  out.capacity = ParseResources(body["capacity"]);
  for (const json& it : ListOf(body, "labels")) {
    if (it.is_string()) {
      out.labels.push_back(it.get<std::string>());
    }
  }
  // Labels are the kind and the rack, in this order.
  if (out.labels.size() > 1) {
    out.rack = out.labels.back();
  }
  return out;
}

}  // namespace bw::platform
