#ifndef REDWING_ROUTING_ENTRY_LOOKUP_H_
#define REDWING_ROUTING_ENTRY_LOOKUP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"

namespace redwing {

// Tells callers which entry instances to send their requests to.
class EntryLookup {
 public:
  static constexpr std::string_view kServiceName = "entry_lookup";

  virtual ~EntryLookup() = default;

  // Returns the lookup response as JSON: the entry instances in order of
  // preference, with a time to live. An empty `region` means this instance's
  // own region. Fails with kUnknownService, or with kMalformedRequest for an
  // unknown region.
  virtual Result<std::string> LookUp(std::string_view service,
                                     std::string_view region) = 0;

  // Returns the addresses that callers of `region` use to reach their entry
  // instances: those of the region, or all entry instances if the region has
  // none.
  virtual std::vector<std::string> CallerAddresses(std::string_view region) = 0;

  // Sets the function that returns the epoch of the idempotency keys accepted
  // now.
  virtual void SetEpochSource(std::function<uint32_t()> epoch) = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_ENTRY_LOOKUP_H_
