#include "config/internal/source_feed.h"

#include <algorithm>

#include "config/internal/watcher_duty.h"
#include "config/listing_codec.h"
#include "config/replicated_state.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/log/log.h"
#include "store/instance_directory.h"

namespace redwing {

namespace {
// Interval at which each watcher retries after an error of the store.
constexpr Milliseconds kRetryInterval{400};
// Interval at which other instances check whether they have become a watcher.
constexpr Milliseconds kElectionInterval{250};
}  // namespace

SourceFeed::SourceFeed(boost::asio::io_context& io,
                       std::shared_ptr<ReplicatedState> state,
                       std::shared_ptr<Identity> identity,
                       ConfigOptions options)
    : io_(io),
      state_(std::move(state)),
      duty_(io, state_, std::move(identity)),
      options_(options) {}

void SourceFeed::Attach(std::shared_ptr<StateSource> source,
                        std::shared_ptr<InstanceDirectory> directory,
                        std::shared_ptr<Membership> membership) {
  source_ = std::move(source);
  directory_ = std::move(directory);
  duty_.Attach(std::move(membership));
}

void SourceFeed::Start() {
  duty_.Start();
  unread_.insert(std::string(kListingName));
  for (const std::string& kind : source_->Kinds()) {
    unread_.insert(kind);
    SpawnService(io_, "follow_kind",
                 [this, kind](const Yield& yield) { FollowKind(kind, yield); });
  }
  SpawnService(io_, "follow_listing",
               [this](const Yield& yield) { FollowListing(yield); });
}

void SourceFeed::Stop() {
  duty_.Stop();
  stopped_ = true;
}

bool SourceFeed::ReadsStore() const {
  return !state_->complete() || duty_.watches();
}

void SourceFeed::FollowKind(const std::string& kind, const Yield& yield) {
  while (!stopped_) {
    if (!ReadsStore()) {
      SleepFor(io_, kElectionInterval, yield);
      continue;
    }
    const TimePoint begun = Clock::now();
    const Result<StateReading> reading = source_->Read(kind, yield);
    if (!reading) {
      SleepFor(io_, kRetryInterval, yield);
      continue;
    }
    state_->ObserveEra(reading.value().version.era(), Clock::now());
    for (const StateEntry& entry : reading.value().entries) {
      ApplyIfChanged(entry);
    }
    const Milliseconds hold =
        state_->HoldRemaining(reading.value().version.era(), Clock::now());
    if (hold > Milliseconds(0)) {
      SleepFor(io_, hold, yield);
      continue;
    }
    NoteRead(kind, begun);
    AwaitChange(kind, reading.value().version, yield);
  }
}

void SourceFeed::AwaitChange(const std::string& kind,
                             StoreVersion version,
                             const Yield& yield) {
  while (!stopped_ && ReadsStore()) {
    const Milliseconds limit =
        duty_.first() ? options_.first_change_wait : options_.change_wait;
    const Result<ChangeWait> waited =
        source_->AwaitChange(kind, version, limit, yield);
    if (!waited) {
      spdlog::info("event=watch_ended kind={} era={} revision={} reason={}",
                   kind, version.era(), version.revision(),
                   Quoted(waited.error().detail));
      SleepFor(io_, kRetryInterval, yield);
      return;
    }
    state_->ObserveEra(waited.value().version.era(), Clock::now());
    if (waited.value().changed) {
      return;
    }
    version = waited.value().version;
  }
}

void SourceFeed::FollowListing(const Yield& yield) {
  while (!stopped_) {
    if (state_->complete() && !duty_.ShouldPoll(Clock::now())) {
      SleepFor(io_, kElectionInterval, yield);
      continue;
    }
    const TimePoint begun = Clock::now();
    duty_.BeginPoll(begun);
    const Result<InstanceList> list = directory_->ListInstances(yield);
    duty_.EndPoll(list.has_value(), Clock::now());
    if (!list) {
      SleepFor(io_, kRetryInterval, yield);
      continue;
    }
    const uint32_t era = list.value().version.era();
    state_->ObserveEra(era, Clock::now());
    ApplyIfChanged(EncodeListing(list.value()));
    const Milliseconds hold = state_->HoldRemaining(era, Clock::now());
    if (hold == Milliseconds(0)) {
      NoteRead(std::string(kListingName), begun);
    }
    SleepFor(io_, std::max(hold, options_.listing_interval), yield);
  }
}

void SourceFeed::ApplyIfChanged(const StateEntry& entry) {
  const StateEntry* const existing = state_->Find(entry.name);
  if (existing == nullptr || existing->body != entry.body ||
      existing->version.era() < entry.version.era()) {
    state_->Apply(entry, Clock::now());
  }
}

void SourceFeed::NoteRead(const std::string& what, TimePoint begun) {
  last_fresh_read_ = begun;
  if (unread_.erase(what) > 0 && unread_.empty()) {
    state_->MarkComplete();
  }
}

}  // namespace redwing
