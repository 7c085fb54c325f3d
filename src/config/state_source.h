#ifndef REDWING_CONFIG_STATE_SOURCE_H_
#define REDWING_CONFIG_STATE_SOURCE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/state_entry.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

// Entries of one kind, as of one version of the store.
struct StateReading {
  // Version of the store at which the entries were read.
  StoreVersion version;
  std::vector<StateEntry> entries;
};

// Result of a wait for a change.
struct ChangeWait {
  // False if the wait timed out without a change.
  bool changed = false;
  // Version of the store up to which there was no other change.
  StoreVersion version;
};

// Reads the replicated state from objects of the platform. Registered by the
// binding of a platform on which operators keep this system's configuration in
// the platform's own objects.
class StateSource {
 public:
  static constexpr std::string_view kServiceName = "state_source";

  virtual ~StateSource() = default;

  // Returns the kinds of objects to read.
  virtual std::vector<std::string> Kinds() const = 0;
  // Reads all objects of a kind. Fails with kStoreUnavailable if the store
  // cannot be read.
  virtual Result<StateReading> Read(const std::string& kind,
                                    const Yield& yield) = 0;
  // Waits until an object of the kind has changed since `version`, for at most
  // `limit`. A restored store has changed. Fails with kStoreUnavailable if the
  // store cannot be read.
  virtual Result<ChangeWait> AwaitChange(const std::string& kind,
                                         const StoreVersion& version,
                                         Milliseconds limit,
                                         const Yield& yield) = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_SOURCE_H_
