#ifndef REDWING_ROUTING_TARGET_STATE_H_
#define REDWING_ROUTING_TARGET_STATE_H_

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "framework/kernel/clock.h"
#include "routing/recent_keys.h"
#include "routing/target_load.h"
#include "routing/target_rate_limiter.h"
#include "routing/target_rate_limits.h"
#include "steering/target.h"

namespace redwing {

// Outcome of an attempt at a target, as far as it matters for the choice of
// targets.
enum class AttemptOutcome {
  kAnswered,
  // The target responded with a server error.
  kErrorResponse,
  // There was no complete response.
  kFailed,
  // The connection could not be opened, or broke before the response.
  kDisconnected,
  kShed,
  // The target's address now belongs to another target.
  kMoved,
  kCancelled
};

// State of a target as known to this instance.
class TargetState {
 public:
  TargetState(const Target& target, TimePoint now);

  // Sets this instance's fraction, from 0 to 1, of the request rates that the
  // target accepts from all instances together.
  void SetRateShare(double fraction, TimePoint now);
  // Sets the duration of a cold target's warm-up and the request rate that it
  // bears meanwhile, in requests per second.
  void SetWarmUp(Milliseconds duration, double rate, TimePoint now);
  bool cold(TimePoint now) const {
    return now < std::max(cold_until_, cold_after_ejection_until_);
  }
  // Sets the rate limit that the target named, in requests per second;
  // kNoRateLimit ends it.
  void SetRateLimit(double rate, TimePoint now);
  // Returns the time until the rate limit admits a request behind `ahead`
  // waiting ones; 0 if the target has no limit.
  Milliseconds RateLimitWait(int ahead, TimePoint now) const;

  const Target& target() const { return target_; }
  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  uint32_t hash() const { return hash_; }
  void SetTarget(const Target& target, TimePoint now);

  // Sets whether the target gets no new requests, because it is leaving,
  // drained by an operator or removed.
  void SetClosed(bool closed, TimePoint now);
  bool closed() const { return closed_; }
  // Sets whether the target's health check reports its departure.
  void SetLeaving(bool leaving) { leaving_ = leaving; }

  // Returns the requests in flight from this instance; KnownLoad() adds those
  // that other instances reported recently.
  int outstanding() const { return outstanding_; }
  int KnownLoad(TimePoint now) const;
  // Returns the number of requests expected to be in flight now. Reports of
  // other instances decay over time, faster for a target of shorter latency.
  // While no request of this instance ends, the latency is assumed to be at
  // least that long.
  double ExpectedLoad(TimePoint now) const;
  void SetPeerLoad(const std::string& peer, int load, TimePoint now);

  // Sets the end of the target's backoff; an earlier end than the present one
  // is ignored. After it, the target gets one request at a time until one
  // succeeds.
  void SetBackoff(TimePoint end);
  // Returns the remaining time of the target's backoff; 0 if there is none.
  Milliseconds BackoffLeft(TimePoint now) const;
  // Returns whether no request has succeeded since the target's last backoff.
  bool returning() const { return returning_; }
  // Returns whether a request that holds a slot may still be sent.
  bool TakesRequests(TimePoint now) const {
    return !closed_ && !leaving_ && now >= backoff_end_;
  }

  // Returns the number of slots that may be in use now; lower during a slow
  // start.
  int Limit(TimePoint now) const;
  // Returns whether the target has a free slot for a request now.
  bool Available(TimePoint now) const;
  bool Ejected(TimePoint now) const { return now < ejected_until_; }
  bool Usable(TimePoint now) const;

  // Records that a request for an object is sent to the target. Returns whether
  // one was sent recently.
  bool RecordKey(const std::string& affinity_key);
  // Records the load that the target reported in a response.
  void SetLoad(const TargetLoad& load, TimePoint now);

  void Begin(TimePoint now);
  // Records the end of an attempt. Failures are only counted: the caller
  // decides on the ejection.
  void End(AttemptOutcome outcome, Milliseconds latency, TimePoint now);
  // Returns whether the number of consecutive failures or error responses
  // requires an ejection.
  bool WantsEjection() const;
  void Eject(TimePoint now);
  // Ends an ejection and takes back the failures that led to it.
  void ForgetFailures();
  // Adds a successful run to the target's slowness. `multiple` is its time as a
  // multiple of the service's usual time for a run of that kind.
  void RecordRun(double multiple);
  // Smoothed run time as a multiple of the service's usual run time; 1 for a
  // target as fast as the others.
  double slowness() const { return slowness_; }
  // Smoothed latency in milliseconds.
  double latency_ms() const { return latency_ms_; }

 private:
  struct PeerLoad {
    int load;
    TimePoint at;
  };

  Target target_;
  boost::asio::ip::tcp::endpoint endpoint_;
  uint32_t hash_;
  bool closed_ = false;
  bool leaving_ = false;
  int outstanding_ = 0;
  // Time at which the last attempt ended, or at which the first one in flight
  // began.
  TimePoint progress_at_;
  int consecutive_failures_ = 0;
  int consecutive_error_responses_ = 0;
  int ejections_ = 0;
  TimePoint opened_at_;
  TimePoint ejected_until_;
  TimePoint shed_until_;
  TimePoint backoff_end_;
  bool returning_ = false;
  // Time until which the target is assumed to have a queue of its own.
  TimePoint queue_until_;
  double rate_share_ = 0;
  Milliseconds warm_up_{0};
  double warm_up_rate_ = 0;
  TimePoint cold_until_;
  // Time until which the target is cold after an ejection.
  TimePoint cold_after_ejection_until_;
  TargetRateLimiter warm_up_limiter_;
  double rate_limit_ = kNoRateLimit;
  TargetRateLimiter rate_limiter_;
  RecentKeys recent_keys_;
  double latency_ms_ = 0;
  double slowness_ = 1;
  std::map<std::string, PeerLoad> peer_loads_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_STATE_H_
