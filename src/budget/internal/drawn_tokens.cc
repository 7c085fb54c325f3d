#include "budget/drawn_tokens.h"

#include <algorithm>
#include <iterator>

#include "budget/internal/ending.h"

namespace redwing {

namespace {
// What is left of a draw below this is none: sums of parts are not exact.
constexpr double kNothing = 1e-9;
}  // namespace

void DrawnTokens::Add(const TokenDraw& draw, TimePoint now) {
  DropEnded(now);
  if (draw.until <= now) {
    return;
  }
  const auto place = std::upper_bound(
      draws_.begin(), draws_.end(), draw,
      [](const TokenDraw& a, const TokenDraw& b) { return a.until < b.until; });
  draws_.insert(place, draw);
}

double DrawnTokens::Amount(TimePoint now) {
  DropEnded(now);
  double sum = 0;
  for (const TokenDraw& draw : draws_) {
    sum += draw.amount;
  }
  return sum;
}

double DrawnTokens::Spend(double amount, TimePoint now) {
  DropEnded(now);
  double open = amount;
  auto draw = draws_.begin();
  for (; draw != draws_.end(); ++draw) {
    const double part = std::min(open, draw->amount);
    draw->amount -= part;
    open -= part;
    if (draw->amount > kNothing) {
      break;
    }
  }
  spent_.insert(spent_.end(), draws_.begin(), draw);
  draws_.erase(draws_.begin(), draw);
  return amount - open;
}

std::vector<uint64_t> DrawnTokens::TakeSpent(const std::string& owner) {
  std::vector<uint64_t> ids;
  const auto told = std::stable_partition(
      spent_.begin(), spent_.end(),
      [&owner](const TokenDraw& draw) { return draw.peer != owner; });
  std::transform(told, spent_.end(), std::back_inserter(ids),
                 [](const TokenDraw& draw) { return draw.id; });
  spent_.erase(told, spent_.end());
  return ids;
}

void DrawnTokens::DropEnded(TimePoint now) {
  RemoveEnded(&draws_, now);
  RemoveEnded(&spent_, now);
}

}  // namespace redwing
