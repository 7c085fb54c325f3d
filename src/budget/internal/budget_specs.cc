#include "budget/budget_specs.h"

#include <algorithm>

#include "budget/budget_options.h"
#include "steering/steering_document.h"

namespace redwing {

namespace {

// Part of a link's cap that requests and answers may use; the rest is left to
// packet headers and to what the fleet itself sends.
constexpr double kLinkUsableFraction = 0.92;
// Links may burst for this long. Over any second, usable part and burst stay
// below the cap.
constexpr double kLinkBurstSeconds = 0.05;
constexpr double kMinLinkBurst = 32 * 1024;  // bytes
// Room for passage takes no more than this part of a burst.
constexpr double kMaxRoomFraction = 0.5;
// A burst of at least this is left: a bucket must hold more than one request.
constexpr double kMinBurst = 2;

// Returns the burst at which requests are admitted so that they keep to rate
// and burst where they arrive, up to `spread` closer together.
double AdmittedBurst(double rate, double burst, Milliseconds spread) {
  const double room =
      std::min(rate * ToSeconds(spread), burst * kMaxRoomFraction);
  return std::max(burst - room, std::min(burst, kMinBurst));
}

}  // namespace

std::vector<BudgetSpec> BudgetSpecsOf(const SteeringDocument& document,
                                      const std::string& own_region,
                                      const BudgetOptions& options) {
  const Milliseconds spread = options.passage_spread;
  std::vector<BudgetSpec> specs;
  for (const auto& [name, workspace] : document.workspaces()) {
    if (workspace.rate > 0) {
      specs.push_back({WorkspaceBudgetName(name), BudgetScope::kFleet,
                       workspace.rate,
                       AdmittedBurst(workspace.rate, workspace.burst, spread) +
                           options.burst_tolerance});
    }
  }
  const Region* const region = document.FindRegion(own_region);
  if (region != nullptr && region->rate > 0) {
    specs.push_back({RegionBudgetName(own_region), BudgetScope::kRegion,
                     region->rate,
                     AdmittedBurst(region->rate, region->burst, spread)});
  }
  for (const Link& link : document.links()) {
    if (link.from == own_region) {
      specs.push_back({LinkBudgetName(link.from, link.to), BudgetScope::kRegion,
                       link.cap * kLinkUsableFraction,
                       std::max(kMinLinkBurst, link.cap * kLinkBurstSeconds)});
    }
  }
  return specs;
}

}  // namespace redwing
