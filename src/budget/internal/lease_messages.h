#ifndef REDWING_BUDGET_INTERNAL_LEASE_MESSAGES_H_
#define REDWING_BUDGET_INTERNAL_LEASE_MESSAGES_H_

#include <cstdint>
#include <string>

namespace redwing {

// Requests a share of a budget from a peer, or the extension of a lease.
struct LeaseRequest {
  uint64_t request_id = 0;
  // Lease to extend; 0 requests a new one.
  uint64_t lease_id = 0;
  std::string budget;
  double share = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, lease_id, budget, share);
  }
};

// Response to a LeaseRequest; lease_id 0 rejects it. For the borrower the lease
// expires `duration_ms` after it sent the request.
struct LeaseGrant {
  uint64_t request_id = 0;
  uint64_t lease_id = 0;
  double share = 0;
  double tokens = 0;
  uint32_t duration_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, lease_id, share, tokens, duration_ms);
  }
};

// Returns a lease before its expiry, with its remaining tokens.
struct LeaseReturn {
  uint64_t lease_id = 0;
  std::string budget;
  double tokens = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(lease_id, budget, tokens);
  }
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_LEASE_MESSAGES_H_
