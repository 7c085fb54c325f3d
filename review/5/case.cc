// Upstreams in trouble send bytes without end within the body of their answers:
// a line with the size of a chunk that never ends.

#include <signal.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "stand_ins/deployment.h"
#include "stand_ins/record.h"

namespace review {
namespace {

constexpr size_t kMemoryMb = 260;  // self.limits.memoryMb
// Of all connections of an upstream together; a machine's link carries 125e6.
constexpr double kBytesPerS = 80e6;
constexpr int kDeadlineMs = 8000;
constexpr double kLength = 60;
constexpr int kClients = 24;

// The link of one upstream, shared by its connections.
class Link {
 public:
  void Take(size_t bytes) {
    double due = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      next_ = std::max(next_, Now()) + static_cast<double>(bytes) / kBytesPerS;
      due = next_;
    }
    Sleep(std::max(0.0, due - Now()));
  }

 private:
  std::mutex mutex_;
  double next_ = 0;
};

// Writes until the caller closes.
bool AnswerWithoutEnd(Link& link, Socket& socket, const Message& request) {
  const std::string id = request.Field("x-redwingcart-request-id");
  const double begun = Now();
  bool open = socket.Write(
      fmt::format("HTTP/1.1 200 OK\r\nX-Redwingcart-Request-Id: {0}\r\n"
                  "X-Redwingcart-Response-Signature: signed-{0}\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n5;",
                  id),
      Now() + 5);
  const std::string piece(256 * 1024, 'x');
  size_t sent = 0;
  while (open && Now() < begun + 20) {
    link.Take(piece.size());
    open = socket.Write(piece, begun + 20);
    sent += piece.size();
  }
  Record::Line("upstream: the caller of {} closed after {} MB and {:.1f} s", id,
               sent / 1'000'000, Now() - begun);
  return false;
}

Outcome Play() {
  Deployment deployment;
  deployment.AddUpstreams(12, 12);
  deployment.store().Put("config", "main", Deployment::Manifest(3, {"key-aa"}));
  deployment.AddMachines(6);
  if (!deployment.AwaitReady(20)) {
    return kCannotRun;
  }
  Sleep(3);
  std::atomic<bool> stopped = false;
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client]() {
      for (int i = 0; !stopped; ++i) {
        const Answer answer =
            deployment.Send(*deployment.machines()[client % 6],
                            fmt::format("lookup-{}-{}", client, i), "key-aa",
                            true, kDeadlineMs);
        ++(answer.status == 200 ? served : failed);
        Sleep(0.2);
      }
    });
  }
  Sleep(2);
  const int served_before = served;
  Link links[2];
  for (int i = 0; i < 2 && Deployment::WithTrouble(); ++i) {
    Upstream& faulty = *deployment.upstreams()[i];
    Record::Say("upstream {} in {} is in trouble", faulty.id(), faulty.zone());
    faulty.SetAnswerer(
        [&link = links[i]](Socket& socket, const Message& request) {
          return AnswerWithoutEnd(link, socket, request);
        });
  }
  // The platform ends processes that exceed their memory, and starts processes
  // again that have ended.
  size_t most = 0;
  for (const double until = Now() + kLength;
       Now() < until && !deployment.TooManyEnds();) {
    for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
      machine->RestartIfEnded();
      const size_t memory = machine->ResidentMegabytes();
      most = std::max(most, memory);
      if (memory > kMemoryMb) {
        Record::Say("machine {}: has {} MB, of {} that it may have",
                    machine->name(), memory, kMemoryMb);
        machine->Signal(SIGKILL);
        while (machine->Running()) {
          Sleep(0.002);
        }
      }
    }
    Sleep(0.01);
  }
  stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
    Record::Say("machine {}: its process exceeded its memory {} times",
                machine->name(), machine->ends());
  }
  Record::Say(
      "{} requests served, {} not; the most memory of a process was {} "
      "MB",
      served.load(), failed.load(), most);
  if (served_before == 0) {
    return kCannotRun;
  }
  return deployment.TooManyEnds() ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(argc, argv, review::Play);
}
