#ifndef REDWING_TESTING_PLATFORM_STAND_IN_STORE_STAND_IN_H_
#define REDWING_TESTING_PLATFORM_STAND_IN_STORE_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/clock.h"
#include "framework/metrics/metrics.h"

namespace redwing::testing {

// Stand-in for the platform's store, as its pages publish it: objects by kind
// and name, one revision counter, conditional writes, waits for changes. Used
// on the thread of its event loop only.
class StoreStandIn : public HttpHandler {
 public:
  explicit StoreStandIn(boost::asio::io_context& io);

  // Binds a free port of an address; returns where it listens.
  std::string Listen(const std::string& ip);
  void Handle(HttpExchange& exchange, const Yield& yield) override;

  // Writes as an operator or a target does; returns the revision.
  uint64_t Put(const std::string& kind,
               const std::string& name,
               const nlohmann::json& spec);
  // Adds an item to each list of a kind, as it stands in the answer.
  void AddRawItem(const std::string& kind, const std::string& text);
  void Remove(const std::string& kind, const std::string& name);
  size_t Count(const std::string& kind) const;

  // Keeps a copy of all objects, to which Restore() returns.
  void KeepCopy() { copy_ = {objects_, revision_}; }
  // Comes back from the copy: later writes are lost, revisions are assigned
  // again, waits from revisions that do not exist get 410, and the era rises.
  void Restore();

  // While down, each call is answered 503.
  void SetDown(bool down) { down_ = down; }
  // Turns these addresses away with a status, or with silence if it is 0, and
  // serves all others.
  void TurnAway(std::set<std::string> callers, unsigned status);
  // Addresses that listed a kind since `time`.
  std::set<std::string> ListedBy(const std::string& kind, TimePoint time) const;
  // Number of calls so far, with those that were turned away.
  size_t calls() const { return calls_; }
  // Waits for changes that are open now are never answered, though their
  // connections stay open; new calls are served.
  void SilenceOpenWatches() { ++silenced_; }

 private:
  struct Object {
    uint64_t revision = 0;
    nlohmann::json spec;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    nlohmann::json event;
  };

  using ObjectMap = std::map<std::string, std::map<std::string, Object>>;
  struct Copy {
    ObjectMap objects;
    uint64_t revision = 0;
  };

  void List(HttpExchange& exchange,
            const std::string& kind,
            const Yield& yield);
  void Watch(HttpExchange& exchange,
             const std::string& kind,
             uint64_t after,
             Milliseconds limit,
             const Yield& yield);
  void Write(HttpExchange& exchange,
             const std::string& kind,
             const std::string& name,
             const Yield& yield);
  void Delete(HttpExchange& exchange,
              const std::string& kind,
              const std::string& name,
              const std::string& revision,
              const Yield& yield);
  nlohmann::json Render(const std::string& kind, const std::string& name) const;
  void Record(const std::string& kind, nlohmann::json object, bool removed);

  boost::asio::io_context& io_;
  SocketRegistry sockets_;
  Metrics metrics_;
  HttpServer server_;
  ObjectMap objects_;
  Copy copy_;
  std::map<std::string, std::vector<std::string>> raw_items_;
  std::deque<Change> changes_;
  uint64_t revision_ = 1;
  uint32_t era_ = 1;
  bool down_ = false;
  std::set<std::string> turned_away_;
  unsigned turned_away_status_ = 0;
  // Time of the last listing, by kind and address.
  std::map<std::string, std::map<std::string, TimePoint>> listed_;
  size_t calls_ = 0;
  // How often open waits were silenced.
  int silenced_ = 0;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_PLATFORM_STAND_IN_STORE_STAND_IN_H_
