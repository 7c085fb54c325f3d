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

// Keeps instances alike: compares digests carried by heartbeats, pulls what is
// missing from the peer, and pushes withdrawals until they are acknowledged.
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

  // Asks a few members for what changed while the process stood still.
  void PullAfterPause();

  void Withdraw(const Withdrawal& withdrawal) override;
  WithdrawalStatus StatusOf(const std::string& key_id) const override;

 private:
  struct Push {
    Withdrawal withdrawal;
    std::vector<std::string> acknowledged_by;
    TimePoint begun;
  };

  bool StateEquals(const std::string& name, const Heartbeat& heartbeat);
  // Logs and measures how long this instance stays behind its peers.
  void RecordAdvertised(const std::string& name, const Heartbeat& heartbeat);
  void RecordApplied();
  // Returns whether the peer has answered.
  bool Pull(const std::string& name, const Yield& yield);
  std::string HandlePull(const Envelope& envelope);
  void HandleWithdrawal(const Envelope& envelope);
  void HandleAck(const Envelope& envelope);
  void PushPending();
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
  // Since the state was last level with the newest that peers had told.
  int pulls_while_behind_ = 0;
  int failed_while_behind_ = 0;
  std::map<std::string, Push> pushes_;
  bool heartbeats_scheduled_ = false;
  PeriodicTask push_task_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_PEER_SYNC_H_
