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
constexpr size_t kSentBeatsKept = 1024;
constexpr int kBeatStartShift = 16;

bool IsWellFormed(const Heartbeat& heartbeat) {
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
    member->beat_to_echo = 0;
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
      seeds_(std::move(seeds)),
      tick_(io, options.region_interval, [this]() { Tick(); }) {
  // A restart must not take an echo of the former process for its own.
  beat_ = Hash64(identity_->process_id) >> kBeatStartShift;
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
  BeatNow();
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
    // A member that is heard stays: the list lags behind new instances.
    const bool heard = member.state == MemberState::kAlive ||
                       member.state == MemberState::kLeaving;
    if (member.listed || heard) {
      ++item;
      continue;
    }
    const Member removed = member;
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
  BeatNow();
}

void HeartbeatMembership::BeatRegion() {
  Heartbeat heartbeat = MakeHeartbeat();
  for (const auto& [name, member] : members_) {
    if (member.region == identity_->region) {
      SendBeat(heartbeat, member);
    }
  }
}

void HeartbeatMembership::SendBeat(Heartbeat& heartbeat, const Member& member) {
  heartbeat.identity.clear();
  if (member.knows_incarnation != transport_->incarnation()) {
    heartbeat.identity.push_back(OwnIdentity());
  }
  heartbeat.echoed_beat = member.beat_to_echo;
  heartbeat.incarnation_seen = member.incarnation_seen;
  transport_->Send(UdpEndpoint(member.peer_address), MessageKind::kHeartbeat,
                   EncodePayload(heartbeat));
}

void HeartbeatMembership::BeatNow() {
  if (identity_->http_address.empty()) {
    // Not listening yet.
    return;
  }
  Heartbeat heartbeat = MakeHeartbeat();
  last_beat_ = Clock::now();
  std::set<std::string> sent_to = {identity_->peer_address};
  for (const auto& [name, member] : members_) {
    SendBeat(heartbeat, member);
    sent_to.insert(member.peer_address);
  }
  heartbeat.echoed_beat = 0;
  heartbeat.incarnation_seen = 0;
  heartbeat.identity = {OwnIdentity()};
  for (const std::string& seed : seeds_) {
    if (sent_to.insert(seed).second) {
      transport_->Send(UdpEndpoint(seed), MessageKind::kHeartbeat,
                       EncodePayload(heartbeat));
    }
  }
}

void HeartbeatMembership::AddBeatSource(
    std::function<void(Heartbeat&)> source) {
  beat_sources_.push_back(std::move(source));
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
  if (now - last_beat_ >= options_.heartbeat_interval) {
    BeatNow();
  } else {
    BeatRegion();
  }
  FindSuspects(now);
}

void HeartbeatMembership::HandleHeartbeat(const Envelope& envelope) {
  const Result<Heartbeat> decoded = DecodePayload<Heartbeat>(envelope.payload);
  if (!decoded || !IsWellFormed(decoded.value())) {
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
    // It takes us for a process that knew it: the next beat tells it otherwise.
    return;
  }
  Member& member = members_[envelope.sender];
  member.name = envelope.sender;
  if (!heartbeat.identity.empty()) {
    SetIdentity(heartbeat.identity.front(), &member);
  }
  member.knows_incarnation = heartbeat.incarnation_seen;
  member.ready = heartbeat.ready;
  member.key_epoch = heartbeat.key_epoch;
  member.incarnation_seen = envelope.incarnation;
  member.beat_to_echo = std::max(member.beat_to_echo, heartbeat.beat);
  member.last_heard = Clock::now();
  NoteSync(member, heartbeat);
  UpdateState(member,
              heartbeat.leaving ? MemberState::kLeaving : MemberState::kAlive);
  on_heartbeat_.Notify(member, heartbeat);
}

void HeartbeatMembership::NoteSync(Member& member, const Heartbeat& heartbeat) {
  const auto sent = std::lower_bound(
      sent_beats_.begin(), sent_beats_.end(), heartbeat.echoed_beat,
      [](const SentBeat& b, uint64_t beat) { return b.beat < beat; });
  const bool equal = comparer_ && comparer_(member.name, heartbeat);
  if (equal && sent != sent_beats_.end() &&
      sent->beat == heartbeat.echoed_beat) {
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

void HeartbeatMembership::FindSuspects(TimePoint now) {
  for (auto& [name, member] : members_) {
    const Milliseconds limit = member.region == identity_->region
                                   ? options_.suspicion_timeout
                                   : options_.remote_suspicion_timeout;
    const bool silent = now - member.last_heard > limit;
    if (member.state != MemberState::kUnknown && silent) {
      UpdateState(member, MemberState::kSuspect);
    }
  }
}

SenderIdentity HeartbeatMembership::OwnIdentity() const {
  return {identity_->region,       identity_->failure_domain,
          identity_->http_address, identity_->caller_address,
          identity_->peer_address, identity_->process_id};
}

Heartbeat HeartbeatMembership::MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.leaving = leaving_;
  heartbeat.beat = ++beat_;
  sent_beats_.push_back({heartbeat.beat, Clock::now()});
  if (sent_beats_.size() > kSentBeatsKept) {
    sent_beats_.pop_front();
  }
  for (const std::function<void(Heartbeat&)>& source : beat_sources_) {
    source(heartbeat);
  }
  return heartbeat;
}

}  // namespace redwing
