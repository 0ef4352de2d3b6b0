// Runs bwentry processes against a stand-in of the users' platform.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../../src/net/http_client.h"
#include "process.h"

namespace bw::test {

using Json = nlohmann::json;

struct EntryFleetOptions {
  int instances = 3;
  int backends = 4;
  int grace_s = 4;  ///< Seconds between SIGTERM and SIGKILL.
  /// Runs instances as the users' platform does: each in its zone and with an
  /// address of its own, with the settings file rendered from the template and
  /// its path in the environment.
  bool as_deployed = false;
  int zones = 1;  ///< Of instances and backend servers, if `as_deployed`.
  /// Instances that can be added later by StartEntry, if `as_deployed`.
  int spare = 0;
  /// Connections pass the fault-injecting proxy; not with `as_deployed`. Links:
  /// "c>eN" from callers to instance N, "m>eN" from other instances to it,
  /// "eN>store" from it to the store and the advice service, and "e>bN" from
  /// instances to backend server N.
  bool proxied = false;
  /// Further settings of each instance, as "section.key=value"; not with
  /// `as_deployed`.
  std::vector<std::string> overrides = {};
};

/// Runs processes of bwentry with one queue "/p/" on host "h" and the accounts
/// "t0" and "t1" with the API keys "k0" and "k1".
class EntryFleet {
 public:
  explicit EntryFleet(EntryFleetOptions options);
  /// @param grace_s Seconds between SIGTERM and SIGKILL.
  EntryFleet(int instances, int backends, int grace_s = 4)
      : EntryFleet(EntryFleetOptions{instances, backends, grace_s}) {}

  ~EntryFleet();

  /// @return False if the instances do not serve calls in time.
  bool Start();
  void StartEntry(int n);
  enum class WriteMode : uint8_t { kInPlace, kInTwoParts, kRename };
  /// Replaces the settings file of one instance without a signal to the
  /// process. If `as_deployed`, `text` replaces what the template sets.
  void ChangeSettings(int n,
                      const std::string& text,
                      WriteMode mode = WriteMode::kInPlace) const;
  /// Removes the settings file of one instance.
  void RemoveSettings(int n) const;
  ChildProcess& Entry(int n) { return entries_[static_cast<size_t>(n)]; }

  net::HttpResult Call(int n,
                       const std::string& method,
                       const std::string& job,
                       const std::string& body = {},
                       const std::string& key = "k0") const;
  /// @return The job's state as instance `n` reports it; empty on failure.
  std::string State(int n, const std::string& job) const;
  bool IsReady(int n) const;
  /// @return "ip:port" on which instance `n` serves callers.
  std::string FrontOf(int n) const;
  /// @return "ip:port" of the readiness check of instance `n`.
  std::string ReadyOf(int n) const { return AddressOf(n, 1); }
  /// @return "ip:port" of the metrics of instance `n`.
  std::string MetricsOf(int n) const { return AddressOf(n, 3); }
  /// Waits for an owner. @return The number of its instance, or -1.
  int WaitForOwner() const;
  /// @return The number of an instance that says now that it is the owner, or
  /// -1.
  int FindOwner() const;

  void Control(const Json& body) const;
  /// Sends a control call to the proxy; see bwfakeproxy.
  void ControlLinks(const Json& body) const;
  /// @param extra_queues Number of further queues "/p1/", "/p2/", ...
  void Configure(int version,
                 const std::vector<std::string>& keys,
                 int extra_queues = 0) const;
  /// @return All runs, from the event records of the stand-in's backend
  /// servers.
  Json AllRuns() const;
  /// @return A description of the first fault in the runs: two runs of a task
  /// at the same time, or a run after a successful one whose end did not get
  /// lost in a crash. Empty if there is none.
  std::string Audit() const;
  /// @return The log output of instance `n`.
  std::string Log(int n) const;
  /// From its next start on, nobody reads the log output of instance `n`.
  /// Log() must not be called for it any more.
  void StallLog(int n);

 private:
  std::string SettingsOf(int n) const;
  std::string LogOf(int n) const;
  /// @return IP address and first port of instance `n`.
  std::string HostOf(int n) const;
  int PortOf(int n) const;
  /// @return The address of a server of instance `n`, by its offset from the
  /// first port.
  std::string AddressOf(int n, int offset) const;
  /// @return First port of the proxy: its control address, and then, by
  /// instance, the links to its front, its mesh and the store, and those to
  /// backend servers.
  int ProxyPort() const;
  std::string ProxyAddress(int instance, int link) const;
  std::string StoreOf(int n) const;
  bool StartProxy();
  std::string RenderTemplate(int n) const;
  std::vector<std::string> ArgumentsOf(int n) const;

  const EntryFleetOptions options_;
  int ports_ = 0;
  std::vector<int> stalled_logs_;  ///< Read ends of pipes.
  std::string directory_;
  ChildProcess platform_;
  ChildProcess proxy_;
  std::vector<ChildProcess> entries_;
};

/// @return The body of a job of `count` tasks that run for `ms` each; 0: until
/// stopped.
std::string EntryJob(int count, int ms);

}  // namespace bw::test
