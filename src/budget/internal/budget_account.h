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

// Shortest time after which a refused request is told to come back.
inline constexpr Milliseconds kMinRetryAfter{10};

// Lines a second, and at once, on the refusals of one budget.
inline constexpr double kRefusalLinesPerSecond = 10;

// A request waiting for tokens.
struct TokenWaiter {
  TokenWaiter(boost::asio::io_context& io, double wanted, bool is_pacing)
      : timer(io), amount(wanted), pacing(is_pacing) {}

  Timer timer;
  double amount;
  // Part of a transfer that has begun.
  bool pacing;
  bool granted = false;
};

// One budget on this instance: its bucket, its demand, its queue.
struct BudgetAccount {
  BudgetAccount(const BudgetSpec& spec, TimePoint now) : bucket(spec, now) {}

  ShareBucket bucket;
  // Whether this instance holds the budget for its region, as of the last tick;
  // else it needs no share of its own.
  bool is_holder = true;
  DemandMeter demand;
  std::deque<std::shared_ptr<TokenWaiter>> waiters;
  double waiting_amount = 0;
  // Announced by requests that pay when they get a slot.
  double reserved_amount = 0;
  // Largest single amount asked for lately.
  double largest_amount = 0;
  TimePoint last_used;
  // Tokens drawn from owners of a share.
  GrantedTokens granted_tokens;
  // Demand of which no owner was told yet.
  double unreported_demand = 0;
  // Not before then is the holder asked again, and then it expects to have
  // tokens.
  TimePoint next_request_at;
  TimePoint tokens_expected_at;
  // What other instances ask for in vain, and its sum as of the last tick.
  RemoteBacklog remote;
  double remote_backlog = 0;
  // Holders that did not answer, and until when they are passed over.
  std::map<std::string, TimePoint> unresponsive_until;
  // Peers that had nothing to lend, and until when they are not asked again.
  std::map<std::string, TimePoint> refused_until;
  // Since when no peer had anything to lend.
  TimePoint no_lender_since = TimePoint::max();
  double spent = 0;
  double refused = 0;
  // Of the lines on refusals: their number tells the rest.
  LineLimiter refusal_lines{kRefusalLinesPerSecond, kRefusalLinesPerSecond};

  // Takes a request for tokens into the demand.
  void AddDemand(double amount, TimePoint now);
  // Returns the demand to tell the holder of, once: none that is long past and
  // was served from here, which would look like a burst of now.
  double TakeUnreportedDemand();
  // Returns whether the tokens are there and nobody has waited for them.
  bool CanSpend(double amount, TimePoint now);
  // What may be spent now.
  double Available(TimePoint now);
  // Spends tokens, drawn ones first, if there are enough.
  bool TrySpend(double amount, TimePoint now);
  // Serves the queue as far as the tokens go.
  void GrantWaiters(TimePoint now);
  // Counts a refusal and returns it, with the time to come back.
  Failure Refuse(const Charge& charge, TimePoint now);
  // Logs the state in which a request is refused.
  void LogRefusal(std::string_view budget,
                  Milliseconds retry_after,
                  TimePoint now);
  // Units a second that this instance needs to keep up with its demand.
  double NeededRate() const;
  // Returns whether the tokens held last for the demand of a while.
  bool HasReserve() const;
  // Share of the budget with which it could, at most 1.
  double NeededShare() const;
};

// Accounts by the name of their budget. None is ever taken out.
using AccountMap = std::map<std::string, BudgetAccount, std::less<>>;

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_BUDGET_ACCOUNT_H_
