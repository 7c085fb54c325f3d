#ifndef REDWING_BUDGET_REMOTE_BACKLOG_H_
#define REDWING_BUDGET_REMOTE_BACKLOG_H_

#include <map>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Tokens that other instances requested from this budget holder, were not
// granted, and are expected to request again.
class RemoteBacklog {
 public:
  // Time after which a peer's unmet demand is discarded unless the peer
  // requests tokens again.
  static constexpr Milliseconds kRetention{500};

  // Replaces the unmet demand of a peer; 0 if its request was granted in full.
  void Set(const std::string& peer, double amount, TimePoint now);
  // Returns the unmet demand of all peers.
  double Amount(TimePoint now);

 private:
  struct Entry {
    double amount = 0;
    TimePoint requested_at;
  };

  std::map<std::string, Entry> by_peer_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_REMOTE_BACKLOG_H_
