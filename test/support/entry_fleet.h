// Real entry instances on a stand-in of the users' platform.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../../src/net/http_client.h"
#include "process.h"

namespace bw::test {

using Json = nlohmann::json;

/// `instances` processes of bwentry, one queue "/p/" of host "h", the accounts
/// "t0" and "t1" with the keys "k0" and "k1".
class EntryFleet {
 public:
  EntryFleet(int instances, int backends);

  /// @return False if the fleet does not serve in time.
  bool Start();
  void StartEntry(int n);
  /// Replaces the settings file of one instance; the process is not told.
  void ChangeSettings(int n, const std::string& text) const;
  ChildProcess& Entry(int n) { return entries_[static_cast<size_t>(n)]; }

  net::HttpResult Call(int n,
                       const std::string& method,
                       const std::string& job,
                       const std::string& body = {},
                       const std::string& key = "k0") const;
  /// @return The job's state, as instance `n` tells it.
  std::string State(int n, const std::string& job) const;
  bool IsReady(int n) const;
  /// Waits for an owner. @return The number of its instance, or -1.
  int OwnerNumber() const;

  void Control(const Json& body) const;
  void Configure(int version, const std::vector<std::string>& keys) const;
  /// @return Every run there was, as the backend servers know.
  Json Truth() const;
  /// @return What is wrong with the truth: runs of a task at the same time, or
  /// a run after one that was done. Empty if nothing is.
  std::string Audit() const;
  /// @return What instance `n` has written to its log.
  std::string Log(int n) const;

 private:
  std::string SettingsOf(int n) const;
  std::string FrontOf(int n) const;
  int FindOwner() const;

  int ports_ = 0;
  int first_entry_port_ = 0;
  int backends_ = 0;
  std::string directory_;
  ChildProcess platform_;
  std::vector<ChildProcess> entries_;
};

/// A job of `count` tasks that take `ms` each; 0: until stopped.
std::string EntryJob(int count, int ms);

}  // namespace bw::test
