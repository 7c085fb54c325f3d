#ifndef REDWING_REVIEW_STAND_INS_DEPLOYMENT_H_
#define REDWING_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "stand_ins/http.h"
#include "stand_ins/store.h"
#include "stand_ins/upstream.h"

namespace review {

// What a script exits with.
enum Outcome { kHeld = 0, kBroken = 1, kCannotRun = 2 };

// A front machine: one process of the deploy file's command.
class Machine {
 public:
  Machine(const std::string& ip,
          const std::string& name,
          const std::string& zone,
          const std::string& region,
          const std::string& store_address,
          const std::string& folder);
  ~Machine();

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  std::string front() const { return ip_ + ":8389"; }
  // Starts the process; call it on a thread that outlives the process.
  void Start();
  void Signal(int signal) const;
  // Returns whether the process runs; notes its end in the record.
  bool Running();
  // Starts the process again a short while after its end, as the platform does.
  void RestartIfEnded();
  // How often its process has ended.
  int ends() const { return ends_; }
  size_t ResidentMegabytes() const;
  bool Ready() const;
  // What it wrote to its log so far.
  std::string Log() const;

 private:
  std::string ip_;
  std::string name_;
  std::string zone_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = -1;
  int ends_ = 0;
  double ended_at_ = 0;
};

// Store, upstreams and machines of a small deployment, after
// sites/potreg-east.toml: three regions with two zones each.
class Deployment {
 public:
  Deployment();
  ~Deployment();

  Store& store() { return *store_; }
  std::vector<std::unique_ptr<Upstream>>& upstreams() { return upstreams_; }
  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }

  // Adds upstreams to both services, dealt over the zones in turn.
  void AddUpstreams(int lookup, int ledger);
  // Adds a machine to each of the first zones and starts it.
  void AddMachines(int count);
  // Returns whether all machines were ready before `limit` seconds passed.
  bool AwaitReady(double limit);
  // Returns whether processes ended three times on a tenth of the machines,
  // two at least, which is what the rule on faults counts.
  bool TooManyEnds() const;

  // Two routes, and tenants with a key each.
  static nlohmann::json Manifest(int version,
                                 const std::vector<std::string>& keys,
                                 const std::string& timeout = "2500ms");
  // Sends a request to a machine, as a client of its zone does.
  Answer Send(Machine& machine,
              const std::string& id,
              const std::string& key,
              bool safe = true,
              int deadline_ms = 8000);
  // Runs of a request at all upstreams.
  int RunsOf(const std::string& id);

  // Returns whether the case is to make its trouble (TROUBLE is not 0).
  static bool WithTrouble();

 private:
  std::string Ip(int host) const;

  std::string network_;
  std::string folder_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

// Runs a case: opens the record, and turns exceptions into kCannotRun. Ends the
// program. Arguments: the path of the record.
[[noreturn]] void RunCase(int argc,
                          char** argv,
                          const std::function<Outcome()>& body);

}  // namespace review

#endif  // REDWING_REVIEW_STAND_INS_DEPLOYMENT_H_
