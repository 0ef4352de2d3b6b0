#include "work_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>

#include "../../src/text_func.h"

namespace bw::test {
namespace {

/// `early_ms`, `cancel_ms` and the spans of rule LOST.
constexpr uint64_t kEarlyMs = 250;
constexpr uint64_t kCancelMs = 3000;
constexpr uint64_t kStandstillMs = 3000;
constexpr uint64_t kCalmBeforeMs = 4000;
constexpr size_t kMaxLines = 12;

uint32_t ToNumber(const std::string& text) {
  uint32_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

/// One run of a task.
struct Run {
  std::string task;
  std::string job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;
  uint64_t number = 0;
  std::string backend;
  std::string spec;
  uint64_t cpu = 0;
  uint64_t began = 0;
  uint64_t ended = UINT64_MAX;
  std::string how;
  bool noted = true;  ///< Its end can have been taken note of.
  bool late = false;
  bool over = false;
  bool bad_saved = false;

  std::string ToText() const {
    return fmt::format("{} run {} at {} {}..{} {}{}{}", task, number, backend,
                       began, ended == UINT64_MAX ? 0 : ended, how,
                       noted ? "" : " (end not noted)",
                       late ? " (start carried out late)" : "");
  }
};

Run ReadRun(const Json& in) {
  Run out;
  out.task = in["task"];
  const auto parts = SplitList(out.task, '.');
  if (parts.size() == 4) {
    out.job = parts[0];
    out.occurrence = ToNumber(parts[1]);
    out.step = ToNumber(parts[2]);
    out.index = ToNumber(parts[3]);
  }
  out.number = in["run"];
  out.backend = in["backend"];
  out.spec = in["spec"];
  out.cpu = in["cpu"];
  out.began = in["began_ms"];
  if (const uint64_t ended = in["ended_ms"]; ended != 0) {
    out.ended = ended;
  }
  out.how = in["how"];
  out.noted = !in["forgotten"] && !in["lapsed_unread"];
  out.late = in["late"];
  out.over = in["over"];
  out.bad_saved = in["bad_saved"];
  return out;
}

class Auditor {
 public:
  explicit Auditor(const WorkAudit& audit) : audit_(audit) {
    for (const auto& it : audit.runs) {
      runs_.push_back(ReadRun(it));
    }
    std::stable_sort(
        runs_.begin(), runs_.end(),
        [](const Run& a, const Run& b) { return a.began < b.began; });
    for (const auto& it : runs_) {
      by_job_[it.job].push_back(&it);
    }
  }

  std::string Check() {
    for (const auto& it : runs_) {
      CheckRun(it);
    }
    for (const auto& it : by_job_) {
      if (auto found = audit_.records.find(it.first);
          found != audit_.records.end()) {
        CheckJob(found->second, it.second);
      }
    }
    for (const auto& it : audit_.records) {
      CheckStandstill(it.second, by_job_[it.first]);
    }
    return lines_ == 0 ? "" : fmt::format("{} faults\n{}", lines_, out_);
  }

 private:
  void Fault(const char* rule, const std::string& text) {
    if (++lines_ <= kMaxLines) {
      out_ += std::string(rule) + ": " + text + "\n";
    }
  }

  void CheckRun(const Run& run) {
    const auto found = audit_.records.find(run.job);
    if (found == audit_.records.end()) {
      return Fault("UNASKED", run.ToText());
    }
    const WorkRecord& record = found->second;
    const WorkJob& job = record.job;
    if (run.step >= job.steps.size() ||
        run.index >= job.steps[run.step].count ||
        run.occurrence >= job.Occurrences() || run.spec != job.Spec() ||
        run.bad_saved) {
      Fault("UNASKED", "not as handed in: " + run.ToText());
    }
    if (record.refused) {
      Fault("REFUSED", run.ToText());
    }
    if (run.over && !run.late) {
      Fault("LIMIT", run.ToText());
    }
    if (record.cancelled_ms != 0 && !run.late &&
        run.began > record.cancelled_ms + kCancelMs) {
      Fault("UNASKED",
            fmt::format("cancelled {}: {}", record.cancelled_ms, run.ToText()));
    }
    if (job.IsTimed() &&
        run.began + audit_.wall_offset_ms + kEarlyMs <
            job.start_at_ms + uint64_t{run.occurrence} * job.interval_ms) {
      Fault("ORDER", "early: " + run.ToText());
    }
  }

  void CheckJob(const WorkRecord& record, const std::vector<const Run*>& runs) {
    for (const Run* b : runs) {
      if (b->step >= record.job.steps.size()) {
        continue;
      }
      const WorkStep& step = record.job.steps[b->step];
      uint32_t failed = 0;
      uint32_t beside = 0;
      std::map<uint32_t, std::set<uint32_t>> done;
      for (const Run* a : runs) {
        if (a->occurrence != b->occurrence) {
          continue;
        }
        if (a->how == "done" && a->ended <= b->began) {
          done[a->step].insert(a->index);
        }
        if (a->step != b->step || a == b) {
          continue;
        }
        beside += a->backend == b->backend && a->began <= b->began &&
                          a->ended > b->began
                      ? 1
                      : 0;
        const bool same = step.gang || a->index == b->index;
        if (same && a->how == "failed" && a->noted && a->ended <= b->began) {
          ++failed;
        }
        if (step.speculative) {
          continue;
        }
        if (a->index == b->index && a->began <= b->began &&
            a->ended > b->began) {
          Fault("TWICE", a->ToText() + " and " + b->ToText());
        }
        if (same && a->number != b->number && a->how == "done" && a->noted &&
            a->ended <= b->began) {
          Fault("TWICE", "done before: " + a->ToText() + " and " + b->ToText());
        }
      }
      if (!step.perpetual && failed >= kMaxAttempts) {
        Fault("BUDGET", b->ToText());
      }
      if (step.per_server > 0 && beside >= step.per_server) {
        Fault("ROUTE", "antiAffinity: " + b->ToText());
      }
      for (const uint32_t before : step.depends_on) {
        const WorkStep& it = record.job.steps[before];
        if (done[before].size() < (it.gang ? 1 : it.count)) {
          Fault("ORDER",
                fmt::format("step {} not done: {}", before, b->ToText()));
        }
      }
    }
    if (record.completed_ms != 0) {
      CheckCompleted(record, runs);
    }
  }

  void CheckCompleted(const WorkRecord& record,
                      const std::vector<const Run*>& runs) {
    std::set<std::string> done;
    for (const Run* it : runs) {
      if (it->how == "done" && it->ended <= record.completed_ms) {
        const bool gang = record.job.steps[it->step].gang;
        done.insert(fmt::format("{}.{}.{}", it->occurrence, it->step,
                                gang ? 0 : it->index));
      }
    }
    size_t wanted = 0;
    for (const auto& it : record.job.steps) {
      wanted += it.gang ? 1 : it.count;
    }
    wanted *= record.job.Occurrences();
    if (done.size() != wanted) {
      Fault("MIXED", fmt::format("{} shown as completed at {}, {} of {} done",
                                 record.job.id, record.completed_ms,
                                 done.size(), wanted));
    }
  }

  /// @return The most millicores in use at a time of the span.
  uint64_t PeakCpu(uint64_t from, uint64_t to) const {
    std::map<uint64_t, int64_t> changes;
    for (const auto& it : runs_) {
      if (it.began < to && it.ended > from) {
        changes[std::max(it.began, from)] += static_cast<int64_t>(it.cpu);
        changes[std::min(it.ended, to)] -= static_cast<int64_t>(it.cpu);
      }
    }
    int64_t used = 0;
    int64_t peak = 0;
    for (const auto& it : changes) {
      used += it.second;
      peak = std::max(peak, used);
    }
    return static_cast<uint64_t>(peak);
  }

  void CheckGap(const WorkRecord& record, uint64_t from, uint64_t to) {
    for (const auto& it : audit_.calm) {
      const uint64_t begin = std::max(from, it.from_ms + kCalmBeforeMs);
      const uint64_t end = std::min(to, it.to_ms);
      if (end > begin && end - begin >= kStandstillMs &&
          PeakCpu(begin, end) * 2 < audit_.total_cpu) {
        Fault("LOST",
              fmt::format("{} stands still {}..{}", record.job.id, begin, end));
      }
    }
  }

  /// Account 1 has a maximum, and steps with times are not always due.
  void CheckStandstill(const WorkRecord& record,
                       const std::vector<const Run*>& runs) {
    if (record.accepted_ms == 0 || record.cancel_sent_ms != 0 ||
        record.job.IsTimed() || record.job.account != 0 ||
        record.job.IsHopeless()) {
      return;
    }
    uint64_t idle_since = record.accepted_ms;
    std::set<std::string> done;
    for (const Run* it : runs) {
      if (it->began > idle_since) {
        CheckGap(record, idle_since, it->began);
      }
      idle_since = std::max(idle_since, it->ended);
      if (it->how == "done") {
        done.insert(
            fmt::format("{}.{}", it->step,
                        record.job.steps[it->step].gang ? 0 : it->index));
      }
    }
    size_t wanted = 0;
    for (const auto& it : record.job.steps) {
      wanted += it.gang ? 1 : it.count;
    }
    if (done.size() < wanted && idle_since < audit_.now_ms) {
      CheckGap(record, idle_since, audit_.now_ms);
    }
  }

  const WorkAudit& audit_;
  std::vector<Run> runs_;
  std::map<std::string, std::vector<const Run*>> by_job_;
  std::string out_;
  size_t lines_ = 0;
};

WorkStep ShortStep(Random* random) {
  WorkStep out;
  out.count = static_cast<uint32_t>(Between(random, 1, 3));
  out.ms = static_cast<uint32_t>(Between(random, 50, 600));
  return out;
}

WorkStep GangStep(Random* random) {
  WorkStep out;
  out.gang = true;
  out.count = static_cast<uint32_t>(Between(random, 2, 6));
  out.ms = static_cast<uint32_t>(Between(random, 300, 1500));
  out.same_rack = Between(random, 0, 1) == 0;
  out.checkpoint = Between(random, 0, 1) == 0;
  return out;
}

}  // namespace

std::string AuditWork(const WorkAudit& audit) {
  return Auditor(audit).Check();
}

bool WorkJob::IsHopeless() const {
  return std::any_of(steps.begin(), steps.end(), [](const WorkStep& it) {
    return it.failures >= kMaxAttempts;
  });
}

std::string WorkJob::Spec() const {
  std::string out;
  for (const auto& it : steps) {
    out += out.empty() ? "" : ";";
    out += fmt::format("ms={},cpu={}", it.ms, it.cpu);
    out += it.gang ? fmt::format(",gang={}", it.count) : "";
    out += it.failures > 0 ? fmt::format(",fail={}", it.failures) : "";
    out += it.dies_ms > 0 ? fmt::format(",dies={}", it.dies_ms) : "";
    out += it.checkpoint ? ",save=1" : "";
  }
  return out;
}

std::string WorkJob::Body() const {
  Json out = {{"spec", Spec()}, {"steps", Json::array()}};
  for (const auto& it : steps) {
    Json row = {{"count", it.count},
                {"cpu", it.cpu},
                {"memMb", 10},
                {"estimateMs", it.ms == 0 ? 1000 : it.ms}};
    const auto flag = [&](const char* name, bool on) {
      if (on) {
        row[name] = true;
      }
    };
    flag("gang", it.gang);
    flag("sameRack", it.same_rack);
    flag("checkpoint", it.checkpoint);
    flag("speculative", it.speculative);
    flag("perpetual", it.perpetual);
    if (!it.depends_on.empty()) {
      row["dependsOn"] = it.depends_on;
    }
    if (!it.label.empty()) {
      row["requires"] = it.label;
    }
    if (!it.rack.empty()) {
      row["affinity"] = it.rack;
    }
    if (it.per_server > 0) {
      row["antiAffinity"] = it.per_server;
    }
    out["steps"].push_back(row);
  }
  if (start_at_ms > 0) {
    out["startAtMs"] = start_at_ms;
  }
  if (repeat_count > 0) {
    out["repeatCount"] = repeat_count;
    out["intervalMs"] = interval_ms;
  }
  return out.dump();
}

WorkJob RandomJob(Random* random, const std::string& id, uint64_t wall_ms) {
  static const std::vector<std::string> queues = {"q/", "n/", "x/"};
  WorkJob out;
  out.id = id;
  out.queue = queues[static_cast<size_t>(Between(random, 0, 2))];
  out.account = static_cast<int>(Between(random, 0, 3)) == 0 ? 1 : 0;
  const int64_t kind = Between(random, 0, 99);
  WorkStep step = ShortStep(random);
  if (kind < 25) {
    step.label = Between(random, 0, 2) == 0 ? "a" : "";
    step.rack = Between(random, 0, 2) == 0 ? "r1" : "";
    step.per_server = Between(random, 0, 2) == 0 ? 1 : 0;
    out.steps = {step};
  } else if (kind < 45) {
    out.steps = {step, Between(random, 0, 1) == 0 ? GangStep(random)
                                                  : ShortStep(random)};
    out.steps[1].depends_on = {0};
    if (Between(random, 0, 1) == 0) {
      out.steps.push_back(ShortStep(random));
      out.steps[2].depends_on = {0, 1};
    }
  } else if (kind < 62) {
    out.steps = {GangStep(random)};
    out.steps[0].failures = Between(random, 0, 4) == 0 ? 1 : 0;
  } else if (kind < 70) {
    step.ms = static_cast<uint32_t>(Between(random, 2000, 5000));
    step.checkpoint = true;
    out.steps = {step};
  } else if (kind < 80) {
    step.failures = static_cast<uint32_t>(Between(random, 1, 3));
    out.steps = {step};
  } else if (kind < 86) {
    step.speculative = true;
    out.steps = {step};
  } else if (kind < 93) {
    out.steps = {step};
    out.start_at_ms =
        wall_ms + static_cast<uint64_t>(Between(random, 300, 2500));
    out.repeat_count = static_cast<uint32_t>(Between(random, 0, 4));
    out.interval_ms = static_cast<uint32_t>(Between(random, 300, 1000));
  } else if (kind < 96) {
    step.perpetual = true;
    step.ms = 0;
    step.dies_ms = Between(random, 0, 1) == 0 ? 1500 : 0;
    out.steps = {step};
  } else {
    step.count = static_cast<uint32_t>(Between(random, 100, 300));
    step.cpu = 500;
    step.ms = 100;
    out.steps = {step};
  }
  return out;
}

}  // namespace bw::test
