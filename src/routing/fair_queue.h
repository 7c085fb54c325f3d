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
// workspaces: each gets its weight's part of the service while it has requests
// waiting, whatever the others send. Demers, Keshav and Shenker 1989.
class FairQueue {
 public:
  using WaiterPtr = std::shared_ptr<SlotWaiter>;

  explicit FairQueue(size_t limit_per_workspace)
      : limit_per_workspace_(limit_per_workspace) {}

  // Adds a waiter to its workspace's queue: those that are late last, the
  // others by the time at which they need their slot, equal ones as they come.
  // Returns false when the queue is full.
  bool Push(WaiterPtr waiter);
  // Returns the first waiter of each workspace, in the order in which they are
  // to be served.
  std::vector<WaiterPtr> Heads() const;
  // Returns all that wait, in no particular order.
  std::vector<WaiterPtr> All() const;
  // Takes a head out that is served now.
  void Serve(const WaiterPtr& head);
  // Takes out a waiter that gave up.
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
