#ifndef REDWING_TESTING_HARNESS_FLEET_H_
#define REDWING_TESTING_HARNESS_FLEET_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "framework/kernel/clock.h"
#include "testing/harness/process.h"
#include "testing/harness/windows.h"

namespace redwing::testing {

// A region of a test fleet.
struct FleetRegion {
  std::string name;
  std::vector<std::string> failure_domains;
  int entries = 1;
};

// A group of targets of one service, spread over the regions in turn.
struct FleetTargets {
  std::string service;
  int count = 0;
  int slots = 3;
  int service_ms = 5;
};

// What fleet to build.
struct FleetPlan {
  std::vector<FleetRegion> regions;
  std::vector<FleetTargets> targets;
  // The steering document's sections; targets are added to its services.
  nlohmann::json sections;
  // Region, of `regions`, in which the platform's API is.
  int platform_region = 1;
  Milliseconds delay_in_region{0};
  Milliseconds delay_between_regions{0};
  Milliseconds delay_to_clients{0};
  int list_lag_ms = 0;
  uint64_t seed = 1;
  // Added to every entry's settings.
  nlohmann::json entry_settings = nlohmann::json::object();
};

// An entry instance of a test fleet.
struct FleetEntry {
  std::string name;
  int region = 0;  // from 1
  std::string failure_domain;
  std::string host;
  // Where it is reached, through the proxy.
  std::string http_address;
  std::string peer_address;
  // Where it listens.
  std::string http_listen;
  std::string peer_listen;
  size_t http_link = 0;
  size_t peer_link = 0;
  std::unique_ptr<Process> process;
};

// A whole fleet of real processes on loopback. Everything between regions,
// clients, targets and the platform passes the fault proxy. Instances of region
// R have addresses 127.0.R.*, by which the proxy knows a sender's region;
// clients count as region 0.
class Fleet {
 public:
  explicit Fleet(FleetPlan plan);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all processes, loads the document, and waits until every entry is
  // ready and its shares are in force. Throws std::runtime_error when that
  // takes too long.
  void Start();

  std::vector<FleetEntry>& entries() { return entries_; }
  FleetEntry& entry(const std::string& name);
  const std::string& admin() const { return admin_address_; }
  const std::string& platform() const { return platform_address_; }
  const std::string& proxy() const { return proxy_address_; }
  // Control address of the targets, any of them.
  std::string targets() const;
  const std::map<std::string, std::string>& target_addresses() const {
    return target_addresses_;
  }
  // What the steering document says of a target.
  const nlohmann::json& TargetDocument(const std::string& name) const {
    return target_documents_.at(name);
  }
  // Address of a target through the proxy.
  std::string ProxiedTarget(const std::string& name) const {
    return target_documents_.at(name).at("address");
  }
  std::string root_key() const { return root_key_; }
  const std::string& folder() const { return folder_; }

  // Issues a key for a workspace and waits until all entries know it.
  std::string IssueKey(const std::string& workspace);

  void StartEntry(FleetEntry& entry);
  // Kills an entry; connections to it are refused from then on.
  void KillEntry(FleetEntry& entry);
  // Lists, delists or marks an instance in the platform's list.
  void List(const FleetEntry& entry, bool leaving, bool removed);
  void ListTarget(const std::string& target, bool leaving);
  // Refuses connections to a target and resets those that are open.
  void KillTarget(const std::string& target) const;

  void SetRules(const nlohmann::json& rules) const;
  // Sets one rule for all traffic between a region and all others.
  void SetRulesAround(int region, nlohmann::json rule) const;
  void SetPlatformFault(const nlohmann::json& fault) const;
  void SetTargets(const nlohmann::json& behaviour) const;

  // Runs at targets: [[at_us, target, token, workspace, key_seen, finished]].
  nlohmann::json Runs() const;
  // Times at which the targets' process or the proxy before them stood still,
  // on the clock of the runs.
  std::vector<Stall> Stalls() const;
  nlohmann::json StatusOf(const FleetEntry& entry) const;
  // Makes a signed call of an entry, as redwing-admin does.
  nlohmann::json CallInternal(const FleetEntry& entry,
                              const std::string& method,
                              const std::string& target) const;
  // Reads one counter of an entry's metrics, all labels added up.
  double Counter(const FleetEntry& entry, const std::string& name) const;

  // Begins a run of redwing-load; the settings' "entries" are filled in.
  std::unique_ptr<Process> BeginLoad(nlohmann::json settings,
                                     const std::string& name);
  // Waits for it and returns its report.
  nlohmann::json EndLoad(Process& load, const std::string& name);
  nlohmann::json RunLoad(nlohmann::json settings, const std::string& name);

 private:
  void StartPlatform();
  void StartProxy();
  void StartTargets();
  void StartAdmin();
  void PlanEntries();
  void LoadDocument();
  size_t AddLink(const std::string& protocol,
                 const std::string& listen,
                 std::string* address);
  void Retarget(size_t link, const std::string& to, bool up = true) const;
  std::string WriteFile(const std::string& name,
                        const nlohmann::json& content) const;
  std::string LogPath(const std::string& name) const;

  FleetPlan plan_;
  std::string folder_;
  std::string root_key_;
  std::string fleet_secret_;
  std::string platform_address_;
  std::string platform_link_address_;
  std::string proxy_address_;
  std::string admin_address_;
  std::map<std::string, std::string> target_addresses_;
  std::map<std::string, nlohmann::json> target_documents_;
  std::map<std::string, size_t> target_links_;
  std::unique_ptr<Process> platform_;
  std::unique_ptr<Process> proxy_;
  std::unique_ptr<Process> targets_;
  std::unique_ptr<Process> admin_;
  std::vector<FleetEntry> entries_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_HARNESS_FLEET_H_
