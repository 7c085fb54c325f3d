#include "budget/remote_backlog.h"

#include <iterator>

namespace redwing {

void RemoteBacklog::Set(const std::string& peer, double amount, TimePoint now) {
  if (amount <= 0) {
    by_peer_.erase(peer);
    return;
  }
  by_peer_[peer] = {amount, now};
}

double RemoteBacklog::Amount(TimePoint now) {
  double sum = 0;
  for (auto item = by_peer_.begin(); item != by_peer_.end();) {
    if (now - item->second.requested_at > kRetention) {
      item = by_peer_.erase(item);
      continue;
    }
    sum += item->second.amount;
    ++item;
  }
  return sum;
}

}  // namespace redwing
