#ifndef REDWING_MEMBERSHIP_HEARTBEAT_H_
#define REDWING_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/target_start.h"

namespace redwing {

// What an instance knows of a target to which it sends requests.
struct TargetWork {
  uint32_t target_hash = 0;
  // Requests that it has in work there.
  uint16_t outstanding = 0;
  // Requests that wait here for the target.
  uint16_t waiting = 0;
  // Its times as a percentage of its service's.
  uint16_t slowness_percent = 100;
  bool usable = true;
  // Time for which the target has asked the sender for no requests; zero when
  // it takes them. Longer times are told as the longest that fits.
  uint32_t backoff_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target_hash, outstanding, waiting, slowness_percent, usable,
            backoff_ms);
  }
};

// How many requests an instance has placed in a region since it started; the
// number wraps around.
struct PlacedRequests {
  uint32_t region_hash = 0;
  uint32_t count = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region_hash, count);
  }
};

// That another instance of the sender's region was heard, so that its life
// need not be heard from itself.
struct RelayedHeartbeat {
  uint32_t name_hash = 0;
  // Since it was heard.
  uint16_t age_ms = 0;
  bool ready = false;
  bool leaving = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name_hash, age_ms, ready, leaving);
  }
};

// Who the sender of heartbeats is.
struct SenderIdentity {
  std::string region;
  std::string failure_domain;
  std::string http_address;
  std::string caller_address;
  std::string peer_address;
  std::string process_id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, failure_domain, http_address, caller_address, peer_address,
            process_id);
  }
};

// Sent by each instance to each other, the less often the more there are.
struct Heartbeat {
  // Left out once the receiver has told that it knows this incarnation.
  std::vector<SenderIdentity> identity;
  bool leaving = false;
  // Has a configuration, so that callers may use it.
  bool ready = false;
  uint64_t heartbeat_number = 0;
  // Number of the receiver's beat that the sender heard last, 0 for none.
  uint64_t echoed_heartbeat_number = 0;
  // Incarnation of the receiver which the sender has seen last.
  uint64_t incarnation_seen = 0;
  uint64_t state_digest = 0;
  // Sum of the revisions of its state: who has the higher one has news.
  uint64_t state_sum = 0;
  uint64_t withdrawn_hash = 0;
  // Part of its service capacity in use, 0 to 1000.
  uint16_t load_permille = 0;
  // Epoch of the idempotency keys that the sender accepts now.
  uint32_t key_epoch = 0;
  std::vector<TargetWork> work;
  std::vector<PlacedRequests> placed;
  // Some members of the sender's region, in turn.
  std::vector<RelayedHeartbeat> relayed;
  // Some of the targets that told the sender in an answer that they leave.
  std::vector<TargetStart> departed;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(identity, leaving, ready, heartbeat_number, echoed_heartbeat_number,
            incarnation_seen, state_digest, state_sum, withdrawn_hash,
            load_permille, key_epoch, work, placed, relayed, departed);
  }
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_HEARTBEAT_H_
