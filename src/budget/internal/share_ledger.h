#ifndef REDWING_BUDGET_INTERNAL_SHARE_LEDGER_H_
#define REDWING_BUDGET_INTERNAL_SHARE_LEDGER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "budget/budget_spec.h"
#include "budget/internal/share_holders.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/channel.h"
#include "framework/kernel/clock.h"

namespace redwing {

class Membership;
class ObjectStore;
class ReplicatedState;
class SteeringConfig;
struct Identity;

// Records which instance owns which share of all budgets, in one store object
// that is written by conditional update and replicated like the configuration.
// A few instances of each region are share owners; the others own no share and
// do not write the object.
//
// An instance that gives up share lowers its local share before it publishes;
// an instance only claims share that is published as free. The share of an
// instance that the platform no longer lists is first marked revoked and
// becomes free kReclaimDelay later. By then its owner has either seen the
// revocation or stopped spending, because it was disconnected from the store
// and a majority for longer than the freshness limit.
class ShareLedger {
 public:
  // Time from revocation until a share is free. Longer than the sum of
  // freshness limit, lease duration and store timeout.
  static constexpr Milliseconds kReclaimDelay{10'000};

  // `inherited_share_delay` is BudgetOptions::inherited_share_delay.
  ShareLedger(boost::asio::io_context& io,
              std::shared_ptr<Identity> identity,
              Milliseconds inherited_share_delay);

  void Attach(std::shared_ptr<ObjectStore> store,
              std::shared_ptr<ReplicatedState> state,
              std::shared_ptr<Membership> membership,
              std::shared_ptr<SteeringConfig> config);
  // Sets the function that returns the largest share of any budget of a scope
  // that is lent or bound by outstanding token grants.
  void SetLentSource(std::function<double(BudgetScope)> source) {
    lent_source_ = std::move(source);
  }
  void Start();
  void Stop() { stopped_ = true; }

  // Returns the share of the budgets of a scope that this instance may spend, 0
  // to 1.
  double OwnShare(BudgetScope scope, TimePoint now) const;

  // Returns the names of the instances that own a share that is not revoked.
  const std::set<std::string>& owners() const { return owners_; }
  bool IsOwner(const std::string& instance) const {
    return owners_.count(instance) > 0;
  }
  // Returns whether this process owns a share, also if it may not spend it yet.
  bool owns() const;

  // Notifies subscribers that this instance's share may have changed.
  Channel<>& on_change() { return on_change_; }

 private:
  void Loop(const Yield& yield);
  void ApplyEntry(const std::string& body);
  // Returns the share owners to publish, given those published now.
  ShareHolders Plan(const ShareHolders& published, TimePoint now);
  // Adjusts this instance's share of a scope towards an equal share.
  void PlanOwn(ShareHolders* holders, BudgetScope scope) const;
  // Marks the shares of absent instances revoked, and frees them kReclaimDelay
  // later.
  void PlanReclaims(ShareHolders* holders, TimePoint now);
  // Lowers the local share as planned and writes the plan to the store. Returns
  // kOk also if the write must wait until lent share expires, kConflict if
  // another instance wrote first, or another error of the store.
  Errc Publish(const ShareHolders& planned, const Yield& yield);
  // Returns whether the lent share exceeds the lowered own share.
  bool LentExceedsLoweredShare() const;

  boost::asio::io_context& io_;
  std::shared_ptr<Identity> identity_;
  Milliseconds inherited_share_delay_;
  TimePoint started_at_;
  std::shared_ptr<ObjectStore> store_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  ShareHolders holders_;
  std::set<std::string> owners_;
  // Lowered own share, in parts, while the change is not yet published.
  std::map<BudgetScope, int64_t> lowered_;
  // Time from which this process may spend the share of a previous process of
  // the same instance.
  TimePoint inherited_usable_at_;
  std::map<std::string, TimePoint> revoked_since_;
  std::map<std::string, TimePoint> missing_since_;
  std::function<double(BudgetScope)> lent_source_;
  std::mt19937_64 random_;
  bool stopped_ = false;
  Channel<> on_change_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_LEDGER_H_
