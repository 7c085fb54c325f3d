#ifndef REDWING_ADMIN_STATE_EDITOR_H_
#define REDWING_ADMIN_STATE_EDITOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/audit_record.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "store/object_store.h"

namespace redwing {

// A change to make to one state entry.
struct StateEdit {
  // Name of the entry, such as "section.network".
  std::string entry;
  std::string who;
  std::string action;
  // Revision that the editor started from; without it the change is applied to
  // whatever is current.
  std::optional<uint64_t> from_revision;
  bool forced = false;
  // Computes the new body from the current one, null when there is none. May
  // be called more than once.
  std::function<Result<nlohmann::json>(const nlohmann::json& current)> change;
};

// What came of it.
struct StateEditResult {
  uint64_t revision = 0;
  std::string change_id;
};

// The current state of one entry.
struct StateView {
  uint64_t revision = 0;
  nlohmann::json body;
  std::vector<AuditRecord> recent;
};

// Changes state entries in the store by conditional update. The audit record
// is part of the same object, so the two cannot part. An answer that was lost
// is resolved by looking for the change's own id.
class StateEditor {
 public:
  // Records kept in the object itself; older ones move to audit objects.
  static constexpr size_t kRecentRecords = 64;

  explicit StateEditor(std::shared_ptr<ObjectStore> store)
      : store_(std::move(store)) {}

  // Fails with kConflict when the entry changed since from_revision, with the
  // failure of `change`, or with kStoreUnavailable, which is kMayHaveRun only
  // when even reading back did not tell.
  Result<StateEditResult> Apply(const StateEdit& edit, const Yield& yield);

  // Reads an entry; revision 0 when it does not exist.
  Result<StateView> Read(const std::string& entry, const Yield& yield);
  Result<std::vector<std::string>> EntryNames(const Yield& yield);

  // Reads all audit records of an entry, oldest first.
  Result<std::vector<AuditRecord>> History(const std::string& entry,
                                           const Yield& yield);
  // Reads the body that a revision had.
  Result<nlohmann::json> BodyOf(const AuditRecord& record, const Yield& yield);

 private:
  struct Draft {
    StoredObject object;
    AuditRecord record;
    // An earlier try took effect though its answer was lost.
    bool applied_before = false;
  };

  Result<Draft> MakeDraft(const StateEdit& edit,
                          const std::string& change_id,
                          const Yield& yield);
  // Moves the oldest records out of a section that has many.
  Result<void> RollOver(const std::string& entry,
                        nlohmann::json* records,
                        const Yield& yield);
  // Returns whether a change is in the store; nothing when it cannot be told.
  std::optional<bool> WasApplied(const StateEdit& edit,
                                 const std::string& change_id,
                                 const Yield& yield);
  Result<void> KeepBody(const AuditRecord& record,
                        const nlohmann::json& body,
                        const Yield& yield);

  std::shared_ptr<ObjectStore> store_;
};

}  // namespace redwing

#endif  // REDWING_ADMIN_STATE_EDITOR_H_
