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

// State as of one version of the store.
struct StateReading {
  uint64_t version = 0;
  std::vector<StateEntry> entries;
};

// How a wait for a change ended.
struct ChangeWait {
  bool changed = false;
  // Version up to which nothing else has changed.
  uint64_t version = 0;
};

// Where operators of a platform with objects of its own keep what is state of
// this system. A binding of such a platform registers one.
class StateSource {
 public:
  static constexpr std::string_view kServiceName = "state_source";

  virtual ~StateSource() = default;

  // Names the kinds of objects that are read.
  virtual std::vector<std::string> Kinds() const = 0;
  // Reads all objects of a kind. Fails with kStoreUnavailable.
  virtual Result<StateReading> Read(const std::string& kind,
                                    const Yield& yield) = 0;
  // Returns once an object of the kind has changed after a version, or after
  // `limit`. Fails with kStoreUnavailable.
  virtual Result<ChangeWait> AwaitChange(const std::string& kind,
                                         uint64_t version,
                                         Milliseconds limit,
                                         const Yield& yield) = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_SOURCE_H_
