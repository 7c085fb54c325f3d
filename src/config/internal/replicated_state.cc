#include "config/replicated_state.h"

#include <fmt/format.h>

#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {

uint64_t HashOf(const StateEntry& entry) {
  return Hash64(fmt::format("{}:{}", entry.name, entry.revision));
}

}  // namespace

bool ReplicatedState::Apply(const StateEntry& entry) {
  const auto existing = entries_.find(entry.name);
  if (existing != entries_.end()) {
    if (entry.revision <= existing->second.revision) {
      metrics_
          .Get("redwing_state_not_newer_total",
               "State entries ignored since a revision as high is held, in "
               "entries")
          .Add();
      return false;
    }
    digest_ ^= HashOf(existing->second);
    revision_sum_ -= existing->second.revision;
  }
  digest_ ^= HashOf(entry);
  revision_sum_ += entry.revision;
  entries_.insert_or_assign(entry.name, entry);
  metrics_
      .Gauge("redwing_state_revision", "Revision in force, by entry",
             {{"name", entry.name}})
      .Set(static_cast<double>(entry.revision));
  on_applied_.Notify(entry);
  return true;
}

const StateEntry* ReplicatedState::Find(std::string_view name) const {
  const auto entry = entries_.find(name);
  return entry == entries_.end() ? nullptr : &entry->second;
}

ReplicatedState::RevisionMap ReplicatedState::Revisions() const {
  RevisionMap revisions;
  for (const auto& [name, entry] : entries_) {
    revisions.emplace(name, entry.revision);
  }
  return revisions;
}

std::vector<StateEntry> ReplicatedState::NewerThan(
    const RevisionMap& revisions) const {
  std::vector<StateEntry> newer;
  for (const auto& [name, entry] : entries_) {
    const auto known = revisions.find(name);
    if (known == revisions.end() || known->second < entry.revision) {
      newer.push_back(entry);
    }
  }
  return newer;
}

void ReplicatedState::MarkComplete() {
  if (!complete_) {
    complete_ = true;
    spdlog::info("event=state_complete entries={}", entries_.size());
  }
}

}  // namespace redwing
