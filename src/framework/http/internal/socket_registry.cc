#include "framework/http/socket_registry.h"

#include "framework/http/timed_socket.h"

namespace redwing {

SocketRegistry::SocketRegistry(boost::asio::io_context& io)
    : task_(io, kInterval, [this]() { Sweep(); }) {
  task_.Start();
}

void SocketRegistry::OpenFor(const boost::asio::ip::tcp::endpoint& to,
                             boost::asio::ip::tcp::socket& socket) const {
  boost::system::error_code ec;
  socket.open(to.protocol(), ec);
  if (!ec && source_address_.is_v4() == to.address().is_v4() &&
      !source_address_.is_unspecified()) {
    socket.bind({source_address_, 0}, ec);
  }
}

void SocketRegistry::Add(TimedSocket* socket) {
  socket->sweep_index_ = sockets_.size();
  sockets_.push_back(socket);
}

void SocketRegistry::Remove(TimedSocket* socket) {
  sockets_.back()->sweep_index_ = socket->sweep_index_;
  sockets_[socket->sweep_index_] = sockets_.back();
  sockets_.pop_back();
}

void SocketRegistry::Sweep() {
  const TimePoint now = Clock::now();
  for (TimedSocket* const socket : sockets_) {
    if (socket->deadline_ <= now) {
      socket->timed_out_ = true;
      socket->deadline_ = TimePoint::max();
      socket->Close();
    }
  }
}

}  // namespace redwing
