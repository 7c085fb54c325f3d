#include "config/internal/serve_on_freshness.h"

#include <algorithm>

#include "config/state_feed.h"
#include "membership/membership.h"

namespace redwing {

namespace {
// Well below the pause that is to be noticed.
constexpr Milliseconds kLifeInterval{100};
}  // namespace

ServeOnFreshness::ServeOnFreshness(boost::asio::io_context& io,
                                   std::shared_ptr<StateFeed> feed)
    : feed_(std::move(feed)), sign_of_life_(io, kLifeInterval, [this]() {
        guard_.NoteRunning(Clock::now());
      }) {}

void ServeOnFreshness::Attach(std::shared_ptr<Membership> membership) {
  membership_ = std::move(membership);
}

bool ServeOnFreshness::IsFresh(TimePoint now) const {
  guard_.NoteRunning(now);
  // Nearly always the first condition alone decides, and costs nothing.
  return !guard_.MustWait(TimePoint(), now) ||
         !guard_.MustWait(ConfirmedAt(), now);
}

TimePoint ServeOnFreshness::ConfirmedAt() const {
  TimePoint latest = feed_->fresh_read();
  for (const auto& [name, member] : membership_->members()) {
    latest = std::max(latest, member.synced_at);
  }
  return latest;
}

}  // namespace redwing
