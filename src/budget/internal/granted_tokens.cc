#include "budget/granted_tokens.h"

#include <algorithm>
#include <iterator>

#include "budget/internal/expiry.h"

namespace redwing {

namespace {
// A grant with no more tokens than this is spent; the tolerance covers rounding
// errors of sums.
constexpr double kNegligibleAmount = 1e-9;
}  // namespace

void GrantedTokens::Add(const TokenGrantRecord& grant, TimePoint now) {
  DropExpired(now);
  if (grant.until <= now) {
    return;
  }
  const auto position = std::upper_bound(
      grants_.begin(), grants_.end(), grant,
      [](const TokenGrantRecord& a, const TokenGrantRecord& b) {
        return a.until < b.until;
      });
  grants_.insert(position, grant);
}

double GrantedTokens::Amount(TimePoint now) {
  DropExpired(now);
  double sum = 0;
  for (const TokenGrantRecord& grant : grants_) {
    sum += grant.amount;
  }
  return sum;
}

double GrantedTokens::Spend(double amount, TimePoint now) {
  DropExpired(now);
  double open = amount;
  auto grant = grants_.begin();
  for (; grant != grants_.end(); ++grant) {
    const double part = std::min(open, grant->amount);
    grant->amount -= part;
    open -= part;
    if (grant->amount > kNegligibleAmount) {
      break;
    }
  }
  spent_.insert(spent_.end(), grants_.begin(), grant);
  grants_.erase(grants_.begin(), grant);
  return amount - open;
}

std::vector<uint64_t> GrantedTokens::TakeSpent(const std::string& owner) {
  std::vector<uint64_t> ids;
  const auto first_taken = std::stable_partition(
      spent_.begin(), spent_.end(),
      [&owner](const TokenGrantRecord& grant) { return grant.peer != owner; });
  std::transform(first_taken, spent_.end(), std::back_inserter(ids),
                 [](const TokenGrantRecord& grant) { return grant.id; });
  spent_.erase(first_taken, spent_.end());
  return ids;
}

void GrantedTokens::DropExpired(TimePoint now) {
  RemoveExpired(&grants_, now);
  RemoveExpired(&spent_, now);
}

}  // namespace redwing
