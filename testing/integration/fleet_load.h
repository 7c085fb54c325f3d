#ifndef REDWING_TESTING_INTEGRATION_FLEET_LOAD_H_
#define REDWING_TESTING_INTEGRATION_FLEET_LOAD_H_

#include <nlohmann/json.hpp>
#include <string>

namespace redwing::testing {

// Large answers, bodies that must run once, and requests with a key.
inline nlohmann::json MixedRequests() {
  return {{{"service", "svc"}, {"path", "/x"}, {"response_bytes", 20'000}},
          {{"service", "svc"},
           {"path", "/x"},
           {"method", "POST"},
           {"body_bytes", 3000},
           {"once", true}},
          {{"service", "svc"},
           {"path", "/x"},
           {"method", "POST"},
           {"body_bytes", 300},
           {"keyed", true}}};
}

// Settings of redwing-load: `rate` requests a second by callers of the first
// regions of a SmallPlan().
inline nlohmann::json FleetLoad(
    const std::string& key,
    int regions,
    double rate,
    int duration_ms,
    const nlohmann::json& requests = MixedRequests()) {
  nlohmann::json groups = nlohmann::json::array();
  for (int region = 1; region <= regions; ++region) {
    groups.push_back({{"name", "g" + std::to_string(region)},
                      {"key", key},
                      {"region", "r" + std::to_string(region)},
                      {"rate_per_s", rate / regions},
                      {"requests", requests}});
  }
  return {{"duration_ms", duration_ms},
          {"timeout_ms", 4000},
          {"max_tries", 6},
          {"groups", groups}};
}

}  // namespace redwing::testing

#endif  // REDWING_TESTING_INTEGRATION_FLEET_LOAD_H_
