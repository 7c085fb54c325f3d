#ifndef REDWING_ADMIN_OPERATOR_DIRECTORY_H_
#define REDWING_ADMIN_OPERATOR_DIRECTORY_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "store/object_store.h"

namespace redwing {

// An operator and the sections that it may edit.
struct Operator {
  std::string name;
  std::vector<std::string> sections;

  bool MayEdit(std::string_view section) const;
};

// Finds the operator to whom a key belongs, in the store.
class OperatorDirectory {
 public:
  // `root_key` is a key from the settings that may do everything, for the
  // first set-up; empty for none.
  OperatorDirectory(std::shared_ptr<ObjectStore> store, std::string root_key)
      : store_(std::move(store)), root_key_(std::move(root_key)) {}

  Result<Operator> Authenticate(std::string_view key, const Yield& yield);

 private:
  std::shared_ptr<ObjectStore> store_;
  std::string root_key_;
};

}  // namespace redwing

#endif  // REDWING_ADMIN_OPERATOR_DIRECTORY_H_
