#include "config/internal/majority_freshness.h"

#include <algorithm>
#include <vector>

#include "config/state_feed.h"
#include "membership/membership.h"

namespace redwing {

namespace {

constexpr Milliseconds kCheckInterval{50};

// Returns the latest time at which a majority of the listed instances,
// including this one, was in sync. Returns the clock's epoch if no instances
// are listed or no majority was ever in sync.
TimePoint MajoritySyncedAt(const Membership& membership) {
  std::vector<TimePoint> times;
  for (const auto& [name, member] : membership.members()) {
    if (member.listed) {
      times.push_back(member.synced_at);
    }
  }
  if (membership.listed_count() == 0) {
    return {};
  }
  const size_t others_needed = membership.listed_count() / 2;
  if (others_needed == 0) {
    return Clock::now();
  }
  std::sort(times.rbegin(), times.rend());
  return times[others_needed - 1];
}

}  // namespace

MajorityFreshness::MajorityFreshness(std::shared_ptr<StateFeed> feed,
                                     Milliseconds limit)
    : feed_(std::move(feed)), limit_(limit) {}

void MajorityFreshness::Attach(std::shared_ptr<Membership> membership) {
  membership_ = std::move(membership);
}

bool MajorityFreshness::IsFresh(TimePoint now) const {
  if (now - checked_at_ >= kCheckInterval) {
    checked_at_ = now;
    const TimePoint as_of =
        std::max(feed_->last_fresh_read(), MajoritySyncedAt(*membership_));
    fresh_until_ = as_of + limit_;
  }
  return now < fresh_until_;
}

}  // namespace redwing
