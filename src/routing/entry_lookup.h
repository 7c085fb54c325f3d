#ifndef REDWING_ROUTING_ENTRY_LOOKUP_H_
#define REDWING_ROUTING_ENTRY_LOOKUP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"

namespace redwing {

// Answers callers that ask which entry instance to use.
class EntryLookup {
 public:
  static constexpr std::string_view kServiceName = "entry_lookup";

  virtual ~EntryLookup() = default;

  // Returns the JSON answer: entries in the order in which to use them, with a
  // time to live. An empty region stands for this instance's own. Fails with
  // kUnknownService, or kMalformedRequest for an unknown region.
  virtual Result<std::string> LookUp(std::string_view service,
                                     std::string_view region) = 0;

  // Returns where callers of a region reach the entries that they are to use:
  // those of the region, or all where it has none.
  virtual std::vector<std::string> CallerAddresses(std::string_view region) = 0;

  // Sets where to learn the epoch of the idempotency keys accepted now.
  virtual void SetEpochSource(std::function<uint32_t()> epoch) = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_ENTRY_LOOKUP_H_
