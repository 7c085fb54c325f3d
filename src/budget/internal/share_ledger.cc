#include "budget/internal/share_ledger.h"

#include <algorithm>
#include <array>

#include "budget/internal/share_owners.h"
#include "config/replicated_state.h"
#include "config/steering_config.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/log/log.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "store/object_store.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr std::string_view kSharesName = "shares";
constexpr Milliseconds kPlanInterval{500};
constexpr std::array<BudgetScope, 2> kScopes = {BudgetScope::kFleet,
                                                BudgetScope::kRegion};
// Shares are not changed by less than this percentage of the wanted share.
constexpr int64_t kMoveThresholdPercent = 10;
// Time after which a member that is not listed counts as absent; before, the
// platform may not have listed it yet.
constexpr Milliseconds kMissingTimeout{3000};
// Retries after a conflicting write by another instance, with a random delay.
constexpr int kAttempts = 8;
constexpr int64_t kMinJitterMs = 10;
constexpr int64_t kMaxJitterMs = 200;

bool NeedsMove(int64_t held, int64_t wanted) {
  return std::abs(held - wanted) * 100 > wanted * kMoveThresholdPercent;
}

}  // namespace

ShareLedger::ShareLedger(boost::asio::io_context& io,
                         std::shared_ptr<Identity> identity,
                         Milliseconds inherited_share_delay)
    : io_(io),
      identity_(std::move(identity)),
      inherited_share_delay_(inherited_share_delay),
      started_at_(Clock::now()),
      random_(std::random_device{}()) {}

void ShareLedger::Attach(std::shared_ptr<ObjectStore> store,
                         std::shared_ptr<ReplicatedState> state,
                         std::shared_ptr<Membership> membership,
                         std::shared_ptr<SteeringConfig> config) {
  store_ = std::move(store);
  state_ = std::move(state);
  membership_ = std::move(membership);
  config_ = std::move(config);
  state_->on_applied().Subscribe([this](const StateEntry& entry) {
    if (entry.name == kSharesName) {
      ApplyEntry(entry.body);
    }
  });
}

void ShareLedger::Start() {
  SpawnService(io_, "plan_shares", [this](const Yield& yield) { Loop(yield); });
}

double ShareLedger::OwnShare(BudgetScope scope, TimePoint now) const {
  const auto own = holders_.by_instance.find(identity_->name);
  if (own == holders_.by_instance.end() || own->second.revoked ||
      own->second.process_id != identity_->process_id ||
      now < inherited_usable_at_) {
    return 0;
  }
  int64_t parts = own->second.parts(scope);
  const auto lowered = lowered_.find(scope);
  if (lowered != lowered_.end()) {
    parts = std::min(parts, lowered->second);
  }
  return static_cast<double>(parts) / static_cast<double>(ShareHolders::kWhole);
}

bool ShareLedger::owns() const {
  const auto own = holders_.by_instance.find(identity_->name);
  return own != holders_.by_instance.end() && !own->second.revoked &&
         own->second.process_id == identity_->process_id;
}

void ShareLedger::Loop(const Yield& yield) {
  std::uniform_int_distribution<int64_t> jitter(kMinJitterMs, kMaxJitterMs);
  while (!stopped_) {
    SleepFor(io_, kPlanInterval, yield);
    if (!config_->ready() || membership_->listed_count() == 0) {
      continue;
    }
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      const ShareHolders planned = Plan(holders_, Clock::now());
      if (planned == holders_ || Publish(planned, yield) != Errc::kConflict) {
        break;
      }
      SleepFor(io_, Milliseconds(jitter(random_)), yield);
    }
    on_change_.Notify();
  }
}

void ShareLedger::ApplyEntry(const std::string& body) {
  holders_ = ShareHolders::Parse(body);
  owners_.clear();
  for (const auto& [name, holder] : holders_.by_instance) {
    if (!holder.revoked) {
      owners_.insert(name);
    }
  }
  const auto own = holders_.by_instance.find(identity_->name);
  const bool inherits = own != holders_.by_instance.end() &&
                        own->second.inherited &&
                        own->second.process_id == identity_->process_id;
  if (inherits && inherited_usable_at_ == TimePoint()) {
    inherited_usable_at_ = started_at_ + inherited_share_delay_;
  }
  on_change_.Notify();
}

ShareHolders ShareLedger::Plan(const ShareHolders& published, TimePoint now) {
  ShareHolders planned = published;
  if (membership_->leaving()) {
    planned.by_instance.erase(identity_->name);
    return planned;
  }
  if (!ShouldOwnShare(published, *identity_, membership_->members())) {
    return published;
  }
  ShareHolder& own = planned.by_instance[identity_->name];
  const bool known = !own.process_id.empty();
  if (own.revoked && own.process_id == identity_->process_id && lent_source_ &&
      lent_source_(BudgetScope::kFleet) + lent_source_(BudgetScope::kRegion) >
          0) {
    return published;
  }
  if (own.process_id != identity_->process_id) {
    own.process_id = identity_->process_id;
    own.region = identity_->region;
    own.inherited = known;
    own.revoked = false;
  } else if (own.revoked) {
    own = ShareHolder();
    own.process_id = identity_->process_id;
    own.region = identity_->region;
  }
  for (const BudgetScope scope : kScopes) {
    PlanOwn(&planned, scope);
  }
  PlanReclaims(&planned, now);
  return planned;
}

void ShareLedger::PlanOwn(ShareHolders* holders, BudgetScope scope) const {
  ShareHolder& own = holders->by_instance[identity_->name];
  const int64_t wanted =
      ShareHolders::kWhole / static_cast<int64_t>(OwnerCount(
                                 scope, *identity_, membership_->members()));
  const int64_t held = own.parts(scope);
  const int64_t free = holders->FreeParts(scope, identity_->region);
  if (!NeedsMove(held, wanted)) {
    return;
  }
  own.parts(scope) =
      held < wanted ? held + std::clamp<int64_t>(wanted - held, 0,
                                                 std::max<int64_t>(0, free))
                    : wanted;
}

void ShareLedger::PlanReclaims(ShareHolders* holders, TimePoint now) {
  for (auto item = holders->by_instance.begin();
       item != holders->by_instance.end();) {
    const std::string& name = item->first;
    ShareHolder& holder = item->second;
    const Member* const member = membership_->Find(name);
    const bool absent =
        name != identity_->name &&
        (member == nullptr || (!member->listed && !member->usable()));
    if (!absent) {
      missing_since_.erase(name);
      revoked_since_.erase(name);
      ++item;
      continue;
    }
    const TimePoint missing = missing_since_.emplace(name, now).first->second;
    if (!holder.revoked) {
      revoked_since_.erase(name);
      holder.revoked = now - missing >= kMissingTimeout;
      ++item;
      continue;
    }
    // Measured from the time at which this process first saw the published
    // revocation.
    const TimePoint revoked = revoked_since_.emplace(name, now).first->second;
    if (now - revoked < kReclaimDelay) {
      ++item;
      continue;
    }
    spdlog::info("event=share_free member={}", name);
    item = holders->by_instance.erase(item);
  }
}

Errc ShareLedger::Publish(const ShareHolders& planned, const Yield& yield) {
  const auto own = planned.by_instance.find(identity_->name);
  for (const BudgetScope scope : kScopes) {
    lowered_[scope] =
        own == planned.by_instance.end() ? 0 : own->second.parts(scope);
  }
  on_change_.Notify();
  if (LentExceedsLoweredShare()) {
    // Wait until the leases expire; they are not extended in the meantime.
    return Errc::kOk;
  }
  const Result<StoredObject> current =
      store_->Get(std::string(kStateKind), std::string(kSharesName), yield);
  const bool absent = !current && current.error().errc == Errc::kNotFound;
  if (!current && !absent) {
    // The store is unavailable: the published shares stay in force.
    lowered_.clear();
    return Errc::kStoreUnavailable;
  }
  StoredObject object;
  uint64_t revision = 0;
  ShareHolders base;
  if (current) {
    object = current.value();
    revision = object.spec.value("revision", uint64_t{0});
    base = ShareHolders::Parse(object.spec.at("body").dump());
  }
  // Plan again from the stored object; the local replica may be outdated.
  const ShareHolders next = Plan(base, Clock::now());
  for (const BudgetScope scope : kScopes) {
    const auto next_own = next.by_instance.find(identity_->name);
    const int64_t parts =
        next_own == next.by_instance.end() ? 0 : next_own->second.parts(scope);
    lowered_[scope] = std::min(lowered_[scope], parts);
  }
  on_change_.Notify();
  if (next == base) {
    // Other instances have become share owners in the meantime.
    lowered_.clear();
    state_->Apply({std::string(kSharesName), StoreVersion(object.era, revision),
                   base.Text()},
                  Clock::now());
    return Errc::kOk;
  }
  if (LentExceedsLoweredShare()) {
    return Errc::kOk;
  }
  object.kind = kStateKind;
  object.name = kSharesName;
  object.spec = {{"revision", revision + 1},
                 {"body", json::parse(next.Text())}};
  const Result<StoredObject> written =
      absent ? store_->Create(object, yield) : store_->Update(object, yield);
  if (written) {
    lowered_.clear();
    state_->Apply(
        {std::string(kSharesName),
         StoreVersion(written.value().era, revision + 1), next.Text()},
        Clock::now());
    return Errc::kOk;
  }
  if (written.error().errc == Errc::kConflict) {
    lowered_.clear();
  }
  // If the result of the write is unknown, the lower share stays in force: the
  // write may have succeeded.
  return written.error().errc;
}

bool ShareLedger::LentExceedsLoweredShare() const {
  return std::any_of(
      lowered_.begin(), lowered_.end(),
      [this](const std::pair<const BudgetScope, int64_t>& item) {
        const double lowered = static_cast<double>(item.second) /
                               static_cast<double>(ShareHolders::kWhole);
        return lent_source_ && lent_source_(item.first) > lowered;
      });
}

}  // namespace redwing
