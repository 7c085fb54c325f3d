#include "config/replicated_state.h"

#include <fmt/format.h>

#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {

uint64_t HashOf(const StateEntry& entry) {
  return Hash64(fmt::format("{}:{}", entry.name, entry.version.packed()));
}

// Returns whether operators or targets write the entry. Objects of this system
// are ordered by its own writes and apply at once.
bool IsWrittenByOthers(std::string_view name) {
  return name == kDrainsName || name == kListingName ||
         name.substr(0, kSectionPrefix.size()) == kSectionPrefix ||
         name.substr(0, kKeysPrefix.size()) == kKeysPrefix;
}

}  // namespace

bool ReplicatedState::Apply(const StateEntry& entry, TimePoint now) {
  const uint32_t era = entry.version.era();
  ObserveEra(era, now);
  if (IsWrittenByOthers(entry.name) && HoldRemaining(era, now).count() > 0) {
    return false;
  }
  const auto existing = entries_.find(entry.name);
  if (existing != entries_.end()) {
    if (entry.version <= existing->second.version) {
      metrics_
          .Get("redwing_state_not_newer_total",
               "State entries ignored since a version as high is held, in "
               "entries")
          .Add();
      return false;
    }
    digest_ ^= HashOf(existing->second);
    version_sum_ -= existing->second.version.packed();
  }
  digest_ ^= HashOf(entry);
  version_sum_ += entry.version.packed();
  entries_.insert_or_assign(entry.name, entry);
  metrics_
      .Gauge("redwing_state_revision", "Revision in force, by entry",
             {{"name", entry.name}})
      .Set(static_cast<double>(entry.version.revision()));
  on_applied_.Notify(entry);
  return true;
}

const StateEntry* ReplicatedState::Find(std::string_view name) const {
  const auto entry = entries_.find(name);
  return entry == entries_.end() ? nullptr : &entry->second;
}

ReplicatedState::VersionMap ReplicatedState::Versions() const {
  VersionMap versions;
  for (const auto& [name, entry] : entries_) {
    versions.emplace(name, entry.version);
  }
  return versions;
}

std::vector<StateEntry> ReplicatedState::NewerThan(
    const VersionMap& versions) const {
  std::vector<StateEntry> newer;
  for (const auto& [name, entry] : entries_) {
    const auto known = versions.find(name);
    if (known == versions.end() || known->second < entry.version) {
      newer.push_back(entry);
    }
  }
  return newer;
}

void ReplicatedState::ObserveEra(uint32_t era, TimePoint now) {
  const uint32_t known = hold_.era();
  if (hold_.Observe(era, now)) {
    spdlog::warn("event=store_restored era_before={} era={} hold_ms={}", known,
                 era, RestoreHold::kDuration.count());
  }
  if (era > known) {
    metrics_
        .Gauge("redwing_store_era",
               "Era of the store; it increases with each restore")
        .Set(era);
  }
}

void ReplicatedState::MarkComplete() {
  if (!complete_) {
    complete_ = true;
    spdlog::info("event=state_complete entries={}", entries_.size());
    on_complete_.Notify();
  }
}

}  // namespace redwing
