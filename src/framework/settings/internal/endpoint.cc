#include "framework/settings/endpoint.h"

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace redwing {

namespace {
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
}  // namespace

std::optional<tcp::endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* const end = port_text.data() + port_text.size();
  const std::from_chars_result parsed =
      std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const boost::asio::ip::address address =
      boost::asio::ip::make_address(std::string(host), ec);
  if (ec) {
    return std::nullopt;
  }
  return tcp::endpoint(address, port);
}

tcp::endpoint TcpEndpoint(std::string_view text) {
  const std::optional<tcp::endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) {
    throw std::invalid_argument("bad endpoint: " + std::string(text));
  }
  return *endpoint;
}

udp::endpoint UdpEndpoint(std::string_view text) {
  const tcp::endpoint endpoint = TcpEndpoint(text);
  return {endpoint.address(), endpoint.port()};
}

std::string FormatEndpoint(const tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace redwing
