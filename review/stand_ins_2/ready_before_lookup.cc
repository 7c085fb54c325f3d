// How long after its start an instance says that it is ready while its
// directory still answers 503: what platform_change_test_fleet met once.

#include <fmt/format.h>

#include "framework/settings/endpoint.h"
#include "review/stand_ins_2/callers.h"
#include "testing/harness/sync_client.h"

namespace redwing::review {
namespace {

constexpr int kInstances = 4;
constexpr Milliseconds kLimit{20'000};
constexpr Milliseconds kPoll{2};
constexpr const char* kReadyPort = "8384";
constexpr const char* kDirectoryPort = "8385";

unsigned StatusOf(const std::string& ip,
                  const char* port,
                  const std::string& target) {
  HttpCall call;
  call.endpoint = TcpEndpoint(fmt::format("{}:{}", ip, port));
  call.target = target;
  const Result<HttpReply> reply = testing::CallSync(call);
  return reply ? reply.value().status : 0;
}

// Waits for 200; returns how many other answers there were before.
int Await(const std::string& ip, const char* port, const std::string& target) {
  int others = 0;
  const TimePoint end = Clock::now() + kLimit;
  while (StatusOf(ip, port, target) != 200 && Clock::now() < end) {
    ++others;
    std::this_thread::sleep_for(kPoll);
  }
  return others;
}

int Run() {
  Fleet fleet(2, kInstances, {{"svc", 0}, {"svc", 1}});
  fleet.OnLoop([&]() {
    fleet.store().Put("config", "main",
                      Fleet::Manifest(1, {"svc"}, {{"/safe/", "safe", "svc"}},
                                      {{"key-one"}}));
  });
  int late = 0;
  std::vector<std::thread> watchers;
  std::mutex mutex;
  for (int i = 0; i < kInstances; ++i) {
    fleet.Start(i);
    watchers.emplace_back([&, i]() {
      const std::string front = fleet.front(i);
      const std::string ip = front.substr(0, front.find(':'));
      Await(ip, kReadyPort, "/ready");
      const TimePoint ready = Clock::now();
      const int refused = Await(ip, kDirectoryPort,
                                "/resolve?name=shop.example&region=region-0");
      const std::lock_guard<std::mutex> lock(mutex);
      late += refused > 0 ? 1 : 0;
      fmt::print("front-{}: ready, then {} look-ups refused in {:.0f} ms\n", i,
                 refused, ToSeconds(Clock::now() - ready) * 1000);
    });
  }
  for (std::thread& watcher : watchers) {
    watcher.join();
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace redwing::review

int main() {
  return redwing::review::Run();
}
