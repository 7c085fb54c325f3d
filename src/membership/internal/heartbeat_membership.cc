#include "membership/internal/heartbeat_membership.h"

#include <algorithm>
#include <set>

#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"
#include "framework/wire/payload.h"

namespace redwing {

namespace {
constexpr size_t kMaxSentHeartbeats = 1024;
constexpr int kHeartbeatNumberShift = 16;
// Members notified immediately of a change: enough for it to reach all
// instances within a few rounds.
constexpr size_t kRegionFanout = 4;
constexpr size_t kRemoteFanout = 2;
// Members relayed in one heartbeat.
constexpr size_t kMaxRelayedMembers = 8;

uint32_t HashOf(const std::string& name) {
  return static_cast<uint32_t>(Hash64(name));
}

bool IsValid(const Heartbeat& heartbeat) {
  return std::all_of(heartbeat.identity.begin(), heartbeat.identity.end(),
                     [](const SenderIdentity& identity) {
                       return ParseEndpoint(identity.peer_address) &&
                              ParseEndpoint(identity.http_address);
                     });
}

void SetIdentity(const SenderIdentity& identity, Member* member) {
  member->region = identity.region;
  member->failure_domain = identity.failure_domain;
  member->http_address = identity.http_address;
  member->caller_address = identity.caller_address;
  member->peer_address = identity.peer_address;
  if (member->process_id != identity.process_id) {
    member->process_id = identity.process_id;
    member->heartbeat_number_to_echo = 0;
  }
}
}  // namespace

HeartbeatMembership::HeartbeatMembership(boost::asio::io_context& io,
                                         Metrics& metrics,
                                         std::shared_ptr<Identity> identity,
                                         MembershipOptions options,
                                         std::vector<std::string> seeds)
    : metrics_(metrics),
      identity_(std::move(identity)),
      options_(options),
      region_pacing_(options.region_interval,
                     options.region_interval_per_member,
                     options.suspicion_timeout),
      remote_pacing_(options.heartbeat_interval,
                     options.remote_interval_per_member,
                     options.remote_suspicion_timeout),
      seeds_(std::move(seeds)),
      random_(std::random_device{}()),
      tick_(io, options.region_interval, [this]() { Tick(); }) {
  // After a restart, an echo of the previous process's heartbeats must not
  // match a number of this process.
  heartbeat_number_ = Hash64(identity_->process_id) >> kHeartbeatNumberShift;
}

void HeartbeatMembership::Attach(std::shared_ptr<PeerTransport> transport) {
  transport_ = std::move(transport);
  transport_->OnDatagram(
      MessageKind::kHeartbeat,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleHeartbeat(envelope);
      });
}

void HeartbeatMembership::Start() {
  if (identity_->peer_address.empty()) {
    identity_->peer_address = transport_->local_address();
  }
  last_tick_ = Clock::now();
  tick_.Start();
  SendHeartbeatToAll();
}

void HeartbeatMembership::Stop() {
  tick_.Stop();
}

const Member* HeartbeatMembership::Find(std::string_view name) const {
  const auto member = members_.find(name);
  return member == members_.end() ? nullptr : &member->second;
}

void HeartbeatMembership::ApplyList(
    const std::vector<ListedInstance>& instances) {
  std::set<std::string> listed;
  list_known_ = true;
  self_listed_ = false;
  for (const ListedInstance& instance : instances) {
    if (instance.service != InstanceDirectory::kEntryService) {
      continue;
    }
    if (instance.name == identity_->name) {
      self_listed_ = true;
      continue;
    }
    listed.insert(instance.name);
    const auto added = members_.emplace(instance.name, Member{});
    Member& member = added.first->second;
    if (!member.listed) {
      member.listed_since = Clock::now();
    }
    member.listed = true;
    if (added.second) {
      by_hash_[HashOf(instance.name)] = &member;
      member.name = instance.name;
      member.region = instance.region;
      member.failure_domain = instance.failure_domain;
      member.http_address = instance.http_address;
      member.peer_address = instance.peer_address;
    }
  }
  for (auto item = members_.begin(); item != members_.end();) {
    Member& member = item->second;
    member.listed = listed.count(item->first) > 0;
    // A reachable member stays: the list lags behind new instances.
    const bool reachable = member.state == MemberState::kAlive ||
                           member.state == MemberState::kLeaving;
    if (member.listed || reachable) {
      ++item;
      continue;
    }
    const Member removed = member;
    by_hash_.erase(HashOf(item->first));
    item = members_.erase(item);
    on_change_.Notify(removed);
  }
}

size_t HeartbeatMembership::listed_count() const {
  if (!list_known_) {
    return 0;
  }
  const std::ptrdiff_t listed = std::count_if(
      members_.begin(), members_.end(),
      [](const MemberMap::value_type& item) { return item.second.listed; });
  return static_cast<size_t>(listed) + 1;
}

void HeartbeatMembership::MarkSynced(const std::string& name, TimePoint time) {
  const auto member = members_.find(name);
  if (member != members_.end()) {
    member->second.synced_at = std::max(member->second.synced_at, time);
  }
}

void HeartbeatMembership::AnnounceLeaving() {
  leaving_ = true;
  SendHeartbeatToAll();
  Member own;
  own.name = identity_->name;
  own.region = identity_->region;
  own.failure_domain = identity_->failure_domain;
  own.process_id = identity_->process_id;
  own.state = MemberState::kLeaving;
  on_change_.Notify(own);
}

void HeartbeatMembership::SendDueHeartbeats(TimePoint now) {
  const size_t count = CountRegionMembers();
  const Milliseconds same_region = region_pacing_.Interval(count);
  const Milliseconds remote = remote_pacing_.Interval(members_.size() - count);
  std::vector<Member*> due;
  for (auto& [name, member] : members_) {
    const Milliseconds interval =
        member.region == identity_->region ? same_region : remote;
    // Half a tick of tolerance, since a tick may come slightly early.
    if (now - member.last_sent + options_.region_interval / 2 >= interval) {
      due.push_back(&member);
    }
  }
  if (due.empty()) {
    return;
  }
  Heartbeat heartbeat = MakeHeartbeat();
  for (Member* const member : due) {
    SendHeartbeat(heartbeat, *member, now);
  }
}

void HeartbeatMembership::SendHeartbeat(Heartbeat& heartbeat,
                                        Member& member,
                                        TimePoint now) {
  member.last_sent = now;
  heartbeat.identity.clear();
  if (member.acknowledged_incarnation != transport_->incarnation()) {
    heartbeat.identity.push_back(OwnIdentity());
  }
  heartbeat.echoed_heartbeat_number = member.heartbeat_number_to_echo;
  heartbeat.incarnation_seen = member.incarnation_seen;
  transport_->Send(UdpEndpoint(member.peer_address), MessageKind::kHeartbeat,
                   EncodePayload(heartbeat));
}

void HeartbeatMembership::SendHeartbeatToAll() {
  if (identity_->http_address.empty()) {
    // Not listening yet.
    return;
  }
  const TimePoint now = Clock::now();
  Heartbeat heartbeat = MakeHeartbeat();
  for (auto& [name, member] : members_) {
    SendHeartbeat(heartbeat, member, now);
  }
  SendSeedHeartbeats(now);
}

void HeartbeatMembership::SendSeedHeartbeats(TimePoint now) {
  last_seed_heartbeat_ = now;
  std::set<std::string> known = {identity_->peer_address};
  for (const auto& [name, member] : members_) {
    known.insert(member.peer_address);
  }
  for (const std::string& seed : seeds_) {
    if (known.insert(seed).second) {
      Heartbeat heartbeat = MakeHeartbeat();
      heartbeat.identity = {OwnIdentity()};
      transport_->Send(UdpEndpoint(seed), MessageKind::kHeartbeat,
                       EncodePayload(heartbeat));
    }
  }
}

void HeartbeatMembership::SendHeartbeatToSample() {
  if (identity_->http_address.empty()) {
    return;
  }
  std::vector<Member*> same_region;
  std::vector<Member*> remote;
  for (auto& [name, member] : members_) {
    if (member.state != MemberState::kSuspect) {
      (member.region == identity_->region ? same_region : remote)
          .push_back(&member);
    }
  }
  std::shuffle(same_region.begin(), same_region.end(), random_);
  std::shuffle(remote.begin(), remote.end(), random_);
  same_region.resize(std::min(same_region.size(), kRegionFanout));
  remote.resize(std::min(remote.size(), kRemoteFanout));
  same_region.insert(same_region.end(), remote.begin(), remote.end());
  const TimePoint now = Clock::now();
  Heartbeat heartbeat = MakeHeartbeat();
  for (Member* const member : same_region) {
    SendHeartbeat(heartbeat, *member, now);
  }
}

void HeartbeatMembership::SendHeartbeatTo(
    const std::vector<std::string>& names) {
  if (identity_->http_address.empty()) {
    return;
  }
  const TimePoint now = Clock::now();
  Heartbeat heartbeat = MakeHeartbeat();
  for (const std::string& name : names) {
    const auto member = members_.find(name);
    if (member != members_.end()) {
      SendHeartbeat(heartbeat, member->second, now);
    }
  }
}

void HeartbeatMembership::AddHeartbeatSource(
    std::function<void(Heartbeat&)> source) {
  heartbeat_sources_.push_back(std::move(source));
}

void HeartbeatMembership::SetStateComparer(
    std::function<bool(const std::string&, const Heartbeat&)> comparer) {
  comparer_ = std::move(comparer);
}

void HeartbeatMembership::Tick() {
  const TimePoint now = Clock::now();
  const Milliseconds gap =
      std::chrono::duration_cast<Milliseconds>(now - last_tick_);
  last_tick_ = now;
  if (gap > options_.pause_limit) {
    spdlog::warn("event=process_paused ms={}", gap.count());
    metrics_
        .Get("redwing_process_pauses_total",
             "Pauses of the process beyond the limit, in pauses")
        .Add();
    on_pause_.Notify(gap);
  }
  if (!identity_->http_address.empty()) {
    SendDueHeartbeats(now);
    if (now - last_seed_heartbeat_ >= options_.heartbeat_interval) {
      SendSeedHeartbeats(now);
    }
  }
  MarkSuspects(now);
}

void HeartbeatMembership::HandleHeartbeat(const Envelope& envelope) {
  const Result<Heartbeat> decoded = DecodePayload<Heartbeat>(envelope.payload);
  if (!decoded || !IsValid(decoded.value())) {
    metrics_
        .Get("redwing_peer_dropped_total",
             "Messages of peers that were dropped, in messages",
             {{"reason", "payload"}})
        .Add();
    return;
  }
  const Heartbeat& heartbeat = decoded.value();
  transport_->RaiseIncarnation(heartbeat.incarnation_seen);
  const auto known = members_.find(envelope.sender);
  const bool identified =
      known != members_.end() &&
      known->second.incarnation_seen == envelope.incarnation;
  if (heartbeat.identity.empty() && !identified) {
    // The sender assumes that this process knows its identity, as an earlier
    // one did. It sends it after the next heartbeat from here, which does not
    // acknowledge its incarnation.
    return;
  }
  Member& member = members_[envelope.sender];
  by_hash_[HashOf(envelope.sender)] = &member;
  member.name = envelope.sender;
  if (!heartbeat.identity.empty()) {
    SetIdentity(heartbeat.identity.front(), &member);
  }
  member.acknowledged_incarnation = heartbeat.incarnation_seen;
  member.ready = heartbeat.ready;
  member.key_epoch = heartbeat.key_epoch;
  member.store_era = heartbeat.store_era;
  member.store_access = StoreAccessFromWire(heartbeat.store_access);
  member.incarnation_seen = envelope.incarnation;
  member.heartbeat_number_to_echo =
      std::max(member.heartbeat_number_to_echo, heartbeat.heartbeat_number);
  member.last_seen = Clock::now();
  member.last_direct_heartbeat = member.last_seen;
  UpdateSyncTime(member, heartbeat);
  UpdateTargetLinks(member, heartbeat.reaches_targets);
  UpdateState(member,
              heartbeat.leaving ? MemberState::kLeaving : MemberState::kAlive);
  ApplyRelayed(member, heartbeat);
  on_heartbeat_.Notify(member, heartbeat);
}

void HeartbeatMembership::UpdateSyncTime(Member& member,
                                         const Heartbeat& heartbeat) {
  const auto sent =
      std::lower_bound(sent_heartbeats_.begin(), sent_heartbeats_.end(),
                       heartbeat.echoed_heartbeat_number,
                       [](const SentHeartbeat& b, uint64_t heartbeat_number) {
                         return b.heartbeat_number < heartbeat_number;
                       });
  const bool equal = comparer_ && comparer_(member.name, heartbeat);
  if (equal && sent != sent_heartbeats_.end() &&
      sent->heartbeat_number == heartbeat.echoed_heartbeat_number) {
    member.synced_at = std::max(member.synced_at, sent->at);
  }
}

void HeartbeatMembership::UpdateState(Member& member, MemberState state) {
  if (member.state == state) {
    return;
  }
  spdlog::info("event=member_changed member={} state={} was={}", member.name,
               MemberStateName(state), MemberStateName(member.state));
  member.state = state;
  on_change_.Notify(member);
}

void HeartbeatMembership::UpdateTargetLinks(Member& member,
                                            bool reaches_targets) {
  if (member.reaches_targets == reaches_targets) {
    return;
  }
  spdlog::info("event=member_changed member={} reaches_targets={}", member.name,
               reaches_targets);
  member.reaches_targets = reaches_targets;
  on_change_.Notify(member);
}

void HeartbeatMembership::ApplyRelayed(const Member& reporter,
                                       const Heartbeat& heartbeat) {
  const TimePoint now = Clock::now();
  for (const RelayedHeartbeat& relayed : heartbeat.relayed) {
    const auto found = by_hash_.find(relayed.name_hash);
    if (found == by_hash_.end()) {
      continue;
    }
    Member& member = *found->second;
    const TimePoint seen_at = now - Milliseconds(relayed.age_ms);
    // A member that has not sent its identity yet cannot be used.
    if (member.region != reporter.region || seen_at <= member.last_seen ||
        member.state == MemberState::kUnknown) {
      continue;
    }
    member.last_seen = seen_at;
    member.ready = relayed.ready;
    UpdateState(member,
                relayed.leaving ? MemberState::kLeaving : MemberState::kAlive);
  }
}

void HeartbeatMembership::RelayMembers(Heartbeat* heartbeat) {
  const TimePoint now = Clock::now();
  auto next = members_.upper_bound(last_relayed_);
  for (size_t seen = 0;
       seen < members_.size() && heartbeat->relayed.size() < kMaxRelayedMembers;
       ++seen, ++next) {
    if (next == members_.end()) {
      next = members_.begin();
    }
    const Member& member = next->second;
    last_relayed_ = next->first;
    const bool reachable = member.state == MemberState::kAlive ||
                           member.state == MemberState::kLeaving;
    const Milliseconds age =
        std::chrono::ceil<Milliseconds>(now - member.last_direct_heartbeat);
    if (reachable && member.region == identity_->region &&
        age.count() <= UINT16_MAX) {
      heartbeat->relayed.push_back(
          {HashOf(next->first), static_cast<uint16_t>(age.count()),
           member.ready, member.state == MemberState::kLeaving});
    }
  }
}

void HeartbeatMembership::MarkSuspects(TimePoint now) {
  const size_t count = CountRegionMembers();
  const Milliseconds same_region = region_pacing_.SuspicionTimeout(count);
  const Milliseconds remote =
      remote_pacing_.SuspicionTimeout(members_.size() - count);
  for (auto& [name, member] : members_) {
    const Milliseconds limit =
        member.region == identity_->region ? same_region : remote;
    const bool expired = now - member.last_seen > limit;
    if (member.state != MemberState::kUnknown && expired) {
      UpdateState(member, MemberState::kSuspect);
    }
  }
}

size_t HeartbeatMembership::CountRegionMembers() const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [this](const MemberMap::value_type& item) {
                      return item.second.region == identity_->region;
                    }));
}

SenderIdentity HeartbeatMembership::OwnIdentity() const {
  return {identity_->region,       identity_->failure_domain,
          identity_->http_address, identity_->caller_address,
          identity_->peer_address, identity_->process_id};
}

Heartbeat HeartbeatMembership::MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.leaving = leaving_;
  heartbeat.heartbeat_number = ++heartbeat_number_;
  sent_heartbeats_.push_back({heartbeat.heartbeat_number, Clock::now()});
  if (sent_heartbeats_.size() > kMaxSentHeartbeats) {
    sent_heartbeats_.pop_front();
  }
  for (const std::function<void(Heartbeat&)>& source : heartbeat_sources_) {
    source(heartbeat);
  }
  RelayMembers(&heartbeat);
  return heartbeat;
}

}  // namespace redwing
