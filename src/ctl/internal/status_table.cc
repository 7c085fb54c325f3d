#include "ctl/status_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace redwing {

namespace {

using nlohmann::json;

// Sums of one budget over all instances.
struct BudgetSum {
  double rate = 0;
  double burst = 0;
  double own = 0;
  double lent = 0;
  double borrowed = 0;
  double tokens = 0;
  double demand = 0;
  double spent = 0;
  double refused = 0;
};

std::string InstanceTable(const json& instances) {
  std::string text =
      fmt::format("{:<28}{:<14}{:>6}{:>7}{:>9}{:>7}\n", "instance", "region",
                  "ready", "fresh", "leaving", "load");
  for (const json& instance : instances) {
    if (instance.contains("unreachable")) {
      text += fmt::format(
          "{:<28}{:<14}unreachable: {}\n", instance.value("instance", ""),
          instance.value("region", ""), instance.value("unreachable", ""));
      continue;
    }
    text += fmt::format("{:<28}{:<14}{:>6}{:>7}{:>9}{:>6.1f}%\n",
                        instance.value("instance", ""),
                        instance.value("region", ""),
                        instance.value("ready", false) ? "yes" : "no",
                        instance.value("fresh", false) ? "yes" : "no",
                        instance.value("leaving", false) ? "yes" : "no",
                        instance.value("load_permille", 0) / 10.0);
  }
  return text;
}

std::string RevisionTable(const json& instances) {
  std::map<std::string, std::map<uint64_t, int>> counts;
  for (const json& instance : instances) {
    if (!instance.contains("revisions")) {
      continue;
    }
    const json& revisions = instance.at("revisions");
    for (auto item = revisions.begin(); item != revisions.end(); ++item) {
      ++counts[item.key()][item->get<uint64_t>()];
    }
  }
  std::string text =
      fmt::format("\n{:<28}{}\n", "entry", "revisions in force (instances)");
  for (const auto& [name, by_revision] : counts) {
    text += fmt::format("{:<28}", name);
    for (const auto& [revision, count] : by_revision) {
      text += fmt::format("{} ({})  ", revision, count);
    }
    text += "\n";
  }
  return text;
}

std::map<std::string, BudgetSum> SumBudgets(const json& instances) {
  std::map<std::string, BudgetSum> sums;
  for (const json& instance : instances) {
    if (!instance.contains("budgets")) {
      continue;
    }
    for (const json& budget : instance.at("budgets")) {
      BudgetSum& sum = sums[budget.value("name", "")];
      sum.rate = budget.value("rate", 0.0);
      sum.burst = budget.value("burst", 0.0);
      sum.own += budget.value("own_share", 0.0);
      sum.lent += budget.value("lent_share", 0.0);
      sum.borrowed += budget.value("borrowed_share", 0.0);
      sum.tokens += budget.value("tokens", 0.0);
      sum.demand += budget.value("demand", 0.0);
      sum.spent += budget.value("spent", 0.0);
      sum.refused += budget.value("refused", 0.0);
    }
  }
  return sums;
}

std::string BudgetTable(const std::map<std::string, BudgetSum>& sums) {
  std::string text = fmt::format(
      "\n{:<30}{:>12}{:>10}{:>7}{:>7}{:>9}{:>11}{:>12}{:>12}{:>10}\n", "budget",
      "rate/s", "burst", "own", "lent", "borrowed", "tokens", "demand/s",
      "spent", "refused");
  for (const auto& [name, sum] : sums) {
    text += fmt::format(
        "{:<30}{:>12.0f}{:>10.0f}{:>7.3f}{:>7.3f}{:>9.3f}{:>11.1f}{:>12.1f}"
        "{:>12.0f}{:>10.0f}\n",
        name, sum.rate, sum.burst, sum.own, sum.lent, sum.borrowed, sum.tokens,
        sum.demand, sum.spent, sum.refused);
  }
  return text;
}

std::string WorstServed(const std::map<std::string, BudgetSum>& sums) {
  constexpr std::string_view kPrefix = "workspace/";
  std::string worst;
  double worst_part = 1;
  for (const auto& [name, sum] : sums) {
    const double asked = sum.spent + sum.refused;
    const bool workspace = name.compare(0, kPrefix.size(), kPrefix) == 0;
    if (workspace && asked > 0 && sum.spent / asked < worst_part) {
      worst_part = sum.spent / asked;
      worst = name.substr(kPrefix.size());
    }
  }
  return worst.empty()
             ? "\nno workspace was refused anything\n"
             : fmt::format("\nworst served workspace: {}, {:.2f}% admitted\n",
                           worst, worst_part * 100);
}

std::string IdleTargets(const json& instances) {
  std::string text;
  for (const json& instance : instances) {
    if (!instance.contains("targets")) {
      continue;
    }
    for (const json& target : instance.at("targets")) {
      const bool closed = target.value("closed", false);
      if (closed || target.value("ejected", false)) {
        text += fmt::format("target {} takes no work from {}: {}\n",
                            target.value("name", ""),
                            instance.value("instance", ""),
                            closed ? "leaving or drained" : "ejected");
      }
    }
  }
  return text;
}

}  // namespace

std::string StatusTable(const json& status) {
  const json& instances = status.at("instances");
  const std::map<std::string, BudgetSum> sums = SumBudgets(instances);
  return InstanceTable(instances) + RevisionTable(instances) +
         BudgetTable(sums) + WorstServed(sums) + IdleTargets(instances);
}

}  // namespace redwing
