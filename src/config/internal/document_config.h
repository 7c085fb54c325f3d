#ifndef REDWING_CONFIG_INTERNAL_DOCUMENT_CONFIG_H_
#define REDWING_CONFIG_INTERNAL_DOCUMENT_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/replicated_state.h"
#include "config/steering_config.h"

namespace redwing {

class KeyRing;
class Membership;
class Metrics;

// Builds the document, API keys, drains and listing in force from the entries
// of the replicated state.
class DocumentConfig : public SteeringConfig {
 public:
  DocumentConfig(Metrics& metrics,
                 std::shared_ptr<ReplicatedState> state,
                 std::shared_ptr<KeyRing> keys);

  void Attach(std::shared_ptr<Membership> membership);

  std::shared_ptr<const SteeringDocument> document() const override {
    return document_;
  }
  const Drains& drains() const override { return drains_; }
  const InstanceList& listing() const override { return listing_; }
  bool ready() const override;
  Channel<>& on_change() override { return on_change_; }

 private:
  // Applies an entry of the replicated state, depending on its name.
  void HandleEntry(const StateEntry& entry);
  void ApplyKeys(const StateEntry& entry);
  void ApplyListing(const StateEntry& entry);
  void ApplySection(const StateEntry& entry);
  // Logs and counts the parts of a section that are left out.
  void NoteProblems(const StateEntry& entry,
                    const std::vector<std::string>& problems);
  // Rebuilds document_ from operator_document_ and the targets that the
  // platform lists.
  void MergeTargets();

  Metrics& metrics_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<KeyRing> keys_;
  std::shared_ptr<Membership> membership_;
  // Last valid version of each section, by the name of its entry.
  std::map<std::string, Section> sections_;
  // Highest version of the sections that are in force.
  StoreVersion newest_version_;
  // Document as written by operators, without targets that the platform lists.
  std::shared_ptr<const SteeringDocument> operator_document_;
  std::shared_ptr<const SteeringDocument> document_;
  Drains drains_;
  InstanceList listing_;
  Channel<> on_change_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_DOCUMENT_CONFIG_H_
