#ifndef REDWING_REVIEW_STAND_INS_3_STORE_H_
#define REDWING_REVIEW_STAND_INS_3_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/metrics/metrics.h"

namespace redwing::review {

// Stand-in for the platform's store: objects by kind and name, one revision
// counter, conditional writes, waits for changes. Used on the thread of its
// event loop only.
class Store : public HttpHandler {
 public:
  // `revision`: where the counter stands before the first change.
  Store(boost::asio::io_context& io, uint64_t revision);

  // Binds a free port of an address; returns where it listens.
  std::string Listen(const std::string& ip);
  void Handle(HttpExchange& exchange, const Yield& yield) override;

  // Writes as the operator does.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  uint64_t revision() const { return revision_; }

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
             const std::string& path_name,
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
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::deque<Change> changes_;
  uint64_t revision_;
  // Changes up to this revision are no longer kept.
  uint64_t forgotten_;
};

}  // namespace redwing::review

#endif  // REDWING_REVIEW_STAND_INS_3_STORE_H_
