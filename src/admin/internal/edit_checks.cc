#include "admin/internal/edit_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "budget/budget_spec.h"
#include "steering/steering_document.h"

namespace redwing {

namespace {

using nlohmann::json;

// Adds up what all instances ask of each budget, units a second.
std::map<std::string, double> DemandByBudget(const json& status) {
  std::map<std::string, double> demand;
  for (const json& instance : status) {
    if (!instance.contains("budgets")) {
      continue;
    }
    for (const json& budget : instance.at("budgets")) {
      demand[budget.value("name", "")] += budget.value("demand", 0.0);
    }
  }
  return demand;
}

}  // namespace

std::vector<std::string> FindStrandedServices(
    const std::vector<Section>& sections,
    const Drains& drains) {
  std::vector<std::string> problems;
  for (const Section& section : sections) {
    for (const Service& service : section.services) {
      const bool served = std::any_of(
          service.targets.begin(), service.targets.end(),
          [&drains](const Target& target) {
            return drains.targets.count(target.name) == 0 &&
                   drains.regions.count(target.region) == 0 &&
                   drains.failure_domains.count(target.failure_domain) == 0;
          });
      if (!served) {
        problems.push_back(fmt::format(
            "service \"{}\" would have no target left", service.name));
      }
    }
  }
  return problems;
}

std::vector<std::string> FindExceededLimits(
    const std::vector<Section>& sections,
    const json& status) {
  std::map<std::string, double> demand = DemandByBudget(status);
  std::vector<std::string> problems;
  const auto check = [&](const std::string& budget, double limit) {
    if (demand[budget] > limit) {
      problems.push_back(fmt::format(
          "{}: {:.1f} a second are asked for now, the limit would be {:.1f}",
          budget, demand[budget], limit));
    }
  };
  for (const Section& section : sections) {
    for (const Region& region : section.regions) {
      check(RegionBudgetName(region.name), region.rate);
    }
    for (const Link& link : section.links) {
      check(LinkBudgetName(link.from, link.to), link.cap);
    }
  }
  return problems;
}

}  // namespace redwing
