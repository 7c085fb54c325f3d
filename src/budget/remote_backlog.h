#ifndef REDWING_BUDGET_REMOTE_BACKLOG_H_
#define REDWING_BUDGET_REMOTE_BACKLOG_H_

#include <map>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// What other instances asked an owner for in vain and will ask for again.
class RemoteBacklog {
 public:
  // A peer that does not ask again for this long has given up.
  static constexpr Milliseconds kRetention{500};

  // Replaces what a peer still asks for; 0 when it got all.
  void Set(const std::string& peer, double amount, TimePoint now);
  // What all peers still ask for.
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
