#ifndef REDWING_CONFIG_STATE_FEED_H_
#define REDWING_CONFIG_STATE_FEED_H_

#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Updates the replicated state of this instance from the store.
class StateFeed {
 public:
  virtual ~StateFeed() = default;

  virtual void Start() = 0;
  virtual void Stop() = 0;

  // Start time of the last read of the store that confirms that the state is
  // fresh. The clock's epoch if there was none.
  virtual TimePoint last_fresh_read() const = 0;
  // Returns whether the withdrawal of this key is known to be in the store.
  virtual bool IsStored(const std::string& key_id) const = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_FEED_H_
