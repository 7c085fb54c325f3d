#ifndef REDWING_CONFIG_INTERNAL_STORE_WATCHER_H_
#define REDWING_CONFIG_INTERNAL_STORE_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>

#include "config/internal/watcher_duty.h"
#include "config/state_feed.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

class InstanceDirectory;
class KeyRing;
class Membership;
class ObjectStore;
class ReplicatedState;
struct Identity;
struct StoredObject;

// Updates the replicated state from objects of kStateKind in the store.
// Watchers, which are the first kWatchersPerRegion instances of each region by
// rendezvous hashing, watch the state and poll the withdrawals and the
// platform's list of instances. Other instances read the store only until their
// state is complete, then receive changes from peers.
class StoreWatcher : public StateFeed {
 public:
  StoreWatcher(boost::asio::io_context& io,
               std::shared_ptr<ReplicatedState> state,
               std::shared_ptr<KeyRing> keys,
               std::shared_ptr<Identity> identity);

  void Attach(std::shared_ptr<ObjectStore> store,
              std::shared_ptr<InstanceDirectory> directory,
              std::shared_ptr<Membership> membership);
  void Start() override;
  void Stop() override;

  TimePoint last_fresh_read() const override { return last_fresh_read_; }
  bool IsStored(const std::string& key_id) const override {
    return stored_withdrawals_.count(key_id) > 0;
  }

 private:
  // Reads the state, then watches it for changes if this instance is a watcher.
  void WatchLoop(const Yield& yield);
  // Polls the platform's list of instances and the withdrawals.
  void PollLoop(const Yield& yield);
  // Reads all state objects and marks the state complete. Returns the version
  // of the store at which they were read.
  Result<std::string> ReadAll(const Yield& yield);
  void PollWithdrawals(const Yield& yield);
  void PollListing(const Yield& yield);
  void HandleObject(const StoredObject& object);
  void MergeWithdrawals(const StoredObject& object);
  // Writes all known withdrawals to the store. `object` is their current object
  // in the store; its version is empty if there is none.
  void StoreWithdrawals(StoredObject object, const Yield& yield);
  // Records the result of a read of the withdrawals that started at `begun`.
  void NoteRead(TimePoint begun, bool succeeded);

  boost::asio::io_context& io_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<KeyRing> keys_;
  WatcherDuty duty_;
  std::shared_ptr<ObjectStore> store_;
  std::shared_ptr<InstanceDirectory> directory_;
  std::shared_ptr<Membership> membership_;
  // Ids of the withdrawn keys that were seen in the store.
  std::set<std::string> stored_withdrawals_;
  TimePoint last_fresh_read_;
  // Start of the first of the uninterrupted successful reads of the
  // withdrawals. TimePoint::max() if the last read failed.
  TimePoint readable_since_ = TimePoint::max();
  bool stopped_ = false;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_STORE_WATCHER_H_
