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

// FreshnessPolicy::kServeOn: an instance out of touch goes on with what it
// knows. After a pause of the process it first hears from the store or a peer,
// if any of them can be reached.
class ServeStaleFreshness : public Freshness {
 public:
  ServeStaleFreshness(boost::asio::io_context& io,
                      std::shared_ptr<StateFeed> feed);

  void Attach(std::shared_ptr<Membership> membership);
  void Start() { running_task_.Start(); }
  void Stop() { running_task_.Stop(); }

  bool IsFresh(TimePoint now) const override;

 private:
  // Returns when the state was last as new as the store's or a peer's.
  TimePoint ConfirmedAt() const;

  std::shared_ptr<StateFeed> feed_;
  std::shared_ptr<Membership> membership_;
  // Requests that came in during a pause may be read before any timer runs.
  mutable PauseGuard guard_;
  PeriodicTask running_task_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_SERVE_STALE_FRESHNESS_H_
