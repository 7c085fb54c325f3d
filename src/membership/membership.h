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

// Timings of membership.
struct MembershipOptions {
  Milliseconds heartbeat_interval{200};
  // Instances of the own region, which share targets, hear more often.
  Milliseconds region_interval{50};
  // With many members the intervals grow to this much for each of them, so
  // that the messages a second do not.
  Milliseconds remote_interval_per_member{30};
  Milliseconds region_interval_per_member{10};
  // A member not heard for this long, and not for some of its beats, is suspect
  // and gets no new work.
  Milliseconds suspicion_timeout{1000};
  // The same for members of other regions.
  Milliseconds remote_suspicion_timeout{1000};
  // A pause of the own process longer than this stops spending of budgets.
  Milliseconds pause_limit{1000};
};

// The other instances of the fleet, as seen from here.
class Membership {
 public:
  static constexpr std::string_view kServiceName = "membership";

  using MemberMap = std::map<std::string, Member, std::less<>>;

  virtual ~Membership() = default;

  virtual const MemberMap& members() const = 0;
  // Returns null when no such member is known.
  virtual const Member* Find(std::string_view name) const = 0;

  // Replaces the platform's list, which seeds and removes members.
  virtual void ApplyList(const std::vector<ListedInstance>& instances) = 0;
  // Number of listed instances, this one included; 0 before a list is known.
  virtual size_t listed_count() const = 0;
  // Returns whether a list is known and this instance is not in it.
  virtual bool missing_from_list() const = 0;
  // Records that a member's state was merged as of `time`.
  virtual void MarkSynced(const std::string& name, TimePoint time) = 0;

  // Announces that this instance leaves.
  virtual void AnnounceLeaving() = 0;
  virtual bool leaving() const = 0;

  // Sends a heartbeat to all members at once.
  virtual void BeatNow() = 0;
  // Sends a heartbeat at once to a few members, mostly of the own region, each
  // of which does the same with what it learns.
  virtual void BeatFew() = 0;

  // Fills the module-specific fields of each outgoing heartbeat.
  virtual void AddBeatSource(std::function<void(Heartbeat&)> source) = 0;
  // Announces each heartbeat received. Returns whether the replicated state it
  // tells of equals ours.
  virtual void SetStateComparer(
      std::function<bool(const std::string& name, const Heartbeat&)>
          comparer) = 0;

  // Tells of heartbeats received.
  virtual Channel<Member, Heartbeat>& on_heartbeat() = 0;
  // Tells of members that became alive, suspect, leaving, or were removed.
  virtual Channel<Member>& on_change() = 0;
  // Tells of a pause of this process longer than the limit.
  virtual Channel<Milliseconds>& on_pause() = 0;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_MEMBERSHIP_H_
