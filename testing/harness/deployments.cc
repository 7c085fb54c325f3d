#include "testing/harness/deployments.h"

#include <fmt/format.h>

#include <stdexcept>

#include "framework/settings/json_source.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

json ExampleSections(const std::string& name) {
  const Result<JsonSource> source =
      JsonSource::Load(std::string(REDWING_EXAMPLES_DIR) + "/" + name);
  if (!source) {
    throw std::runtime_error(source.error().detail);
  }
  return source.value().root().at("sections");
}

json RouteJson(const std::string& name,
               const std::string& method,
               const std::string& prefix,
               bool open,
               bool idempotent) {
  return {{"name", name},
          {"methods", {method}},
          {"path_prefix", prefix},
          {"open", open},
          {"idempotent", idempotent},
          {"max_request_bytes", 64 * 1024 * 1024},
          {"timeout_ms", 10'000}};
}

json WorkspaceJson(const std::string& name, double rate, double burst) {
  return {{"name", name},
          {"rate_per_s", rate},
          {"burst", burst},
          {"may_call", {"svc"}}};
}

}  // namespace

FleetPlan RegistryPlan(int entries) {
  FleetPlan plan;
  plan.regions = {{"gulf-maine", {"portland", "rockland"}, entries},
                  {"cape-cod", {"new-bedford", "chatham"}, entries},
                  {"sound", {"new-london", "stonington"}, entries}};
  plan.targets = {{"lookup-svc", 12, 3, 12},
                  {"ledger-svc", 12, 3, 20},
                  {"history-svc", 14, 3, 30}};
  plan.sections = ExampleSections("registry.json");
  plan.delay_in_region = Milliseconds(1);
  plan.delay_between_regions = Milliseconds(55);
  plan.delay_to_clients = Milliseconds(8);
  return plan;
}

FleetPlan RempahPlan(int entries) {
  FleetPlan plan;
  plan.regions = {{"semenanjung", {"kl-a", "kl-b"}, entries},
                  {"sabah", {"kk-a", "kk-b"}, entries},
                  {"sarawak", {"kch-a", "kch-b"}, entries}};
  plan.targets = {{"buku-resipi", 16, 7, 10},
                  {"log-kelompok", 12, 4, 15},
                  {"stok-rempah", 12, 7, 15}};
  plan.sections = ExampleSections("rempah.json");
  plan.delay_in_region = Milliseconds(1);
  plan.delay_between_regions = Milliseconds(12);
  plan.delay_to_clients = Milliseconds(8);
  return plan;
}

FleetPlan SmallPlan(int regions, int entries, double rate, double burst) {
  FleetPlan plan;
  json region_list = json::array();
  json links = json::array();
  for (int r = 1; r <= regions; ++r) {
    const std::string name = fmt::format("r{}", r);
    plan.regions.push_back({name, {name + "-a", name + "-b"}, entries});
    region_list.push_back({{"name", name},
                           {"failure_domains", {name + "-a", name + "-b"}},
                           {"rate_per_s", 20'000},
                           {"burst", 2'000}});
    for (int other = 1; other <= regions; ++other) {
      if (other != r) {
        links.push_back({{"from", name},
                         {"to", fmt::format("r{}", other)},
                         {"cap_mbit_per_s", 400}});
      }
    }
  }
  plan.targets = {{"svc", 2 * regions, 8, 2}};
  plan.sections = {
      {"network",
       {{"team", "net"}, {"regions", region_list}, {"links", links}}},
      {"services",
       {{"team", "svc"},
        {"services",
         {{{"name", "svc"},
           {"echoes_attempt_ids", true},
           {"routes",
            {RouteJson("read", "GET", "/", false, true),
             RouteJson("write", "POST", "/", false, false),
             RouteJson("public", "GET", "/open", true, true)}}}}}}},
      {"workspaces",
       {{"team", "sales"},
        {"workspaces",
         {WorkspaceJson("alpha", rate, burst),
          WorkspaceJson("beta", rate, burst)}}}}};
  plan.delay_in_region = Milliseconds(0);
  plan.delay_between_regions = Milliseconds(10);
  return plan;
}

}  // namespace redwing::testing
