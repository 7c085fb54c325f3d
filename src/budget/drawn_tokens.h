#ifndef REDWING_BUDGET_DRAWN_TOKENS_H_
#define REDWING_BUDGET_DRAWN_TOKENS_H_

#include <string>
#include <vector>

#include "budget/token_draw.h"

namespace redwing {

// Tokens of one budget that this instance has drawn from owners of its shares.
class DrawnTokens {
 public:
  // Adds a draw; `draw.peer` is the owner.
  void Add(const TokenDraw& draw, TimePoint now);
  // What may be spent now.
  double Amount(TimePoint now);
  // Spends up to an amount, what ends first at first. Returns what it spent.
  double Spend(double amount, TimePoint now);
  // Returns the draws of an owner that were spent whole since the last call.
  std::vector<uint64_t> TakeSpent(const std::string& owner);

 private:
  void DropEnded(TimePoint now);

  // In the order of their ends.
  std::vector<TokenDraw> draws_;
  std::vector<TokenDraw> spent_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_DRAWN_TOKENS_H_
