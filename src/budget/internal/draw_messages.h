#ifndef REDWING_BUDGET_INTERNAL_DRAW_MESSAGES_H_
#define REDWING_BUDGET_INTERNAL_DRAW_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace redwing {

// Asks an owner of a share for tokens.
struct TokenRequest {
  uint64_t request_id = 0;
  std::string budget;
  double amount = 0;
  // Largest single amount that the sender spends at once.
  double largest = 0;
  // Demand, met or not, since the sender's last request of this budget.
  double demand = 0;
  // Draws of this owner that are spent.
  std::vector<uint64_t> spent_grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, budget, amount, largest, demand, spent_grants);
  }
};

// Answers a request; grant_id 0 refuses it. The draw ends for the receiver
// `duration_ms` after it sent the request.
struct TokenGrant {
  uint64_t request_id = 0;
  uint64_t grant_id = 0;
  double amount = 0;
  uint32_t duration_ms = 0;
  // When the owner expects to have what it did not give.
  uint32_t wait_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request_id, grant_id, amount, duration_ms, wait_ms);
  }
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_DRAW_MESSAGES_H_
