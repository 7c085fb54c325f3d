#include "testing/harness/sync_client.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <thread>

#include "framework/http/socket_registry.h"
#include "framework/http/timed_socket.h"
#include "framework/kernel/spawn.h"
#include "framework/settings/endpoint.h"

namespace redwing::testing {

namespace {
constexpr Milliseconds kTimeout{15'000};
constexpr Milliseconds kPoll{20};
}  // namespace

Result<HttpReply> CallSync(const HttpCall& call) {
  boost::asio::io_context io(1);
  SocketRegistry sockets(io);
  HttpClient client(io, sockets);
  Result<HttpReply> result = NotRun(Errc::kInternal, "not called");
  Spawn(io, [&](const Yield& yield) {
    result = client.Call(call, yield);
    io.stop();
  });
  io.run();
  return result;
}

nlohmann::json CallJson(http::verb method,
                        const std::string& address,
                        const std::string& target,
                        const nlohmann::json& body,
                        const std::string& key) {
  HttpCall call;
  call.endpoint = TcpEndpoint(address);
  call.method = method;
  call.target = target;
  call.body = body.is_null() ? "" : body.dump();
  call.timeout = kTimeout;
  if (!key.empty()) {
    call.headers["Authorization"] = "Bearer " + key;
  }
  const Result<HttpReply> reply = CallSync(call);
  if (!reply) {
    throw std::runtime_error(target + ": " + reply.error().detail);
  }
  if (reply.value().status < 200 || reply.value().status > 299) {
    throw std::runtime_error(fmt::format(
        "{}: {} {}", target, reply.value().status, reply.value().body));
  }
  return nlohmann::json::parse(reply.value().body);
}

std::string SendRaw(const std::string& address,
                    const std::string& bytes,
                    Milliseconds limit) {
  boost::asio::io_context io(1);
  SocketRegistry sockets(io);
  TimedSocket socket(sockets, boost::asio::ip::tcp::socket(io));
  socket.ExpiresAfter(limit);
  std::string received;
  Spawn(io, [&](const Yield& yield) {
    boost::system::error_code ec;
    socket.socket().async_connect(TcpEndpoint(address), yield[ec]);
    boost::asio::async_write(socket.socket(), boost::asio::buffer(bytes),
                             yield[ec]);
    std::array<char, 4096> piece{};
    while (true) {
      const size_t size = socket.socket().async_read_some(
          boost::asio::buffer(piece), yield[ec]);
      received.append(piece.data(), size);
      if (ec) {
        break;
      }
    }
    io.stop();
  });
  io.run();
  return received;
}

bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const TimePoint end = Clock::now() + limit;
  while (Clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return condition();
}

}  // namespace redwing::testing
