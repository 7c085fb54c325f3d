#ifndef REDWING_MEMBERSHIP_MEMBER_H_
#define REDWING_MEMBERSHIP_MEMBER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// How an instance appears to another one.
enum class MemberState { kUnknown, kAlive, kSuspect, kLeaving };

std::string_view MemberStateName(MemberState state);

// Another instance of the fleet.
struct Member {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string http_address;
  // Where callers reach it; empty: at http_address.
  std::string caller_address;
  std::string peer_address;
  // Identifies one process; a restart changes it.
  std::string process_id;
  // Epoch of the idempotency keys that it accepts now.
  uint32_t key_epoch = 0;
  MemberState state = MemberState::kUnknown;
  // In the platform's list.
  bool listed = false;
  // Has a configuration, so that callers may use it.
  bool ready = false;
  // When it was last known to live, heard itself or through others.
  TimePoint last_heard;
  // When it was last heard itself. Only this is told to others: what went
  // through several hands would seem younger by each of its ways.
  TimePoint last_direct_heartbeat;
  // When the last heartbeat was sent to it.
  TimePoint last_sent;
  // When it was first seen in the list.
  TimePoint listed_since;
  // Send time of the latest own heartbeat that the member has answered while
  // its replicated state equalled ours. What it knew then, we know.
  TimePoint synced_at;
  uint64_t incarnation_seen = 0;
  // Incarnation of this instance of which it has told that it knows it.
  uint64_t acknowledged_incarnation = 0;
  // Its own latest heartbeat number, echoed back to it.
  uint64_t heartbeat_number_to_echo = 0;

  bool usable() const { return state == MemberState::kAlive; }
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_MEMBER_H_
