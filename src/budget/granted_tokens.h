#ifndef REDWING_BUDGET_GRANTED_TOKENS_H_
#define REDWING_BUDGET_GRANTED_TOKENS_H_

#include <string>
#include <vector>

#include "budget/token_grant_record.h"

namespace redwing {

// Tokens of one budget that this instance has drawn from owners of its shares.
class GrantedTokens {
 public:
  // Adds a draw; `draw.peer` is the owner.
  void Add(const TokenGrantRecord& grant, TimePoint now);
  // What may be spent now.
  double Amount(TimePoint now);
  // Spends up to an amount, what ends first at first. Returns what it spent.
  double Spend(double amount, TimePoint now);
  // Returns the draws of an owner that were spent whole since the last call.
  std::vector<uint64_t> TakeSpent(const std::string& owner);

 private:
  void DropExpired(TimePoint now);

  // In the order of their ends.
  std::vector<TokenGrantRecord> grants_;
  std::vector<TokenGrantRecord> spent_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_GRANTED_TOKENS_H_
