#ifndef REDWING_TESTING_FAKE_PLATFORM_FAKE_PLATFORM_H_
#define REDWING_TESTING_FAKE_PLATFORM_FAKE_PLATFORM_H_

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/http/url.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/object_reader.h"

namespace redwing::testing {

// Stand-in for the platform's API: objects with versions, conditional updates
// and watches, and EndpointSlices that lag. Control calls under /_control make
// it slow, take it down, or let answers get lost after the write.
class FakePlatform : public HttpHandler {
 public:
  static constexpr const char* kDescription =
      "Stand-in for the platform's object API.";

  FakePlatform(Kernel& kernel, ObjectReader& settings);

  void Listen();
  void Handle(HttpExchange& exchange, const Yield& yield) override;

 private:
  // How calls fail: each with probability `share`.
  struct Fault {
    std::string mode = "ok";  // ok, down, lose_answers
    Milliseconds delay{0};
    double share = 1;
  };
  struct Object {
    nlohmann::json value;
    uint64_t version = 0;
  };
  struct Event {
    uint64_t version;
    std::string kind;
    nlohmann::json event;
  };
  struct ListedChange {
    TimePoint visible_at;
    std::string name;
    nlohmann::json slice;  // null removes
  };

  void HandleControl(HttpExchange& exchange,
                     const Url& url,
                     const Yield& yield);
  void SetFault(const nlohmann::json& body);
  void ChangeInstance(const nlohmann::json& body);
  void HandleObjects(HttpExchange& exchange,
                     const Url& url,
                     const Yield& yield);
  void ListObjects(HttpExchange& exchange,
                   const std::string& kind,
                   const Yield& yield);
  void WatchObjects(HttpExchange& exchange,
                    const std::string& kind,
                    const Url& url,
                    const Yield& yield);
  // Writes and returns the status and body of the answer.
  std::pair<unsigned, nlohmann::json> Remove(const std::string& kind,
                                             const std::string& name,
                                             const nlohmann::json& options);
  std::pair<unsigned, nlohmann::json> Write(const std::string& kind,
                                            const std::string& name,
                                            nlohmann::json value,
                                            bool create);
  void ListSlices(HttpExchange& exchange, const Yield& yield);
  bool Drawn();

  Kernel& kernel_;
  Metrics metrics_;
  SocketRegistry sockets_;
  HttpServer server_;
  std::string listen_;
  Milliseconds list_lag_;
  std::mt19937_64 random_;
  Fault fault_;
  uint64_t version_ = 1;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::deque<Event> events_;
  std::map<std::string, nlohmann::json> slices_;
  std::deque<ListedChange> pending_changes_;
  uint64_t list_version_ = 1;
  std::map<std::string, uint64_t> calls_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_FAKE_PLATFORM_FAKE_PLATFORM_H_
