#include "config/internal/peer_sync.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>

#include "config/internal/sync_messages.h"
#include "config/replicated_state.h"
#include "config/state_feed.h"
#include "framework/kernel/spawn.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/compression.h"
#include "framework/wire/digest.h"
#include "framework/wire/payload.h"
#include "keys/key_ring.h"
#include "membership/identity.h"
#include "membership/membership.h"

namespace redwing {

namespace {
constexpr Milliseconds kPullTimeout{2000};
constexpr Milliseconds kPushInterval{100};
// Unacknowledged withdrawals are not sent again after this time.
constexpr Milliseconds kPushDuration{60'000};
constexpr size_t kMaxWithdrawalsPerDatagram = 50;
// One reply is enough, but some of the members may have become unreachable.
constexpr size_t kPullsAfterPause = 3;
// Upper bound of the decompressed size; larger replies are rejected.
constexpr size_t kMaxReplyBytes = 64 * 1024 * 1024;
}  // namespace

PeerSync::PeerSync(boost::asio::io_context& io,
                   Metrics& metrics,
                   std::shared_ptr<ReplicatedState> state,
                   std::shared_ptr<KeyRing> keys,
                   std::shared_ptr<Identity> identity,
                   std::shared_ptr<StateFeed> feed)
    : io_(io),
      metrics_(metrics),
      identity_(std::move(identity)),
      state_(std::move(state)),
      keys_(std::move(keys)),
      feed_(std::move(feed)),
      push_task_(io, kPushInterval, [this]() { PushPending(); }) {}

void PeerSync::Attach(std::shared_ptr<PeerTransport> transport,
                      std::shared_ptr<Membership> membership) {
  transport_ = std::move(transport);
  membership_ = std::move(membership);
  membership_->AddHeartbeatSource([this](Heartbeat& heartbeat) {
    heartbeat.state_digest = state_->digest();
    heartbeat.state_sum = state_->version_sum();
    heartbeat.withdrawn_hash = keys_->withdrawn_hash();
    heartbeat.store_era = state_->era();
  });
  membership_->SetStateComparer(
      [this](const std::string& name, const Heartbeat& heartbeat) {
        return StateEquals(name, heartbeat);
      });
  state_->on_applied().Subscribe([this](const StateEntry& /*entry*/) {
    RecordApplied();
    ScheduleHeartbeats();
  });
  transport_->OnCall(MessageKind::kStatePull, [this](const Envelope& envelope) {
    return HandlePull(envelope);
  });
  transport_->OnDatagram(
      MessageKind::kWithdrawal,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleWithdrawal(envelope);
      });
  transport_->OnDatagram(
      MessageKind::kWithdrawalAck,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleAck(envelope);
      });
}

void PeerSync::Start() {
  push_task_.Start();
}

void PeerSync::Stop() {
  push_task_.Stop();
}

void PeerSync::Withdraw(const Withdrawal& withdrawal) {
  keys_->Withdraw({withdrawal});
  Push& push = pushes_[withdrawal.key_id];
  push.withdrawal = withdrawal;
  push.begun = Clock::now();
  PushPending();
}

WithdrawalStatus PeerSync::StatusOf(const std::string& key_id) const {
  WithdrawalStatus status;
  status.listed = membership_->listed_count();
  status.acknowledged = keys_->IsWithdrawn(key_id) ? 1 : 0;
  status.stored = feed_->IsStored(key_id);
  const auto push = pushes_.find(key_id);
  std::set<std::string> missing;
  for (const auto& [name, member] : membership_->members()) {
    const bool acknowledged =
        push != pushes_.end() &&
        std::count(push->second.acknowledged_by.begin(),
                   push->second.acknowledged_by.end(), name) > 0;
    if (!member.listed) {
      continue;
    }
    if (acknowledged) {
      ++status.acknowledged;
    } else {
      missing.insert(member.region);
    }
  }
  status.missing_regions.assign(missing.begin(), missing.end());
  return status;
}

bool PeerSync::StateEquals(const std::string& name,
                           const Heartbeat& heartbeat) {
  state_->ObserveEra(heartbeat.store_era, Clock::now());
  RecordAdvertised(name, heartbeat);
  if (heartbeat.state_digest == state_->digest() &&
      heartbeat.withdrawn_hash == keys_->withdrawn_hash()) {
    return true;
  }
  // A peer with a lower sum of versions has no newer entry and pulls from this
  // instance instead. With equal sums either side may have newer entries.
  const bool may_have_newer_state =
      !state_->complete() || heartbeat.state_sum >= state_->version_sum() ||
      heartbeat.withdrawn_hash != keys_->withdrawn_hash();
  if (!may_have_newer_state) {
    return false;
  }
  const Member* const member = membership_->Find(name);
  const bool same_region =
      member != nullptr && member->region == identity_->region;
  // Until its state is complete, an instance pulls from peers of other regions
  // as frequently as from its own region.
  const bool frequent = same_region || !state_->complete();
  if (pulls_.MayPull(frequent, Clock::now())) {
    Spawn(io_, [this, name, frequent](const Yield& yield) {
      if (!Pull(name, yield)) {
        pulls_.DiscardFailedPull(frequent);
      }
    });
  }
  return false;
}

void PeerSync::RecordAdvertised(const std::string& name,
                                const Heartbeat& heartbeat) {
  const std::optional<Milliseconds> lag = lag_.RecordAdvertised(
      heartbeat.state_sum, state_->version_sum(), Clock::now());
  if (lag) {
    spdlog::info(
        "event=state_behind for_ms={} member={} told={} held={} pulls={} "
        "failed={}",
        lag->count(), name, heartbeat.state_sum, state_->version_sum(),
        pulls_while_behind_, failed_while_behind_);
  }
}

void PeerSync::RecordApplied() {
  const std::optional<Milliseconds> lag =
      lag_.RecordApplied(state_->version_sum(), Clock::now());
  if (!lag) {
    return;
  }
  metrics_
      .Durations("redwing_state_behind_ms",
                 "From hearing of a newer state to holding it, in milliseconds")
      .Record(*lag);
  if (*lag >= StateLag::kLogInterval) {
    spdlog::info("event=state_caught_up after_ms={} held={} pulls={} failed={}",
                 lag->count(), state_->version_sum(), pulls_while_behind_,
                 failed_while_behind_);
  }
  pulls_while_behind_ = 0;
  failed_while_behind_ = 0;
}

bool PeerSync::Pull(const std::string& name, const Yield& yield) {
  const Member* const member = membership_->Find(name);
  if (member == nullptr) {
    return false;
  }
  const TimePoint begun = Clock::now();
  ++pulls_while_behind_;
  metrics_.Get("redwing_state_pulls_total", "State pulls from peers, in calls")
      .Add();
  const Result<std::string> bytes = transport_->Call(
      TcpEndpoint(member->peer_address), MessageKind::kStatePull,
      EncodePayload(StatePull{state_->Versions()}), kPullTimeout, yield);
  if (!bytes) {
    ++failed_while_behind_;
    spdlog::info("event=pull_failed member={} reason={}", name,
                 Quoted(bytes.error().detail));
    return false;
  }
  const Result<std::string> payload = Decompress(bytes.value(), kMaxReplyBytes);
  const Result<StateReply> reply =
      payload ? DecodePayload<StateReply>(payload.value()) : payload.error();
  if (!reply) {
    spdlog::warn("event=pull_unreadable member={} reason={}", name,
                 Quoted(reply.error().detail));
    return false;
  }
  for (const StateEntry& entry : reply.value().entries) {
    state_->Apply(entry, Clock::now());
  }
  if (keys_->Withdraw(reply.value().withdrawn)) {
    ScheduleHeartbeats();
  }
  if (reply.value().complete) {
    state_->MarkComplete();
    membership_->MarkSynced(name, begun);
  }
  return true;
}

void PeerSync::PullAfterPause() {
  std::vector<std::string> candidates;
  std::vector<std::string> other_regions;
  for (const auto& [name, member] : membership_->members()) {
    if (member.state != MemberState::kUnknown) {
      (member.region == identity_->region ? candidates : other_regions)
          .push_back(name);
    }
  }
  if (!candidates.empty()) {
    // Instances that resume at the same time pull from different members.
    const std::ptrdiff_t first = static_cast<std::ptrdiff_t>(
        Hash64(identity_->name) % candidates.size());
    std::rotate(candidates.begin(), candidates.begin() + first,
                candidates.end());
  }
  candidates.insert(candidates.end(), other_regions.begin(),
                    other_regions.end());
  candidates.resize(std::min(candidates.size(), kPullsAfterPause));
  for (const std::string& name : candidates) {
    Spawn(io_, [this, name](const Yield& yield) { Pull(name, yield); });
  }
}

std::string PeerSync::HandlePull(const Envelope& envelope) {
  const Result<StatePull> pull = DecodePayload<StatePull>(envelope.payload);
  StateReply reply;
  if (pull) {
    reply.complete = state_->complete();
    reply.entries = state_->NewerThan(pull.value().versions);
    reply.withdrawn = keys_->Withdrawals();
  }
  const Result<std::string> bytes = Compress(EncodePayload(reply));
  if (!bytes) {
    spdlog::error("event=pull_unanswered member={} reason={}", envelope.sender,
                  Quoted(bytes.error().detail));
  }
  return bytes ? bytes.value() : std::string();
}

void PeerSync::HandleWithdrawal(const Envelope& envelope) {
  const Result<WithdrawalMessage> message =
      DecodePayload<WithdrawalMessage>(envelope.payload);
  const Member* const member = membership_->Find(envelope.sender);
  if (!message || member == nullptr) {
    return;
  }
  keys_->Withdraw(message.value().withdrawals);
  transport_->Send(UdpEndpoint(member->peer_address),
                   MessageKind::kWithdrawalAck, envelope.payload);
}

void PeerSync::HandleAck(const Envelope& envelope) {
  const Result<WithdrawalMessage> message =
      DecodePayload<WithdrawalMessage>(envelope.payload);
  if (!message) {
    return;
  }
  for (const Withdrawal& withdrawal : message.value().withdrawals) {
    const auto push = pushes_.find(withdrawal.key_id);
    if (push == pushes_.end()) {
      continue;
    }
    std::vector<std::string>& by = push->second.acknowledged_by;
    if (std::count(by.begin(), by.end(), envelope.sender) == 0) {
      by.push_back(envelope.sender);
    }
  }
}

void PeerSync::PushPending() {
  const TimePoint now = Clock::now();
  for (const auto& [name, member] : membership_->members()) {
    WithdrawalMessage message;
    for (const auto& [id, push] : pushes_) {
      const bool acknowledged =
          std::count(push.acknowledged_by.begin(), push.acknowledged_by.end(),
                     name) > 0;
      if (!acknowledged && now - push.begun < kPushDuration &&
          message.withdrawals.size() < kMaxWithdrawalsPerDatagram) {
        message.withdrawals.push_back(push.withdrawal);
      }
    }
    if (!message.withdrawals.empty()) {
      transport_->Send(UdpEndpoint(member.peer_address),
                       MessageKind::kWithdrawal, EncodePayload(message));
    }
  }
}

void PeerSync::ScheduleHeartbeats() {
  if (heartbeats_scheduled_) {
    return;
  }
  heartbeats_scheduled_ = true;
  boost::asio::post(io_, [this]() {
    heartbeats_scheduled_ = false;
    membership_->SendHeartbeatToSample();
  });
}

}  // namespace redwing
