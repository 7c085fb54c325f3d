#include "membership/internal/instance_registration.h"

#include <vector>

#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/log/log.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/instance_record.h"
#include "membership/membership.h"
#include "store/object_store.h"

namespace redwing {

namespace {
constexpr Milliseconds kRetryInterval{300};
// Interval between comparisons of the list with the state of the members.
constexpr Milliseconds kCheckInterval{1'000};
}  // namespace

InstanceRegistration::InstanceRegistration(boost::asio::io_context& io,
                                           std::shared_ptr<Identity> identity,
                                           RegistrationOptions options)
    : io_(io), identity_(std::move(identity)), options_(options) {}

void InstanceRegistration::Attach(std::shared_ptr<ObjectStore> store,
                                  std::shared_ptr<Membership> membership) {
  store_ = std::move(store);
  membership_ = std::move(membership);
}

void InstanceRegistration::Start() {
  SpawnService(io_, "register_instance",
               [this](const Yield& yield) { Loop(yield); });
}

void InstanceRegistration::Unregister() {
  stopped_ = true;
  Spawn(io_, [this](const Yield& yield) { Remove(identity_->name, yield); });
}

void InstanceRegistration::Loop(const Yield& yield) {
  while (!stopped_) {
    if (!registered_ || membership_->missing_from_list()) {
      const Result<void> done = Register(yield);
      if (!done) {
        spdlog::warn("event=not_listed_yet reason={}",
                     Quoted(done.error().detail));
        SleepFor(io_, kRetryInterval, yield);
        continue;
      }
      registered_ = true;
    }
    RemoveExpired(yield);
    SleepFor(io_, kCheckInterval, yield);
  }
}

Result<void> InstanceRegistration::Register(const Yield& yield) {
  StoredObject wanted = EncodeInstanceRecord(*identity_);
  const Result<StoredObject> created = store_->Create(wanted, yield);
  if (created) {
    spdlog::info("event=instance_listed version={}", created.value().version);
    return boost::outcome_v2::success();
  }
  if (created.error().errc != Errc::kConflict) {
    return created.error();
  }
  const Result<StoredObject> stored =
      store_->Get(wanted.kind, wanted.name, yield);
  if (!stored) {
    return stored.error();
  }
  if (stored.value().spec == wanted.spec) {
    return boost::outcome_v2::success();
  }
  // Registered by an earlier process of the same name.
  wanted.version = stored.value().version;
  const Result<StoredObject> updated = store_->Update(wanted, yield);
  if (!updated) {
    return updated.error();
  }
  return boost::outcome_v2::success();
}

void InstanceRegistration::RemoveExpired(const Yield& yield) {
  const TimePoint now = Clock::now();
  std::vector<std::string> expired;
  for (const auto& [name, member] : membership_->members()) {
    const bool reachable = member.state == MemberState::kAlive ||
                           member.state == MemberState::kLeaving;
    const TimePoint since = std::max(member.last_seen, member.listed_since);
    if (member.listed && !reachable && now - since > options_.removal_timeout) {
      expired.push_back(name);
    }
  }
  for (const std::string& name : expired) {
    spdlog::info("event=silent_instance_unlisted member={}", name);
    Remove(name, yield);
  }
}

void InstanceRegistration::Remove(const std::string& name, const Yield& yield) {
  const Result<StoredObject> stored =
      store_->Get(std::string(kInstanceKind), name, yield);
  if (!stored) {
    if (stored.error().errc != Errc::kNotFound) {
      spdlog::warn("event=listing_unreadable member={} reason={}", name,
                   Quoted(stored.error().detail));
    }
    return;
  }
  const Result<void> removed = store_->Delete(stored.value(), yield);
  if (!removed && removed.error().errc != Errc::kNotFound) {
    // A conflict means that the instance has registered itself again.
    spdlog::info("event=listing_not_removed member={} reason={}", name,
                 Quoted(removed.error().detail));
  }
}

}  // namespace redwing
