#include "review/stand_ins_3/small_deployment.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <stdexcept>

#include "framework/http/http_client.h"
#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"

extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace redwing::review {

namespace {

using nlohmann::json;

// The command of the deploy file, relative to the repository.
constexpr char kSteer[] = "target/bin/redwing-steer";
constexpr char kUpstreamProgram[] = "review-upstream";
constexpr int kRegions = 2;
constexpr int kStoreHost = 250;
constexpr int kFirstUpstreamHost = 100;
constexpr int kHostsPerNetwork = 250;
constexpr Milliseconds kReadyLimit{20'000};
constexpr Milliseconds kCallMargin{500};

std::string ProgramBeside(const std::string& name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name)
      .string();
}

std::vector<char*> Pointers(const std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (const std::string& text : texts) {
    pointers.push_back(const_cast<char*>(text.c_str()));
  }
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

bool WithTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::vector<std::string>& environment,
                           const std::string& log) {
  std::vector<std::string> variables = environment;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.emplace_back(*variable);
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&pid_, command.front().c_str(), &actions, nullptr,
                  Pointers(command).data(), Pointers(variables).data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error(command.front() + " cannot be started");
  }
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

SmallDeployment::SmallDeployment(const json& manifest, uint64_t revision)
    : io_(*new boost::asio::io_context), store_(*new Store(io_, revision)) {
  // Never destroyed: coroutines may still be suspended at the end.
  const int process = getpid();
  network_ = fmt::format("127.{}.{}", 100 + process / kHostsPerNetwork % 100,
                         process % kHostsPerNetwork);
  folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("redwing-review-{}", process))
                .string();
  std::filesystem::create_directories(folder_);
  store_address_ = store_.Listen(Ip(kStoreHost));
  store_.Put("config", "main", manifest);
  thread_ = std::thread([this]() {
    const boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>
        guard = boost::asio::make_work_guard(io_);
    io_.run();
  });
}

void SmallDeployment::StartInstances(int instances) {
  for (int i = 0; i < instances; ++i) {
    const std::string path = fmt::format("{}/node-{}.conf", folder_, i);
    std::string text = fmt::format(
        "self.node=node-{0}\nself.zone=zone-{1}\nself.region=region-{1}\n"
        "self.ip={2}\nself.limits.maxFds=4100\nnetwork.listen.front={2}:8100\n"
        "network.listen.ready={2}:8101\nnetwork.listen.directory={2}:8102\n"
        "network.portRange=8110,8119\nplatform.platform.address={3}\n"
        "terms.bounds.contact=4000ms\nterms.bounds.grace=6s\n"
        "terms.bounds.ttl_max=5s\nterms.bounds.retryRatio=0.2\n"
        "terms.bounds.retrySlack=60\nterms.bounds.quotaSlack=20\n"
        "terms.bounds.maxShift=0.15\nterms.bounds.strictRevoke=false\n",
        i, i % kRegions, Ip(i + 1), store_address_);
    for (int zone = 0; zone < kRegions; ++zone) {
      text += fmt::format("network.zones.zone-{0}=region-{0}\n", zone);
    }
    std::ofstream(path) << text;
    instances_.push_back(std::make_unique<ChildProcess>(
        std::vector<std::string>{kSteer},
        std::vector<std::string>{"REDWINGCART_NODE_FILE=" + path},
        fmt::format("{}/node-{}.log", folder_, i)));
  }
}

SmallDeployment::~SmallDeployment() {
  instances_.clear();
  upstreams_.clear();
  io_.stop();
  thread_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void SmallDeployment::OnLoop(const std::function<void()>& function) {
  std::promise<void> done;
  boost::asio::post(io_, [&function, &done]() {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void SmallDeployment::PutManifest(const json& manifest) {
  OnLoop([&]() { store_.Put("config", "main", manifest); });
}

void SmallDeployment::AddUpstream(const UpstreamPlan& plan) {
  const int host = kFirstUpstreamHost + static_cast<int>(upstreams_.size());
  Upstream& upstream = upstreams_[plan.id];
  upstream.plan = plan;
  upstream.address = Ip(host) + ":9000";
  StartUpstream(plan.id);
}

void SmallDeployment::StartUpstream(const std::string& id) {
  Upstream& upstream = upstreams_.at(id);
  const UpstreamPlan& plan = upstream.plan;
  upstream.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          ProgramBeside(kUpstreamProgram), plan.id, plan.service,
          upstream.address, fmt::format("zone-{}", plan.zone), store_address_,
          UpstreamLog(id), std::to_string(plan.slots),
          std::to_string(plan.run_ms), std::to_string(plan.warm_up_ms)},
      std::vector<std::string>{}, fmt::format("{}/{}.out", folder_, id));
}

void SmallDeployment::KillUpstream(const std::string& id) {
  upstreams_.at(id).process->Kill();
}

bool SmallDeployment::AwaitReady() {
  return testing::WaitUntil(
      [this]() {
        for (size_t i = 0; i < instances_.size(); ++i) {
          HttpCall call;
          call.endpoint = TcpEndpoint(Ip(static_cast<int>(i) + 1) + ":8101");
          call.target = "/ready";
          const Result<HttpReply> reply = testing::CallSync(call);
          if (!reply || reply.value().status != 200) {
            return false;
          }
        }
        return true;
      },
      kReadyLimit);
}

Sent SmallDeployment::Send(int instance,
                           const std::string& path,
                           const std::string& id,
                           const std::string& key,
                           int deadline_ms) const {
  HttpCall call;
  call.endpoint = TcpEndpoint(Ip(instance + 1) + ":8100");
  call.target = path;
  call.timeout = Milliseconds(deadline_ms) + kCallMargin;
  call.headers = {{"Host", "shop.example"},
                  {"X-Redwingcart-Request-Id", id},
                  {"X-Redwingcart-Affinity-Key", path},
                  {"X-Redwingcart-Deadline-Ms", std::to_string(deadline_ms)}};
  if (!key.empty()) {
    call.headers["Authorization"] = "Bearer " + key;
  }
  Sent sent;
  sent.id = id;
  sent.node = fmt::format("node-{}", instance);
  sent.at = NowMs();
  const Result<HttpReply> reply = testing::CallSync(call);
  sent.ended_at = NowMs();
  sent.status = reply ? reply.value().status : 0;
  return sent;
}

std::vector<Arrival> SmallDeployment::ArrivalsAt(const std::string& id) const {
  std::vector<Arrival> arrivals;
  std::ifstream file(UpstreamLog(id));
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string event;
    Arrival arrival;
    words >> event >> arrival.at >> arrival.upstream_started >>
        arrival.request_id;
    if (event == "arrival") {
      arrivals.push_back(arrival);
    }
  }
  return arrivals;
}

std::vector<int64_t> SmallDeployment::StartsOf(const std::string& id) const {
  std::vector<int64_t> starts;
  std::ifstream file(UpstreamLog(id));
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string event;
    int64_t at = 0;
    words >> event >> at;
    if (event == "start") {
      starts.push_back(at);
    }
  }
  return starts;
}

std::string SmallDeployment::Ip(int host) const {
  return fmt::format("{}.{}", network_, host);
}

std::string SmallDeployment::UpstreamLog(const std::string& id) const {
  return fmt::format("{}/{}.log", folder_, id);
}

json ManifestOf(int version,
                const std::vector<std::string>& services,
                const json& tenants) {
  json routes = json::array();
  json rows = json::array();
  for (const std::string& service : services) {
    routes.push_back({"r-" + service, "shop.example", "/" + service + "/",
                      "safe", "1500ms", "200ms", 2, 3, true, service});
    rows.push_back({service, "/health", 390, "h1", false, "3s", 2.6});
  }
  json manifest = {
      {"version", fmt::format("r{}", version)},
      {"routes",
       {{"columns",
         {"name", "host", "pathPrefix", "kind", "timeout", "targetLatency",
          "priority", "maxAttempts", "sticky", "service"}},
        {"rows", routes}}},
      {"services",
       {{"columns",
         {"name", "healthPath", "maxConns", "protocol", "tls", "warmup",
          "warmupPerS"}},
        {"rows", rows}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 1048576},
        {"headerTimeout", "3000ms"},
        {"idleTimeout", "15000ms"}}}};
  if (!tenants.empty()) {
    manifest["tenants"] = {
        {"columns", {"name", "apiKeys", "priority", "ratePerS", "burst"}},
        {"rows", tenants}};
  }
  return manifest;
}

}  // namespace redwing::review
