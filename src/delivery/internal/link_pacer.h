#ifndef REDWING_DELIVERY_INTERNAL_LINK_PACER_H_
#define REDWING_DELIVERY_INTERNAL_LINK_PACER_H_

#include <cstddef>
#include <string>

#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

class Budgets;

// Sends the bytes of one message over a link at the rate of the link's budget.
class LinkPacer {
 public:
  // Bytes that are charged at once.
  static constexpr size_t kPiece = 16 * 1024;

  // `link`: name of the budget; empty if the bytes pass no link. `prepaid`:
  // bytes that are charged already. `budgets` must outlive this object.
  LinkPacer(Budgets& budgets, std::string link, double prepaid);

  bool active() const { return !link_.empty(); }
  // Waits until the link has capacity for the bytes that are not prepaid.
  // Returns false if it has none before the deadline.
  bool Pace(size_t bytes, TimePoint deadline, const Yield& yield);

 private:
  Budgets& budgets_;
  std::string link_;
  double prepaid_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_LINK_PACER_H_
