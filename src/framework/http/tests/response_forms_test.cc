// Forms of responses that no proxy may take for an answer, and responses whose
// end is not proved. RFC 9110 section 15, RFC 9112 sections 4 to 7.

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/http/http_connection.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"

namespace redwing {
namespace {

using namespace std::string_literals;
using boost::asio::ip::tcp;

constexpr Milliseconds kTimeout{3'000};
// Far more than sockets buffer.
constexpr size_t kUpload = 32 * 1024 * 1024;  // bytes
constexpr size_t kPart = 20'000;              // bytes

// What a server does after its bytes.
enum class Ending { kStayOpen, kClose, kReset };

// Accepts one connection, reads some of the request, writes bytes.
class RawServer {
 public:
  RawServer(boost::asio::io_context& io,
            std::string bytes,
            Ending ending,
            bool reads_all = false)
      : io_(io),
        acceptor_(io,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        socket_(io),
        bytes_(std::move(bytes)),
        ending_(ending),
        reads_all_(reads_all) {
    Spawn(io, [this](const Yield& yield) { Serve(yield); });
  }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  void Serve(const Yield& yield) {
    boost::system::error_code ec;
    acceptor_.async_accept(socket_, yield[ec]);
    std::string request(64 * 1024, '\0');
    size_t read = 0;
    do {
      read += socket_.async_read_some(boost::asio::buffer(request), yield[ec]);
    } while (!ec && reads_all_ && read < kUpload);
    boost::asio::async_write(socket_, boost::asio::buffer(bytes_), yield[ec]);
    if (ending_ == Ending::kClose) {
      socket_.shutdown(tcp::socket::shutdown_send, ec);
    } else if (ending_ == Ending::kReset) {
      // The bytes have arrived by then.
      SleepFor(io_, Milliseconds(50), yield);
      socket_.set_option(boost::asio::socket_base::linger(true, 0), ec);
      socket_.close(ec);
    }
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string bytes_;
  Ending ending_;
  bool reads_all_;
};

Result<HttpReply> Call(const std::string& bytes, Ending ending) {
  boost::asio::io_context io;
  SocketRegistry sockets(io);
  HttpClient client(io, sockets);
  RawServer server(io, bytes, ending);
  std::optional<Result<HttpReply>> reply;
  Spawn(io, [&](const Yield& yield) {
    HttpCall call;
    call.endpoint = server.endpoint();
    call.method = http::verb::get;
    call.target = "/";
    call.timeout = kTimeout;
    reply = client.Call(call, yield);
  });
  while (!reply) {
    io.run_one();
  }
  return *reply;
}

const std::string kChunks = "2\r\nab\r\n0\r\n\r\n";

std::string WithHead(const std::string& lines, const std::string& body = "ab") {
  return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body;
}

std::string WithStatus(const std::string& status) {
  return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nab";
}

// Guards against a malformed response that is passed on, or waited behind until
// the deadline.
TEST_CASE("malformed responses fail at once") {
  const std::string length = "Content-Length: 2\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::string> forms = {
      WithStatus("000"), WithStatus("001"), WithStatus("099"),
      WithStatus("600"), WithStatus("999"), WithStatus("20"),
      WithStatus("2000"), WithStatus("-20"), WithStatus("2e1"),
      // The body looks like another response.
      "HTTP/1.1 000 X\r\nContent-Length: 38\r\n\r\n" + WithHead(length),
      "HTTP/1.1 100 X\r\nContent-Length: 38\r\n\r\n" + WithHead(length),
      "HTTP/1.1 100 X\r\n" + chunked + "\r\n" + kChunks,
      "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
      "HTTP/1.1 204 X\r\n" + length + "\r\nab",
      "HTTP/1.1 204 X\r\n" + chunked + "\r\n" + kChunks,
      "HTTP/2.0 200 OK\r\n" + length + "\r\nab",
      "HTTP/1.1  200 OK\r\n" + length + "\r\nab",
      "HTTP/1.1 200 O\x01K\r\n" + length + "\r\nab",
      "HTTP/1.1 200 OK\n" + length + "\r\nab",
      // Field names and values.
      WithHead(length + "X y: z\r\n"), WithHead(length + "X : z\r\n"),
      WithHead(length + "X\t: z\r\n"), WithHead(length + "X\ty: z\r\n"),
      WithHead(length + " X: z\r\n").substr(0), WithHead(" X: z\r\n" + length),
      WithHead(length + "X\x01: z\r\n"), WithHead(length + "\x01X: z\r\n"),
      WithHead(length + "X\0: z\r\n"s), WithHead(length + "X\x7f: z\r\n"),
      WithHead(length + ": z\r\n"), WithHead(length + "X\r\n"),
      WithHead(length + "X: a\0b\r\n"s), WithHead(length + "X: a\x01\r\n"),
      WithHead(length + "X: a\rb\r\n"), WithHead(length + "X: a\nY: b\r\n"),
      // Lengths and transfer codings.
      WithHead(length + length), WithHead(length + "Content-Length: 3\r\n"),
      WithHead("Content-Length: 2, 2\r\n"), WithHead("Content-Length: +2\r\n"),
      WithHead("Content-Length: -2\r\n"), WithHead("Content-Length: 0x2\r\n"),
      WithHead("Content-Length:\r\n"),
      WithHead("Content-Length: 18446744073709551618\r\n"),
      WithHead(length + chunked, kChunks), WithHead(chunked + length, kChunks),
      WithHead("Transfer-Encoding: gzip, chunked\r\n", kChunks),
      WithHead("Transfer-Encoding: chunked, gzip\r\n", kChunks),
      WithHead("Transfer-Encoding: gzip\r\n"),
      WithHead("Transfer-Encoding: identity\r\n" + length),
      WithHead("Transfer-Encoding: chunked, chunked\r\n", kChunks),
      WithHead("Transfer-Encoding: xchunked\r\n", kChunks),
      WithHead("Transfer-Encoding:\r\n"), WithHead(chunked + chunked, kChunks),
      "HTTP/1.0 200 OK\r\n" + chunked + "\r\n" + kChunks,
      // Chunks and trailers.
      WithHead(chunked, "+2\r\nab\r\n0\r\n\r\n"),
      WithHead(chunked, "0x2\r\nab\r\n0\r\n\r\n"),
      WithHead(chunked, "2\r\nabc\r\n0\r\n\r\n"),
      WithHead(chunked, "10000000000000002\r\nab\r\n0\r\n\r\n"),
      WithHead(chunked, "2\r\nab\r\n0\r\nX y: z\r\n\r\n"),
      WithHead(chunked, "2\r\nab\r\n0\r\nX\x01: z\r\n\r\n")};
  for (const std::string& form : forms) {
    CAPTURE(form);
    const TimePoint begun = Clock::now();
    const Result<HttpReply> reply = Call(form, Ending::kStayOpen);
    REQUIRE_FALSE(reply);
    CHECK(reply.error().errc == Errc::kTargetBroken);
    CHECK(reply.error().verdict == Verdict::kMayHaveRun);
    CHECK(Clock::now() - begun < kTimeout);
  }
}

TEST_CASE("well-formed responses are read") {
  const std::string length = "Content-Length: 2\r\n";
  const std::string form = GENERATE_COPY(
      WithHead(length), WithStatus("599"), WithStatus("418"),
      WithHead("Transfer-Encoding: Chunked\r\n", kChunks),
      "HTTP/1.1 200 \r\n" + length + "\r\nab",
      "HTTP/1.0 200 OK\r\n" + length + "\r\nab",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" +
          WithHead(length));
  CAPTURE(form);
  const Result<HttpReply> reply = Call(form, Ending::kStayOpen);
  REQUIRE(reply);
  CHECK(reply.value().body == "ab");
}

TEST_CASE("interim responses without end fail") {
  std::string interim;
  for (int i = 0; i < 100; ++i) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  CHECK_FALSE(Call(interim, Ending::kStayOpen));
}

TEST_CASE("the end of a connection ends a body only if it is orderly") {
  const std::string part(kPart, 'x');
  CHECK(Call(WithHead("", part), Ending::kClose).value().body == part);
  CHECK_FALSE(Call(WithHead("", part), Ending::kReset));
  CHECK_FALSE(
      Call(WithHead("Content-Length: 30000\r\n", part), Ending::kClose));
  CHECK_FALSE(Call(
      WithHead("Transfer-Encoding: chunked\r\n", "4e20\r\n" + part + "\r\n"),
      Ending::kClose));
}

// Sends a long upload and reads the response though the upload fails.
Result<std::string> Upload(const std::string& bytes,
                           Ending ending,
                           bool reads_all) {
  boost::asio::io_context io;
  SocketRegistry sockets(io);
  RawServer server(io, bytes, ending, reads_all);
  std::optional<Result<std::string>> outcome;
  Spawn(io, [&](const Yield& yield) {
    HttpConnection connection(io, sockets);
    REQUIRE(
        connection.Connect(server.endpoint(), Clock::now() + kTimeout, yield));
    RequestHeader header;
    header.method(http::verb::put);
    header.target("/");
    header.set(http::field::content_length, std::to_string(kUpload));
    const std::string body(kUpload, 'u');
    const Result<void> sent = connection.BeginRequest(
        std::move(header), body.data(), body.size(), true, yield);
    CHECK(static_cast<bool>(sent) == reads_all);
    CHECK(connection.write_failed() != reads_all);
    const Result<void> head = connection.ReadHeader(yield);
    if (!head) {
      outcome = head.error();
      return;
    }
    std::string text;
    std::string piece(1024, '\0');
    Result<size_t> size =
        connection.ReadBody(piece.data(), piece.size(), yield);
    while (size && size.value() > 0) {
      text.append(piece, 0, size.value());
      size = connection.ReadBody(piece.data(), piece.size(), yield);
    }
    CHECK(connection.body_done() == static_cast<bool>(size));
    CHECK_FALSE(connection.reusable());
    outcome = size ? Result<std::string>(text) : size.error();
  });
  while (!outcome) {
    io.run_one();
  }
  return *outcome;
}

// Guards against a part of a response that counts as whole, since the write of
// the upload was the one to hear of the reset.
TEST_CASE("a reset during an upload does not end a response") {
  const std::string part(kPart, 'x');
  CHECK_FALSE(Upload(WithHead("", part), Ending::kReset, false));
  CHECK(
      Upload(WithHead("Content-Length: 20000\r\n", part), Ending::kReset, false)
          .value() == part);
  CHECK(Upload(WithHead("", part), Ending::kClose, true).value() == part);
}

}  // namespace
}  // namespace redwing
