// A whole deployment of real processes on loopback, with the stand-ins and,
// if wished, the fault-injecting proxy on every link.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../../src/net/http_client.h"
#include "process.h"

namespace bw::test {

using Json = nlohmann::json;

struct FleetShape {
  std::vector<int> instances = {3, 2, 2, 2};  ///< Entry instances per zone.
  int runners = 1;                            ///< Per zone.
  int workers = 2;                            ///< Per zone.
  bool proxied = false;
  int late_placer = -1;  ///< Instance whose placer starts last; -1: none.
  milliseconds late_by{0};
  std::vector<std::string> placer_settings = {};  ///< "section.key=value"
  std::vector<std::string> gate_settings = {};
  std::string templates = {};  ///< INI text; empty: DefaultTemplates().
};

/// Two keyed teams, "perchas" and "tayside", with the queues "now" and
/// "batch", and "open" which is open to all.
std::string DefaultTemplates(const std::vector<std::string>& zones,
                             int limit = 64);

/// @return The key of a team in DefaultTemplates.
std::string KeyOf(const std::string& team);

class Fleet {
 public:
  explicit Fleet(FleetShape shape = {});
  /// Ends all processes. Their output is kept if BW_KEEP is set.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything, publishes the templates and waits until every gate
  /// serves, every zone has an acting shard and every process knows every
  /// placer as a member. @return False on timeout.
  bool Start();

  int InstanceCount() const { return static_cast<int>(zone_of_.size()); }
  const std::string& ZoneOf(int instance) const { return zone_of_[instance]; }
  static std::string Name(int instance);

  // Processes.
  void StartPlacer(int instance);
  void StartGate(int instance);
  ChildProcess& placer(int instance) { return placers_[instance]; }
  ChildProcess& gate(int instance) { return gates_[instance]; }

  /// @return The instance whose placer acts on the zone's shard, or -1.
  int OwnerOf(const std::string& zone) const;

  // Callers.
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

  // Operators.
  int Ctl(const std::vector<std::string>& arguments,
          std::string* out = nullptr) const;
  int PublishText(const std::string& templates, std::string* out = nullptr);

  // Platform and faults.
  void LogControl(const Json& body) const;
  void ListControl(const Json& body) const;
  /// Marks one backend server as leaving.
  void SetLeaving(const std::string& name, bool leaving);
  /// Links are named "FROM>TO": instance names, "log", "list"; gates are
  /// "gN", placers "eN".
  void Links(const std::vector<std::string>& match,
             const std::string& there,
             const std::string& back,
             int delay_ms = 0) const;
  /// Cuts all links between a zone and the other zones, both ways.
  void CutZone(const std::string& zone, const std::string& mode) const;
  void CutFromLog(const std::string& zone, const std::string& mode) const;

  // Truth, from the stand-ins only.
  std::vector<Json> RunnerTruth() const;
  std::vector<Json> WorkerTruth() const;
  Json LogTruth(const std::string& stream) const;

  const std::vector<std::string>& runner_addresses() const { return runners_; }
  const std::vector<std::string>& worker_addresses() const { return workers_; }
  std::string StatusOf(int instance, bool gate, const std::string& page) const;
  std::string GateUrl(int instance) const;
  std::string PlacerStatusUrl(int instance) const;
  std::string LogUrl() const { return log_url_; }
  std::string directory() const { return directory_; }

 private:
  std::vector<std::string> CommonSettings(int instance, bool gate) const;
  std::string LinkAddress(const std::string& from, const std::string& to) const;
  void MakeLinks();
  void StartPlatform();
  void StartBackends();
  /// @return True if all placers are members and all processes know it.
  bool AllKnowAllMembers() const;
  Json ProcessStatus(int instance, bool gate) const;
  static Json Call(const std::string& method,
                   const std::string& url,
                   const std::string& body);

  const FleetShape shape_;
  std::vector<std::string> zones_;
  std::vector<std::string> zone_of_;
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
  Json instances_ = Json::array();
  std::vector<ChildProcess> platform_;
  std::map<int, ChildProcess> placers_;
  std::map<int, ChildProcess> gates_;
};

}  // namespace bw::test
