#ifndef REDWING_BUDGET_INTERNAL_BUDGET_ACCOUNT_H_
#define REDWING_BUDGET_INTERNAL_BUDGET_ACCOUNT_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "budget/charge.h"
#include "budget/demand_meter.h"
#include "budget/granted_tokens.h"
#include "budget/remote_backlog.h"
#include "budget/share_bucket.h"
#include "framework/errors/failure.h"
#include "framework/kernel/timer.h"
#include "framework/log/line_limiter.h"

namespace redwing {

// Shortest retry delay that a rejected request receives.
inline constexpr Milliseconds kMinRetryAfter{10};

// Limit, per second and per burst, of log lines about rejections of one budget.
inline constexpr double kRefusalLinesPerSecond = 10;

// Request that waits for tokens.
struct TokenWaiter {
  TokenWaiter(boost::asio::io_context& io, double wanted, bool is_pacing)
      : timer(io), amount(wanted), pacing(is_pacing) {}

  Timer timer;
  double amount;
  // Whether the tokens are for a transfer that has begun.
  bool pacing;
  bool granted = false;
};

// State of one budget on this instance: bucket, demand and waiting requests.
struct BudgetAccount {
  BudgetAccount(const BudgetSpec& spec, TimePoint now) : bucket(spec, now) {}

  ShareBucket bucket;
  // Whether this instance is the budget holder of its region, as of the last
  // check. Other instances need no share for this budget.
  bool is_holder = true;
  DemandMeter demand;
  std::deque<std::shared_ptr<TokenWaiter>> waiters;
  double waiting_amount = 0;
  // Amount reserved by requests that are charged when they get a target slot.
  double reserved_amount = 0;
  // Largest single amount requested since the budget was last idle.
  double largest_amount = 0;
  TimePoint last_used;
  // Tokens that share owners granted to this instance.
  GrantedTokens granted_tokens;
  // Demand not yet reported to a budget holder.
  double unreported_demand = 0;
  // Earliest time of the next token request to the budget holder.
  TimePoint next_request_at;
  // Time at which the budget holder expects to have enough tokens.
  TimePoint tokens_expected_at;
  // Unmet token requests of other instances, and their most recent sum.
  RemoteBacklog remote;
  double remote_backlog = 0;
  // Budget holders that did not respond, and the time until which they are
  // skipped.
  std::map<std::string, TimePoint> unresponsive_until;
  // Peers that had no share to lend, and the time until which they are skipped.
  std::map<std::string, TimePoint> refused_until;
  // Time since which no peer has had a share to lend; max() if one may have.
  TimePoint no_lender_since = TimePoint::max();
  double spent = 0;
  double refused = 0;
  // Limits the log lines about rejections; `refused` counts all of them.
  LineLimiter refusal_lines{kRefusalLinesPerSecond, kRefusalLinesPerSecond};

  // Records a request for tokens in the demand.
  void AddDemand(double amount, TimePoint now);
  // Returns the demand to report to the budget holder and resets it. Excludes
  // old demand that was served locally, which the budget holder would mistake
  // for a current burst.
  double TakeUnreportedDemand();
  // Returns whether enough tokens are available and no request waits for them.
  bool CanSpend(double amount, TimePoint now);
  // Returns the number of tokens that may be spent now, held or granted.
  double Available(TimePoint now);
  // Spends tokens, granted ones first, if there are enough. Returns whether
  // they were spent.
  bool TrySpend(double amount, TimePoint now);
  // Grants tokens to waiting requests in order until one lacks tokens.
  void GrantWaiters(TimePoint now);
  // Counts a rejection and returns it, with a retry delay.
  Failure Refuse(const Charge& charge, TimePoint now);
  // Logs the state of the budget at a rejection, at a limited rate.
  void LogRefusal(std::string_view budget,
                  Milliseconds retry_after,
                  TimePoint now);
  // Returns the rate, in units per second, that covers the demand and clears
  // the backlog.
  double NeededRate() const;
  // Returns whether the tokens held cover the backlog and the demand of the
  // near future.
  bool HasReserve() const;
  // Returns the share of the budget that provides NeededRate(), at most 1; 0 if
  // this instance is not the budget holder or the budget is idle.
  double NeededShare() const;
};

// Accounts by budget name. Accounts are never removed, so references to them
// stay valid.
using AccountMap = std::map<std::string, BudgetAccount, std::less<>>;

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_BUDGET_ACCOUNT_H_
