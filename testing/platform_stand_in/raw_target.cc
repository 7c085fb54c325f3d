#include "testing/platform_stand_in/raw_target.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "framework/settings/endpoint.h"

namespace redwing::testing {

namespace {

using boost::asio::ip::tcp;

// Bytes that are sent without end stop after this many.
constexpr size_t kEndless = 256 * 1024 * 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string FieldOf(const std::string& head, const std::string& name) {
  const std::string wanted = "\r\n" + name + ": ";
  const size_t found = head.find(wanted);
  if (found == std::string::npos) {
    return "";
  }
  const size_t begin = found + wanted.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

RawTarget::RawTarget(Respond respond,
                     std::string filler,
                     size_t block_size,
                     Milliseconds pause)
    : respond_(std::move(respond)),
      filler_(std::move(filler)),
      block_size_(block_size),
      pause_(pause),
      acceptor_(io_, TcpEndpoint("127.0.0.1:0")),
      thread_([this]() { Accept(); }) {}

RawTarget::~RawTarget() {
  stopped_ = true;
  // Wakes the thread that accepts.
  boost::system::error_code ignored;
  tcp::socket(io_).connect(acceptor_.local_endpoint(), ignored);
  thread_.join();
  CloseConnections();
  for (std::thread& connection : connections_) {
    connection.join();
  }
}

std::string RawTarget::address() const {
  return FormatEndpoint(acceptor_.local_endpoint());
}

void RawTarget::CloseConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Socket& socket : sockets_) {
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
}

void RawTarget::Accept() {
  while (true) {
    boost::system::error_code ec;
    Socket socket = acceptor_.accept(ec);
    if (stopped_ || ec) {
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.push_back(std::move(socket));
    Socket& kept = sockets_.back();
    const int connection = static_cast<int>(sockets_.size());
    connections_.emplace_back(
        [this, &kept, connection]() { Serve(kept, connection); });
  }
}

void RawTarget::Serve(Socket& socket, int connection) {
  std::string buffer;
  for (int number = 1;; ++number) {
    boost::system::error_code ec;
    const size_t size = boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(buffer), kHeadEnd, ec);
    if (ec) {
      return;
    }
    const std::string head = buffer.substr(0, size);
    const std::string bytes = respond_(
        {FieldOf(head, "X-Redwingcart-Request-Id"),
         FieldOf(head, "X-Redwingcart-Target-Instance"), connection, number});
    buffer.erase(0, size);
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    if (reset_delay_ >= 0) {
      std::this_thread::sleep_for(Milliseconds(reset_delay_));
      socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
      const std::lock_guard<std::mutex> lock(mutex_);
      socket.close(ec);
      return;
    }
    if (!ec && !filler_.empty()) {
      WriteWithoutEnd(socket, filler_, block_size_, pause_);
    }
    if (ec || !filler_.empty() || bytes.find(kHeadEnd) == std::string::npos) {
      socket.shutdown(tcp::socket::shutdown_both, ec);
      return;
    }
  }
}

std::string RawTarget::Head(int status,
                            const std::string& id,
                            const std::string& more) {
  return fmt::format("HTTP/1.1 {} X\r\nX-Redwingcart-Request-Id: {}\r\n{}\r\n",
                     status, id, more);
}

void RawTarget::WriteWithoutEnd(Socket& socket,
                                const std::string& text,
                                size_t block_size,
                                Milliseconds pause) {
  std::string block;
  while (block.size() < block_size) {
    block += text;
  }
  boost::system::error_code ec;
  for (size_t sent = 0; !ec && sent < kEndless; sent += block.size()) {
    boost::asio::write(socket, boost::asio::buffer(block), ec);
    std::this_thread::sleep_for(pause);
  }
}

}  // namespace redwing::testing
