#ifndef REDWING_STEERING_CLIENT_BLOCK_H_
#define REDWING_STEERING_CLIENT_BLOCK_H_

#include <boost/asio/ip/address.hpp>
#include <string>

namespace redwing {

// A block of client addresses and the region whose entries it is to use.
struct ClientBlock {
  boost::asio::ip::address address;
  int prefix_length = 0;  // bits
  std::string region;
};

}  // namespace redwing

#endif  // REDWING_STEERING_CLIENT_BLOCK_H_
