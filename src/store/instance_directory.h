#ifndef REDWING_STORE_INSTANCE_DIRECTORY_H_
#define REDWING_STORE_INSTANCE_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"
#include "store/store_version.h"

namespace redwing {

// An instance or target as listed by the platform. The list lags behind the
// actual state.
struct ListedInstance {
  std::string name;
  // kEntryService for instances of this system, otherwise the service of a
  // target.
  std::string service;
  std::string region;
  std::string failure_domain;
  std::string http_address;
  std::string peer_address;
  bool leaving = false;
  // Targets only: number of requests that it executes concurrently.
  int slots = 0;
  // Targets only: identifies its current start; a later start has a higher
  // value.
  uint64_t started_at = 0;
  // Targets only: remaining warm-up time.
  Milliseconds warm_up_left{0};
};

struct InstanceList {
  // Increases with every change of the list.
  StoreVersion version;
  std::vector<ListedInstance> instances;
};

// Reads the platform's list of live and leaving instances and targets.
class InstanceDirectory {
 public:
  static constexpr std::string_view kServiceName = "instance_directory";
  static constexpr std::string_view kEntryService = "redwing-entry";

  virtual ~InstanceDirectory() = default;

  virtual Result<InstanceList> ListInstances(const Yield& yield) = 0;
};

}  // namespace redwing

#endif  // REDWING_STORE_INSTANCE_DIRECTORY_H_
