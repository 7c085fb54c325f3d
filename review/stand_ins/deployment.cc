#include "stand_ins/deployment.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "stand_ins/record.h"

namespace review {

namespace {

using nlohmann::json;

// As deploy/system.toml runs it, in the repository's root.
constexpr char kProgram[] = "target/bin/redwing-steer";

struct Zone {
  const char* name;
  const char* region;
};
constexpr Zone kZones[] = {
    {"portland", "gulf-maine"}, {"new-bedford", "cape-cod"},
    {"new-london", "sound"},    {"rockland", "gulf-maine"},
    {"chatham", "cape-cod"},    {"stonington", "sound"}};
constexpr int kZoneCount = 6;
constexpr int kFirstUpstream = 100;

std::string SettingsOf(const std::string& ip,
                       const std::string& name,
                       const std::string& zone,
                       const std::string& region,
                       const std::string& store) {
  std::string text = fmt::format(
      "self.node={0}\nself.role=entry\nself.machineClass=front\n"
      "self.serves=front,directory\nself.ip={1}\nself.zone={2}\n"
      "self.region={3}\nself.inTolerance=false\nself.bootstrap=true\n"
      "self.limits.cpuShare=0.2\nself.limits.cores=1\n"
      "self.limits.memoryMb=260\nself.limits.maxFds=4100\n"
      "self.limits.linkMbps=1000.0\nself.limits.diskMb=0\n"
      "network.listen.front={1}:8389\nnetwork.listen.ready={1}:8384\n"
      "network.listen.control={1}:8383\nnetwork.listen.directory={1}:8385\n"
      "network.portRange=7460,7475\nnetwork.seeds=\n"
      "platform.discovery=platform\nplatform.entry=directory\n"
      "platform.heartbeat=1500ms\nplatform.platform.address={4}\n"
      "platform.platform.form=objects\nplatform.platform.writesPerS=400\n"
      "platform.platform.readsPerS=2000\nplatform.platform.history=20s\n"
      "platform.platform.valueBytes=1048576\n"
      "platform.platform.minTtl=1000ms\n",
      name, ip, zone, region, store);
  for (const Zone& item : kZones) {
    text += fmt::format("network.zones.{}={}\n", item.name, item.region);
  }
  return text +
         "terms.contracts=base,drain,config,cost,retry,recover,places,tenants,"
         "quota,platform\n"
         "terms.tolerate.machines=1\nterms.tolerate.zones=1\n"
         "terms.tolerate.regions=1\nterms.bounds.seedLag=3s\n"
         "terms.bounds.addrReuse=2s\nterms.bounds.contact=4000ms\n"
         "terms.bounds.ack=5000ms\nterms.bounds.catchUp=4s\n"
         "terms.bounds.drain=2500ms\nterms.bounds.grace=6s\n"
         "terms.bounds.lossSlack=200ms\nterms.bounds.configApply=2500ms\n"
         "terms.bounds.downgradeSlack=250ms\nterms.bounds.maxStretch=6000ms\n"
         "terms.bounds.strictRevoke=false\nterms.bounds.revoke=5000ms\n"
         "terms.bounds.retryRatio=0.2\nterms.bounds.retryWindow=10s\n"
         "terms.bounds.retrySlack=60\nterms.bounds.quotaWindow=5s\n"
         "terms.bounds.quotaOverage=0.1\nterms.bounds.quotaSlack=20\n"
         "terms.bounds.warmupOverage=1.5\nterms.bounds.warmupSlack=5\n"
         "terms.bounds.evacuate=5000ms\nterms.bounds.recovery=15s\n"
         "terms.bounds.ttl_max=5s\nterms.bounds.maxShift=0.15\n";
}

}  // namespace

Machine::Machine(const std::string& ip,
                 const std::string& name,
                 const std::string& zone,
                 const std::string& region,
                 const std::string& store_address,
                 const std::string& folder)
    : ip_(ip),
      name_(name),
      zone_(zone),
      settings_path_(folder + "/" + name + ".conf"),
      log_path_(folder + "/" + name + ".log") {
  std::ofstream(settings_path_)
      << SettingsOf(ip, name, zone, region, store_address);
}

Machine::~Machine() {
  if (Running()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Machine::Start() {
  const std::string variable = "REDWINGCART_NODE_FILE=" + settings_path_;
  const char* const path = std::getenv("PATH");
  const std::string path_variable =
      std::string("PATH=") + (path == nullptr ? "" : path);
  char* const arguments[] = {const_cast<char*>(kProgram), nullptr};
  char* const variables[] = {const_cast<char*>(variable.c_str()),
                             const_cast<char*>(path_variable.c_str()), nullptr};
  const int log =
      open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(kProgram, arguments, variables);
    _exit(127);
  }
  close(log);
  Record::Line("machine {}: started", name_);
}

void Machine::Signal(int signal) const {
  if (pid_ > 0) {
    Record::Line("machine {}: gets signal {}", name_, signal);
    kill(pid_, signal);
  }
}

bool Machine::Running() {
  if (pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  pid_ = -1;
  ++ends_;
  ended_at_ = Now();
  Record::Line("machine {}: its process has ended, {} {}", name_,
               WIFSIGNALED(status) ? "by signal" : "with exit code",
               WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
  return false;
}

void Machine::RestartIfEnded() {
  constexpr double kDelay = 0.5;
  if (!Running() && Now() > ended_at_ + kDelay) {
    Start();
  }
}

size_t Machine::ResidentMegabytes() const {
  std::ifstream file(fmt::format("/proc/{}/statm", pid_));
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE)) / 1'000'000;
}

bool Machine::Ready() const {
  return pid_ > 0 && Ask(ip_ + ":8384", "GET", "/ready",
                         {{"Host", "ready"}, {"Connection", "close"}}, "", 1)
                             .status == 200;
}

std::string Machine::Log() const {
  std::ifstream file(log_path_);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

Deployment::Deployment() {
  const int process = getpid();
  network_ = fmt::format("127.{}.{}", 10 + process / 250 % 200, process % 250);
  folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("redwing-review-{}", process))
                .string();
  std::filesystem::create_directories(folder_);
  store_ = std::make_unique<Store>(Ip(250));
}

Deployment::~Deployment() {
  machines_.clear();
  // Their threads may still wait for peers; the program ends without them.
  for (std::unique_ptr<Upstream>& upstream : upstreams_) {
    static_cast<void>(upstream.release());
  }
  static_cast<void>(store_.release());
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::string Deployment::Ip(int host) const {
  return fmt::format("{}.{}", network_, host);
}

void Deployment::AddUpstreams(int lookup, int ledger) {
  for (int i = 0; i < lookup + ledger; ++i) {
    const bool is_lookup = i < lookup;
    upstreams_.push_back(std::make_unique<Upstream>(
        *store_, Ip(kFirstUpstream + i),
        fmt::format("i-{}{}", is_lookup ? "a" : "b", i),
        is_lookup ? "lookup-svc" : "ledger-svc", kZones[i % kZoneCount].name));
  }
}

void Deployment::AddMachines(int count) {
  for (int i = 0; i < count; ++i) {
    const Zone& zone = kZones[i % kZoneCount];
    machines_.push_back(std::make_unique<Machine>(
        Ip(i + 1), fmt::format("front-{}-{}", zone.name, 1 + i / kZoneCount),
        zone.name, zone.region, store_->address(), folder_));
    machines_.back()->Start();
  }
}

bool Deployment::AwaitReady(double limit) {
  const double until = Now() + limit;
  for (const std::unique_ptr<Machine>& machine : machines_) {
    while (!machine->Ready()) {
      if (Now() > until || !machine->Running()) {
        Record::Say("machine {} does not become ready", machine->name());
        return false;
      }
      Sleep(0.05);
    }
  }
  Record::Say("{} machines are ready", machines_.size());
  return true;
}

bool Deployment::TooManyEnds() const {
  const auto often =
      std::count_if(machines_.begin(), machines_.end(),
                    [](const auto& machine) { return machine->ends() >= 3; });
  return often >= std::max<std::ptrdiff_t>(
                      2, static_cast<std::ptrdiff_t>(machines_.size()) / 10);
}

json Deployment::Manifest(int version,
                          const std::vector<std::string>& keys,
                          const std::string& timeout) {
  json tenants = json::array();
  for (const std::string& key : keys) {
    tenants.push_back({"tenant-" + key, {key}, nullptr, 0, 0, json::array()});
  }
  return {
      {"version", fmt::format("r{}", version)},
      {"routes",
       {{"columns",
         {"name", "host", "pathPrefix", "kind", "timeout", "targetLatency",
          "priority", "trafficSplit", "maxAttempts", "public", "sticky",
          "homeRegions", "service"}},
        {"rows",
         {{"r-lookup", "tags.example", "/lookup/", "safe", timeout, "500ms", 2,
           nullptr, 2, false, true, json::array(), "lookup-svc"},
          {"r-ledger", "tags.example", "/ledger/", "unsafe", timeout, "600ms",
           1, nullptr, 2, false, true, json::array(), "ledger-svc"}}}}},
      {"services",
       {{"columns",
         {"name", "healthPath", "maxConns", "protocol", "tls", "warmup",
          "warmupPerS"}},
        {"rows",
         {{"lookup-svc", "/health", 360, "h1", false, "3s", 2.6},
          {"ledger-svc", "/health", 360, "h1", false, "3s", 2.6}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 67108864},
        {"headerTimeout", "3000ms"},
        {"idleTimeout", "15000ms"}}},
      {"tenants",
       {{"columns",
         {"name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions"}},
        {"rows", tenants}}}};
}

Answer Deployment::Send(Machine& machine,
                        const std::string& id,
                        const std::string& key,
                        bool safe,
                        int deadline_ms) {
  Record::Line("client: sends {} with {} to {}", id, key, machine.name());
  const Answer answer =
      Ask(machine.front(), safe ? "GET" : "POST",
          safe ? "/lookup/" + id : "/ledger/" + id,
          {{"Host", "tags.example"},
           {"X-Redwingcart-Request-Id", id},
           {"X-Redwingcart-Affinity-Key", id},
           {"X-Redwingcart-Deadline-Ms", std::to_string(deadline_ms)},
           {"Authorization", "Bearer " + key}},
          safe ? "" : "claim " + id, deadline_ms / 1000.0 + 0.5);
  Record::Line(
      "client: {} after {:.3f} s: {} {}", id, answer.ended - answer.sent,
      answer.status == 0 ? answer.error : std::to_string(answer.status),
      answer.message.body);
  return answer;
}

int Deployment::RunsOf(const std::string& id) {
  int count = 0;
  for (const std::unique_ptr<Upstream>& upstream : upstreams_) {
    for (const Run& run : upstream->runs()) {
      count += run.request_id == id ? 1 : 0;
    }
  }
  return count;
}

bool Deployment::WithTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void RunCase(int argc, char** argv, const std::function<Outcome()>& body) {
  signal(SIGPIPE, SIG_IGN);
  Record::Open(argc > 1 ? argv[1] : "record.txt");
  Outcome outcome = kCannotRun;
  try {
    outcome = body();
  } catch (const std::exception& exception) {
    Record::Say("cannot run: {}", exception.what());
  }
  Record::Say("{}", outcome == kHeld     ? "the rule held"
                    : outcome == kBroken ? "the rule was broken"
                                         : "the case could not run");
  // Threads of stand-ins may still wait for their peers.
  std::_Exit(outcome);
}

}  // namespace review
