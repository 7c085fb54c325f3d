#ifndef REDWING_CONFIG_STATE_FEED_H_
#define REDWING_CONFIG_STATE_FEED_H_

#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Keeps the replicated state of this instance up to date from the store.
class StateFeed {
 public:
  virtual ~StateFeed() = default;

  virtual void Start() = 0;
  virtual void Stop() = 0;

  // Begin time of the last reading of the withdrawals that counts as fresh.
  virtual TimePoint last_fresh_read() const = 0;
  // Returns whether a withdrawal was seen in the store.
  virtual bool IsStored(const std::string& key_id) const = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_FEED_H_
