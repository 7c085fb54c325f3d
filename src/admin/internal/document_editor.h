#ifndef REDWING_ADMIN_INTERNAL_DOCUMENT_EDITOR_H_
#define REDWING_ADMIN_INTERNAL_DOCUMENT_EDITOR_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "steering/section.h"

namespace redwing {

class FleetView;
class StateEditor;
struct Operator;

// A section's new body, wanted by an operator.
struct SectionEdit {
  std::string name;
  nlohmann::json body;
  // For the audit record.
  std::string action;
  // The revision that the operator has seen.
  uint64_t from_revision = 0;
  // Passes over concerns, never over problems.
  bool forced = false;
};

// Names the state entry of a section.
std::string SectionEntryName(const std::string& section);

// The failure for an operator that may not edit a section; kNotRun.
Failure ForbiddenEdit(const Operator& caller, std::string_view section);

std::string JoinLines(const std::vector<std::string>& lines);

// Edits sections of the steering document, each checked with all others.
// `editor` and `fleet` must outlive it.
class DocumentEditor {
 public:
  DocumentEditor(StateEditor& editor, FleetView& fleet)
      : editor_(editor), fleet_(fleet) {}

  // Replaces a section after checking the whole document with it. Returns the
  // new revision and the id of the change. Fails with kForbidden,
  // kInvalidDocument, kConflict (saying what changed and by whom), or as the
  // store does.
  Result<nlohmann::json> Apply(const SectionEdit& wanted,
                               const Operator& caller,
                               const Yield& yield);
  // Returns the document's sections with one replaced; an empty name keeps
  // all.
  Result<std::vector<Section>> SectionsWith(const std::string& name,
                                            const nlohmann::json& body,
                                            const Yield& yield);
  // Checks a whole document; `changed` is the section that is new in it.
  Result<void> Check(const std::vector<Section>& sections,
                     const Section* changed,
                     bool forced,
                     const Yield& yield);

 private:
  // Adds to a conflict what changed since the editor's revision, and by whom.
  Failure DescribeConflict(const Failure& conflict,
                           const std::string& entry,
                           uint64_t from_revision,
                           const Yield& yield);

  StateEditor& editor_;
  FleetView& fleet_;
};

}  // namespace redwing

#endif  // REDWING_ADMIN_INTERNAL_DOCUMENT_EDITOR_H_
