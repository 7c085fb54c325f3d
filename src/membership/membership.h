#ifndef REDWING_MEMBERSHIP_MEMBERSHIP_H_
#define REDWING_MEMBERSHIP_MEMBERSHIP_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "framework/kernel/channel.h"
#include "membership/heartbeat.h"
#include "membership/member.h"
#include "store/instance_directory.h"

namespace redwing {

struct MembershipOptions {
  // Minimum interval between heartbeats to a member of another region.
  Milliseconds heartbeat_interval{200};
  // Minimum interval between heartbeats to a member of the own region. It is
  // shorter because these instances share targets.
  Milliseconds region_interval{50};
  // With many members the intervals grow to these times per member, so that the
  // number of messages per second stays limited.
  Milliseconds remote_interval_per_member{30};
  Milliseconds region_interval_per_member{10};
  // Minimum time without a heartbeat after which a member of the own region is
  // suspected and gets no new requests. The timeout always covers several
  // heartbeat intervals.
  Milliseconds suspicion_timeout{1000};
  // Minimum suspicion timeout for members of other regions.
  Milliseconds remote_suspicion_timeout{1000};
  // A pause of this process longer than this stops the spending of budgets.
  Milliseconds pause_limit{1000};
};

// Tracks the other instances of the fleet and their state.
class Membership {
 public:
  static constexpr std::string_view kServiceName = "membership";

  using MemberMap = std::map<std::string, Member, std::less<>>;

  virtual ~Membership() = default;

  virtual const MemberMap& members() const = 0;
  // Returns nullptr if no member of this name is known.
  virtual const Member* Find(std::string_view name) const = 0;

  // Applies a new version of the platform's list: adds listed instances and
  // removes unlisted members that are neither alive nor leaving.
  virtual void ApplyList(const std::vector<ListedInstance>& instances) = 0;
  // Returns the number of listed instances including this one; 0 until a list
  // was applied.
  virtual size_t listed_count() const = 0;
  // Returns true if a list was applied and does not contain this instance.
  virtual bool missing_from_list() const = 0;
  // Records that the replicated state of a member as of `time` was merged.
  virtual void MarkSynced(const std::string& name, TimePoint time) = 0;

  // Announces to all members that this instance leaves the fleet.
  virtual void AnnounceLeaving() = 0;
  virtual bool leaving() const = 0;

  // Sends a heartbeat to all members immediately.
  virtual void SendHeartbeatToAll() = 0;
  // Sends a heartbeat immediately to a few randomly selected members, mostly of
  // the own region. Each of them does the same with the changes that it learns,
  // so that these spread through the fleet.
  virtual void SendHeartbeatToSample() = 0;
  // Sends a heartbeat immediately to the members of these names.
  virtual void SendHeartbeatTo(const std::vector<std::string>& names) = 0;

  // Adds a callback that fills the fields of its module in each outgoing
  // heartbeat.
  virtual void AddHeartbeatSource(std::function<void(Heartbeat&)> source) = 0;
  // Sets the callback that returns whether the replicated state advertised in a
  // received heartbeat equals the state of this instance. It is called for each
  // heartbeat.
  virtual void SetStateComparer(
      std::function<bool(const std::string& name, const Heartbeat&)>
          comparer) = 0;

  // Notifies of each heartbeat received.
  virtual Channel<Member, Heartbeat>& on_heartbeat() = 0;
  // Notifies of each member that became alive, suspect or leaving, lost or
  // regained its links to targets, or was removed; and of this instance when it
  // announces its leaving.
  virtual Channel<Member>& on_change() = 0;
  // Notifies of each pause of this process longer than
  // MembershipOptions::pause_limit, with its length.
  virtual Channel<Milliseconds>& on_pause() = 0;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_MEMBERSHIP_H_
