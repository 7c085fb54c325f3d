#include "routing/fair_queue.h"

#include <algorithm>

namespace redwing {

bool FairQueue::Push(WaiterPtr waiter) {
  Flow& flow = flows_[waiter->request.workspace];
  if (flow.waiters.size() >= limit_per_workspace_) {
    return false;
  }
  flow.weight = waiter->request.weight;
  if (flow.waiters.empty()) {
    flow.finish = std::max(flow.finish, virtual_time_) + 1 / flow.weight;
  }
  flow.waiters.push_back(std::move(waiter));
  ++size_;
  return true;
}

FairQueue::WaiterPtr FairQueue::Front() const {
  const Flow* const next = NextFlow();
  return next == nullptr ? nullptr : next->waiters.front();
}

void FairQueue::PopFront() {
  Flow* const next = const_cast<Flow*>(NextFlow());
  if (next == nullptr) {
    return;
  }
  next->waiters.pop_front();
  --size_;
  virtual_time_ = std::max(virtual_time_, next->finish - 1 / next->weight);
  next->finish += 1 / next->weight;
}

void FairQueue::Remove(const WaiterPtr& waiter) {
  std::deque<WaiterPtr>& waiters = flows_[waiter->request.workspace].waiters;
  const auto place = std::find(waiters.begin(), waiters.end(), waiter);
  if (place != waiters.end()) {
    waiters.erase(place);
    --size_;
  }
}

const FairQueue::Flow* FairQueue::NextFlow() const {
  const Flow* next = nullptr;
  for (const auto& [workspace, flow] : flows_) {
    if (!flow.waiters.empty() &&
        (next == nullptr || flow.finish < next->finish)) {
      next = &flow;
    }
  }
  return next;
}

}  // namespace redwing
