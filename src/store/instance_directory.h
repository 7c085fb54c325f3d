#ifndef REDWING_STORE_INSTANCE_DIRECTORY_H_
#define REDWING_STORE_INSTANCE_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

// An instance as listed by the platform; the list lags behind the truth.
struct ListedInstance {
  std::string name;
  // "redwing-entry" for our own instances, else the name of a service.
  std::string service;
  std::string region;
  std::string failure_domain;
  std::string http_address;
  std::string peer_address;
  bool leaving = false;
  // Of targets: requests it executes at a time, which start of it this is, and
  // for how long it stays cold from now on.
  int slots = 0;
  uint64_t started_at = 0;
  Milliseconds warm_up_left{0};
};

struct InstanceList {
  // Grows with every change of the list.
  uint64_t version = 0;
  std::vector<ListedInstance> instances;
};

// The platform's list of live and leaving instances and targets.
class InstanceDirectory {
 public:
  static constexpr std::string_view kServiceName = "instance_directory";
  static constexpr std::string_view kEntryService = "redwing-entry";

  virtual ~InstanceDirectory() = default;

  virtual Result<InstanceList> ListInstances(const Yield& yield) = 0;
};

}  // namespace redwing

#endif  // REDWING_STORE_INSTANCE_DIRECTORY_H_
