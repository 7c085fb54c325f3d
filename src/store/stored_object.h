#ifndef REDWING_STORE_STORED_OBJECT_H_
#define REDWING_STORE_STORED_OBJECT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "store/store_version.h"

namespace redwing {

// An object in the platform's object store.
struct StoredObject {
  std::string kind;
  std::string name;
  // Version as assigned by the store, opaque; used for conditional updates.
  std::string version;
  nlohmann::json spec;
  // Era of the store in which the object was read.
  uint32_t era = StoreVersion::kFirstEra;
};

}  // namespace redwing

#endif  // REDWING_STORE_STORED_OBJECT_H_
