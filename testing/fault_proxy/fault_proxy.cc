#include "testing/fault_proxy/fault_proxy.h"

#include <algorithm>

#include "framework/http/url.h"
#include "framework/settings/endpoint.h"
#include "testing/common.h"
#include "testing/fault_proxy/links.h"
#include "testing/stand_in_main.h"

namespace redwing::testing {

namespace {
// Free ports are drawn by the system; this many taken ones in a row are no
// chance.
constexpr int kPortAttempts = 20;

using nlohmann::json;

constexpr Milliseconds kTenth{100};

template <typename T>
void ReadField(const json& body, const char* name, T* field) {
  if (body.contains(name)) {
    body.at(name).get_to(*field);
  }
}

void ReadField(const json& body, const char* name, Milliseconds* field) {
  if (body.contains(name)) {
    *field = Milliseconds(body.at(name).get<int64_t>());
  }
}

}  // namespace

FaultProxy::FaultProxy(Kernel& kernel, ObjectReader& settings)
    : kernel_(kernel),
      sockets_(kernel.io()),
      server_(kernel.io(), sockets_, metrics_, *this, HttpServerLimits()),
      listen_(settings.Endpoint("listen")),
      random_(static_cast<uint64_t>(settings.Integer("seed", 0, INT64_MAX, 1))),
      started_(Clock::now()),
      stalls_(kernel.io()) {}

FaultProxy::~FaultProxy() = default;

void FaultProxy::Listen() {
  server_.Listen(TcpEndpoint(listen_));
  stalls_.Start();
  Announce({{"http", FormatEndpoint(server_.local_endpoint())}});
}

void FaultProxy::Handle(HttpExchange& exchange, const Yield& yield) {
  const std::string_view target = exchange.target();
  if (target == "/_control/meters") {
    SendJson(exchange, 200, Meters(), yield);
    return;
  }
  if (target == "/_control/stalls") {
    SendJson(exchange, 200, {{"stalls", stalls_.ToJson()}}, yield);
    return;
  }
  const json body = ReadControl(exchange, yield);
  if (target == "/_control/link" && body.is_object()) {
    SendJson(exchange, 200, AddLink(body), yield);
  } else if (target == "/_control/retarget" && body.is_object()) {
    Retarget(body);
    SendJson(exchange, 200, json::object(), yield);
  } else if (target == "/_control/rules" && body.is_array()) {
    for (const json& item : body) {
      SetRules(item);
    }
    SendJson(exchange, 200, json::object(), yield);
  } else {
    SendJson(exchange, 400, {{"error", "unknown control call"}}, yield);
  }
}

const FaultRule& FaultProxy::Rule(int from, int to) const {
  static const FaultRule none;
  const auto rule = rules_.find({from, to});
  return rule == rules_.end() ? none : rule->second;
}

TimePoint FaultProxy::LineTime(int from, int to, size_t size) {
  const TimePoint now = Clock::now();
  const double rate = Rule(from, to).bytes_per_s;
  if (rate <= 0) {
    return now;
  }
  TimePoint& free = line_free_[{from, to}];
  free = std::max(free, now) +
         std::chrono::duration_cast<Clock::duration>(
             std::chrono::duration<double>(static_cast<double>(size) / rate));
  return free;
}

void FaultProxy::CountBytes(int from, int to, size_t size) {
  Meter& meter = meters_[{from, to}];
  meter.bytes += size;
  const size_t tenth = static_cast<size_t>((Clock::now() - started_) / kTenth);
  if (meter.tenths.size() <= tenth) {
    meter.tenths.resize(tenth + 1);
  }
  meter.tenths[tenth] += size;
}

bool FaultProxy::Draw(double probability) {
  return probability > 0 && std::bernoulli_distribution(probability)(random_);
}

json FaultProxy::AddLink(const json& body) {
  const std::string protocol = body.value("protocol", "tcp");
  boost::asio::ip::tcp::endpoint listen =
      TcpEndpoint(body.value("listen", "127.0.0.1:0"));
  const std::string to = body.value("to", "127.0.0.1:0");
  std::unique_ptr<UdpLink> udp;
  std::unique_ptr<TcpLink> tcp;
  if (protocol == "udp") {
    udp = std::make_unique<UdpLink>(*this, UdpEndpoint(FormatEndpoint(listen)),
                                    UdpEndpoint(to));
    listen.port(udp->local_endpoint().port());
  } else {
    tcp = AddConnectionLink(&listen, to);
  }
  if (protocol == "both") {
    udp = AddDatagramLink(&listen, &tcp, to);
  }
  udp_links_.push_back(std::move(udp));
  tcp_links_.push_back(std::move(tcp));
  return {{"link", tcp_links_.size() - 1}, {"listen", FormatEndpoint(listen)}};
}

std::unique_ptr<TcpLink> FaultProxy::AddConnectionLink(
    boost::asio::ip::tcp::endpoint* listen,
    const std::string& to) {
  std::unique_ptr<TcpLink> link;
  try {
    link = std::make_unique<TcpLink>(*this, *listen, TcpEndpoint(to));
  } catch (const boost::system::system_error& error) {
    if (error.code() != boost::asio::error::address_in_use) {
      throw;
    }
    listen->port(0);
    link = std::make_unique<TcpLink>(*this, *listen, TcpEndpoint(to));
  }
  listen->port(link->local_endpoint().port());
  return link;
}

std::unique_ptr<UdpLink> FaultProxy::AddDatagramLink(
    boost::asio::ip::tcp::endpoint* listen,
    std::unique_ptr<TcpLink>* tcp,
    const std::string& to) {
  for (int attempt = 1;; ++attempt) {
    try {
      return std::make_unique<UdpLink>(
          *this, UdpEndpoint(FormatEndpoint(*listen)), UdpEndpoint(to));
    } catch (const boost::system::system_error& error) {
      const bool taken = error.code() == boost::asio::error::address_in_use;
      if (!taken || attempt == kPortAttempts) {
        throw;
      }
    }
    // The port is free for connections and taken for datagrams, by another
    // fleet on this machine. Its link stays, unused: its work may not have
    // ended.
    unused_links_.push_back(std::move(*tcp));
    listen->port(0);
    *tcp = AddConnectionLink(listen, to);
  }
}

void FaultProxy::Retarget(const json& body) {
  const size_t link = body.at("link");
  const std::string to = body.at("to");
  if (tcp_links_.at(link)) {
    tcp_links_.at(link)->SetUp(body.value("up", true));
    tcp_links_.at(link)->SetTo(TcpEndpoint(to));
  }
  if (udp_links_.at(link)) {
    udp_links_.at(link)->SetTo(UdpEndpoint(to));
  }
}

void FaultProxy::SetRules(const json& body) {
  FaultRule& rule = rules_[{body.at("from"), body.at("to")}];
  ReadField(body, "delay_ms", &rule.delay);
  ReadField(body, "loss", &rule.loss);
  ReadField(body, "duplicate", &rule.duplicate);
  ReadField(body, "reorder", &rule.reorder);
  ReadField(body, "reorder_delay_ms", &rule.reorder_delay);
  ReadField(body, "cut", &rule.cut);
  ReadField(body, "hold", &rule.hold);
  ReadField(body, "bytes_per_s", &rule.bytes_per_s);
  ReadField(body, "reset_after", &rule.reset_after);
  ReadField(body, "reset_answers_after", &rule.reset_answers_after);
  ReadField(body, "cross", &rule.cross);
  ReadField(body, "cross_bodies_only", &rule.cross_bodies_only);
}

json FaultProxy::Meters() const {
  json meters = json::array();
  for (const auto& [pair, meter] : meters_) {
    meters.push_back({{"from", pair.first},
                      {"to", pair.second},
                      {"bytes", meter.bytes},
                      {"tenths", meter.tenths}});
  }
  return meters;
}

}  // namespace redwing::testing
