#ifndef REDWING_LOAD_LOAD_GENERATOR_H_
#define REDWING_LOAD_LOAD_GENERATOR_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "framework/http/connection_pool.h"
#include "framework/http/http_client.h"
#include "framework/http/socket_registry.h"
#include "framework/metrics/metrics.h"
#include "load/load_plan.h"
#include "load/load_report.h"

namespace redwing {

// Callers as the field has them: open-loop arrivals, look-up answers cached
// for their time to live, connections kept, fail-over down the list. The same
// seed gives the same requests at the same times.
class LoadGenerator {
 public:
  explicit LoadGenerator(LoadPlan plan);
  ~LoadGenerator();

  // Sends the whole load, waits for the answers and returns the report.
  LoadReport Run();

 private:
  struct Entry {
    std::string address;
    std::string prefix;
  };
  struct CachedLookup {
    std::vector<Entry> entries;
    TimePoint until;
  };
  struct Arrival {
    TimePoint at;
    size_t group;
    const LoadRequest* request;
    std::string token;
    int caller;
  };

  std::vector<Arrival> Schedule();
  void Dispatch(const std::vector<Arrival>& arrivals, const Yield& yield);
  void Send(const Arrival& arrival, const Yield& yield);
  std::vector<Entry> LookUp(const Arrival& arrival, const Yield& yield);
  // Makes one try; sets the outcome. Returns whether another may be made.
  bool Try(const Arrival& arrival,
           const Entry& entry,
           const std::string& request_id,
           const std::string& idempotency_key,
           RequestEnd* end,
           const Yield& yield);
  RequestHeader HeaderOf(const Arrival& arrival,
                         const Entry& entry,
                         const std::string& request_id,
                         const std::string& idempotency_key) const;
  void CheckAnswer(const Arrival& arrival,
                   const ResponseHeader& header,
                   const std::string& body,
                   RequestEnd* end) const;
  void FetchRuns(const Yield& yield);
  double SinceStart() const;

  LoadPlan plan_;
  boost::asio::io_context io_;
  Metrics metrics_;
  SocketRegistry sockets_;
  ConnectionPool pool_;
  HttpClient client_;
  std::mt19937_64 random_;
  TimePoint started_;
  std::map<std::string, CachedLookup> lookups_;
  LoadReport report_;
  size_t running_ = 0;
  size_t next_bootstrap_ = 0;
};

}  // namespace redwing

#endif  // REDWING_LOAD_LOAD_GENERATOR_H_
