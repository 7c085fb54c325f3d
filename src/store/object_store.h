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

// All objects of one kind at one version of the store.
struct ObjectList {
  std::string version;
  std::vector<StoredObject> objects;
};

// Object store of the platform, with versions, conditional updates and watches.
// Calls fail with kNotFound or kConflict, both with the verdict kNotRun, or
// with kStoreUnavailable. A write that fails with the verdict kMayHaveRun may
// have taken effect: read the object back before writing again.
class ObjectStore {
 public:
  static constexpr std::string_view kServiceName = "object_store";

  virtual ~ObjectStore() = default;

  virtual Result<StoredObject> Get(const std::string& kind,
                                   const std::string& name,
                                   const Yield& yield) = 0;
  virtual Result<ObjectList> List(const std::string& kind,
                                  const Yield& yield) = 0;
  // Creates an object. Fails with kConflict if it exists.
  virtual Result<StoredObject> Create(const StoredObject& object,
                                      const Yield& yield) = 0;
  // Replaces an object. Fails with kConflict unless the stored version is
  // object.version.
  virtual Result<StoredObject> Update(const StoredObject& object,
                                      const Yield& yield) = 0;
  // Deletes an object. Fails with kConflict unless the stored version is
  // object.version.
  virtual Result<void> Delete(const StoredObject& object,
                              const Yield& yield) = 0;
  // Calls `on_object` at least for each object created or changed after
  // `version`, until the watch ends; deletions are not reported. Returns the
  // reason: kOk if the store ended the watch as planned.
  virtual Failure Watch(
      const std::string& kind,
      const std::string& version,
      const std::function<void(const StoredObject&)>& on_object,
      const Yield& yield) = 0;
};

}  // namespace redwing

#endif  // REDWING_STORE_OBJECT_STORE_H_
