#ifndef REDWING_FRAMEWORK_KERNEL_BIND_H_
#define REDWING_FRAMEWORK_KERNEL_BIND_H_

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <thread>

#include "framework/kernel/clock.h"
#include "framework/log/log.h"

namespace redwing {

// Time for which a starting process waits for an address that another process
// still uses, such as the one that it replaces.
inline constexpr Milliseconds kBindLimit{3'000};

// Binds a socket. Blocks while the address is in use, for at most `limit`.
template <typename Socket, typename Endpoint>
boost::system::error_code Bind(Socket& socket,
                               const Endpoint& endpoint,
                               Milliseconds limit) {
  constexpr Milliseconds kRetryInterval{20};
  const TimePoint give_up = Clock::now() + limit;
  boost::system::error_code ec;
  socket.bind(endpoint, ec);
  if (ec == boost::asio::error::address_in_use && limit > Milliseconds(0)) {
    spdlog::warn("event=address_in_use address={}:{} limit_ms={}",
                 endpoint.address().to_string(), endpoint.port(),
                 limit.count());
  }
  while (ec == boost::asio::error::address_in_use && Clock::now() < give_up) {
    std::this_thread::sleep_for(kRetryInterval);
    socket.bind(endpoint, ec);
  }
  return ec;
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_BIND_H_
