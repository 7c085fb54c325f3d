#include "config/internal/watcher_duty.h"

#include <fmt/format.h>

#include <algorithm>

#include "config/replicated_state.h"
#include "framework/log/log.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"

namespace redwing {

namespace {

constexpr Milliseconds kRefreshInterval{100};
// Members that are told at once of a refusal.
constexpr size_t kNotifiedReserves = 4;

uint64_t RendezvousScore(std::string_view region, std::string_view instance) {
  return Hash64(fmt::format("{}/{}", region, instance));
}

}  // namespace

WatcherDuty::WatcherDuty(boost::asio::io_context& io,
                         std::shared_ptr<ReplicatedState> state,
                         std::shared_ptr<Identity> identity)
    : state_(std::move(state)),
      identity_(std::move(identity)),
      refresh_(io, kRefreshInterval, [this]() { Refresh(); }) {}

void WatcherDuty::Attach(std::shared_ptr<Membership> membership) {
  membership_ = std::move(membership);
  membership_->AddHeartbeatSource([this](Heartbeat& heartbeat) {
    heartbeat.store_access =
        static_cast<uint8_t>(candidacy_.Access(Clock::now()));
  });
}

void WatcherDuty::Start() {
  Refresh();
  refresh_.Start();
}

std::vector<WatcherDuty::Rival> WatcherDuty::Rivals() const {
  // After a restore of the store, members that know no eras ignore what they
  // read.
  const bool restored = state_->era() > StoreVersion::kFirstEra;
  std::vector<Rival> rivals;
  for (const auto& [name, member] : membership_->members()) {
    if (member.usable() && member.region == identity_->region &&
        member.store_access != StoreAccess::kUnreported &&
        (!restored || member.store_era > 0)) {
      rivals.push_back(
          {name, {RendezvousScore(member.region, name), member.store_access}});
    }
  }
  return rivals;
}

void WatcherDuty::Refresh() {
  const TimePoint now = Clock::now();
  std::vector<Rival> rivals = Rivals();
  std::vector<WatcherCandidate> others;
  others.reserve(rivals.size());
  for (const Rival& rival : rivals) {
    others.push_back(rival.candidate);
  }
  const WatcherRole before = candidacy_.role();
  candidacy_.Elect(RendezvousScore(identity_->region, identity_->name), others,
                   now);
  LogRole(before);
  const StoreAccess access = candidacy_.Access(now);
  if (access == reported_) {
    return;
  }
  spdlog::info("event=store_access access={} was={} watches={} first_choice={}",
               StoreAccessName(access), StoreAccessName(reported_), watches(),
               candidacy_.first_choice());
  reported_ = access;
  if (access == StoreAccess::kRefused) {
    NotifyReserves(std::move(rivals));
  }
}

void WatcherDuty::LogRole(const WatcherRole& before) const {
  const WatcherRole& role = candidacy_.role();
  if (role.watches != before.watches || role.first != before.first ||
      role.probes != before.probes) {
    spdlog::info(
        "event=watcher_role watches={} first={} probes={} refused_choices={} "
        "refused={}",
        role.watches, role.first, role.probes, role.refused_choices,
        role.refused);
  }
}

void WatcherDuty::NotifyReserves(std::vector<Rival> rivals) const {
  std::sort(rivals.begin(), rivals.end(), [](const Rival& a, const Rival& b) {
    return a.candidate.score > b.candidate.score;
  });
  std::vector<std::string> names;
  for (const Rival& rival : rivals) {
    if (rival.candidate.access != StoreAccess::kRefused &&
        names.size() < kNotifiedReserves) {
      names.push_back(rival.name);
    }
  }
  membership_->SendHeartbeatTo(names);
}

}  // namespace redwing
