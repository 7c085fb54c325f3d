// A manifest raises the limit of request heads, and clients send longer ones.

#include <atomic>
#include <thread>

#include "stand_ins/deployment.h"
#include "stand_ins/record.h"

namespace review {
namespace {

constexpr size_t kLimitBefore = 16384;  // maxHeaderBytes
constexpr size_t kLimitAfter = 32768;
constexpr size_t kHeadBefore = 16000;
constexpr size_t kHeadAfter = 20000;
constexpr double kConfigApply = 2.5;
constexpr double kLength = 45;
// Between requests with a long head, beside the others.
constexpr double kLongInterval = 0.5;

// Returns the request's target, filled so that the head has `size` bytes.
std::string TargetFor(const std::map<std::string, std::string>& fields,
                      const std::string& path,
                      size_t size) {
  size_t rest = std::string("GET  HTTP/1.1\r\n\r\n").size();
  for (const auto& [name, value] : fields) {
    rest += name.size() + value.size() + std::string(": \r\n").size();
  }
  std::string target = path + "?tags=";
  for (int tag = 0; target.size() + rest < size; ++tag) {
    target += fmt::format("{:07},", tag);
  }
  target.resize(size - rest);
  return target;
}

Answer SendLong(Machine& machine, const std::string& id, size_t size) {
  const std::map<std::string, std::string> fields = {
      {"Host", "tags.example"},
      {"X-Redwingcart-Request-Id", id},
      {"X-Redwingcart-Affinity-Key", "17"},
      {"X-Redwingcart-Deadline-Ms", "3000"},
      {"Authorization", "Bearer key-aa"}};
  const std::string target = TargetFor(fields, "/lookup/" + id, size);
  Record::Line("client: sends {} to {} with a head of {} bytes", id,
               machine.name(), size);
  const Answer answer = Ask(machine.front(), "GET", target, fields, "", 3.5);
  Record::Line(
      "client: {}: {}", id,
      answer.status == 0 ? answer.error : std::to_string(answer.status));
  return answer;
}

Outcome Play() {
  Deployment deployment;
  deployment.AddUpstreams(12, 12);
  nlohmann::json manifest = Deployment::Manifest(3, {"key-aa"});
  manifest["limits"]["maxHeaderBytes"] = kLimitBefore;
  deployment.store().Put("config", "main", manifest);
  deployment.AddMachines(6);
  if (!deployment.AwaitReady(20)) {
    return kCannotRun;
  }
  Sleep(3);
  std::atomic<bool> stopped = false;
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::thread client([&]() {
    for (int i = 0; !stopped; ++i) {
      const Answer answer =
          deployment.Send(*deployment.machines()[i % 6],
                          fmt::format("lookup-{}", i), "key-aa", i % 2 == 0);
      ++(answer.status == 200 ? served : failed);
      Sleep(0.02);
    }
  });
  int sent = 0;
  const auto send_long = [&](size_t size, double length) {
    int answered = 0;
    int count = 0;
    double next = Now();
    for (const double until = Now() + length;
         Now() < until && !deployment.TooManyEnds();) {
      if (Now() >= next) {
        Machine& machine = *deployment.machines()[sent % 6];
        const std::string id = fmt::format("9c41d07be2a3{:04x}", sent++);
        answered += SendLong(machine, id, size).status == 200 ? 1 : 0;
        ++count;
        next += kLongInterval;
      }
      for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
        machine->RestartIfEnded();
      }
      Sleep(0.02);
    }
    Record::Say(
        "requests with a head of {} bytes: {} sent, {} answered with "
        "200; other requests so far: {} served, {} not",
        size, count, answered, served.load(), failed.load());
  };
  send_long(kHeadBefore, 10);
  if (Deployment::WithTrouble()) {
    manifest["version"] = "r5";
    manifest["limits"]["maxHeaderBytes"] = kLimitAfter;
    deployment.store().Put("config", "main", manifest);
    Record::Say("manifest r5 allows heads of {} bytes", kLimitAfter);
  }
  Sleep(kConfigApply + 0.5);
  send_long(Deployment::WithTrouble() ? kHeadAfter : kHeadBefore, kLength);
  stopped = true;
  client.join();
  for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
    Record::Say("machine {}: its process ended by itself {} times",
                machine->name(), machine->ends());
  }
  if (served == 0) {
    return kCannotRun;
  }
  return deployment.TooManyEnds() ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(argc, argv, review::Play);
}
