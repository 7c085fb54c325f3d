#ifndef REDWING_MEMBERSHIP_INTERNAL_HEARTBEAT_MEMBERSHIP_H_
#define REDWING_MEMBERSHIP_INTERNAL_HEARTBEAT_MEMBERSHIP_H_

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/kernel/periodic_task.h"
#include "membership/heartbeat_pacing.h"
#include "membership/identity.h"
#include "membership/membership.h"

namespace redwing {

class Metrics;
class PeerTransport;
struct Envelope;

// Implements Membership with heartbeats between all instances. The first
// members come from the platform's list and from the seed addresses of the
// settings.
class HeartbeatMembership : public Membership {
 public:
  HeartbeatMembership(boost::asio::io_context& io,
                      Metrics& metrics,
                      std::shared_ptr<Identity> identity,
                      MembershipOptions options,
                      std::vector<std::string> seeds);

  void Attach(std::shared_ptr<PeerTransport> transport);
  void Start();
  void Stop();

  const MemberMap& members() const override { return members_; }
  const Member* Find(std::string_view name) const override;
  void ApplyList(const std::vector<ListedInstance>& instances) override;
  size_t listed_count() const override;
  bool missing_from_list() const override {
    return list_known_ && !self_listed_;
  }
  void MarkSynced(const std::string& name, TimePoint time) override;
  void AnnounceLeaving() override;
  bool leaving() const override { return leaving_; }
  void SendHeartbeatToAll() override;
  void SendHeartbeatToSample() override;
  void SendHeartbeatTo(const std::vector<std::string>& names) override;
  void AddHeartbeatSource(std::function<void(Heartbeat&)> source) override;
  void SetStateComparer(
      std::function<bool(const std::string&, const Heartbeat&)> comparer)
      override;
  Channel<Member, Heartbeat>& on_heartbeat() override { return on_heartbeat_; }
  Channel<Member>& on_change() override { return on_change_; }
  Channel<Milliseconds>& on_pause() override { return on_pause_; }

 private:
  struct SentHeartbeat {
    uint64_t heartbeat_number;
    TimePoint at;
  };

  void Tick();
  void HandleHeartbeat(const Envelope& envelope);
  void UpdateSyncTime(Member& member, const Heartbeat& heartbeat);
  void UpdateTargetLinks(Member& member, bool reaches_targets);
  void UpdateState(Member& member, MemberState state);
  void MarkSuspects(TimePoint now);
  // Applies the heartbeats that a member relays for others of its region.
  void ApplyRelayed(const Member& reporter, const Heartbeat& heartbeat);
  // Adds the next reachable members of the own region to a heartbeat.
  void RelayMembers(Heartbeat* heartbeat);
  // Returns the number of members of the own region.
  size_t CountRegionMembers() const;
  SenderIdentity OwnIdentity() const;
  Heartbeat MakeHeartbeat();
  // Sends heartbeats to the members whose interval has passed.
  void SendDueHeartbeats(TimePoint now);
  void SendSeedHeartbeats(TimePoint now);
  void SendHeartbeat(Heartbeat& heartbeat, Member& member, TimePoint now);

  Metrics& metrics_;
  std::shared_ptr<Identity> identity_;
  MembershipOptions options_;
  // For members of the own region and of all other regions.
  HeartbeatPacing region_pacing_;
  HeartbeatPacing remote_pacing_;
  std::vector<std::string> seeds_;
  std::shared_ptr<PeerTransport> transport_;
  MemberMap members_;
  // Members by the hash of their name, by which relayed heartbeats refer to
  // them.
  std::unordered_map<uint32_t, Member*> by_hash_;
  bool list_known_ = false;
  bool self_listed_ = false;
  bool leaving_ = false;
  uint64_t heartbeat_number_ = 0;
  std::deque<SentHeartbeat> sent_heartbeats_;
  TimePoint last_tick_;
  TimePoint last_seed_heartbeat_;
  // Name of the last member considered for relaying.
  std::string last_relayed_;
  std::mt19937_64 random_;
  std::vector<std::function<void(Heartbeat&)>> heartbeat_sources_;
  std::function<bool(const std::string&, const Heartbeat&)> comparer_;
  Channel<Member, Heartbeat> on_heartbeat_;
  Channel<Member> on_change_;
  Channel<Milliseconds> on_pause_;
  PeriodicTask tick_;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_INTERNAL_HEARTBEAT_MEMBERSHIP_H_
