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

// Who owns which part of all budgets, agreed on through one object of the
// store that changes by conditional update and spreads like the configuration.
// A few instances of each region own one; the others neither hold nor write
// anything.
//
// A giver lowers its own share before it publishes; a taker takes only what is
// published as free. The share of an instance that the platform no longer
// lists is first marked revoked; it becomes free kReclaimDelay later. By then
// its holder has either learned of it or, having been out of touch with the
// store and a majority for the whole freshness limit, spends nothing.
class ShareLedger {
 public:
  // Longer than freshness limit, lease duration and store timeout together.
  static constexpr Milliseconds kReclaimDelay{10'000};

  // `inherit_delay`: see BudgetOptions.
  ShareLedger(boost::asio::io_context& io,
              std::shared_ptr<Identity> identity,
              Milliseconds inherit_delay);

  void Attach(std::shared_ptr<ObjectStore> store,
              std::shared_ptr<ReplicatedState> state,
              std::shared_ptr<Membership> membership,
              std::shared_ptr<SteeringConfig> config);
  // Sets where to learn the largest share lent of any budget of a scope.
  void SetLentSource(std::function<double(BudgetScope)> source) {
    lent_source_ = std::move(source);
  }
  void Start();
  void Stop() { stopped_ = true; }

  // Part of the budgets of a scope that this instance may spend, 0 to 1.
  double OwnShare(BudgetScope scope, TimePoint now) const;

  // Names of the instances that own a share.
  const std::set<std::string>& owners() const { return owners_; }
  bool IsOwner(const std::string& instance) const {
    return owners_.count(instance) > 0;
  }
  // Returns whether this process owns one, from which it spends or soon will.
  bool owns() const;

  // Tells that the own share may have changed.
  Channel<>& on_change() { return on_change_; }

 private:
  void Loop(const Yield& yield);
  void ApplyEntry(const std::string& body);
  // Returns the holders as they should be, given those published.
  ShareHolders Plan(const ShareHolders& published, TimePoint now);
  void PlanOwn(ShareHolders* holders, BudgetScope scope) const;
  void PlanReclaims(ShareHolders* holders, TimePoint now);
  Errc Publish(const ShareHolders& planned, const Yield& yield);
  // Returns whether more is lent than would remain of the own share.
  bool LentExceedsLoweredShare() const;

  boost::asio::io_context& io_;
  std::shared_ptr<Identity> identity_;
  Milliseconds inherit_delay_;
  TimePoint started_at_;
  std::shared_ptr<ObjectStore> store_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  ShareHolders holders_;
  std::set<std::string> owners_;
  // Own share after lowering, while the lowering is not yet published.
  std::map<BudgetScope, int64_t> lowered_;
  // What a former process of this instance held is spent from then on.
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
