#ifndef REDWING_TESTING_FAULT_PROXY_FAULT_PROXY_H_
#define REDWING_TESTING_FAULT_PROXY_FAULT_PROXY_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/object_reader.h"
#include "testing/stall_recorder.h"

namespace redwing::testing {

// What happens to traffic from one region to another.
struct FaultRule {
  Milliseconds delay{0};
  double loss = 0;       // datagrams
  double duplicate = 0;  // datagrams
  double reorder = 0;    // datagrams held back by reorder_delay
  Milliseconds reorder_delay{20};
  // Datagrams vanish and connections stall, as when a cable is cut.
  bool cut = false;
  // Bytes stay where they are until released.
  bool hold = false;
  double bytes_per_s = 0;  // 0 is unlimited; shared by all connections
  // Connections are reset after that many bytes of this direction; 0 is never.
  uint64_t reset_after = 0;
  // The same, counting only what the side that was connected to sends.
  uint64_t reset_answers_after = 0;
  // Swaps the data of two connections that wait with data.
  bool cross = false;
  // With cross: swaps what follows the headers of answers, nothing else.
  bool cross_bodies_only = false;
};

class TcpLink;
class UdpLink;

// Forwards TCP and UDP between the parts of a fleet and disturbs them. The
// region of a sender is known by its address, 127.0.REGION.*; that of a
// receiver by the link. Rules are kept per pair of regions and changed by
// control calls.
class FaultProxy : public HttpHandler {
 public:
  static constexpr const char* kDescription =
      "Forwards TCP and UDP and disturbs them.";

  FaultProxy(Kernel& kernel, ObjectReader& settings);
  ~FaultProxy() override;

  void Listen();
  void Handle(HttpExchange& exchange, const Yield& yield) override;

  Kernel& kernel() { return kernel_; }
  const FaultRule& Rule(int from, int to) const;
  // Time at which `size` bytes sent now have left the pair's line.
  TimePoint LineTime(int from, int to, size_t size);
  void CountBytes(int from, int to, size_t size);
  bool Draw(double probability);
  std::mt19937_64& random() { return random_; }

 private:
  using Pair = std::pair<int, int>;
  struct Meter {
    uint64_t bytes = 0;
    // Bytes in each tenth of a second since the start.
    std::vector<uint64_t> tenths;
  };

  // Opens a TCP link, a UDP link, or both with the same port number. Where it
  // leads can be set later, by its number.
  nlohmann::json AddLink(const nlohmann::json& body);
  // Opens a TCP link, on another port if `listen` has one that is taken, and
  // sets `listen` to its port. Throws for every other error.
  std::unique_ptr<TcpLink> AddConnectionLink(
      boost::asio::ip::tcp::endpoint* listen,
      const std::string& to);
  // Opens the UDP link beside a TCP link, on the same port; replaces the TCP
  // link while its port is taken.
  std::unique_ptr<UdpLink> AddDatagramLink(
      boost::asio::ip::tcp::endpoint* listen,
      std::unique_ptr<TcpLink>* tcp,
      const std::string& to);
  // Sets where a link leads, and whether it is up.
  void Retarget(const nlohmann::json& body);
  void SetRules(const nlohmann::json& body);
  nlohmann::json Meters() const;

  Kernel& kernel_;
  Metrics metrics_;
  SocketRegistry sockets_;
  HttpServer server_;
  std::string listen_;
  std::mt19937_64 random_;
  TimePoint started_;
  StallRecorder stalls_;
  std::map<Pair, FaultRule> rules_;
  std::map<Pair, TimePoint> line_free_;
  std::map<Pair, Meter> meters_;
  // Both by number; either may be null.
  std::vector<std::unique_ptr<TcpLink>> tcp_links_;
  std::vector<std::unique_ptr<TcpLink>> unused_links_;
  std::vector<std::unique_ptr<UdpLink>> udp_links_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_FAULT_PROXY_FAULT_PROXY_H_
