#ifndef REDWING_TESTING_FAULT_PROXY_LINKS_H_
#define REDWING_TESTING_FAULT_PROXY_LINKS_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "testing/fault_proxy/fault_proxy.h"

namespace redwing::testing {

struct LinkConnection;

// Returns the region of an address 127.0.REGION.x, 0 for any other.
int RegionOf(const boost::asio::ip::address& address);

// Forwards connections to one address.
class TcpLink {
 public:
  TcpLink(FaultProxy& proxy,
          const boost::asio::ip::tcp::endpoint& listen,
          boost::asio::ip::tcp::endpoint to);

  void SetTo(const boost::asio::ip::tcp::endpoint& to) { to_ = to; }
  // While a link is down, connections to it are refused. Taking it down resets
  // those that are open.
  void SetUp(bool up);
  boost::asio::ip::tcp::endpoint local_endpoint() const {
    return acceptor_.local_endpoint();
  }

 private:
  void Open();
  void Accept();

  FaultProxy& proxy_;
  std::vector<std::weak_ptr<LinkConnection>> connections_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint listen_;
  boost::asio::ip::tcp::endpoint to_;
};

// Forwards datagrams to one address.
class UdpLink {
 public:
  UdpLink(FaultProxy& proxy,
          const boost::asio::ip::udp::endpoint& listen,
          boost::asio::ip::udp::endpoint to);

  void SetTo(const boost::asio::ip::udp::endpoint& to) { to_ = to; }
  boost::asio::ip::udp::endpoint local_endpoint() const {
    return socket_.local_endpoint();
  }

 private:
  void Receive();
  void Forward(const std::string& bytes, int from);
  void SendLater(const std::string& bytes, TimePoint at);

  FaultProxy& proxy_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint to_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, 65536> buffer_{};
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_FAULT_PROXY_LINKS_H_
