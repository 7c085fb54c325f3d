#ifndef REDWING_ROUTING_SERVICE_TIMES_H_
#define REDWING_ROUTING_SERVICE_TIMES_H_

#include "framework/kernel/clock.h"

namespace redwing {

// What runs of a service take, learned from those that end: at a target that
// has handled the object lately (warm), and at another one (cold).
class ServiceTimes {
 public:
  void Learn(bool warm, Milliseconds time);

  // Milliseconds.
  double warm_ms() const;
  double cold_ms() const;

 private:
  // Mean of the first samples, then smoothed.
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
