#include "routing/fair_queue.h"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {
bool IsMoreUrgent(const FairQueue::WaiterPtr& a,
                  const FairQueue::WaiterPtr& b) {
  return std::make_pair(a->request.late, a->request.start_by) <
         std::make_pair(b->request.late, b->request.start_by);
}
}  // namespace

bool FairQueue::Push(WaiterPtr waiter) {
  Flow& flow = flows_[waiter->request.workspace];
  if (flow.waiters.size() >= limit_per_workspace_) {
    return false;
  }
  flow.weight = waiter->request.weight;
  if (flow.waiters.empty()) {
    flow.finish = std::max(flow.finish, virtual_time_) + 1 / flow.weight;
  }
  const auto position = std::upper_bound(
      flow.waiters.begin(), flow.waiters.end(), waiter, &IsMoreUrgent);
  flow.waiters.insert(position, std::move(waiter));
  ++size_;
  return true;
}

std::vector<FairQueue::WaiterPtr> FairQueue::Heads() const {
  std::vector<const Flow*> waiting;
  for (const auto& [workspace, flow] : flows_) {
    if (!flow.waiters.empty()) {
      waiting.push_back(&flow);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const Flow* a, const Flow* b) {
                     const bool a_late = a->waiters.front()->request.late;
                     const bool b_late = b->waiters.front()->request.late;
                     return std::make_pair(a_late, a->finish) <
                            std::make_pair(b_late, b->finish);
                   });
  std::vector<WaiterPtr> heads;
  heads.reserve(waiting.size());
  for (const Flow* const flow : waiting) {
    heads.push_back(flow->waiters.front());
  }
  return heads;
}

std::vector<FairQueue::WaiterPtr> FairQueue::All() const {
  std::vector<WaiterPtr> all;
  all.reserve(size_);
  for (const auto& [workspace, flow] : flows_) {
    all.insert(all.end(), flow.waiters.begin(), flow.waiters.end());
  }
  return all;
}

void FairQueue::Serve(const WaiterPtr& head) {
  Flow& flow = flows_.at(head->request.workspace);
  flow.waiters.pop_front();
  --size_;
  virtual_time_ = std::max(virtual_time_, flow.finish - 1 / flow.weight);
  flow.finish += 1 / flow.weight;
}

void FairQueue::Remove(const WaiterPtr& waiter) {
  std::deque<WaiterPtr>& waiters = flows_[waiter->request.workspace].waiters;
  const auto position = std::find(waiters.begin(), waiters.end(), waiter);
  if (position != waiters.end()) {
    waiters.erase(position);
    --size_;
  }
}

}  // namespace redwing
