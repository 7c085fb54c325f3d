#ifndef REDWING_TESTING_FUZZ_SOCKET_FUZZ_H_
#define REDWING_TESTING_FUZZ_SOCKET_FUZZ_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"

namespace redwing::testing {

// Feeds bytes in random pieces to the classes that read from sockets. Each call
// returns when both sides of its connection have ended.
class SocketFuzz {
 public:
  explicit SocketFuzz(uint64_t seed);
  ~SocketFuzz();
  SocketFuzz(const SocketFuzz&) = delete;
  SocketFuzz& operator=(const SocketFuzz&) = delete;

  // Sends the bytes to a server, as one or more requests.
  void SendAsRequests(const std::string& bytes);
  // Sends the bytes to a client, as the response to a request.
  void SendAsResponse(const std::string& bytes);

  // Requests that reached the handler, and responses whose head was read.
  int requests() const { return requests_; }
  int responses() const { return responses_; }
  // Those of the responses that no caller may get.
  int malformed_responses() const { return malformed_responses_; }

 private:
  // Writes the bytes and ends the sending side, or the connection.
  void WritePieces(boost::asio::ip::tcp::socket& socket,
                   const std::string& bytes,
                   const Yield& yield);
  void RunUntil(const int& running);

  std::mt19937_64 random_;
  boost::asio::io_context io_;
  SocketRegistry sockets_;
  Metrics metrics_;
  std::unique_ptr<HttpHandler> handler_;
  HttpServer server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  int requests_ = 0;
  int responses_ = 0;
  int malformed_responses_ = 0;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_FUZZ_SOCKET_FUZZ_H_
