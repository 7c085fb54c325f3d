#ifndef REDWING_BUDGET_GRANTED_TOKENS_H_
#define REDWING_BUDGET_GRANTED_TOKENS_H_

#include <string>
#include <vector>

#include "budget/token_grant_record.h"

namespace redwing {

// Tokens of one budget that share owners have granted to this instance.
class GrantedTokens {
 public:
  // Adds a grant from the share owner `grant.peer`. Ignores an expired grant.
  void Add(const TokenGrantRecord& grant, TimePoint now);
  // Returns the number of tokens in unexpired grants.
  double Amount(TimePoint now);
  // Spends up to `amount` tokens, from the grant that expires first. Returns
  // the number of tokens spent.
  double Spend(double amount, TimePoint now);
  // Returns the ids of the owner's grants that were spent completely since the
  // previous call.
  std::vector<uint64_t> TakeSpent(const std::string& owner);

 private:
  void DropExpired(TimePoint now);

  // Grants with tokens left, ordered by expiry.
  std::vector<TokenGrantRecord> grants_;
  std::vector<TokenGrantRecord> spent_;  // not yet returned by TakeSpent()
};

}  // namespace redwing

#endif  // REDWING_BUDGET_GRANTED_TOKENS_H_
