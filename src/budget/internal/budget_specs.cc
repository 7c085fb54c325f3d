#include "budget/budget_specs.h"

#include <algorithm>

#include "budget/budget_options.h"
#include "steering/steering_document.h"

namespace redwing {

namespace {

// Fraction of a link's cap for requests and responses; the rest is for packet
// headers and the fleet's own messages.
constexpr double kLinkUsableFraction = 0.92;
// Burst of a link, as the time it takes at the cap. Usable fraction plus burst
// stay below the cap over any second.
constexpr double kLinkBurstSeconds = 0.05;
constexpr double kMinLinkBurst = 32 * 1024;  // bytes
// Maximum fraction of a burst by which `spread` reduces it.
constexpr double kMaxRoomFraction = 0.5;
// The reduction leaves at least this burst, in requests: a bucket must hold
// more than one request.
constexpr double kMinBurst = 2;

// Returns the admitted burst with which requests stay within rate and burst at
// their targets, where their gaps may have shrunk by up to `spread`.
double AdmittedBurst(double rate, double burst, Milliseconds spread) {
  const double room =
      std::min(rate * ToSeconds(spread), burst * kMaxRoomFraction);
  return std::max(burst - room, std::min(burst, kMinBurst));
}

}  // namespace

std::vector<BudgetSpec> BudgetSpecsOf(const SteeringDocument& document,
                                      const std::string& own_region,
                                      const BudgetOptions& options) {
  const Milliseconds spread = options.arrival_spread;
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
