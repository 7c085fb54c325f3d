// Clients whose bodies of 20 KB take longer to arrive than the route's timeout
// of 3 s.

#include <fmt/format.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <mutex>

#include "framework/settings/endpoint.h"
#include "review/stand_ins_2/callers.h"

namespace redwing::review {
namespace {

using boost::asio::ip::tcp;

constexpr int kInstances = 4;
constexpr int kClients = 24;
constexpr Milliseconds kStartLimit{20'000};
constexpr size_t kBody = 20'000;
constexpr size_t kPiece = 1'000;
constexpr Milliseconds kBetween{300};
// Of the route in Fleet::Manifest(), and what the clients wait at most.
constexpr Milliseconds kTimeout{3'000};
constexpr Milliseconds kDeadline{8'000};
// CONFIG: eight or more, and over a quarter, unanswered half a second later.
constexpr Milliseconds kSlack{500};
constexpr int kMost = 7;

// Sends one request; its answer, if any, is read to the end of its head.
Sent Send(const std::string& front, int client, int instance, bool slow) {
  Sent sent{fmt::format("slow-{}", client),
            instance,
            "POST",
            "/transfer/1",
            "key-one",
            Clock::now(),
            {},
            0,
            ""};
  boost::asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code ec;
  socket.connect(TcpEndpoint(front), ec);
  const std::string head = fmt::format(
      "POST /transfer/1 HTTP/1.1\r\nHost: {}\r\nX-Redwingcart-Request-Id: {}"
      "\r\nX-Redwingcart-Deadline-Ms: {}\r\nAuthorization: Bearer key-one\r\n"
      "Content-Length: {}\r\n\r\n",
      Fleet::kHost, sent.id, kDeadline.count(), kBody);
  boost::asio::write(socket, boost::asio::buffer(head), ec);
  const std::string piece(kPiece, 'x');
  std::thread writer([&]() {
    boost::system::error_code write_ec;
    for (size_t done = 0; done < kBody && !write_ec; done += kPiece) {
      boost::asio::write(socket, boost::asio::buffer(piece), write_ec);
      std::this_thread::sleep_for(slow ? kBetween : Milliseconds(0));
    }
  });
  std::string status(12, '\0');
  boost::asio::read(socket, boost::asio::buffer(status), ec);
  sent.ended_at = Clock::now();
  sent.status = ec ? 0 : static_cast<unsigned>(std::stoi(status.substr(9)));
  sent.text = ec ? ec.message() : status;
  writer.join();
  return sent;
}

int Run(const std::string& record) {
  Fleet fleet(2, kInstances, {{"svc", 0}, {"svc", 1}});
  fleet.OnLoop([&]() {
    fleet.store().Put(
        "config", "main",
        Fleet::Manifest(1, {"svc"}, {{"/transfer/", "unsafe", "svc"}},
                        {{"key-one"}}));
  });
  for (int i = 0; i < kInstances; ++i) {
    fleet.Start(i);
  }
  if (!fleet.AwaitReady(kStartLimit)) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kTimeout);
  std::vector<Sent> sent;
  std::vector<std::thread> clients;
  std::mutex mutex;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i]() {
      const int instance = i % kInstances;
      Sent one = Send(fleet.front(instance), i, instance, HasTrouble());
      const std::lock_guard<std::mutex> lock(mutex);
      sent.push_back(std::move(one));
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  WriteRecord(record, fleet, sent, {});
  int late = 0;
  int answered = 0;
  int run_late = 0;
  for (const Sent& request : sent) {
    late += request.ended_at - request.at > kTimeout + kSlack ? 1 : 0;
    answered += request.status == 200 ? 1 : 0;
  }
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      for (const testing::TargetRun& run : fleet.target(i).runs()) {
        for (const Sent& request : sent) {
          run_late += request.id == run.request_id &&
                              run.at - request.at > kTimeout + kSlack
                          ? 1
                          : 0;
        }
      }
    }
  });
  fmt::print(
      "sent {} answered 200 {}; no answer {} ms after the route's timeout: {}; "
      "run later than that: {}\n",
      sent.size(), answered, kSlack.count(), late, run_late);
  return late > kMost && late * 4 > kClients ? kBroken : kHeld;
}

}  // namespace
}  // namespace redwing::review

// The argument is the path of record.txt.
int main(int argc, char** argv) {
  return argc == 2 ? redwing::review::Run(argv[1])
                   : redwing::review::kCouldNotRun;
}
