#ifndef REDWING_ROUTING_INTERNAL_LOCAL_TARGET_ROUTER_H_
#define REDWING_ROUTING_INTERNAL_LOCAL_TARGET_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "framework/kernel/periodic_task.h"
#include "routing/internal/health_poller.h"
#include "routing/internal/link_checker.h"
#include "routing/internal/target_notices.h"
#include "routing/internal/target_pools.h"
#include "routing/internal/target_rate_share.h"
#include "routing/target_choice.h"
#include "routing/target_router.h"
#include "routing/target_router_options.h"

namespace redwing {

class Membership;
class Metrics;
class SteeringConfig;
class TargetLeaders;
struct Heartbeat;
struct Identity;
struct Member;

// TargetRouter for the targets that the steering document assigns to this
// instance's region.
class LocalTargetRouter : public TargetRouter {
 public:
  LocalTargetRouter(boost::asio::io_context& io,
                    SocketRegistry& sockets,
                    Metrics& metrics,
                    std::shared_ptr<Identity> identity,
                    std::unique_ptr<TargetChoice> choice,
                    TargetRouterOptions options);
  ~LocalTargetRouter() override;

  // `leaders` is null if several instances send requests to a target.
  void Attach(std::shared_ptr<Membership> membership,
              std::shared_ptr<SteeringConfig> config,
              std::shared_ptr<TargetLeaders> leaders);
  void Start();
  void Stop();

  Result<TargetLease> AcquireSlot(const SlotRequest& request,
                                  const Yield& yield) override;
  void RecordDeparture(const TargetStart& target,
                       std::string_view name,
                       std::string_view request_id) override;
  void RecordBackoff(const Target& target,
                     Milliseconds asked,
                     std::string_view request_id) override;
  void RecordRateLimit(const Target& target,
                       double rate,
                       std::string_view request_id) override;
  bool HasUsableTarget(std::string_view service) const override;
  Milliseconds TypicalRunTime(const std::string& service) const override;
  uint16_t LoadPermille() const override;
  std::vector<std::string> RegionsOf(std::string_view service) const override;
  std::vector<TargetStatus> Status() const override;

  // Returns the state of a target of this instance's region; null if there is
  // none.
  const TargetState* FindTarget(const Target& target) const;
  // Returns the number of requests that wait here for a target.
  int WaitingFor(const std::string& target) const;
  // Returns the time until the target's rate limit admits one more request
  // behind those that wait here.
  Milliseconds RateLimitWait(const TargetState& state, TimePoint now) const;
  // Returns the run times of a service, learned from requests that this
  // instance sent.
  ServiceTimes TimesOf(const std::string& service) const;
  // Adds the state of the targets for which `is_own` returns true, and of those
  // with requests in flight from here, to a heartbeat.
  void ReportTargets(const std::function<bool(const Target&)>& is_own,
                     Heartbeat* heartbeat) const;
  // Returns whether a target of any region is to get no new requests.
  bool IsClosed(const Target& target) const {
    return notices_.IsClosed(target);
  }
  // Returns whether a target of any region named a rate limit.
  bool IsRateLimited(const Target& target) const {
    return notices_.RateLimitOf(target) != kNoRateLimit;
  }
  // Notifies that a target's departure was received in a response or from
  // another instance, or that this instance lost or regained its links to
  // targets.
  Channel<>& on_change() { return on_change_; }

 private:
  using StatePtr = TargetPool::StatePtr;

  void ApplyConfig();
  void ApplyPeerLoad(const Member& member, const Heartbeat& heartbeat);
  // Closes targets whose departure was reported.
  void CloseDeparted();
  // Applies the known rate limits to the targets.
  void ApplyRateLimits();
  // Recomputes this instance's fractions of the targets' rates, if the fleet
  // has changed.
  void UpdateRateShares();
  // Applies that the links to targets were lost or are back.
  void ApplyLinks();
  // Adds what targets reported in responses to a heartbeat.
  void AnnounceNotices(Heartbeat* heartbeat);
  StatePtr TryChoose(TargetPool& pool,
                     const SlotRequest& request,
                     TimePoint now);
  Result<TargetLease> WaitForSlot(TargetPool& pool,
                                  const FairQueue::WaiterPtr& waiter,
                                  const Yield& yield);
  TargetLease MakeLease(const StatePtr& state, const SlotRequest& request);
  // Returns the expected wait of a new request for a slot of a target.
  Milliseconds ExpectedWait(const TargetPool& pool,
                            const std::string& target) const;
  void EndAttempt(const std::string& service,
                  const StatePtr& state,
                  AttemptOutcome outcome,
                  Milliseconds latency,
                  bool warm);
  // Assigns free slots to waiting requests whose tokens suffice.
  void ServeWaiters(TargetPool& pool, TimePoint now);
  // Serves the first workspace that can be served. Returns whether there was
  // one.
  bool ServeNext(TargetPool& pool, TimePoint now);
  bool TryServe(TargetPool& pool,
                const FairQueue::WaiterPtr& head,
                TimePoint now);
  void ServeAllWaiters();

  boost::asio::io_context& io_;
  Metrics& metrics_;
  std::shared_ptr<Identity> identity_;
  std::unique_ptr<TargetChoice> choice_;
  TargetRouterOptions options_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  TargetPools pools_;
  TargetNotices notices_;
  Channel<> on_change_;
  // Number of requests that wait for one target only, by name of the target.
  std::map<std::string, int> waiting_for_;
  std::mt19937_64 random_;
  // Runs while requests wait for a slot.
  PeriodicTask wake_;
  bool waking_ = false;
  LinkChecker links_;
  std::shared_ptr<TargetLeaders> leaders_;
  TargetRateShare rate_share_;
  bool rate_shares_stale_ = true;
  HealthPoller health_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_LOCAL_TARGET_ROUTER_H_
