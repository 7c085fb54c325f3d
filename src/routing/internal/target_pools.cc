#include "routing/internal/target_pools.h"

#include <algorithm>

#include "routing/target_router.h"
#include "steering/steering_document.h"

namespace redwing {

namespace {
constexpr double kFullLoad = 1000;
constexpr double kPercent = 100;
}  // namespace

TargetPool::StatePtr Find(const TargetPools& pools, const Target& target) {
  for (const auto& [name, pool] : pools) {
    TargetPool::StatePtr state = pool.Find(target);
    if (state) {
      return state;
    }
  }
  return nullptr;
}

std::vector<TargetPool::StatePtr> AllStates(const TargetPools& pools) {
  std::vector<TargetPool::StatePtr> states;
  for (const auto& [name, pool] : pools) {
    states.insert(states.end(), pool.targets.begin(), pool.targets.end());
  }
  return states;
}

TargetPool::StatePtr Find(const TargetPools& pools, const TargetStart& target) {
  for (const TargetPool::StatePtr& state : AllStates(pools)) {
    if (TargetStart(state->target().name, state->target().started_at) ==
        target) {
      return state;
    }
  }
  return nullptr;
}

TargetLoadReport ReportOf(const TargetState& state,
                          int waiting,
                          TimePoint now) {
  return {state.hash(),
          static_cast<uint16_t>(state.outstanding()),
          static_cast<uint16_t>(waiting),
          static_cast<uint16_t>(
              std::min<double>(state.slowness() * kPercent, UINT16_MAX)),
          state.Usable(now),
          static_cast<uint32_t>(
              std::min<int64_t>(state.BackoffLeft(now).count(), UINT32_MAX))};
}

std::vector<boost::asio::ip::tcp::endpoint> OpenEndpoints(
    const TargetPools& pools) {
  std::vector<boost::asio::ip::tcp::endpoint> endpoints;
  for (const TargetPool::StatePtr& state : AllStates(pools)) {
    if (!state->closed()) {
      endpoints.push_back(state->endpoint());
    }
  }
  return endpoints;
}

uint16_t LoadPermille(const TargetPools& pools, TimePoint now) {
  int slots = 0;
  int load = 0;
  for (const auto& [name, pool] : pools) {
    slots += pool.UsableSlots(now);
    load += pool.KnownLoad(now);
  }
  if (slots == 0) {
    return 0;
  }
  return static_cast<uint16_t>(std::min(kFullLoad, kFullLoad * load / slots));
}

std::vector<TargetStatus> StatusOf(const TargetPools& pools, TimePoint now) {
  std::vector<TargetStatus> list;
  for (const auto& [name, pool] : pools) {
    for (const TargetPool::StatePtr& state : pool.targets) {
      list.push_back({state->target().name, name, state->target().slots,
                      state->outstanding(), state->closed(),
                      state->Ejected(now), state->latency_ms()});
    }
  }
  return list;
}

void CloseRemovedServices(const SteeringDocument& document,
                          TimePoint now,
                          TargetPools* pools) {
  for (auto& [name, pool] : *pools) {
    if (document.FindService(name) != nullptr) {
      continue;
    }
    for (const TargetPool::StatePtr& state : pool.targets) {
      state->SetClosed(true, now);
    }
  }
}

}  // namespace redwing
