#ifndef REDWING_MEMBERSHIP_HEARTBEAT_H_
#define REDWING_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/wire/payload.h"
#include "membership/target_start.h"

namespace redwing {

// Load and state of a target, as reported by an instance that sends requests to
// it.
struct TargetLoadReport {
  uint32_t target_hash = 0;
  // Requests of the sender in flight at the target.
  uint16_t outstanding = 0;
  // Requests queued at the sender for the target.
  uint16_t waiting = 0;
  // Latency of the target as a percentage of its service's latency.
  uint16_t slowness_percent = 100;
  bool usable = true;
  // Remaining backoff that the target requested of the sender; 0 if it accepts
  // requests. Saturates at the largest value of the type.
  uint32_t backoff_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target_hash, outstanding, waiting, slowness_percent, usable,
            backoff_ms);
  }
};

// Rate limit that a target named in a response to the sender.
struct TargetRateReport {
  TargetStart target;
  // Requests per second of all instances together; infinite if the response
  // named no limit.
  double rate = 0;
  // Time since the response.
  uint32_t age_ms = 0;
  // Time until the sender can send one more request to the target, if it is the
  // target's slot leader.
  uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target, rate, age_ms, wait_ms);
  }
};

// Number of requests that an instance has placed in a region since it started;
// wraps around.
struct PlacedRequests {
  uint32_t region_hash = 0;
  uint32_t count = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region_hash, count);
  }
};

// Reports that the sender received a heartbeat from another instance of its
// region, so that the receiver needs none from that instance itself.
struct RelayedHeartbeat {
  uint32_t name_hash = 0;
  // Time since its last direct heartbeat.
  uint16_t age_ms = 0;
  bool ready = false;
  bool leaving = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name_hash, age_ms, ready, leaving);
  }
};

// Identity of the sender of a heartbeat.
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

// Message that each instance sends periodically to every other one. The
// interval grows with the number of instances.
struct Heartbeat {
  // Empty once the receiver has acknowledged this incarnation of the sender;
  // otherwise one element.
  std::vector<SenderIdentity> identity;
  bool leaving = false;
  // True if the sender has a configuration, so that callers may use it.
  bool ready = false;
  uint64_t heartbeat_number = 0;
  // Number of the last heartbeat that the sender received from the receiver; 0
  // for none.
  uint64_t echoed_heartbeat_number = 0;
  // Latest incarnation of the receiver that the sender has seen.
  uint64_t incarnation_seen = 0;
  uint64_t state_digest = 0;
  // Sum of the packed versions of the sender's replicated state: the instance
  // with the higher sum has changes that the other one lacks.
  uint64_t state_sum = 0;
  uint64_t withdrawn_hash = 0;
  // Share of the sender's service capacity in use, 0 to 1000.
  uint16_t load_permille = 0;
  // Epoch of the idempotency keys that the sender currently accepts.
  uint32_t key_epoch = 0;
  std::vector<TargetLoadReport> work;
  std::vector<PlacedRequests> placed;
  // Some members of the sender's region, taken round-robin over successive
  // heartbeats.
  std::vector<RelayedHeartbeat> relayed;
  // Some of the targets that announced their departure to the sender in a
  // response.
  std::vector<TargetStart> departed;
  // Rate limits of some targets that named them to the sender.
  std::vector<TargetRateReport> rate_limits;
  // False while the sender has lost its links to targets.
  bool reaches_targets = true;
  // Highest era of the store that the sender knows; 0 if it knows none, or is
  // of a build that knows no eras.
  uint32_t store_era = 0;
  // StoreAccess of the sender.
  uint8_t store_access = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(identity, leaving, ready, heartbeat_number, echoed_heartbeat_number,
            incarnation_seen, state_digest, state_sum, withdrawn_hash,
            load_permille, key_epoch, work, placed, relayed, departed);
    ArchiveAppended(archive, rate_limits);
    ArchiveAppended(archive, reaches_targets);
    ArchiveAppended(archive, store_era);
    ArchiveAppended(archive, store_access);
  }
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_HEARTBEAT_H_
