#ifndef REDWING_ROUTING_TARGET_STATE_H_
#define REDWING_ROUTING_TARGET_STATE_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "framework/kernel/clock.h"
#include "routing/recent_keys.h"
#include "routing/target_load.h"
#include "routing/warm_up_limiter.h"
#include "steering/target.h"

namespace redwing {

// How an attempt at a target ended, as far as its choice is concerned.
enum class AttemptOutcome {
  kAnswered,
  // Answered with a server error.
  kErrorAnswer,
  // No whole answer.
  kFailed,
  kShed,
  // Another target has its address.
  kMoved,
  kCancelled
};

// A target as seen from this instance.
class TargetState {
 public:
  TargetState(const Target& target, TimePoint now);

  // Sets what the target bears while it is cold, and this instance's part of
  // it, 0 to 1.
  void SetWarmUp(Milliseconds duration,
                 double rate,
                 double part,
                 TimePoint now);
  bool cold(TimePoint now) const { return now < cold_until_; }

  const Target& target() const { return target_; }
  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  uint32_t hash() const { return hash_; }
  void SetTarget(const Target& target, TimePoint now);

  // No new work: it leaves, an operator drained it, or it was removed.
  void SetClosed(bool closed, TimePoint now);
  bool closed() const { return closed_; }
  // The target's own health answer says that it leaves.
  void SetLeaving(bool leaving) { leaving_ = leaving; }

  // Requests in work here and, as last heard, at other instances.
  int outstanding() const { return outstanding_; }
  int KnownWork(TimePoint now) const;
  // Requests likely in work now: what others reported ends in time, the sooner
  // the shorter the target's latency. While nothing ends here, the latency is
  // taken to be at least that long.
  double ExpectedWork(TimePoint now) const;
  void SetPeerWork(const std::string& peer, int work, TimePoint now);

  // Sets until when the target wants no requests; an earlier end changes
  // nothing. After it the target gets one at a time until it answers one.
  void SetBackoff(TimePoint end);
  // Returns how long the target still wants no requests.
  Milliseconds BackoffLeft(TimePoint now) const;
  // Returns whether the target has answered nothing since it wanted none.
  bool returning() const { return returning_; }
  // Returns whether a request that has its slot may still be sent.
  bool TakesRequests(TimePoint now) const {
    return !closed_ && !leaving_ && now >= backoff_end_;
  }

  // Slots that may be in use now; fewer during a slow start.
  int Limit(TimePoint now) const;
  // Returns whether the target may be given a request.
  bool Available(TimePoint now) const;
  bool Ejected(TimePoint now) const { return now < ejected_until_; }
  bool Usable(TimePoint now) const;

  // Notes that a request for an object goes there; returns whether one went
  // lately.
  bool AddKey(const std::string& affinity_key);
  // Notes what the target said of its load.
  void SetLoad(const TargetLoad& load, TimePoint now);

  void Begin(TimePoint now);
  // Counts a failure while the target is not to be ejected just now: the
  // ejection is up to the caller.
  void End(AttemptOutcome outcome, Milliseconds latency, TimePoint now);
  // Returns whether the failures or the error answers in a row call for an
  // ejection.
  bool WantsEjection() const;
  void Eject(TimePoint now);
  // Takes an answered run into the target's slowness: its time as a multiple of
  // what the service takes for a run of that kind.
  void NoteRun(double multiple);
  // Smoothed; 1 for a target as fast as the others.
  double slowness() const { return slowness_; }
  // Smoothed latency, milliseconds.
  double latency_ms() const { return latency_ms_; }

 private:
  struct PeerWork {
    int work;
    TimePoint at;
  };

  Target target_;
  boost::asio::ip::tcp::endpoint endpoint_;
  uint32_t hash_;
  bool closed_ = false;
  bool leaving_ = false;
  int outstanding_ = 0;
  // When the last attempt ended, or the first of those that run began.
  TimePoint progress_at_;
  int failures_in_row_ = 0;
  int error_answers_in_row_ = 0;
  int ejections_ = 0;
  TimePoint opened_at_;
  TimePoint ejected_until_;
  TimePoint shed_until_;
  TimePoint backoff_end_;
  bool returning_ = false;
  // It has a queue of its own until about then.
  TimePoint queue_until_;
  Milliseconds warm_up_{0};
  double warm_up_rate_ = 0;
  TimePoint cold_until_;
  WarmUpLimiter warm_up_limiter_;
  RecentKeys recent_keys_;
  double latency_ms_ = 0;
  double slowness_ = 1;
  std::map<std::string, PeerWork> peer_work_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_STATE_H_
