// A complete deployment of real processes on loopback with the platform's
// stand-ins and, optionally, the fault-injecting proxy on every link.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../../src/net/http_client.h"
#include "process.h"

namespace bw::test {

using Json = nlohmann::json;

struct FleetOptions {
  /// Number of entry instances by zone; the zones are named "a", "b" and so on.
  std::vector<int> instances = {3, 2, 2, 2};
  int runners = 1;          ///< Per zone.
  int workers = 2;          ///< Per zone.
  bool proxied = false;     ///< Connections pass the fault-injecting proxy.
  int late_placer = -1;     ///< Instance whose placer starts last; -1: none.
  milliseconds late_by{0};  ///< Delay of that placer's start.
  std::vector<std::string> placer_settings = {};  ///< "section.key=value"
  std::vector<std::string> gate_settings = {};
  std::string templates = {};  ///< INI text; empty: DefaultTemplates().
};

/// @return Templates with two teams, "perchas" and "tayside". Both have the
/// queues "now" and "batch", which require a key, and "open", which does not.
/// @param limit Upper limit of each team.
std::string DefaultTemplates(const std::vector<std::string>& zones,
                             int limit = 64);

/// @return The key of a team in DefaultTemplates.
std::string KeyOf(const std::string& team);

/// All processes of one deployment. Instances are numbered from 0, zone after
/// zone; each has a placer and a gate.
class Fleet {
 public:
  explicit Fleet(FleetOptions options = {});
  /// Kills all processes. Their output is removed unless the environment
  /// variable BW_KEEP is set.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts all processes, publishes the templates and waits until every gate
  /// is ready, every zone has an acting shard owner and every process knows all
  /// placers as members.
  /// @return False on timeout.
  bool Start();

  int InstanceCount() const { return static_cast<int>(zone_of_.size()); }
  const std::string& ZoneOf(int instance) const { return zone_of_[instance]; }
  static std::string Name(int instance);

  // Processes.
  void StartPlacer(int instance);
  void StartGate(int instance);
  ChildProcess& placer(int instance) { return placers_[instance]; }
  ChildProcess& gate(int instance) { return gates_[instance]; }

  /// @return The instance whose placer is acting owner of a shard of the zone,
  /// or -1.
  int OwnerOf(const std::string& zone) const;

  // Calls to a gate with the key of `team`.
  net::HttpResult Post(int instance,
                       const std::string& path,
                       const std::string& body,
                       const std::string& team,
                       const net::Headers& more = {},
                       milliseconds timeout = milliseconds(60'000)) const;
  net::HttpResult Get(int instance,
                      const std::string& path,
                      const std::string& team) const;
  net::HttpResult Delete(int instance,
                         const std::string& path,
                         const std::string& team) const;

  // Operator commands.
  /// Runs bwctl. @return Its exit code.
  int Ctl(const std::vector<std::string>& arguments,
          std::string* out = nullptr) const;
  /// Publishes INI text with bwctl. @return Its exit code.
  int PublishText(const std::string& templates, std::string* out = nullptr);

  // Platform and faults.
  /// Sends a control call to the log or list stand-in.
  void ControlLog(const Json& body) const;
  void ControlList(const Json& body) const;
  /// Lists a backend server as leaving, or no longer so.
  void SetLeaving(const std::string& name, bool leaving);
  /// Sets the fault modes of the proxy's links that match; see bwfakeproxy.
  /// Links are named "FROM>TO": FROM is "eN" for the placer and "gN" for the
  /// gate of instance N; TO is "eN" for a placer, "log" or "list".
  void SetLinkModes(const std::vector<std::string>& match,
                    const std::string& there,
                    const std::string& back,
                    int delay_ms = 0) const;
  /// Sets the mode of all links between a zone and the other zones.
  void SetZoneLinkMode(const std::string& zone, const std::string& mode) const;
  /// Sets the mode of all links from a zone to the log; "" means all zones.
  void SetLogLinkMode(const std::string& zone, const std::string& mode) const;

  // Event records of the stand-ins.
  std::vector<Json> RunnerRecords() const;
  std::vector<Json> WorkerRecords() const;
  Json LogRecords(const std::string& stream) const;

  const std::vector<std::string>& runner_addresses() const { return runners_; }
  const std::vector<std::string>& worker_addresses() const { return workers_; }
  /// @return The body of a status page; empty if there is no response.
  std::string StatusOf(int instance, bool gate, const std::string& page) const;
  std::string GateUrl(int instance) const;
  std::string PlacerStatusUrl(int instance) const;
  std::string LogUrl() const { return log_url_; }
  std::string directory() const { return directory_; }

 private:
  /// @return Command line of settings that placers and gates share.
  std::vector<std::string> CommonSettings(int instance, bool gate) const;
  std::string LinkAddress(const std::string& from, const std::string& to) const;
  void MakeLinks();
  void StartPlatform();
  void StartBackends();
  /// @return True if all placers are members and all processes have applied the
  /// records of their joining.
  bool AllKnowAllMembers() const;
  Json ProcessStatus(int instance, bool gate) const;
  static Json Call(const std::string& method,
                   const std::string& url,
                   const std::string& body);

  const FleetOptions options_;
  std::vector<std::string> zones_;
  std::vector<std::string> zone_of_;  ///< By instance.
  std::string directory_;
  std::string log_url_;
  std::string list_url_;
  std::string proxy_url_;
  int gate_port_ = 0;
  int gate_status_port_ = 0;
  int mesh_port_ = 0;
  int status_port_ = 0;
  std::map<std::string, std::string> links_;  ///< Name to proxy address.
  std::vector<std::string> runners_;
  std::vector<std::string> workers_;
  Json instances_ = Json::array();      ///< Backend servers as listed.
  std::vector<ChildProcess> platform_;  ///< Stand-ins.
  std::map<int, ChildProcess> placers_;
  std::map<int, ChildProcess> gates_;
};

}  // namespace bw::test
