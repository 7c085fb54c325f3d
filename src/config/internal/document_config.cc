#include "config/internal/document_config.h"

#include <algorithm>

#include "config/key_shard.h"
#include "config/listing_codec.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "keys/key_ring.h"
#include "membership/membership.h"
#include "steering/usable_section.h"

namespace redwing {

namespace {

// Log lines on one version of a section.
constexpr size_t kLoggedProblems = 10;

bool HasPrefix(const std::string& name, std::string_view prefix) {
  return name.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

DocumentConfig::DocumentConfig(Metrics& metrics,
                               std::shared_ptr<ReplicatedState> state,
                               std::shared_ptr<KeyRing> keys)
    : metrics_(metrics),
      state_(std::move(state)),
      keys_(std::move(keys)),
      operator_document_(
          std::make_shared<SteeringDocument>(std::vector<Section>())),
      document_(operator_document_) {
  state_->on_applied().Subscribe(
      [this](const StateEntry& entry) { HandleEntry(entry); });
  state_->on_complete().Subscribe([this]() { on_change_.Notify(); });
}

void DocumentConfig::Attach(std::shared_ptr<Membership> membership) {
  membership_ = std::move(membership);
}

bool DocumentConfig::ready() const {
  return state_->complete() && !document_->services().empty();
}

void DocumentConfig::HandleEntry(const StateEntry& entry) {
  if (HasPrefix(entry.name, kSectionPrefix)) {
    ApplySection(entry);
  } else if (HasPrefix(entry.name, kKeysPrefix)) {
    ApplyKeys(entry);
  } else if (entry.name == kDrainsName) {
    drains_ = Drains::Parse(entry.body);
  } else if (entry.name == kListingName) {
    ApplyListing(entry);
  } else {
    // Other modules handle the remaining entries.
    return;
  }
  on_change_.Notify();
}

void DocumentConfig::ApplyKeys(const StateEntry& entry) {
  const nlohmann::json body =
      nlohmann::json::parse(entry.body, nullptr, /*allow_exceptions=*/false);
  keys_->SetShard(entry.name, KeyRecordsFromJson(body));
}

void DocumentConfig::ApplyListing(const StateEntry& entry) {
  listing_ = DecodeListing(entry);
  membership_->ApplyList(listing_.instances);
  MergeTargets();
}

void DocumentConfig::MergeTargets() {
  SteeringDocument::TargetMap targets;
  for (const ListedInstance& instance : listing_.instances) {
    const Service* const service =
        operator_document_->FindService(instance.service);
    if (service == nullptr || !service->discovered) {
      continue;
    }
    Target target;
    target.name = instance.name;
    target.address = instance.http_address;
    target.region = instance.region;
    target.failure_domain = instance.failure_domain;
    target.slots = std::max(1, instance.slots);
    target.started_at = instance.started_at;
    target.warm_up_left = instance.warm_up_left;
    targets[instance.service].push_back(std::move(target));
  }
  document_ = targets.empty() ? operator_document_
                              : std::make_shared<SteeringDocument>(
                                    operator_document_->WithTargets(targets));
}

void DocumentConfig::NoteProblems(const StateEntry& entry,
                                  const std::vector<std::string>& problems) {
  metrics_
      .Gauge("redwing_section_parts_refused",
             "Parts of a section in force that were left out, in parts",
             {{"name", entry.name}})
      .Set(static_cast<double>(problems.size()));
  const size_t logged = std::min(problems.size(), kLoggedProblems);
  for (size_t i = 0; i < logged; ++i) {
    spdlog::error(
        "event=section_part_refused name={} era={} revision={} reason={}",
        entry.name, entry.version.era(), entry.version.revision(),
        Quoted(problems[i]));
  }
}

void DocumentConfig::ApplySection(const StateEntry& entry) {
  Result<UsableSection> usable =
      ParseUsableSection(entry.name.substr(kSectionPrefix.size()), entry.body);
  if (!usable) {
    // The previous version of the section stays in force.
    spdlog::error("event=section_refused name={} era={} revision={} reason={}",
                  entry.name, entry.version.era(), entry.version.revision(),
                  Quoted(usable.error().detail));
    return;
  }
  NoteProblems(entry, usable.value().problems);
  sections_.insert_or_assign(entry.name, std::move(usable.value().section));
  std::vector<Section> sections;
  sections.reserve(sections_.size());
  newest_version_ = std::max(newest_version_, entry.version);
  for (const auto& [name, current] : sections_) {
    sections.push_back(current);
  }
  operator_document_ =
      std::make_shared<SteeringDocument>(sections, newest_version_.packed());
  spdlog::info("event=section_in_force name={} era={} revision={}", entry.name,
               entry.version.era(), entry.version.revision());
  MergeTargets();
}

}  // namespace redwing
