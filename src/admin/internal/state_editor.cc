#include "admin/state_editor.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "config/state_entry.h"
#include "framework/kernel/clock.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr std::string_view kAuditKind = "redwingaudits";
constexpr std::string_view kRevisionKind = "redwingrevisions";
constexpr size_t kChangeIdBytes = 8;
constexpr int kAttempts = 8;

int64_t WallClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string AuditObjectName(const std::string& entry, uint64_t first) {
  return fmt::format("{}.{:012}", entry, first);
}

std::string RevisionObjectName(const AuditRecord& record) {
  return fmt::format("{}.{:012}.{}", record.entry, record.to_revision,
                     record.change_id);
}

std::vector<AuditRecord> RecordsOf(const json& items) {
  std::vector<AuditRecord> records;
  for (const json& item : items) {
    records.push_back(AuditRecord::FromJson(item));
  }
  return records;
}

// Creates an object whose content depends on its name only: one that exists
// already is as good.
Result<void> CreateOnce(ObjectStore& store,
                        const StoredObject& object,
                        const Yield& yield) {
  const Result<StoredObject> created = store.Create(object, yield);
  if (created || created.error().errc == Errc::kConflict) {
    return boost::outcome_v2::success();
  }
  const Result<StoredObject> held = store.Get(object.kind, object.name, yield);
  if (held) {
    return boost::outcome_v2::success();
  }
  return NotRun(Errc::kStoreUnavailable, created.error().detail,
                Milliseconds(1000));
}

}  // namespace

Result<StateEditResult> StateEditor::Apply(const StateEdit& edit,
                                           const Yield& yield) {
  const std::string change_id = RandomHex(kChangeIdBytes);
  Failure last =
      NotRun(Errc::kConflict, "too many editors at once", Milliseconds(1000));
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const Result<Draft> draft = MakeDraft(edit, change_id, yield);
    if (!draft) {
      return draft.error();
    }
    if (draft.value().applied_before) {
      return StateEditResult{draft.value().record.to_revision, change_id};
    }
    const StoredObject& object = draft.value().object;
    const Result<StoredObject> written = object.version.empty()
                                             ? store_->Create(object, yield)
                                             : store_->Update(object, yield);
    if (written) {
      return StateEditResult{draft.value().record.to_revision, change_id};
    }
    last = written.error();
    if (last.errc == Errc::kConflict) {
      // Another editor was first. With a from_revision the next draft fails
      // and tells what changed.
      continue;
    }
    const std::optional<bool> applied = WasApplied(edit, change_id, yield);
    if (!applied) {
      return Failure{
          Errc::kStoreUnavailable, Verdict::kMayHaveRun,
          fmt::format("the outcome of change {} is not known", change_id),
          Milliseconds(2000)};
    }
    if (*applied) {
      return StateEditResult{draft.value().record.to_revision, change_id};
    }
  }
  return last;
}

Result<StateView> StateEditor::Read(const std::string& entry,
                                    const Yield& yield) {
  const Result<StoredObject> object =
      store_->Get(std::string(kStateKind), entry, yield);
  if (!object && object.error().errc == Errc::kNotFound) {
    return StateView();
  }
  if (!object) {
    return object.error();
  }
  const json& spec = object.value().spec;
  StateView view;
  try {
    view.revision = spec.at("revision");
    view.body = spec.at("body");
    view.recent = RecordsOf(spec.value("audit", json::array()));
  } catch (const json::exception& exception) {
    return NotRun(Errc::kInternal, exception.what());
  }
  return view;
}

Result<std::vector<std::string>> StateEditor::EntryNames(const Yield& yield) {
  const Result<ObjectList> list = store_->List(std::string(kStateKind), yield);
  if (!list) {
    return list.error();
  }
  std::vector<std::string> names;
  names.reserve(list.value().objects.size());
  for (const StoredObject& object : list.value().objects) {
    names.push_back(object.name);
  }
  return names;
}

Result<std::vector<AuditRecord>> StateEditor::History(const std::string& entry,
                                                      const Yield& yield) {
  const Result<StateView> view = Read(entry, yield);
  if (!view) {
    return view.error();
  }
  const Result<ObjectList> archived =
      store_->List(std::string(kAuditKind), yield);
  if (!archived) {
    return archived.error();
  }
  std::map<uint64_t, AuditRecord> by_revision;
  try {
    for (const StoredObject& object : archived.value().objects) {
      for (AuditRecord& record : RecordsOf(object.spec.at("records"))) {
        if (record.entry == entry) {
          by_revision.emplace(record.to_revision, std::move(record));
        }
      }
    }
  } catch (const json::exception& exception) {
    return NotRun(Errc::kInternal, exception.what());
  }
  for (const AuditRecord& record : view.value().recent) {
    by_revision.insert_or_assign(record.to_revision, record);
  }
  std::vector<AuditRecord> records;
  records.reserve(by_revision.size());
  for (auto& [revision, record] : by_revision) {
    records.push_back(std::move(record));
  }
  return records;
}

Result<json> StateEditor::BodyOf(const AuditRecord& record,
                                 const Yield& yield) {
  const Result<StoredObject> object = store_->Get(
      std::string(kRevisionKind), RevisionObjectName(record), yield);
  if (!object) {
    return object.error();
  }
  return object.value().spec.value("body", json());
}

Result<StateEditor::Draft> StateEditor::MakeDraft(const StateEdit& edit,
                                                  const std::string& change_id,
                                                  const Yield& yield) {
  const Result<StoredObject> current =
      store_->Get(std::string(kStateKind), edit.entry, yield);
  const bool absent = !current && current.error().errc == Errc::kNotFound;
  if (!current && !absent) {
    return NotRun(Errc::kStoreUnavailable, current.error().detail,
                  Milliseconds(1000));
  }
  Draft draft;
  json records = json::array();
  json body;
  uint64_t revision = 0;
  if (current) {
    draft.object = current.value();
    const json& spec = draft.object.spec;
    revision = spec.value("revision", uint64_t{0});
    records = spec.value("audit", json::array());
    body = spec.value("body", json());
  }
  for (const AuditRecord& record : RecordsOf(records)) {
    if (record.change_id == change_id) {
      draft.record = record;
      draft.applied_before = true;
      return draft;
    }
  }
  if (edit.from_revision && *edit.from_revision != revision) {
    return NotRun(Errc::kConflict,
                  fmt::format("the current revision is {}, not {}", revision,
                              *edit.from_revision));
  }
  const Result<json> changed = edit.change(body);
  if (!changed) {
    return changed.error();
  }
  AuditRecord& record = draft.record;
  record.change_id = change_id;
  record.who = edit.who;
  record.action = edit.action;
  record.at_ms = WallClockMs();
  record.entry = edit.entry;
  record.from_revision = revision;
  record.to_revision = revision + 1;
  record.forced = edit.forced;
  record.previous_hash =
      records.empty() ? "" : records.back().value("hash", "");
  record.hash = record.ComputeHash();
  records.push_back(record.ToJson());
  const Result<void> rolled = RollOver(edit.entry, &records, yield);
  if (!rolled) {
    return rolled.error();
  }
  const Result<void> kept = KeepBody(record, changed.value(), yield);
  if (!kept) {
    return kept.error();
  }
  draft.object.kind = kStateKind;
  draft.object.name = edit.entry;
  draft.object.spec = {{"revision", record.to_revision},
                       {"body", changed.value()},
                       {"audit", std::move(records)}};
  return draft;
}

Result<void> StateEditor::RollOver(const std::string& entry,
                                   json* records,
                                   const Yield& yield) {
  if (records->size() <= kRecentRecords) {
    return boost::outcome_v2::success();
  }
  const auto middle =
      records->begin() + static_cast<int64_t>(kRecentRecords / 2);
  const json oldest(std::vector<json>(records->begin(), middle));
  StoredObject archive;
  archive.kind = kAuditKind;
  archive.name = AuditObjectName(entry, oldest.front().at("to_revision"));
  archive.spec = {{"records", oldest}};
  const Result<void> created = CreateOnce(*store_, archive, yield);
  if (created) {
    records->erase(records->begin(), middle);
  }
  return created;
}

std::optional<bool> StateEditor::WasApplied(const StateEdit& edit,
                                            const std::string& change_id,
                                            const Yield& yield) {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const Result<StateView> view = Read(edit.entry, yield);
    if (!view) {
      continue;
    }
    return std::any_of(view.value().recent.begin(), view.value().recent.end(),
                       [&change_id](const AuditRecord& record) {
                         return record.change_id == change_id;
                       });
  }
  return std::nullopt;
}

Result<void> StateEditor::KeepBody(const AuditRecord& record,
                                   const json& body,
                                   const Yield& yield) {
  StoredObject object;
  object.kind = kRevisionKind;
  object.name = RevisionObjectName(record);
  object.spec = {{"body", body}};
  return CreateOnce(*store_, object, yield);
}

}  // namespace redwing
