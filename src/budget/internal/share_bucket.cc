#include "budget/share_bucket.h"

#include <algorithm>
#include <numeric>

#include "budget/internal/expiry.h"

namespace redwing {

namespace {

double SumOfShares(const std::vector<ShareLease>& leases) {
  return std::accumulate(
      leases.begin(), leases.end(), 0.0,
      [](double sum, const ShareLease& lease) { return sum + lease.share; });
}

// `Item`: ShareLease or TokenGrantRecord.
template <typename Item>
TimePoint EarliestExpiry(const std::vector<Item>& items, TimePoint none) {
  TimePoint first = none;
  for (const Item& item : items) {
    first = std::min(first, item.until);
  }
  return first;
}

bool Extend(std::vector<ShareLease>* leases, uint64_t id, TimePoint until) {
  const auto lease =
      std::find_if(leases->begin(), leases->end(),
                   [id](const ShareLease& l) { return l.id == id; });
  if (lease == leases->end()) {
    return false;
  }
  lease->until = std::max(lease->until, until);
  return true;
}

}  // namespace

ShareBucket::ShareBucket(BudgetSpec spec, TimePoint now)
    : spec_(std::move(spec)), updated_at_(now) {}

void ShareBucket::SetSpec(const BudgetSpec& spec, TimePoint now) {
  Advance(now);
  spec_ = spec;
  Clamp();
}

void ShareBucket::SetOwnShare(double share, TimePoint now) {
  Advance(now);
  own_share_ = share;
  Clamp();
}

double ShareBucket::own_share() const {
  return std::max(own_share_, lent_share());
}

double ShareBucket::lent_share() const {
  return SumOfShares(lent_);
}

double ShareBucket::borrowed_share() const {
  return SumOfShares(borrowed_);
}

double ShareBucket::EffectiveShare() const {
  return std::max(0.0, own_share_ - lent_share()) + borrowed_share();
}

double ShareBucket::Capacity() const {
  return std::max(0.0, EffectiveShare() * spec_.burst - outstanding_tokens());
}

double ShareBucket::FreeShare() const {
  return std::max(
      0.0, own_share_ - lent_share() - outstanding_tokens() / spec_.burst);
}

bool ShareBucket::TrySpend(double amount, TimePoint now) {
  Advance(now);
  if (tokens_ < amount) {
    return false;
  }
  tokens_ -= amount;
  return true;
}

double ShareBucket::Tokens(TimePoint now) {
  Advance(now);
  return tokens_;
}

double ShareBucket::Lend(const ShareLease& lease, TimePoint now) {
  Advance(now);
  const double effective = EffectiveShare();
  const double tokens =
      effective > 0 ? tokens_ * std::min(1.0, lease.share / effective) : 0;
  tokens_ -= tokens;
  lent_.push_back(lease);
  Clamp();
  return tokens;
}

bool ShareBucket::ExtendLent(uint64_t id, TimePoint until, TimePoint now) {
  Advance(now);
  return lent_share() <= own_share_ && Extend(&lent_, id, until);
}

void ShareBucket::Borrow(const ShareLease& lease,
                         double tokens,
                         TimePoint now) {
  Advance(now);
  if (lease.until <= now) {
    return;
  }
  borrowed_.push_back(lease);
  tokens_ += tokens;
  Clamp();
}

bool ShareBucket::ExtendBorrowed(uint64_t id, TimePoint until, TimePoint now) {
  Advance(now);
  return Extend(&borrowed_, id, until);
}

double ShareBucket::Return(uint64_t id, TimePoint now) {
  Advance(now);
  const auto lease =
      std::find_if(borrowed_.begin(), borrowed_.end(),
                   [id](const ShareLease& l) { return l.id == id; });
  if (lease == borrowed_.end()) {
    return 0;
  }
  const double tokens = tokens_ * lease->share / EffectiveShare();
  tokens_ -= tokens;
  borrowed_.erase(lease);
  Clamp();
  return tokens;
}

void ShareBucket::AcceptReturn(uint64_t id,
                               const std::string& peer,
                               double tokens,
                               TimePoint now) {
  Advance(now);
  const auto lease = std::find_if(lent_.begin(), lent_.end(),
                                  [id, &peer](const ShareLease& l) {
                                    return l.id == id && l.peer == peer;
                                  });
  if (lease == lent_.end()) {
    return;
  }
  lent_.erase(lease);
  tokens_ += std::max(0.0, tokens);
  Clamp();
}

bool ShareBucket::GrantTokens(const TokenGrantRecord& grant, TimePoint now) {
  Advance(now);
  const double outstanding = outstanding_tokens() + grant.amount;
  if (tokens_ < grant.amount ||
      outstanding > ShareValidAfter(grant.until) * spec_.burst) {
    return false;
  }
  tokens_ -= grant.amount;
  token_grants_.push_back(grant);
  return true;
}

void ShareBucket::SettleGrant(uint64_t id,
                              const std::string& peer,
                              TimePoint now) {
  Advance(now);
  token_grants_.erase(
      std::remove_if(token_grants_.begin(), token_grants_.end(),
                     [id, &peer](const TokenGrantRecord& grant) {
                       return grant.id == id && grant.peer == peer;
                     }),
      token_grants_.end());
}

bool ShareBucket::CanReturn(const ShareLease& lease) const {
  TimePoint last;
  for (const TokenGrantRecord& grant : token_grants_) {
    last = std::max(last, grant.until);
  }
  const double lost = lease.until > last ? lease.share : 0;
  return outstanding_tokens() <= (ShareValidAfter(last) - lost) * spec_.burst;
}

double ShareBucket::ShareValidAfter(TimePoint until) const {
  double share = std::max(0.0, own_share_ - lent_share());
  for (const ShareLease& lease : borrowed_) {
    share += lease.until > until ? lease.share : 0;
  }
  return share;
}

double ShareBucket::outstanding_tokens() const {
  return std::accumulate(token_grants_.begin(), token_grants_.end(), 0.0,
                         [](double sum, const TokenGrantRecord& grant) {
                           return sum + grant.amount;
                         });
}

void ShareBucket::Advance(TimePoint now) {
  for (TimePoint next = NextExpiry(now); next < now; next = NextExpiry(now)) {
    Accrue(next);
    ExpireUntil(next);
  }
  Accrue(now);
  ExpireUntil(now);
}

TimePoint ShareBucket::NextExpiry(TimePoint none) const {
  return std::min({EarliestExpiry(lent_, none), EarliestExpiry(borrowed_, none),
                   EarliestExpiry(token_grants_, none)});
}

void ShareBucket::ExpireUntil(TimePoint now) {
  RemoveExpired(&lent_, now);
  RemoveExpired(&borrowed_, now);
  RemoveExpired(&token_grants_, now);
  Clamp();
}

void ShareBucket::Accrue(TimePoint until) {
  if (until <= updated_at_) {
    return;
  }
  tokens_ += Rate() * ToSeconds(until - updated_at_);
  updated_at_ = until;
  Clamp();
}

void ShareBucket::Clamp() {
  tokens_ = std::min(tokens_, Capacity());
}

}  // namespace redwing
