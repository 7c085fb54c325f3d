#include "budget/share_bucket.h"

#include <algorithm>
#include <numeric>

#include "budget/internal/ending.h"

namespace redwing {

namespace {

double SumOfShares(const std::vector<ShareLease>& leases) {
  return std::accumulate(
      leases.begin(), leases.end(), 0.0,
      [](double sum, const ShareLease& lease) { return sum + lease.share; });
}

// `Item`: ShareLease or TokenDraw.
template <typename Item>
TimePoint FirstEnd(const std::vector<Item>& items, TimePoint none) {
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
  return std::max(0.0, EffectiveShare() * spec_.burst - drawn_tokens());
}

double ShareBucket::FreeShare() const {
  return std::max(0.0,
                  own_share_ - lent_share() - drawn_tokens() / spec_.burst);
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

void ShareBucket::TakeBack(uint64_t id,
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

bool ShareBucket::HandOut(const TokenDraw& draw, TimePoint now) {
  Advance(now);
  const double drawn = drawn_tokens() + draw.amount;
  if (tokens_ < draw.amount || drawn > ShareLasting(draw.until) * spec_.burst) {
    return false;
  }
  tokens_ -= draw.amount;
  drawn_.push_back(draw);
  return true;
}

void ShareBucket::Settle(uint64_t id, const std::string& peer, TimePoint now) {
  Advance(now);
  drawn_.erase(std::remove_if(drawn_.begin(), drawn_.end(),
                              [id, &peer](const TokenDraw& draw) {
                                return draw.id == id && draw.peer == peer;
                              }),
               drawn_.end());
}

bool ShareBucket::CanReturn(const ShareLease& lease) const {
  TimePoint last;
  for (const TokenDraw& draw : drawn_) {
    last = std::max(last, draw.until);
  }
  const double lost = lease.until > last ? lease.share : 0;
  return drawn_tokens() <= (ShareLasting(last) - lost) * spec_.burst;
}

double ShareBucket::ShareLasting(TimePoint until) const {
  double share = std::max(0.0, own_share_ - lent_share());
  for (const ShareLease& lease : borrowed_) {
    share += lease.until > until ? lease.share : 0;
  }
  return share;
}

double ShareBucket::drawn_tokens() const {
  return std::accumulate(
      drawn_.begin(), drawn_.end(), 0.0,
      [](double sum, const TokenDraw& draw) { return sum + draw.amount; });
}

void ShareBucket::Advance(TimePoint now) {
  for (TimePoint next = NextEnd(now); next < now; next = NextEnd(now)) {
    Accrue(next);
    EndPassed(next);
  }
  Accrue(now);
  EndPassed(now);
}

TimePoint ShareBucket::NextEnd(TimePoint none) const {
  return std::min({FirstEnd(lent_, none), FirstEnd(borrowed_, none),
                   FirstEnd(drawn_, none)});
}

void ShareBucket::EndPassed(TimePoint now) {
  RemoveEnded(&lent_, now);
  RemoveEnded(&borrowed_, now);
  RemoveEnded(&drawn_, now);
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
