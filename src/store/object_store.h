#ifndef REDWING_STORE_OBJECT_STORE_H_
#define REDWING_STORE_OBJECT_STORE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "store/stored_object.h"

namespace redwing {

// Objects of one kind as of one version of the store.
struct ObjectList {
  std::string version;
  std::vector<StoredObject> objects;
};

// The platform's object API: versions, conditional updates, watches. Failures:
// kNotFound, kConflict (both kNotRun), kStoreUnavailable. A write that fails
// with kMayHaveRun may have taken effect: read back before writing again.
class ObjectStore {
 public:
  static constexpr std::string_view kServiceName = "object_store";

  virtual ~ObjectStore() = default;

  virtual Result<StoredObject> Get(const std::string& kind,
                                   const std::string& name,
                                   const Yield& yield) = 0;
  virtual Result<ObjectList> List(const std::string& kind,
                                  const Yield& yield) = 0;
  // Fails with kConflict when the object exists.
  virtual Result<StoredObject> Create(const StoredObject& object,
                                      const Yield& yield) = 0;
  // Fails with kConflict unless the stored version is object.version.
  virtual Result<StoredObject> Update(const StoredObject& object,
                                      const Yield& yield) = 0;
  // Removes an object. Fails with kConflict unless the stored version is
  // object.version.
  virtual Result<void> Delete(const StoredObject& object,
                              const Yield& yield) = 0;
  // Calls `on_object` for every change after a version, until the watch ends.
  virtual Failure Watch(
      const std::string& kind,
      const std::string& version,
      const std::function<void(const StoredObject&)>& on_object,
      const Yield& yield) = 0;
};

}  // namespace redwing

#endif  // REDWING_STORE_OBJECT_STORE_H_
