#ifndef REDWING_CONFIG_INTERNAL_SERVE_STALE_FRESHNESS_H_
#define REDWING_CONFIG_INTERNAL_SERVE_STALE_FRESHNESS_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "config/freshness.h"
#include "config/internal/pause_guard.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {

class Membership;
class StateFeed;

// Implements FreshnessPolicy::kServeStale: an instance that is not connected to
// the store and peers continues with its last known state. After a pause of the
// process, the state must first be confirmed by the store or a peer if one is
// reachable.
class ServeStaleFreshness : public Freshness {
 public:
  ServeStaleFreshness(boost::asio::io_context& io,
                      std::shared_ptr<StateFeed> feed);

  void Attach(std::shared_ptr<Membership> membership);
  void Start() { running_task_.Start(); }
  void Stop() { running_task_.Stop(); }

  bool IsFresh(TimePoint now) const override;

 private:
  // Returns the time at which the state was last in sync with the store or a
  // peer. The clock's epoch if it never was.
  TimePoint ConfirmedAt() const;

  std::shared_ptr<StateFeed> feed_;
  std::shared_ptr<Membership> membership_;
  // Updated on requests too: after a pause, requests that arrived during it may
  // be read before any timer runs.
  mutable PauseGuard guard_;
  PeriodicTask running_task_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_SERVE_STALE_FRESHNESS_H_
