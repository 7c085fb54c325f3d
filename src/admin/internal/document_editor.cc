#include "admin/internal/document_editor.h"

#include <fmt/format.h>

#include "admin/fleet_view.h"
#include "admin/internal/edit_checks.h"
#include "admin/operator_directory.h"
#include "admin/state_editor.h"
#include "config/drains.h"
#include "config/state_entry.h"
#include "steering/section_parser.h"
#include "steering/steering_document.h"

namespace redwing {

using nlohmann::json;

std::string SectionEntryName(const std::string& name) {
  return std::string(kSectionPrefix) + name;
}

Failure ForbiddenEdit(const Operator& caller, std::string_view section) {
  return NotRun(
      Errc::kForbidden,
      fmt::format("operator \"{}\" may not edit \"{}\"", caller.name, section));
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += (text.empty() ? "" : "\n") + line;
  }
  return text;
}

Result<json> DocumentEditor::Apply(const SectionEdit& wanted,
                                   const Operator& caller,
                                   const Yield& yield) {
  if (!caller.MayEdit(wanted.name)) {
    return ForbiddenEdit(caller, wanted.name);
  }
  const Result<Section> changed = ParseSection(wanted.name, wanted.body.dump());
  if (!changed) {
    return changed.error();
  }
  StateEdit edit;
  edit.entry = SectionEntryName(wanted.name);
  edit.who = caller.name;
  edit.action = wanted.action;
  edit.from_revision = wanted.from_revision;
  edit.forced = wanted.forced;
  edit.change = [&](const json& /*current*/) -> Result<json> {
    const Result<std::vector<Section>> sections =
        SectionsWith(wanted.name, wanted.body, yield);
    if (!sections) {
      return sections.error();
    }
    const Result<void> checked =
        Check(sections.value(), &changed.value(), wanted.forced, yield);
    if (!checked) {
      return checked.error();
    }
    return wanted.body;
  };
  const Result<StateEditResult> result = editor_.Apply(edit, yield);
  if (!result) {
    return result.error().errc == Errc::kConflict
               ? DescribeConflict(result.error(), edit.entry,
                                  wanted.from_revision, yield)
               : result.error();
  }
  return json{{"revision", result.value().revision},
              {"change_id", result.value().change_id}};
}

Result<std::vector<Section>> DocumentEditor::SectionsWith(
    const std::string& name,
    const json& body,
    const Yield& yield) {
  const Result<std::vector<std::string>> names = editor_.EntryNames(yield);
  if (!names) {
    return names.error();
  }
  std::vector<Section> sections;
  for (const std::string& entry : names.value()) {
    if (entry.compare(0, kSectionPrefix.size(), kSectionPrefix) != 0 ||
        entry == SectionEntryName(name)) {
      continue;
    }
    const Result<StateView> view = editor_.Read(entry, yield);
    if (!view) {
      return view.error();
    }
    Result<Section> section = ParseSection(entry.substr(kSectionPrefix.size()),
                                           view.value().body.dump());
    if (!section) {
      return section.error();
    }
    sections.push_back(std::move(section.value()));
  }
  if (!name.empty()) {
    Result<Section> section = ParseSection(name, body.dump());
    if (!section) {
      return section.error();
    }
    sections.push_back(std::move(section.value()));
  }
  return sections;
}

Result<void> DocumentEditor::Check(const std::vector<Section>& sections,
                                   const Section* changed,
                                   bool forced,
                                   const Yield& yield) {
  const std::vector<std::string> problems = FindDocumentProblems(sections);
  if (!problems.empty()) {
    return NotRun(Errc::kInvalidDocument, JoinLines(problems));
  }
  if (forced || changed == nullptr) {
    return boost::outcome_v2::success();
  }
  const Result<StateView> drains =
      editor_.Read(std::string(kDrainsName), yield);
  std::vector<std::string> concerns;
  if (drains) {
    concerns = FindStrandedServices(sections,
                                    Drains::Parse(drains.value().body.dump()));
  }
  if (!changed->regions.empty() || !changed->links.empty()) {
    const Result<json> status = fleet_.Status(yield);
    if (status) {
      for (std::string& concern :
           FindExceededLimits({*changed}, status.value())) {
        concerns.push_back(std::move(concern));
      }
    }
  }
  if (!concerns.empty()) {
    return NotRun(Errc::kInvalidDocument,
                  JoinLines(concerns) + "\n(can be forced)");
  }
  return boost::outcome_v2::success();
}

Failure DocumentEditor::DescribeConflict(const Failure& conflict,
                                         const std::string& entry,
                                         uint64_t from_revision,
                                         const Yield& yield) {
  Failure failure = conflict;
  const Result<StateView> view = editor_.Read(entry, yield);
  if (!view) {
    return failure;
  }
  for (const AuditRecord& record : view.value().recent) {
    if (record.to_revision > from_revision) {
      failure.detail +=
          fmt::format("\nrevision {} by {}: {} (change {})", record.to_revision,
                      record.who, record.action, record.change_id);
    }
  }
  return failure;
}

}  // namespace redwing
