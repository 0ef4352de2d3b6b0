// Stand-ins of the review: the platform's store and the backend servers
// ("runners"), as the users' pages describe them. All run in one process; every
// address is a loopback address.
#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../../src/net/http_server.h"

namespace review {

using Json = nlohmann::json;
using bw::net::HttpRequest;
using bw::net::HttpResponse;
using bw::net::Responder;

/// Milliseconds since the program started, on the steady clock.
uint64_t NowMs();
/// Milliseconds since 1970.
uint64_t WallMs();
/// Opens record.txt.
void OpenRecord(const std::string& path);
/// Writes one line with the time to record.txt.
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));

/// The store's limits, as in DEPLOY.md, "Settings of a process".
constexpr size_t kRecordBytes = 262'144;
constexpr size_t kCallBytes = 2'097'152;
constexpr uint32_t kParts = 24;

/// The platform's metadata store: a log with keyed topics and groups.
class Store {
 public:
  void Serve(const HttpRequest& request, const Responder& respond);
  /// Appends a keyed record from outside, as the operator and the runners do.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  void Tick();
  /// @return The member to which the partition of a keyed topic is assigned.
  std::string HolderOf(const std::string& group, const std::string& topic);
  /// @return The largest record that was refused for its size; 0: none was.
  size_t LargestRefused() const { return largest_refused_; }
  uint64_t Refusals() const { return refusals_; }

 private:
  using PartId = std::pair<std::string, uint32_t>;
  struct Part {
    uint64_t first = 0;
    std::deque<std::string> records;
    size_t bytes = 0;
    std::map<std::string, std::pair<std::string, uint64_t>> newest;
    uint64_t End() const { return first + records.size(); }
  };
  struct Producer {
    uint64_t epoch = 0;
    uint64_t next_sequence = 0;
    bool fresh = true;
    std::map<uint64_t, Json> responses;
  };
  struct Member {
    std::vector<std::string> topics;
    uint64_t expires_ms = 0;
    uint64_t order = 0;
  };
  struct Group {
    uint64_t generation = 0;
    uint64_t joined = 0;
    std::map<std::string, Member> members;
    std::map<PartId, std::string> holder;
    std::map<PartId, std::string> target;
  };
  struct PendingRead {
    PartId part;
    uint64_t from = 0;
    uint64_t until_ms = 0;
    Responder respond;
  };

  void Add(Part* part, bool keyed, std::string record);
  void Append(const HttpRequest& request, const Responder& respond);
  bool TryRead(const PendingRead& read, bool last);
  void Newest(const HttpRequest& request, const Responder& respond);
  void Join(const Json& body, const Responder& respond);
  static void Deal(Group* group);
  static void Remove(Group* group, const std::string& member);

  std::mutex mutex_;
  std::map<PartId, Part> parts_;
  std::map<std::pair<PartId, std::string>, Producer> producers_;
  std::map<std::string, Group> groups_;
  std::vector<PendingRead> reads_;
  size_t largest_refused_ = 0;
  uint64_t refusals_ = 0;
};

/// The advice service: allows all runners. Thread-safe.
class Advice {
 public:
  void Serve(const HttpRequest& request, const Responder& respond);
  /// @return True if the ticket was given for the step and the runner at most
  /// validMs ago.
  bool IsValid(const std::string& step,
               const std::string& runner,
               const std::string& ticket);

 private:
  std::mutex mutex_;
  /// By step and runner: the newest ticket and when it was given.
  std::map<std::pair<std::string, std::string>,
           std::pair<std::string, uint64_t>>
      tickets_;
};

/// One run of a task, as its runner saw it.
struct Run {
  std::string task;
  uint64_t run = 0;
  std::string runner;
  uint64_t began_ms = 0;
  uint64_t ended_ms = 0;  ///< 0: still at work.
  std::string how;
  uint64_t end_number = 0;
  uint64_t noted_ms = 0;  ///< When ackCursor reached its end; 0: not yet.
};

/// A backend server. The text of a submission says how its tasks behave:
/// "ms=N" works N ms, "spread=M" adds up to M ms by the task's index,
/// "ends=N" a task that lasts: its first run ends as done after N ms, and all
/// later runs last until stopped. "advice=1": a start needs a ticket.
class Runner {
 public:
  Runner(std::string id,
         std::string address,
         Store* store,
         Advice* advice,
         uint64_t cpu,
         uint64_t memory_mb);

  void Serve(const HttpRequest& request, const Responder& respond);
  void Tick();
  void Announce();
  /// While on, no request is answered or carried out.
  void SetHang(bool on);
  std::vector<Run> Runs();
  size_t CountRunning();
  /// Largest number of ends that were not taken note of at a time.
  size_t MostEnds() const { return most_ends_; }
  const std::string& Id() const { return id_; }
  std::vector<uint64_t> Lapses();
  /// Starts of a task with advice that had no valid ticket.
  size_t RejectedTickets() const { return rejected_tickets_; }

 private:
  struct Active {
    uint64_t done_ms = 0;  ///< 0: works until stopped.
    uint64_t progress_ms = 0;
    uint64_t began_ms = 0;
    size_t index = 0;  ///< In runs_.
  };
  struct PendingHold {
    uint64_t until_ms = 0;
    Responder respond;
  };
  uint64_t Clock() const { return NowMs() - born_ms_ + 1000; }
  HttpResponse Reply(int status, Json body) const;
  HttpResponse Start(const Json& body);
  HttpResponse Stop(const Json& body);
  void Extend(const Json& body);
  void End(const std::pair<std::string, uint64_t>& run, const char* how);
  HttpResponse Lists();
  std::string SavedOf(const std::string& task, const Active& active) const;

  const std::string id_;
  const std::string address_;
  Store* const store_;
  Advice* const advice_;
  const uint64_t cpu_;
  const uint64_t memory_mb_;
  const uint64_t born_ms_ = NowMs();
  const uint64_t born_wall_ = WallMs();
  std::mutex mutex_;
  uint64_t sequence_ = 0;
  uint64_t fence_ = 0;
  uint64_t lease_end_ = 0;
  uint64_t last_end_ = 0;
  bool hang_ = false;
  std::map<std::pair<std::string, uint64_t>, Active> active_;
  std::map<std::string, uint64_t> barred_;  ///< Highest run stopped or ended.
  std::map<std::string, std::string> saved_;
  std::deque<Json> ends_;
  std::deque<size_t> end_runs_;  ///< Index in runs_ of each of ends_.
  std::vector<PendingHold> holds_;
  /// Runs that are being stopped, and when they end.
  std::vector<std::pair<uint64_t, std::pair<std::string, uint64_t>>> stopping_;
  std::vector<Run> runs_;
  std::vector<uint64_t> lapses_;
  size_t most_ends_ = 0;
  size_t rejected_tickets_ = 0;
};

}  // namespace review
