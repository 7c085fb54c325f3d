#ifndef REDWING_TESTING_INTEGRATION_FLEET_CHECKS_H_
#define REDWING_TESTING_INTEGRATION_FLEET_CHECKS_H_

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace redwing::testing {

// Checks a report of redwing-load, joined with what targets ran: nothing was
// doubled, lost, crossed or damaged, no "not run" was false, no target saw a
// key.
inline void CheckSound(const nlohmann::json& report) {
  const nlohmann::json& joined = report.at("joined");
  CAPTURE(report.at("all").dump(), joined.dump());
  CHECK(report.at("all").at("sent") > 100);
  CHECK(joined.at("doubled") == 0);
  CHECK(joined.at("lost") == 0);
  CHECK(joined.at("false_not_run") == 0);
  CHECK(joined.at("keys_seen_by_targets") == 0);
  const nlohmann::json& errors = report.at("all").at("errors");
  for (const char* never : {"crossed/ran", "damaged/ran"}) {
    CHECK_FALSE(errors.contains(never));
  }
}

// Part of the requests that were answered.
inline double PartOk(const nlohmann::json& report) {
  return report.at("all").at("ok").get<double>() /
         report.at("all").at("sent").get<double>();
}

}  // namespace redwing::testing

#endif  // REDWING_TESTING_INTEGRATION_FLEET_CHECKS_H_
