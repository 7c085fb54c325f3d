#ifndef REDWING_REVIEW_STAND_INS_HTTP_H_
#define REDWING_REVIEW_STAND_INS_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// A message of HTTP/1.1. Names of header fields are in lower case.
struct Message {
  std::string method;  // requests
  std::string target;  // requests
  int status = 0;      // responses
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
};

// A connected TCP socket with blocking calls on it.
class Socket {
 public:
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Returns whether a whole message arrived before `until` (see Now()).
  bool ReadRequest(Message* message, double until);
  bool ReadResponse(Message* message, double until);
  // Returns whether all bytes were taken by the system before `until`.
  bool Write(const std::string& bytes, double until);
  // Returns whether the peer has closed its side.
  bool PeerHasClosed() const;
  // Ends the connection with a reset.
  void Reset();
  // Why the last call failed.
  const std::string& error() const { return error_; }
  int descriptor() const { return descriptor_; }

 private:
  bool Fill(double until);
  bool ReadHead(Message* message, std::string* first, double until);
  bool ReadBody(Message* message, bool until_end, double until);

  int descriptor_;
  std::string buffer_;
  std::string error_;
};

// Accepts connections at a loopback address, a thread a connection.
class Server {
 public:
  // Handles one request; returns whether the connection stays open.
  using Handler = std::function<bool(Socket&, const Message&)>;

  // Binds to `ip` and a port; 0 for a free one.
  Server(const std::string& ip, int port, Handler handler);
  ~Server();

  const std::string& address() const { return address_; }
  // Closes the listener and all connections with a reset, or listens again.
  void SetUp(bool up);

 private:
  void Open();
  void Accept();
  void Serve(int descriptor);

  std::string ip_;
  int port_;
  Handler handler_;
  std::string address_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> running_ = 0;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> open_;
  std::thread thread_;
};

// What a client saw of one request.
struct Answer {
  // 0 where there was no answer in the protocol.
  int status = 0;
  Message message;
  std::string error;
  double sent = 0;
  double ended = 0;
};

// Sends one request on a new connection from `source_ip` and waits for the
// answer until `timeout` seconds later.
Answer Ask(const std::string& address,
           const std::string& method,
           const std::string& target,
           const std::map<std::string, std::string>& fields,
           const std::string& body,
           double timeout);

std::string Response(int status,
                     const std::map<std::string, std::string>& fields,
                     const std::string& body);

}  // namespace review

#endif  // REDWING_REVIEW_STAND_INS_HTTP_H_
