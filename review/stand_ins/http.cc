#include "stand_ins/http.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "stand_ins/record.h"

namespace review {

namespace {

constexpr double kForever = 1e9;
constexpr int kPieceBytes = 64 * 1024;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Waits until an event on the descriptor or `until`.
bool Await(int descriptor, short events, double until) {
  while (true) {
    const double left = until - Now();
    if (left <= 0) {
      return false;
    }
    pollfd item = {descriptor, events, 0};
    const int ready =
        poll(&item, 1, static_cast<int>(std::min(left, 1.0) * 1000) + 1);
    if (ready > 0) {
      return true;
    }
  }
}

std::string Trimmed(const std::string& text) {
  const size_t begin = text.find_first_not_of(" \t");
  const size_t end = text.find_last_not_of(" \t\r");
  return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

}  // namespace

std::string Message::Field(const std::string& name) const {
  const auto field = fields.find(name);
  return field == fields.end() ? "" : field->second;
}

Socket::~Socket() {
  close(descriptor_);
}

bool Socket::Fill(double until) {
  if (!Await(descriptor_, POLLIN, until)) {
    error_ = "timeout";
    return false;
  }
  std::string piece(kPieceBytes, '\0');
  const ssize_t size = recv(descriptor_, piece.data(), piece.size(), 0);
  if (size <= 0) {
    error_ = size == 0 ? "closed" : std::strerror(errno);
    return false;
  }
  buffer_.append(piece, 0, static_cast<size_t>(size));
  return true;
}

bool Socket::ReadHead(Message* message, std::string* first, double until) {
  size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  size_t line_end = head.find("\r\n");
  *first = head.substr(0, line_end);
  size_t begin = line_end + 2;
  while (begin < head.size()) {
    line_end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, line_end - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      message->fields[name] = Trimmed(line.substr(colon + 1));
    }
    begin = line_end + 2;
  }
  return true;
}

bool Socket::ReadBody(Message* message, bool until_end, double until) {
  if (message->Field("transfer-encoding") == "chunked") {
    while (true) {
      size_t end = std::string::npos;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      message->body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = message->Field("content-length");
  if (!length.empty()) {
    const size_t size = std::stoul(length);
    while (buffer_.size() < size) {
      if (!Fill(until)) {
        return false;
      }
    }
    message->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }
  if (!until_end) {
    return true;
  }
  while (Fill(until)) {
  }
  message->body = std::move(buffer_);
  return error_ == "closed";
}

bool Socket::ReadRequest(Message* message, double until) {
  std::string first;
  if (!ReadHead(message, &first, until)) {
    return false;
  }
  const size_t space = first.find(' ');
  const size_t second = first.find(' ', space + 1);
  message->method = first.substr(0, space);
  message->target = first.substr(space + 1, second - space - 1);
  return ReadBody(message, false, until);
}

bool Socket::ReadResponse(Message* message, double until) {
  std::string first;
  if (!ReadHead(message, &first, until)) {
    return false;
  }
  message->status = std::atoi(first.substr(first.find(' ') + 1).c_str());
  return ReadBody(message, true, until);
}

bool Socket::Write(const std::string& bytes, double until) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t size =
        send(descriptor_, bytes.data() + written, bytes.size() - written,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) {
      written += static_cast<size_t>(size);
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      error_ = std::strerror(errno);
      return false;
    }
    if (!Await(descriptor_, POLLOUT, until)) {
      error_ = "timeout";
      return false;
    }
  }
  return true;
}

bool Socket::PeerHasClosed() const {
  char byte = 0;
  const ssize_t size = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Socket::Reset() {
  const linger now = {1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

Server::Server(const std::string& ip, int port, Handler handler)
    : ip_(ip), port_(port), handler_(std::move(handler)) {
  Open();
  thread_ = std::thread([this]() { Accept(); });
}

Server::~Server() {
  stopped_ = true;
  thread_.join();
  SetUp(false);
  while (running_ > 0) {
    Sleep(0.01);
  }
}

void Server::Open() {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(ip_, port_);
  socklen_t size = sizeof(address);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, 1024) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    throw std::runtime_error("cannot listen at " + ip_);
  }
  port_ = ntohs(address.sin_port);
  address_ = fmt::format("{}:{}", ip_, port_);
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = listener;
}

void Server::SetUp(bool up) {
  if (up) {
    Open();
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  close(listener_);
  listener_ = -1;
  for (const int descriptor : open_) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

void Server::Accept() {
  while (!stopped_) {
    int accepted = -1;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      pollfd item = {listener_, POLLIN, 0};
      if (listener_ >= 0 && poll(&item, 1, 0) > 0) {
        accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted >= 0) {
          open_.insert(accepted);
        }
      }
    }
    if (accepted < 0) {
      Sleep(0.002);
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++running_;
    std::thread([this, accepted]() { Serve(accepted); }).detach();
  }
}

void Server::Serve(int descriptor) {
  {
    Socket socket(descriptor);
    bool open = true;
    while (open && !stopped_) {
      Message request;
      open =
          socket.ReadRequest(&request, kForever) && handler_(socket, request);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(descriptor);
  }
  --running_;
}

Answer Ask(const std::string& address,
           const std::string& method,
           const std::string& target,
           const std::map<std::string, std::string>& fields,
           const std::string& body,
           double timeout) {
  Answer answer;
  answer.sent = Now();
  const double until = Now() + timeout;
  const size_t colon = address.rfind(':');
  const sockaddr_in to =
      AddressOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (connect(connection.descriptor(), reinterpret_cast<const sockaddr*>(&to),
              sizeof(to)) != 0) {
    answer.error = fmt::format("connect: {}", std::strerror(errno));
    answer.ended = Now();
    return answer;
  }
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
  for (const auto& [name, value] : fields) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  if (!body.empty() || method == "POST") {
    text += fmt::format("Content-Length: {}\r\n", body.size());
  }
  text += "\r\n" + body;
  if (!connection.Write(text, until) ||
      !connection.ReadResponse(&answer.message, until)) {
    answer.error = connection.error();
  } else {
    answer.status = answer.message.status;
  }
  answer.ended = Now();
  return answer;
}

std::string Response(int status,
                     const std::map<std::string, std::string>& fields,
                     const std::string& body) {
  std::string text = fmt::format("HTTP/1.1 {} X\r\n", status);
  for (const auto& [name, value] : fields) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  return text + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

}  // namespace review
