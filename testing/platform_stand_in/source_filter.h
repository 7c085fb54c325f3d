#ifndef REDWING_TESTING_PLATFORM_STAND_IN_SOURCE_FILTER_H_
#define REDWING_TESTING_PLATFORM_STAND_IN_SOURCE_FILTER_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

namespace redwing::testing {

// What a cut does to connections that are open when it begins.
enum class OpenConnections { kHang, kReset, kLiveOn };

// Drops all packets that come from some IPv4 addresses to the sockets of this
// process that are bound to a local endpoint, as a cut link does: connections
// from there hang while they are opened. Call it on the thread that serves the
// endpoint. Throws std::system_error.
void DropPackets(const boost::asio::ip::tcp::endpoint& local,
                 const std::vector<std::string>& sources,
                 OpenConnections open);
// Ends all that DropPackets() did to an endpoint.
void AcceptPackets(const boost::asio::ip::tcp::endpoint& local);

}  // namespace redwing::testing

#endif  // REDWING_TESTING_PLATFORM_STAND_IN_SOURCE_FILTER_H_
