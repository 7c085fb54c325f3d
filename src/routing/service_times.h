#ifndef REDWING_ROUTING_SERVICE_TIMES_H_
#define REDWING_ROUTING_SERVICE_TIMES_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Run times of a service, learned from completed runs: warm at a target that
// handled the object recently, cold at any other.
class ServiceTimes {
 public:
  void Learn(bool warm, Milliseconds time);

  // Mean run times in milliseconds; defaults apply until a run of the kind has
  // completed.
  double warm_ms() const;
  double cold_ms() const;

 private:
  // Mean of the first samples, then an exponentially weighted average.
  struct Average {
    void Add(double sample);

    double value = 0;
    int samples = 0;
  };

  Average warm_;
  Average cold_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SERVICE_TIMES_H_
