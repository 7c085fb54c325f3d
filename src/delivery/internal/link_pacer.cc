#include "delivery/internal/link_pacer.h"

#include <algorithm>
#include <utility>

#include "budget/budgets.h"

namespace redwing {

LinkPacer::LinkPacer(Budgets& budgets, std::string link, double prepaid)
    : budgets_(budgets), link_(std::move(link)), prepaid_(prepaid) {}

bool LinkPacer::Pace(size_t bytes, TimePoint deadline, const Yield& yield) {
  if (!active()) {
    return true;
  }
  double left = static_cast<double>(bytes);
  const double used = std::min(prepaid_, left);
  prepaid_ -= used;
  left -= used;
  while (left > 0) {
    const double piece = std::min<double>(left, kPiece);
    if (!budgets_.Pace(link_, piece, deadline, yield)) {
      return false;
    }
    left -= piece;
  }
  return true;
}

}  // namespace redwing
