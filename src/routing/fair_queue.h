#ifndef REDWING_ROUTING_FAIR_QUEUE_H_
#define REDWING_ROUTING_FAIR_QUEUE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/slot_waiter.h"

namespace redwing {

// Requests waiting for a slot, served by weighted fair queueing over
// workspaces: while a workspace has waiting requests, its fraction of the
// service follows its weight, whatever load the others send. Demers, Keshav and
// Shenker 1989.
class FairQueue {
 public:
  using WaiterPtr = std::shared_ptr<SlotWaiter>;

  explicit FairQueue(size_t limit_per_workspace)
      : limit_per_workspace_(limit_per_workspace) {}

  // Adds a waiter to its workspace's queue, ordered by the time by which it
  // needs its slot; late requests come last, and equal ones are served in order
  // of arrival. Returns false if the workspace's queue is full.
  bool Push(WaiterPtr waiter);
  // Returns the first waiter of each workspace, in the order in which they are
  // to be served.
  std::vector<WaiterPtr> Heads() const;
  // Returns all waiters, in no particular order.
  std::vector<WaiterPtr> All() const;
  // Removes a head of a workspace's queue that is served now, and charges the
  // service to its workspace.
  void Serve(const WaiterPtr& head);
  // Removes a waiter that gave up before it was served.
  void Remove(const WaiterPtr& waiter);

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct Flow {
    std::deque<WaiterPtr> waiters;
    double weight = 1;
    // Virtual time at which the flow's first request finishes.
    double finish = 0;
  };

  size_t limit_per_workspace_;
  std::map<std::string, Flow> flows_;
  double virtual_time_ = 0;
  size_t size_ = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_FAIR_QUEUE_H_
