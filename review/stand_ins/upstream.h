#ifndef REDWING_REVIEW_STAND_INS_UPSTREAM_H_
#define REDWING_REVIEW_STAND_INS_UPSTREAM_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/http.h"

namespace review {

class Store;

// One run of a request at an upstream.
struct Run {
  std::string request_id;
  std::string tenant;
  std::string upstream;
  double at = 0;
  // False while it works, and where the caller left before its end.
  bool answered = false;
};

// An upstream server that registers itself in the store.
class Upstream {
 public:
  // Writes the answer to a request that it runs in place of the usual one;
  // returns whether the connection stays open.
  using Answerer = std::function<bool(Socket&, const Message&)>;

  Upstream(Store& store,
           const std::string& ip,
           const std::string& id,
           const std::string& service,
           const std::string& zone);
  ~Upstream();

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  void SetWork(double seconds) { work_ = seconds; }
  void SetAnswerer(Answerer answerer);
  // Reports `draining` to the store; says so in its answers as well.
  void Drain();
  // Writes its entry to the store now.
  void Beat();
  std::vector<Run> runs();

 private:
  static constexpr int kSlots = 3;

  bool Handle(Socket& socket, const Message& request);

  Store& store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  std::atomic<double> work_ = 0.1;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> running_ = 0;
  std::atomic<int> sequence_ = 0;
  std::mutex mutex_;
  Answerer answerer_;
  std::vector<Run> runs_;
  std::unique_ptr<Server> server_;
  std::thread beats_;
};

}  // namespace review

#endif  // REDWING_REVIEW_STAND_INS_UPSTREAM_H_
