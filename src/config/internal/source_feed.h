#ifndef REDWING_CONFIG_INTERNAL_SOURCE_FEED_H_
#define REDWING_CONFIG_INTERNAL_SOURCE_FEED_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

#include "config/config_options.h"
#include "config/internal/watcher_duty.h"
#include "config/state_feed.h"
#include "config/state_source.h"

namespace redwing {

class InstanceDirectory;
class Membership;
class ReplicatedState;
struct Identity;

// Updates the replicated state from a StateSource. Watchers wait for changes of
// each kind and poll the platform's list of instances. Other instances read
// the store only until their state is complete, then receive changes from
// peers.
class SourceFeed : public StateFeed {
 public:
  SourceFeed(boost::asio::io_context& io,
             std::shared_ptr<ReplicatedState> state,
             std::shared_ptr<Identity> identity,
             ConfigOptions options);

  void Attach(std::shared_ptr<StateSource> source,
              std::shared_ptr<InstanceDirectory> directory,
              std::shared_ptr<Membership> membership);

  void Start() override;
  void Stop() override;
  TimePoint last_fresh_read() const override { return last_fresh_read_; }
  // Always true: withdrawn keys are removed from the platform's own
  // configuration, so there is no withdrawal to store.
  bool IsStored(const std::string& /*key_id*/) const override { return true; }

 private:
  // Reads a kind, then reads it again after each change.
  void FollowKind(const std::string& kind, const Yield& yield);
  // Polls the platform's list of instances.
  void FollowListing(const Yield& yield);
  // Returns when the kind must be read again: after a change, an error, or a
  // change of this instance's role.
  void AwaitChange(const std::string& kind,
                   StoreVersion version,
                   const Yield& yield);
  // Returns whether this instance reads the store itself: as a watcher, or
  // until its state is complete.
  bool ReadsStore() const;
  // Applies an entry if its body differs from that of the local entry, or if it
  // is of a later era.
  void ApplyIfChanged(const StateEntry& entry);
  // Records a successful read of a kind, or of the listing, that started at
  // `begun`. Marks the state complete once everything was read.
  void NoteRead(const std::string& what, TimePoint begun);

  boost::asio::io_context& io_;
  std::shared_ptr<ReplicatedState> state_;
  WatcherDuty duty_;
  ConfigOptions options_;
  std::shared_ptr<StateSource> source_;
  std::shared_ptr<InstanceDirectory> directory_;
  // Kinds, and the name of the listing, that were not read yet.
  std::set<std::string> unread_;
  TimePoint last_fresh_read_;
  bool stopped_ = false;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_SOURCE_FEED_H_
