#include "routing/internal/target_pool.h"

#include <algorithm>

#include "framework/log/log.h"
#include "framework/metrics/metrics.h"

namespace redwing {

namespace {

// Returns whether two descriptions belong to the same start of a target.
bool IsSame(const Target& a, const Target& b) {
  return a.name == b.name && a.address == b.address &&
         a.started_at == b.started_at;
}

template <typename Condition>
TargetPool::StatePtr FindIf(const std::vector<TargetPool::StatePtr>& targets,
                            Condition condition) {
  const auto found = std::find_if(
      targets.begin(), targets.end(),
      [&condition](const auto& state) { return condition(state->target()); });
  return found == targets.end() ? nullptr : *found;
}

}  // namespace

TargetPool::StatePtr TargetPool::Find(const std::string& name) const {
  return FindIf(targets,
                [&name](const Target& target) { return target.name == name; });
}

TargetPool::StatePtr TargetPool::Find(const Target& target) const {
  return FindIf(targets, [&target](const Target& known) {
    return IsSame(known, target);
  });
}

TargetPool::StatePtr TargetPool::Update(const Target& listed, TimePoint now) {
  const StatePtr known = Find(listed);
  if (known) {
    known->SetTarget(listed, now);
    return known;
  }
  targets.push_back(std::make_shared<TargetState>(listed, now));
  return targets.back();
}

void TargetPool::KeepListed(const std::vector<Target>& listed) {
  targets.erase(std::remove_if(targets.begin(), targets.end(),
                               [&listed](const StatePtr& state) {
                                 return std::none_of(
                                     listed.begin(), listed.end(),
                                     [&state](const Target& target) {
                                       return IsSame(state->target(), target);
                                     });
                               }),
                targets.end());
}

bool TargetPool::HasUsable(TimePoint now) const {
  return std::any_of(
      targets.begin(), targets.end(),
      [now](const StatePtr& state) { return state->Usable(now); });
}

int TargetPool::UsableSlots(TimePoint now) const {
  int slots = 0;
  for (const StatePtr& state : targets) {
    slots += state->Usable(now) ? state->target().slots : 0;
  }
  return slots;
}

int TargetPool::KnownLoad(TimePoint now) const {
  int load = static_cast<int>(queue.size());
  for (const StatePtr& state : targets) {
    load += state->KnownLoad(now);
  }
  return load;
}

std::vector<TargetState*> TargetPool::Candidates(const SlotRequest& request,
                                                 TimePoint now) const {
  std::vector<TargetState*> preferred;
  std::vector<TargetState*> others;
  for (const StatePtr& state : targets) {
    const std::string& name = state->target().name;
    const bool wanted = request.target.empty() || request.target == name;
    if (!wanted || !state->Available(now) || request.exclude.count(name) > 0) {
      continue;
    }
    const bool avoid =
        state->target().failure_domain == request.avoid_failure_domain;
    (avoid ? others : preferred).push_back(state.get());
  }
  return preferred.empty() ? others : preferred;
}

void TargetPool::ApplyPeerLoad(const std::string& peer,
                               const std::vector<TargetLoadReport>& reports,
                               TimePoint now) {
  for (const StatePtr& state : targets) {
    const auto work = std::find_if(reports.begin(), reports.end(),
                                   [&state](const TargetLoadReport& report) {
                                     return report.target_hash == state->hash();
                                   });
    state->SetPeerLoad(peer, work == reports.end() ? 0 : work->outstanding,
                       now);
  }
}

Milliseconds TargetPool::BackoffLeft(const std::string& name,
                                     TimePoint now) const {
  Milliseconds shortest = Milliseconds::max();
  for (const StatePtr& state : targets) {
    const bool wanted = name.empty() || name == state->target().name;
    if (wanted && !state->closed()) {
      shortest = std::min(shortest, state->BackoffLeft(now));
    }
  }
  return shortest == Milliseconds::max() ? Milliseconds(0) : shortest;
}

void TargetPool::MaybeEject(const StatePtr& state,
                            double max_fraction,
                            Metrics& metrics,
                            TimePoint now) const {
  const auto ejected =
      std::count_if(targets.begin(), targets.end(),
                    [now](const StatePtr& s) { return s->Ejected(now); });
  const double allowed = max_fraction * static_cast<double>(targets.size());
  if (static_cast<double>(ejected + 1) > allowed) {
    return;
  }
  state->Eject(now);
  spdlog::warn("event=target_ejected target={} already_ejected={} of={}",
               state->target().name, ejected, targets.size());
  metrics
      .Get("redwing_target_ejections_total", "Ejections of targets",
           {{"target", state->target().name}})
      .Add();
}

void TargetPool::ForgetFailures() const {
  for (const StatePtr& state : targets) {
    state->ForgetFailures();
  }
}

void TargetPool::RejectAllWaiters() const {
  for (const FairQueue::WaiterPtr& waiter : queue.All()) {
    waiter->rejected = true;
    waiter->timer.cancel();
  }
}

void TargetPool::RejectWaiters(TimePoint now) const {
  for (const FairQueue::WaiterPtr& waiter : queue.All()) {
    const std::string& name = waiter->request.target;
    waiter->rejected = std::none_of(
        targets.begin(), targets.end(), [&name, now](const StatePtr& state) {
          return (name.empty() || name == state->target().name) &&
                 state->TakesRequests(now);
        });
    if (waiter->rejected) {
      waiter->timer.cancel();
    }
  }
}

}  // namespace redwing
