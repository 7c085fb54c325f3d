#ifndef REDWING_TESTING_PLATFORM_STAND_IN_RAW_TARGET_H_
#define REDWING_TESTING_PLATFORM_STAND_IN_RAW_TARGET_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing::testing {

// A request as a raw target sees it.
struct RawRequest {
  std::string id;
  // Name of the target that it is for.
  std::string target;
  // Serial number of its connection, and its own number there, from 1.
  int connection = 0;
  int number = 0;
};

// A target of the platform that writes raw bytes: what `respond` returns for a
// request; none close the connection. After them it repeats `filler`, if that
// is not empty, until its caller closes. `respond` is called on a thread of the
// connection.
class RawTarget {
 public:
  using Respond = std::function<std::string(const RawRequest& request)>;

  static constexpr size_t kBlock = 256 * 1024;  // bytes

  explicit RawTarget(Respond respond,
                     std::string filler = "",
                     size_t block_size = kBlock,
                     Milliseconds pause = Milliseconds(0));
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  std::string address() const;
  // From now on, each response is followed by a reset of its connection after
  // `delay`. What is left of the request is not read.
  void ResetAfterResponse(Milliseconds delay) { reset_delay_ = delay.count(); }
  // Closes all connections, as the end of the target's process does.
  void CloseConnections();

  // Renders the head of a response to the request with this id.
  static std::string Head(int status,
                          const std::string& id,
                          const std::string& more);
  // Repeats a text to blocks, and writes them, with a pause after each, until
  // the other side closes or a fixed number of bytes was written.
  static void WriteWithoutEnd(boost::asio::ip::tcp::socket& socket,
                              const std::string& text,
                              size_t block_size,
                              Milliseconds pause);

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept();
  void Serve(Socket& socket, int connection);

  boost::asio::io_context io_;
  Respond respond_;
  std::string filler_;
  size_t block_size_;
  Milliseconds pause_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopped_ = false;
  // In milliseconds; negative if connections are not reset.
  std::atomic<int64_t> reset_delay_ = -1;
  std::mutex mutex_;
  std::list<Socket> sockets_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_PLATFORM_STAND_IN_RAW_TARGET_H_
