#ifndef REDWING_BUDGET_INTERNAL_TOKEN_MESSAGES_H_
#define REDWING_BUDGET_INTERNAL_TOKEN_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace redwing {

// Requests tokens from the budget holder.
struct TokenRequest {
  uint64_t request_id = 0;
  std::string budget;
  double amount = 0;
  // Largest amount of a single request at the sender.
  double largest = 0;
  // Demand, met or unmet, since the sender's last request for this budget.
  double demand = 0;
  // Ids of grants by the recipient of this message that were spent completely.
  std::vector<uint64_t> spent_grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, budget, amount, largest, demand, spent_grants);
  }
};

// Response to a TokenRequest; grant_id 0 means that no tokens are granted. For
// the requester the grant expires `duration_ms` after it sent the request.
struct TokenGrant {
  uint64_t request_id = 0;
  uint64_t grant_id = 0;
  double amount = 0;
  uint32_t duration_ms = 0;
  // Time until the budget holder expects to have the tokens it did not grant.
  uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, grant_id, amount, duration_ms, wait_ms);
  }
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_TOKEN_MESSAGES_H_
