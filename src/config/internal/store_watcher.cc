#include "config/internal/store_watcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "config/key_shard.h"
#include "config/listing_codec.h"
#include "config/replicated_state.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/log/log.h"
#include "framework/wire/digest.h"
#include "keys/key_ring.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "platform/instance_directory.h"
#include "platform/object_store.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr Milliseconds kPollInterval{500};
constexpr Milliseconds kRetryInterval{250};
// After an outage, withdrawals made meanwhile are first written by those who
// hold them; readings count as fresh only after this time.
constexpr Milliseconds kStoreSettleTime{3000};

uint64_t RendezvousScore(std::string_view region, std::string_view instance) {
  return Hash64(fmt::format("{}/{}", region, instance));
}

}  // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context& io,
                           std::shared_ptr<ReplicatedState> state,
                           std::shared_ptr<KeyRing> keys,
                           std::shared_ptr<Identity> identity)
    : io_(io),
      state_(std::move(state)),
      keys_(std::move(keys)),
      identity_(std::move(identity)) {}

void StoreWatcher::Attach(std::shared_ptr<ObjectStore> store,
                          std::shared_ptr<InstanceDirectory> directory,
                          std::shared_ptr<Membership> membership) {
  store_ = std::move(store);
  directory_ = std::move(directory);
  membership_ = std::move(membership);
}

void StoreWatcher::Start() {
  Spawn(io_, [this](const Yield& yield) { WatchLoop(yield); });
  Spawn(io_, [this](const Yield& yield) { PollLoop(yield); });
}

bool StoreWatcher::is_watcher() const {
  const uint64_t own = RendezvousScore(identity_->region, identity_->name);
  const std::ptrdiff_t before = std::count_if(
      membership_->members().begin(), membership_->members().end(),
      [this, own](const Membership::MemberMap::value_type& item) {
        const Member& member = item.second;
        return member.usable() && member.region == identity_->region &&
               RendezvousScore(member.region, member.name) > own;
      });
  return static_cast<size_t>(before) < kWatchersPerRegion;
}

void StoreWatcher::WatchLoop(const Yield& yield) {
  while (!stopped_) {
    if (state_->complete() && !is_watcher()) {
      SleepFor(io_, kRetryInterval, yield);
      continue;
    }
    const Result<std::string> version = ReadAll(yield);
    if (!version) {
      SleepFor(io_, kRetryInterval, yield);
      continue;
    }
    if (!is_watcher()) {
      continue;
    }
    const Failure end = store_->Watch(
        std::string(kStateKind), version.value(),
        [this](const StoredObject& object) { HandleObject(object); }, yield);
    if (end.errc != Errc::kOk) {
      SleepFor(io_, kRetryInterval, yield);
    }
  }
}

void StoreWatcher::PollLoop(const Yield& yield) {
  while (!stopped_) {
    if (!state_->complete() || is_watcher()) {
      PollListing(yield);
      PollWithdrawals(yield);
    } else {
      readable_since_ = TimePoint::max();
    }
    SleepFor(io_, kPollInterval, yield);
  }
}

Result<std::string> StoreWatcher::ReadAll(const Yield& yield) {
  const Result<ObjectList> list = store_->List(std::string(kStateKind), yield);
  if (!list) {
    return list.error();
  }
  for (const StoredObject& object : list.value().objects) {
    HandleObject(object);
  }
  state_->MarkComplete();
  return list.value().version;
}

void StoreWatcher::PollWithdrawals(const Yield& yield) {
  const TimePoint begun = Clock::now();
  const Result<StoredObject> object = store_->Get(
      std::string(kStateKind), std::string(kWithdrawalsName), yield);
  const bool absent = !object && object.error().errc == Errc::kNotFound;
  NoteRead(begun, object || absent);
  if (!object && !absent) {
    return;
  }
  StoredObject current;
  if (object) {
    current = object.value();
    MergeWithdrawals(current);
  }
  if (keys_->withdrawn_count() > stored_withdrawals_.size()) {
    StoreWithdrawals(std::move(current), yield);
  }
}

void StoreWatcher::PollListing(const Yield& yield) {
  const Result<InstanceList> list = directory_->ListInstances(yield);
  if (list) {
    state_->Apply(EncodeListing(list.value()));
  }
}

void StoreWatcher::HandleObject(const StoredObject& object) {
  if (object.name == kWithdrawalsName) {
    MergeWithdrawals(object);
    return;
  }
  if (!object.spec.is_object() || !object.spec.contains("body")) {
    return;
  }
  state_->Apply({object.name, object.spec.value("revision", uint64_t{0}),
                 object.spec.at("body").dump()});
}

void StoreWatcher::MergeWithdrawals(const StoredObject& object) {
  const std::vector<Withdrawal> stored = WithdrawalsFromJson(object.spec);
  for (const Withdrawal& withdrawal : stored) {
    stored_withdrawals_.insert(withdrawal.key_id);
  }
  if (keys_->Withdraw(stored)) {
    membership_->BeatNow();
  }
}

void StoreWatcher::StoreWithdrawals(StoredObject object, const Yield& yield) {
  const bool absent = object.version.empty();
  object.kind = kStateKind;
  object.name = kWithdrawalsName;
  object.spec = WithdrawalsToJson(keys_->Withdrawals());
  // The set is merged by every reader, so a lost answer needs no resolving:
  // the next poll compares again.
  const Result<StoredObject> written =
      absent ? store_->Create(object, yield) : store_->Update(object, yield);
  if (written) {
    MergeWithdrawals(written.value());
  }
}

void StoreWatcher::NoteRead(TimePoint begun, bool succeeded) {
  if (!succeeded) {
    readable_since_ = TimePoint::max();
    return;
  }
  readable_since_ = std::min(readable_since_, begun);
  if (begun - readable_since_ >= kStoreSettleTime) {
    fresh_read_ = begun;
  }
}

}  // namespace redwing
