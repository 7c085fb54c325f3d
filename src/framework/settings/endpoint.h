#ifndef REDWING_FRAMEWORK_SETTINGS_ENDPOINT_H_
#define REDWING_FRAMEWORK_SETTINGS_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

// Parses "a.b.c.d:port" or "[v6]:port"; nothing when the text is neither.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

// Parses an endpoint that was validated before.
boost::asio::ip::tcp::endpoint TcpEndpoint(std::string_view text);
boost::asio::ip::udp::endpoint UdpEndpoint(std::string_view text);

// Formats an endpoint as ParseEndpoint() reads it.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_SETTINGS_ENDPOINT_H_
