#include "config/internal/document_config.h"

#include "config/key_shard.h"
#include "config/listing_codec.h"
#include "framework/log/log.h"
#include "keys/key_ring.h"
#include "membership/membership.h"
#include "steering/section_parser.h"

namespace redwing {

namespace {

bool HasPrefix(const std::string& name, std::string_view prefix) {
  return name.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

DocumentConfig::DocumentConfig(std::shared_ptr<ReplicatedState> state,
                               std::shared_ptr<KeyRing> keys)
    : state_(std::move(state)),
      keys_(std::move(keys)),
      document_(std::make_shared<SteeringDocument>(std::vector<Section>())) {
  state_->on_applied().Subscribe(
      [this](const StateEntry& entry) { HandleEntry(entry); });
}

void DocumentConfig::Attach(std::shared_ptr<Membership> membership) {
  membership_ = std::move(membership);
}

bool DocumentConfig::ready() const {
  return state_->complete() && !document_->services().empty();
}

void DocumentConfig::HandleEntry(const StateEntry& entry) {
  if (HasPrefix(entry.name, kSectionPrefix)) {
    Rebuild();
  } else if (HasPrefix(entry.name, kKeysPrefix)) {
    ApplyKeys(entry);
  } else if (entry.name == kDrainsName) {
    drains_ = Drains::Parse(entry.body);
  } else if (entry.name == kListingName) {
    ApplyListing(entry);
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
}

void DocumentConfig::Rebuild() {
  std::vector<Section> sections;
  for (const auto& [name, entry] : state_->entries()) {
    if (!HasPrefix(name, kSectionPrefix)) {
      continue;
    }
    Result<Section> section =
        ParseSection(name.substr(kSectionPrefix.size()), entry.body);
    if (section) {
      sections.push_back(std::move(section.value()));
    } else {
      spdlog::error("{} revision {} is not valid: {}", name, entry.revision,
                    section.error().detail);
    }
  }
  document_ = std::make_shared<SteeringDocument>(sections);
}

}  // namespace redwing
