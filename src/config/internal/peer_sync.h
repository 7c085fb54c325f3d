#ifndef REDWING_CONFIG_INTERNAL_PEER_SYNC_H_
#define REDWING_CONFIG_INTERNAL_PEER_SYNC_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/internal/pull_limiter.h"
#include "config/internal/state_lag.h"
#include "config/state_entry.h"
#include "config/withdrawals.h"
#include "framework/http/http_types.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {

class KeyRing;
class Membership;
class Metrics;
class PeerTransport;
class ReplicatedState;
class StateFeed;
struct Envelope;
struct Heartbeat;
struct Identity;

// Synchronizes the replicated state between instances. Compares the digests in
// heartbeats, pulls newer entries from peers, and sends withdrawals until peers
// acknowledge them.
class PeerSync : public Withdrawals {
 public:
  PeerSync(boost::asio::io_context& io,
           Metrics& metrics,
           std::shared_ptr<ReplicatedState> state,
           std::shared_ptr<KeyRing> keys,
           std::shared_ptr<Identity> identity,
           std::shared_ptr<StateFeed> feed);

  void Attach(std::shared_ptr<PeerTransport> transport,
              std::shared_ptr<Membership> membership);
  void Start();
  void Stop();

  // Pulls from a few members the changes made while the process was paused.
  void PullAfterPause();

  void Withdraw(const Withdrawal& withdrawal) override;
  WithdrawalStatus StatusOf(const std::string& key_id) const override;

 private:
  // A withdrawal that is being sent to members.
  struct Push {
    Withdrawal withdrawal;
    // Names of the members that acknowledged the withdrawal.
    std::vector<std::string> acknowledged_by;
    // Time of the first send.
    TimePoint begun;
  };

  // Returns whether the heartbeat of a member shows the same state as the local
  // one. If the member may have newer state, starts a pull within the limits of
  // PullLimiter.
  bool StateEquals(const std::string& name, const Heartbeat& heartbeat);
  // Updates the lag from the revisions advertised by a peer, and logs a lag
  // that lasts.
  void RecordAdvertised(const std::string& name, const Heartbeat& heartbeat);
  // Updates the lag after an entry was applied, and records it in the metrics
  // once the state has caught up.
  void RecordApplied();
  // Pulls newer entries and withdrawals from a member. Returns whether it sent
  // a valid reply.
  bool Pull(const std::string& name, const Yield& yield);
  // Returns the compressed reply to a pull, or an empty string if compression
  // failed.
  std::string HandlePull(const Envelope& envelope);
  void HandleWithdrawal(const Envelope& envelope);
  void HandleAck(const Envelope& envelope);
  // Sends withdrawals to the members that have not acknowledged them.
  void PushPending();
  // Sends heartbeats with the new state soon. Calls before they are sent are
  // combined.
  void ScheduleHeartbeats();

  boost::asio::io_context& io_;
  Metrics& metrics_;
  std::shared_ptr<Identity> identity_;
  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<KeyRing> keys_;
  std::shared_ptr<StateFeed> feed_;
  std::shared_ptr<PeerTransport> transport_;
  std::shared_ptr<Membership> membership_;
  PullLimiter pulls_;
  StateLag lag_;
  // Pulls, and failed pulls, since the state last matched the newest state that
  // peers had advertised.
  int pulls_while_behind_ = 0;
  int failed_while_behind_ = 0;
  // By key id.
  std::map<std::string, Push> pushes_;
  bool heartbeats_scheduled_ = false;
  PeriodicTask push_task_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_PEER_SYNC_H_
