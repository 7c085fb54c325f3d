#ifndef REDWING_CONFIG_INTERNAL_SOURCE_FEED_H_
#define REDWING_CONFIG_INTERNAL_SOURCE_FEED_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

#include "config/config_options.h"
#include "config/state_feed.h"
#include "config/state_source.h"

namespace redwing {

class InstanceDirectory;
class Membership;
class ReplicatedState;
struct Identity;

// Feeds the replicated state from a StateSource. Watchers wait for changes of
// each kind and read the list of instances at an interval; the others read
// everything once, at start, and then hear from peers.
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
  void Stop() override { stopped_ = true; }
  TimePoint last_fresh_read() const override { return last_fresh_read_; }
  // Withdrawn keys are no longer in the platform's own configuration.
  bool IsStored(const std::string& /*key_id*/) const override { return true; }

 private:
  void FollowKind(const std::string& kind, const Yield& yield);
  void FollowListing(const Yield& yield);
  // Returns when the kind is to be read again.
  void AwaitChange(const std::string& kind,
                   uint64_t version,
                   const Yield& yield);
  bool ReadsStore() const;
  // Applies an entry that differs from the one held.
  void ApplyIfChanged(const StateEntry& entry);
  void NoteRead(const std::string& what, TimePoint begun);

  boost::asio::io_context& io_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<Identity> identity_;
  ConfigOptions options_;
  std::shared_ptr<StateSource> source_;
  std::shared_ptr<InstanceDirectory> directory_;
  std::shared_ptr<Membership> membership_;
  // Parts of the state that were not read yet.
  std::set<std::string> unread_;
  TimePoint last_fresh_read_;
  bool stopped_ = false;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_SOURCE_FEED_H_
