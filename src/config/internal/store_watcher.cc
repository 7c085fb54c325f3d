#include "config/internal/store_watcher.h"

#include <algorithm>

#include "config/key_shard.h"
#include "config/listing_codec.h"
#include "config/replicated_state.h"
#include "config/state_object.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/log/log.h"
#include "keys/key_ring.h"
#include "membership/membership.h"
#include "store/instance_directory.h"
#include "store/object_store.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr Milliseconds kPollInterval{500};
constexpr Milliseconds kRetryInterval{250};
// After an outage of the store, instances first write the withdrawals made
// meanwhile. Reads count as fresh only after this time.
constexpr Milliseconds kStoreSettleTime{3000};

}  // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context& io,
                           std::shared_ptr<ReplicatedState> state,
                           std::shared_ptr<KeyRing> keys,
                           std::shared_ptr<Identity> identity)
    : io_(io),
      state_(std::move(state)),
      keys_(std::move(keys)),
      duty_(io, state_, std::move(identity)) {}

void StoreWatcher::Attach(std::shared_ptr<ObjectStore> store,
                          std::shared_ptr<InstanceDirectory> directory,
                          std::shared_ptr<Membership> membership) {
  store_ = std::move(store);
  directory_ = std::move(directory);
  membership_ = std::move(membership);
  duty_.Attach(membership_);
}

void StoreWatcher::Start() {
  duty_.Start();
  SpawnService(io_, "watch_state",
               [this](const Yield& yield) { WatchLoop(yield); });
  SpawnService(io_, "poll_state",
               [this](const Yield& yield) { PollLoop(yield); });
}

void StoreWatcher::Stop() {
  duty_.Stop();
  stopped_ = true;
}

void StoreWatcher::WatchLoop(const Yield& yield) {
  while (!stopped_) {
    if (state_->complete() && !duty_.watches()) {
      SleepFor(io_, kRetryInterval, yield);
      continue;
    }
    const Result<std::string> version = ReadAll(yield);
    if (!version) {
      SleepFor(io_, kRetryInterval, yield);
      continue;
    }
    if (!duty_.watches()) {
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
    if (!state_->complete() || duty_.ShouldPoll(Clock::now())) {
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
  duty_.BeginPoll(Clock::now());
  const Result<InstanceList> list = directory_->ListInstances(yield);
  duty_.EndPoll(list.has_value(), Clock::now());
  if (list) {
    state_->Apply(EncodeListing(list.value()), Clock::now());
  }
}

void StoreWatcher::HandleObject(const StoredObject& object) {
  if (object.name == kWithdrawalsName) {
    MergeWithdrawals(object);
    return;
  }
  const std::optional<StateEntry> entry = DecodeStateEntry(object);
  if (entry) {
    state_->Apply(*entry, Clock::now());
  }
}

void StoreWatcher::MergeWithdrawals(const StoredObject& object) {
  const std::vector<Withdrawal> stored = WithdrawalsFromJson(object.spec);
  for (const Withdrawal& withdrawal : stored) {
    stored_withdrawals_.insert(withdrawal.key_id);
  }
  if (keys_->Withdraw(stored)) {
    membership_->SendHeartbeatToAll();
  }
}

void StoreWatcher::StoreWithdrawals(StoredObject object, const Yield& yield) {
  const bool absent = object.version.empty();
  object.kind = kStateKind;
  object.name = kWithdrawalsName;
  object.spec = WithdrawalsToJson(keys_->Withdrawals());
  // Every reader merges the set, so a lost response needs no handling: the next
  // poll compares again.
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
    last_fresh_read_ = begun;
  }
}

}  // namespace redwing
