#include "testing/harness/fleet.h"

#include <fmt/format.h>
#include <sodium.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>
#include <thread>

#include "budget/internal/share_owners.h"
#include "entry/internal_call.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"
#include "testing/harness/sync_client.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

constexpr Milliseconds kStartLimit{30'000};
constexpr Milliseconds kLoadLimit{300'000};
constexpr Milliseconds kInternalTimeout{8'000};
constexpr size_t kSecretBytes = 16;

}  // namespace

Fleet::Fleet(FleetPlan plan) : plan_(std::move(plan)) {
  if (sodium_init() < 0) {
    throw std::runtime_error("sodium_init failed");
  }
  std::string pattern =
      (std::filesystem::temp_directory_path() / "redwing-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no folder for the test fleet");
  }
  folder_ = pattern;
  root_key_ = "root-" + RandomHex(kSecretBytes);
  fleet_secret_ = RandomHex(kSecretBytes);
}

Fleet::~Fleet() {
  for (FleetEntry& entry : entries_) {
    entry.process.reset();
  }
  admin_.reset();
  targets_.reset();
  proxy_.reset();
  platform_.reset();
  if (std::getenv("REDWING_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

void Fleet::Start() {
  StartProxy();
  StartPlatform();
  StartTargets();
  PlanEntries();
  for (FleetEntry& entry : entries_) {
    StartEntry(entry);
    List(entry, false, false);
  }
  for (const auto& [name, address] : target_addresses_) {
    ListTarget(name, false);
  }
  StartAdmin();
  LoadDocument();
  const bool ready = WaitUntil(
      [this]() {
        std::map<int, size_t> owners;
        for (const FleetEntry& entry : entries_) {
          const json status = StatusOf(entry);
          bool owns = true;
          for (const json& budget : status.at("budgets")) {
            owns = owns && budget.at("own_share") > 0.0;
          }
          if (!status.at("ready") || !status.at("fresh")) {
            return false;
          }
          owners[entry.region] += owns ? 1 : 0;
        }
        return std::all_of(
            owners.begin(), owners.end(),
            [this](const std::pair<const int, size_t>& region) {
              const int entries = plan_.regions.at(region.first - 1).entries;
              return region.second ==
                     std::min(static_cast<size_t>(entries), kOwnersPerRegion);
            });
      },
      kStartLimit);
  if (!ready) {
    throw std::runtime_error("the fleet did not become ready");
  }
}

FleetEntry& Fleet::entry(const std::string& name) {
  for (FleetEntry& entry : entries_) {
    if (entry.name == name) {
      return entry;
    }
  }
  throw std::runtime_error("no entry " + name);
}

std::string Fleet::targets() const {
  return target_addresses_.begin()->second;
}

std::string Fleet::IssueKey(const std::string& workspace) {
  const json answer = CallJson(http::verb::post, admin_address_, "/v1/keys",
                               {{"workspace", workspace}}, root_key_);
  const std::string shard =
      "keys." + answer.at("key_id").get<std::string>().substr(0, 1);
  const json stored = CallJson(
      http::verb::get, platform_address_,
      "/apis/redwingcart.io/v1/namespaces/default/redwingstates/" + shard);
  const uint64_t revision = stored.at("spec").at("revision");
  WaitUntil(
      [&]() {
        for (const FleetEntry& entry : entries_) {
          if (StatusOf(entry).at("revisions").value(shard, uint64_t{0}) <
              revision) {
            return false;
          }
        }
        return true;
      },
      kStartLimit);
  return answer.at("key");
}

void Fleet::StartEntry(FleetEntry& entry) {
  json settings = plan_.entry_settings;
  settings["instance"] = entry.name;
  settings["region"] = plan_.regions[entry.region - 1].name;
  settings["failure_domain"] = entry.failure_domain;
  settings["http_listen"] =
      entry.http_listen.empty() ? entry.host + ":0" : entry.http_listen;
  settings["peer_listen"] =
      entry.peer_listen.empty() ? entry.host + ":0" : entry.peer_listen;
  settings["http_address"] = entry.http_address;
  settings["peer_address"] = entry.peer_address;
  settings["source_address"] = entry.host;
  settings["platform_address"] = platform_link_address_;
  settings["fleet_secrets"] = {fleet_secret_};
  json seeds = json::array();
  for (const FleetEntry& other : entries_) {
    if (other.name != entry.name) {
      seeds.push_back(other.peer_address);
    }
  }
  settings["seeds"] = seeds;
  entry.process = std::make_unique<Process>(
      "redwing-entry",
      std::vector<std::string>{"--log-to", "stderr", "--settings",
                               WriteFile(entry.name + ".json", settings)},
      LogPath(entry.name));
  const json announced = entry.process->ReadAnnouncement();
  entry.http_listen = announced.at("http");
  entry.peer_listen = announced.at("peer_listen");
  Retarget(entry.http_link, entry.http_listen);
  Retarget(entry.peer_link, entry.peer_listen);
}

void Fleet::KillEntry(FleetEntry& entry) {
  entry.process->Kill();
  Retarget(entry.http_link, entry.http_listen, false);
  Retarget(entry.peer_link, entry.peer_listen, false);
}

void Fleet::List(const FleetEntry& entry, bool leaving, bool removed) {
  CallJson(http::verb::post, platform_address_, "/_control/instance",
           {{"name", entry.name},
            {"service", "redwing-entry"},
            {"region", plan_.regions[entry.region - 1].name},
            {"failure_domain", entry.failure_domain},
            {"http", entry.http_address},
            {"peer", entry.peer_address},
            {"leaving", leaving},
            {"removed", removed}});
}

void Fleet::ListTarget(const std::string& target, bool leaving) {
  const json& document = target_documents_.at(target);
  CallJson(http::verb::post, platform_address_, "/_control/instance",
           {{"name", target},
            {"service", document.at("service")},
            {"region", document.at("region")},
            {"failure_domain", document.at("failure_domain")},
            {"http", document.at("address")},
            {"leaving", leaving}});
}

void Fleet::KillTarget(const std::string& target) const {
  Retarget(target_links_.at(target), target_addresses_.at(target), false);
}

void Fleet::SetRules(const json& rules) const {
  CallJson(http::verb::post, proxy_address_, "/_control/rules", rules);
}

void Fleet::SetRulesAround(int region, json rule) const {
  json rules = json::array();
  for (size_t other = 1; other <= plan_.regions.size(); ++other) {
    if (static_cast<int>(other) == region) {
      continue;
    }
    rule["from"] = region;
    rule["to"] = other;
    rules.push_back(rule);
    rule["from"] = other;
    rule["to"] = region;
    rules.push_back(rule);
  }
  SetRules(rules);
}

void Fleet::SetPlatformFault(const json& fault) const {
  CallJson(http::verb::post, platform_address_, "/_control/fault", fault);
}

void Fleet::SetTargets(const json& behaviour) const {
  json body = behaviour;
  body["all"] = true;
  CallJson(http::verb::post, targets(), "/_control/behaviour", body);
}

json Fleet::Runs() const {
  return CallJson(http::verb::get, targets(), "/_control/runs");
}

std::vector<Stall> Fleet::Stalls() const {
  return ReadStalls(
      CallJson(http::verb::get, targets(), "/_control/stalls"),
      CallJson(http::verb::get, proxy_address_, "/_control/stalls"));
}

json Fleet::StatusOf(const FleetEntry& entry) const {
  return CallInternal(entry, "GET", "/internal/v1/status");
}

json Fleet::CallInternal(const FleetEntry& entry,
                         const std::string& method,
                         const std::string& target) const {
  HttpCall call;
  call.endpoint = TcpEndpoint(entry.http_listen);
  call.method = http::string_to_verb(method);
  call.target = target;
  call.timeout = kInternalTimeout;
  call.headers[std::string(kInternalCallField)] =
      SignInternalCall(fleet_secret_, method, target);
  const Result<HttpReply> reply = CallSync(call);
  if (!reply) {
    throw std::runtime_error(entry.name + ": " + reply.error().detail);
  }
  return json::parse(reply.value().body);
}

double Fleet::Counter(const FleetEntry& entry, const std::string& name) const {
  HttpCall call;
  call.endpoint = TcpEndpoint(entry.http_listen);
  call.target = "/metrics";
  const Result<HttpReply> reply = CallSync(call);
  double sum = 0;
  if (!reply) {
    return sum;
  }
  std::istringstream lines(reply.value().body);
  std::string line;
  while (std::getline(lines, line)) {
    const size_t end = line.find_first_of("{ ");
    if (line.substr(0, end) == name) {
      sum += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return sum;
}

std::unique_ptr<Process> Fleet::BeginLoad(json settings,
                                          const std::string& name) {
  if (!settings.contains("entries")) {
    settings["entries"] = json::array();
    for (const FleetEntry& entry : entries_) {
      settings["entries"].push_back(entry.http_address);
    }
  }
  if (!settings.contains("runs_from")) {
    settings["runs_from"] = targets();
  }
  return std::make_unique<Process>(
      "redwing-load",
      std::vector<std::string>{"--settings",
                               WriteFile(name + ".load.json", settings),
                               "--json", folder_ + "/" + name + ".out.json"},
      LogPath(name));
}

json Fleet::EndLoad(Process& load, const std::string& name) {
  if (load.Wait(kLoadLimit) != 0) {
    throw std::runtime_error("redwing-load failed");
  }
  std::ifstream file(folder_ + "/" + name + ".out.json");
  return json::parse(file);
}

json Fleet::RunLoad(json settings, const std::string& name) {
  const std::unique_ptr<Process> load = BeginLoad(std::move(settings), name);
  return EndLoad(*load, name);
}

void Fleet::StartPlatform() {
  platform_ = std::make_unique<Process>(
      "fake-platform",
      std::vector<std::string>{
          "--settings",
          WriteFile(
              "platform.json",
              {{"listen", fmt::format("127.0.{}.5:0", plan_.platform_region)},
               {"list_lag_ms", plan_.list_lag_ms},
               {"seed", plan_.seed}})},
      LogPath("platform"));
  platform_address_ = platform_->ReadAnnouncement().at("http");
  const size_t link =
      AddLink("tcp", fmt::format("127.1.{}.5:0", plan_.platform_region),
              &platform_link_address_);
  Retarget(link, platform_address_);
}

void Fleet::StartProxy() {
  proxy_ = std::make_unique<Process>(
      "fault-proxy",
      std::vector<std::string>{
          "--settings", WriteFile("proxy.json", {{"listen", "127.0.0.1:0"},
                                                 {"seed", plan_.seed}})},
      LogPath("proxy"));
  proxy_address_ = proxy_->ReadAnnouncement().at("http");
  json rules = json::array();
  const int count = static_cast<int>(plan_.regions.size());
  for (int from = 0; from <= count; ++from) {
    for (int to = 0; to <= count; ++to) {
      const bool client = from == 0 || to == 0;
      const Milliseconds delay = client       ? plan_.delay_to_clients
                                 : from == to ? plan_.delay_in_region
                                              : plan_.delay_between_regions;
      rules.push_back(
          {{"from", from}, {"to", to}, {"delay_ms", delay.count()}});
    }
  }
  SetRules(rules);
}

void Fleet::StartTargets() {
  json sites = json::array();
  std::map<std::string, json> documents;
  for (const FleetTargets& group : plan_.targets) {
    for (int i = 0; i < group.count; ++i) {
      const size_t region = static_cast<size_t>(i) % plan_.regions.size();
      const std::vector<std::string>& domains =
          plan_.regions[region].failure_domains;
      const size_t domain =
          static_cast<size_t>(i) / plan_.regions.size() % domains.size();
      const std::string name = fmt::format("{}-{}", group.service, i + 1);
      sites.push_back({{"name", name},
                       {"listen", fmt::format("127.0.{}.100:0", region + 1)},
                       {"slots", group.slots},
                       {"service_ms", group.service_ms}});
      documents[name] = {{"name", name},
                         {"region", plan_.regions[region].name},
                         {"failure_domain", domains[domain]},
                         {"slots", group.slots},
                         {"service", group.service}};
    }
  }
  targets_ = std::make_unique<Process>(
      "fake-target",
      std::vector<std::string>{
          "--settings", WriteFile("targets.json",
                                  {{"targets", sites}, {"seed", plan_.seed}})},
      LogPath("targets"));
  const json announced = targets_->ReadAnnouncement();
  for (auto site = announced.begin(); site != announced.end(); ++site) {
    const std::string address = *site;
    target_addresses_[site.key()] = address;
    std::string link_host = TcpEndpoint(address).address().to_string();
    link_host.replace(0, 5, "127.1");
    std::string link_address;
    const size_t link = AddLink("tcp", link_host + ":0", &link_address);
    Retarget(link, address);
    target_links_[site.key()] = link;
    json document = documents.at(site.key());
    document["address"] = link_address;
    target_documents_[site.key()] = document;
  }
}

void Fleet::StartAdmin() {
  admin_ = std::make_unique<Process>(
      "redwing-admin",
      std::vector<std::string>{
          "--log-to", "stderr", "--settings",
          WriteFile("admin.json",
                    {{"http_listen", "127.0.0.1:0"},
                     {"entry_address", entries_.front().http_listen},
                     {"platform_address", platform_address_},
                     {"fleet_secret", fleet_secret_},
                     {"root_key", root_key_}})},
      LogPath("admin"));
  admin_address_ = admin_->ReadAnnouncement().at("http");
}

void Fleet::PlanEntries() {
  for (size_t r = 0; r < plan_.regions.size(); ++r) {
    const FleetRegion& region = plan_.regions[r];
    for (int i = 0; i < region.entries; ++i) {
      FleetEntry entry;
      entry.name = fmt::format("entry-{}-{}", region.name, i + 1);
      entry.region = static_cast<int>(r) + 1;
      entry.failure_domain =
          region.failure_domains[static_cast<size_t>(i) %
                                 region.failure_domains.size()];
      entry.host = fmt::format("127.0.{}.{}", r + 1, 10 + i);
      const std::string link_host = fmt::format("127.1.{}.{}:0", r + 1, 10 + i);
      entry.http_link = AddLink("tcp", link_host, &entry.http_address);
      entry.peer_link = AddLink("both", link_host, &entry.peer_address);
      entries_.push_back(std::move(entry));
    }
  }
}

void Fleet::LoadDocument() {
  // What others refer to comes first: an edit is checked on its own.
  std::multimap<int, std::string> order;
  for (auto section = plan_.sections.begin(); section != plan_.sections.end();
       ++section) {
    const int rank = section->contains("regions")    ? 0
                     : section->contains("services") ? 1
                                                     : 2;
    order.emplace(rank, section.key());
  }
  for (const auto& [rank, name] : order) {
    json body = plan_.sections.at(name);
    if (body.contains("services")) {
      for (json& service : body.at("services")) {
        service["targets"] = json::array();
        for (const auto& [target_name, document] : target_documents_) {
          if (document.at("service") == service.at("name")) {
            json target = document;
            target.erase("service");
            service["targets"].push_back(target);
          }
        }
      }
    }
    CallJson(http::verb::put, admin_address_, "/v1/sections/" + name,
             {{"from_revision", 0}, {"body", body}}, root_key_);
  }
}

size_t Fleet::AddLink(const std::string& protocol,
                      const std::string& listen,
                      std::string* address) {
  const json answer =
      CallJson(http::verb::post, proxy_address_, "/_control/link",
               {{"protocol", protocol}, {"listen", listen}});
  *address = answer.at("listen");
  return answer.at("link");
}

void Fleet::Retarget(size_t link, const std::string& to, bool up) const {
  CallJson(http::verb::post, proxy_address_, "/_control/retarget",
           {{"link", link}, {"to", to}, {"up", up}});
}

std::string Fleet::WriteFile(const std::string& name,
                             const json& content) const {
  const std::string path = folder_ + "/" + name;
  std::ofstream file(path);
  file << content.dump(2);
  return path;
}

std::string Fleet::LogPath(const std::string& name) const {
  return folder_ + "/" + name + ".log";
}

}  // namespace redwing::testing
