#ifndef REDWING_MEMBERSHIP_MEMBER_H_
#define REDWING_MEMBERSHIP_MEMBER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "framework/kernel/clock.h"
#include "membership/store_access.h"

namespace redwing {

// State of an instance as another instance sees it.
enum class MemberState { kUnknown, kAlive, kSuspect, kLeaving };

std::string_view MemberStateName(MemberState state);

// What this instance knows of another instance of the fleet.
struct Member {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string http_address;
  // Address at which callers reach it; if empty, http_address.
  std::string caller_address;
  std::string peer_address;
  // Identifies its process; a restart changes it.
  std::string process_id;
  // Epoch of the idempotency keys that it currently accepts.
  uint32_t key_epoch = 0;
  MemberState state = MemberState::kUnknown;
  // True if the platform's list contains it.
  bool listed = false;
  // True if it has a configuration, so that callers may use it.
  bool ready = false;
  // False while it has lost its links to targets.
  bool reaches_targets = true;
  // Highest era of the store that it knows; 0 if it knows none.
  uint32_t store_era = 0;
  // Whether the store answers it; kUnreported if it is of an older build.
  StoreAccess store_access = StoreAccess::kUnreported;
  // Time of its last heartbeat, received directly or relayed.
  TimePoint last_seen;
  // Time of the last heartbeat received directly from it. Only this time is
  // relayed to other members: a time relayed over several hops would appear
  // more recent by the network time of each hop.
  TimePoint last_direct_heartbeat;
  // Time at which the last heartbeat was sent to it.
  TimePoint last_sent;
  // Time at which it appeared in the platform's list.
  TimePoint listed_since;
  // Send time of the latest heartbeat of this instance that the member echoed
  // while both had the same replicated state. This instance knows everything
  // that the member knew at that time.
  TimePoint synced_at;
  // Latest incarnation of the member that this instance has seen.
  uint64_t incarnation_seen = 0;
  // Incarnation of this instance that the member has acknowledged.
  uint64_t acknowledged_incarnation = 0;
  // Highest heartbeat number received from the member, echoed back to it.
  uint64_t heartbeat_number_to_echo = 0;

  bool usable() const { return state == MemberState::kAlive; }
  // Returns whether requests for targets may be forwarded to it.
  bool may_lead() const { return usable() && reaches_targets; }
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_MEMBER_H_
