#include "review/stand_ins_2/callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"

namespace redwing::review {

namespace {

constexpr Milliseconds kCallTimeout{8'000};
constexpr const char* kDeadlineMs = "3000";

Sent Send(Fleet& fleet, const Ask& ask, const std::string& id) {
  Sent sent{id,           ask.instance, ask.method, ask.path, ask.key,
            Clock::now(), {},           0,          ""};
  HttpCall call;
  call.endpoint = TcpEndpoint(fleet.front(ask.instance));
  call.method = ask.method == "POST" ? http::verb::post : http::verb::get;
  call.target = ask.path;
  call.timeout = kCallTimeout;
  call.headers = {{"Host", Fleet::kHost},
                  {"X-Redwingcart-Request-Id", id},
                  {"X-Redwingcart-Affinity-Key", id},
                  {"X-Redwingcart-Deadline-Ms", kDeadlineMs},
                  {"Authorization", "Bearer " + ask.key}};
  const Result<HttpReply> reply = testing::CallSync(call);
  sent.ended_at = Clock::now();
  sent.status = reply ? reply.value().status : 0;
  sent.text = reply ? reply.value().body : reply.error().detail;
  return sent;
}

}  // namespace

Callers::Callers(Fleet& fleet,
                 int callers,
                 Milliseconds pause,
                 std::function<Ask(int caller, int request)> ask) {
  for (int caller = 0; caller < callers; ++caller) {
    threads_.emplace_back([this, &fleet, caller, pause, ask]() {
      for (int request = 0; !stopped_; ++request) {
        Sent sent = Send(fleet, ask(caller, request),
                         fmt::format("{:04x}{:012x}", caller, request));
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          sent_.push_back(std::move(sent));
        }
        std::this_thread::sleep_for(pause);
      }
    });
  }
}

Callers::~Callers() {
  Stop();
}

std::vector<Sent> Callers::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  std::sort(sent_.begin(), sent_.end(),
            [](const Sent& a, const Sent& b) { return a.at < b.at; });
  return sent_;
}

bool HasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

void WriteRecord(const std::string& path,
                 Fleet& fleet,
                 const std::vector<Sent>& sent,
                 const std::vector<std::pair<TimePoint, std::string>>& notes) {
  std::vector<std::pair<TimePoint, std::string>> lines = notes;
  for (const Sent& request : sent) {
    lines.emplace_back(
        request.at, fmt::format("sent {} to front-{} {} {} key {}", request.id,
                                request.instance, request.method, request.path,
                                request.key));
    lines.emplace_back(
        request.ended_at,
        request.status == 0
            ? fmt::format("no answer {} {}", request.id, request.text)
            : fmt::format("answered {} {} {}", request.id, request.status,
                          request.text));
  }
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      for (const testing::TargetRun& run : fleet.target(i).runs()) {
        lines.emplace_back(
            run.at, fmt::format("run {} at {} {} {} tenant {}", run.request_id,
                                fleet.target(i).id(), run.method, run.path,
                                run.workspace));
      }
    }
  });
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::ofstream file(path);
  for (const auto& [at, text] : lines) {
    file << fmt::format("{:9.3f} {}\n", ToSeconds(at - lines.front().first),
                        text);
  }
}

}  // namespace redwing::review
