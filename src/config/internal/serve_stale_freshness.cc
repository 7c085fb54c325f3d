#include "config/internal/serve_stale_freshness.h"

#include <algorithm>

#include "config/state_feed.h"
#include "membership/membership.h"

namespace redwing {

namespace {
// Well below PauseGuard::kPauseLimit.
constexpr Milliseconds kRunningInterval{100};
}  // namespace

ServeStaleFreshness::ServeStaleFreshness(boost::asio::io_context& io,
                                         std::shared_ptr<StateFeed> feed)
    : feed_(std::move(feed)), running_task_(io, kRunningInterval, [this]() {
        guard_.NoteRunning(Clock::now());
      }) {}

void ServeStaleFreshness::Attach(std::shared_ptr<Membership> membership) {
  membership_ = std::move(membership);
}

bool ServeStaleFreshness::IsFresh(TimePoint now) const {
  guard_.NoteRunning(now);
  // Unless there was a pause recently, the first condition decides and the
  // iteration over all members is skipped.
  return !guard_.MustReconfirm(TimePoint(), now) ||
         !guard_.MustReconfirm(ConfirmedAt(), now);
}

TimePoint ServeStaleFreshness::ConfirmedAt() const {
  TimePoint latest = feed_->last_fresh_read();
  for (const auto& [name, member] : membership_->members()) {
    latest = std::max(latest, member.synced_at);
  }
  return latest;
}

}  // namespace redwing
