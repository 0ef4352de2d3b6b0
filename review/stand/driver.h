// Starts the stand-ins and the project's processes, and speaks to them as a
// client does.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"

namespace review {

/// A tenant of the configuration.
struct Tenant {
  std::string name;
  std::string key;
};

struct Setup {
  int entries = 4;
  int runners = 4;
  uint64_t cpu = 32'000;
  uint64_t memory_mb = 65'536;
};

/// Answer to a client's call; status 0: none.
struct Answer {
  int status = 0;
  Json body;
};

class World {
 public:
  explicit World(const Setup& setup);
  ~World();

  /// Starts all processes and waits until they are ready and know the runners.
  /// @return False if they don't become ready in time.
  bool Start();
  void StartEntry(size_t n);
  /// Sends a signal to a process; SIGKILL also waits for its end.
  void Signal(size_t n, int signal);
  /// @return The process that owns the cell; -1: none is known.
  int Owner();
  bool Alive(size_t n) const { return pids_[n] > 0; }
  size_t Entries() const { return pids_.size(); }

  Answer Call(const char* method,
              const std::string& path,
              const std::string& body,
              size_t entry,
              int timeout_ms = 3000,
              const char* prefix = "/q/");
  /// Hands a submission in until it is accepted, at the processes in turn.
  bool Submit(const std::string& id,
              const Json& job,
              int attempts = 8,
              const char* prefix = "/q/");
  /// Asks for a submission's state at the processes in turn.
  /// @return The state; "410", or "no answer".
  std::string State(const std::string& id, int attempts = 6);
  Answer Cancel(const std::string& id);

  /// The operator removes the route /b/, which has advice.
  void RemoveSecondRoute();

  std::vector<Run> Runs();
  size_t Running();
  Store& store() { return store_; }
  std::vector<std::unique_ptr<Runner>>& runners() { return runners_; }
  void WriteRuns(size_t most);

 private:
  std::string SettingsOf(size_t n) const;

  const Setup setup_;
  std::string folder_;
  std::string store_address_;
  Store store_;
  Advice advice_;
  std::string advice_address_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<std::unique_ptr<bw::net::HttpServer>> servers_;
  std::vector<pid_t> pids_;
  std::vector<uint16_t> first_ports_;
  std::atomic<bool> stop_{false};
  std::thread ticker_;
};

void SleepMs(uint64_t ms);
/// @return The first of `count` free ports in a row.
uint16_t FreePorts(int count);

}  // namespace review
