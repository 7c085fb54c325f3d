#include "testing/platform_stand_in/source_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <cerrno>
#include <filesystem>
#include <system_error>

namespace redwing::testing {

namespace {

using boost::asio::ip::tcp;

// Offset of the source address in an IPv4 header, in bytes.
constexpr int kSourceOffset = 12;

// A socket of this process that is bound to the endpoint.
struct BoundSocket {
  int descriptor;
  bool listens;
  std::string peer;
};

std::vector<BoundSocket> SocketsOf(const tcp::endpoint& local) {
  std::vector<BoundSocket> found;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int descriptor = std::stoi(entry.path().filename().string());
    tcp::endpoint bound;
    socklen_t size = static_cast<socklen_t>(bound.capacity());
    if (getsockname(descriptor, bound.data(), &size) != 0 || bound != local) {
      continue;
    }
    int listens = 0;
    socklen_t listens_size = sizeof(listens);
    getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_size);
    tcp::endpoint peer;
    size = static_cast<socklen_t>(peer.capacity());
    const bool connected = getpeername(descriptor, peer.data(), &size) == 0;
    found.push_back({descriptor, listens != 0,
                     connected ? peer.address().to_string() : std::string()});
  }
  return found;
}

void SetOption(int descriptor, int option, const void* value, size_t size) {
  if (setsockopt(descriptor, SOL_SOCKET, option, value,
                 static_cast<socklen_t>(size)) != 0) {
    throw std::system_error(errno, std::generic_category(), "setsockopt");
  }
}

// Returns a program of the socket filter that drops packets from the sources.
std::vector<sock_filter> DropProgram(const std::vector<std::string>& sources) {
  std::vector<sock_filter> program;
  program.push_back(
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
               static_cast<uint32_t>(SKF_NET_OFF + kSourceOffset)));
  for (size_t i = 0; i < sources.size(); ++i) {
    const uint8_t to_drop = static_cast<uint8_t>(sources.size() - i);
    program.push_back(BPF_JUMP(
        BPF_JMP | BPF_JEQ | BPF_K,
        boost::asio::ip::make_address_v4(sources[i]).to_uint(), to_drop, 0));
  }
  program.push_back(BPF_STMT(BPF_RET | BPF_K, UINT32_MAX));
  program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  return program;
}

void Reset(int descriptor) {
  const sockaddr unspecified = {AF_UNSPEC, {}};
  // Disconnects the socket with a reset; its owner closes it.
  if (connect(descriptor, &unspecified, sizeof(unspecified)) != 0) {
    throw std::system_error(errno, std::generic_category(), "connect");
  }
}

}  // namespace

void DropPackets(const tcp::endpoint& local,
                 const std::vector<std::string>& sources,
                 OpenConnections open) {
  std::vector<sock_filter> program = DropProgram(sources);
  const sock_fprog filter = {static_cast<uint16_t>(program.size()),
                             program.data()};
  for (const BoundSocket& socket : SocketsOf(local)) {
    const bool is_cut =
        std::find(sources.begin(), sources.end(), socket.peer) != sources.end();
    if (socket.listens || (is_cut && open == OpenConnections::kHang)) {
      SetOption(socket.descriptor, SO_ATTACH_FILTER, &filter, sizeof(filter));
    } else if (is_cut && open == OpenConnections::kReset) {
      Reset(socket.descriptor);
    }
  }
}

void AcceptPackets(const tcp::endpoint& local) {
  for (const BoundSocket& socket : SocketsOf(local)) {
    const int unused = 0;
    // Fails for sockets without a filter.
    setsockopt(socket.descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused,
               sizeof(unused));
  }
}

}  // namespace redwing::testing
