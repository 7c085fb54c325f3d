// A refusal with a status that promises that nothing was run, and what targets
// that write old responses once more make of it.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "framework/http/refusal.h"
#include "testing/integration/platform_load.h"
#include "testing/integration/recorded_callers.h"
#include "testing/platform_stand_in/platform_stand_in.h"
#include "testing/platform_stand_in/raw_target.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 2;
constexpr Milliseconds kStartLimit{15'000};
constexpr Milliseconds kListTime{2'500};
// For so long a target that has refused a request gets few others.
constexpr Milliseconds kShedTime{100};
constexpr std::string_view kNotRun = "X-Redwingcart-Not-Executed: 1\r\n";

std::string Refusal(int status, const std::string& id) {
  return RawTarget::Head(status, id,
                         fmt::format("{}Content-Length: 0\r\n", kNotRun));
}

std::string Success(const std::string& id) {
  const std::string body = "ran " + id;
  return RawTarget::Head(
             200, id,
             fmt::format("X-Redwingcart-Response-Signature: signed-{}\r\n"
                         "Content-Length: {}\r\n",
                         id, body.size())) +
         body;
}

// A target that refuses the first request with an id, and runs the next one
// after it has written its last refusal on the connection once more.
class RepeatingTarget {
 public:
  explicit RepeatingTarget(int status)
      : status_(status), target_([this](const RawRequest& request) {
          return Respond(request);
        }) {}

  std::string address() const { return target_.address(); }
  int RunsOf(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[id];
  }

 private:
  std::string Respond(const RawRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string& refusal = refusals_[request.connection];
    if (++sends_[request.id] == 1) {
      refusal = Refusal(status_, request.id);
      return refusal;
    }
    ++runs_[request.id];
    return refusal + Success(request.id);
  }

  const int status_;
  std::mutex mutex_;
  std::map<std::string, int> sends_;
  std::map<std::string, int> runs_;
  // The last refusal on each connection.
  std::map<int, std::string> refusals_;
  RawTarget target_;
};

// Guards against an old refusal that is taken for the response to the next
// attempt of the same request.
TEST_CASE("a refusal written once more does not answer the next attempt") {
  constexpr int kRequests = 20;
  const int status = GENERATE(421, 503);
  CAPTURE(status);
  RepeatingTarget target(status);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    fleet.ListOther("i-old", target.address(), 0, 1);
    fleet.ListOther("i-new", target.address(), 0, 1);
  });
  std::this_thread::sleep_for(kListTime);
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = fmt::format("twice-{}", i);
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, id, http::verb::post, "/unsafe/1");
    REQUIRE(reply);
    CAPTURE(id, reply.value().status, reply.value().body);
    CHECK((!PromisesNotRun(reply.value().status) || target.RunsOf(id) == 0));
    served += reply.value().status == 200 ? 1 : 0;
  }
  CHECK(served > 0);
}

// Guards against an old refusal that is taken for the response to a request
// which its caller sends again under the same id.
TEST_CASE("a caller that returns under its id is not told its first refusal") {
  constexpr int kRequests = 20;
  RepeatingTarget target(503);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    fleet.ListOther("i-raw", target.address(), 0, 1);
  });
  std::this_thread::sleep_for(kListTime);
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = fmt::format("returns-{}", i);
    unsigned status = 503;
    for (int tries = 0; tries < 3 && PromisesNotRun(status); ++tries) {
      const Result<HttpReply> reply =
          fleet.Send(i % kInstances, id, http::verb::post, "/unsafe/1");
      REQUIRE(reply);
      status = reply.value().status;
      CAPTURE(id, tries, status, reply.value().body);
      CHECK((!PromisesNotRun(status) || target.RunsOf(id) == 0));
      std::this_thread::sleep_for(kShedTime);
    }
    served += status == 200 ? 1 : 0;
  }
  CHECK(served > 0);
}

// Guards against a response that is lost because an earlier one was written
// once more before it.
TEST_CASE("the response after an earlier one reaches its caller") {
  constexpr int kRequests = 20;
  std::mutex mutex;
  std::map<int, std::string> earlier;
  RawTarget target([&](const RawRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    std::string& last = earlier[request.connection];
    const std::string response = Success(request.id);
    const std::string bytes = last + response;
    last = response;
    return bytes;
  });
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    fleet.ListOther("i-raw", target.address(), 0, 1);
  });
  std::this_thread::sleep_for(kListTime);
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = fmt::format("next-{}", i);
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, id, http::verb::post, "/unsafe/1");
    REQUIRE(reply);
    CAPTURE(id, reply.value().status);
    CHECK(reply.value().body == "ran " + id);
  }
  const std::lock_guard<std::mutex> lock(mutex);
  CHECK(earlier.size() < kRequests);
}

// What one target does at random, in parts of all requests.
struct Faults {
  double refuses = 0.2;
  double repeats = 0.9;  // of the responses that follow another one
  double cuts = 0.02;
};

// Counts what all targets have run.
class RunCounter {
 public:
  void Add(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++runs_[id];
  }
  int Of(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// A target that refuses, cuts and repeats responses, and starts again at its
// address under new names.
class UnreliableTarget {
 public:
  UnreliableTarget(int index, uint64_t seed, RunCounter& counter)
      : prefix_(fmt::format("f{}", index)),
        random_(seed),
        counter_(counter),
        target_(
            [this](const RawRequest& request) { return Respond(request); }) {}

  std::string name() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return fmt::format("{}-{}", prefix_, start_);
  }
  std::string address() const { return target_.address(); }
  // Ends the target and starts it again under a new name.
  void StartAgain() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++start_;
      last_.clear();
    }
    target_.CloseConnections();
  }

 private:
  static constexpr Milliseconds kRunTime{10};

  std::string Respond(const RawRequest& request) {
    std::string earlier;
    std::string response;
    bool runs = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::string& last = last_[request.connection];
      earlier = Chance(faults_.repeats) ? last : "";
      const bool mine = request.target == fmt::format("{}-{}", prefix_, start_);
      runs = mine && !Chance(faults_.refuses);
      response = runs   ? Success(request.id)
                 : mine ? Refusal(503, request.id)
                        : Refusal(421, request.id);
      last = response;
      if (runs && Chance(faults_.cuts)) {
        earlier.clear();
        response.clear();
      }
    }
    if (runs) {
      counter_.Add(request.id);
      std::this_thread::sleep_for(kRunTime);
    }
    return earlier + response;
  }

  bool Chance(double part) {
    return std::uniform_real_distribution<double>()(random_) < part;
  }

  const std::string prefix_;
  const Faults faults_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  int start_ = 0;
  // The last response on each connection.
  std::map<int, std::string> last_;
  RunCounter& counter_;
  RawTarget target_;
};

// The lines of all instances' logs on a request.
std::string LogOf(const PlatformStandIn& fleet,
                  int instances,
                  const std::string& id) {
  std::string lines;
  for (int i = 0; i < instances; ++i) {
    const std::string log = fleet.LogOf(i);
    const std::string wanted = fmt::format("request={} ", id);
    for (size_t at = log.find(wanted); at != std::string::npos;
         at = log.find(wanted, at + 1)) {
      const size_t begin = log.rfind('\n', at) + 1;
      lines += fmt::format("node-{}: {}\n", i,
                           log.substr(begin, log.find('\n', at) - begin));
    }
  }
  return lines;
}

// Returns the value of a field of a log line; empty if it has none.
std::string FieldOf(const std::string& line, const std::string& name) {
  const std::string mark = fmt::format(" {}=", name);
  const size_t begin = line.find(mark);
  return begin == std::string::npos
             ? ""
             : line.substr(begin + mark.size(),
                           line.find(' ', begin + 1) - begin - mark.size());
}

// The manifest's revision by which the instance of its caller handled each
// request, by id, as the instances' logs tell it.
std::map<std::string, uint64_t> RevisionsByRequest(const PlatformStandIn& fleet,
                                                   int instances) {
  std::map<std::string, uint64_t> revisions;
  for (int i = 0; i < instances; ++i) {
    std::istringstream log(fleet.LogOf(i));
    std::string line;
    while (std::getline(log, line)) {
      const std::string revision = FieldOf(line, "document");
      if (!revision.empty() && FieldOf(line, "from") == "caller") {
        revisions[FieldOf(line, "request")] = std::stoull(revision);
      }
    }
  }
  return revisions;
}

// Guards against a status that is relayed as a promise because the instance
// at the target holds another version of the route than that of the caller.
TEST_CASE("a route whose kind changes under load keeps its promises") {
  constexpr int kEntries = 6;
  constexpr int kCallers = 24;
  constexpr int kChanges = 40;
  constexpr Milliseconds kBetweenChanges{150};
  // Requests that are still on their way run until then.
  constexpr Milliseconds kRouteTimeout{3'000};
  std::mutex mutex;
  std::map<std::string, int> runs;
  // Runs each request; every other one ends with 503 and states nothing.
  const auto respond = [&](const RawRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    ++runs[request.id];
    return std::hash<std::string>()(request.id) % 2 == 0
               ? Success(request.id)
               : RawTarget::Head(503, request.id, "Content-Length: 0\r\n");
  };
  RawTarget first(respond);
  RawTarget second(respond);
  PlatformStandIn fleet(kEntries);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    fleet.ListOther("i-first", first.address(), 0, kCallers);
    fleet.ListOther("i-second", second.address(), 1, kCallers);
  });
  std::this_thread::sleep_for(kListTime);
  // Revisions of the manifest by which the route's requests run once.
  std::set<uint64_t> once;
  RecordedCallers callers(fleet, kEntries, kCallers);
  for (int change = 0; change < kChanges; ++change) {
    const bool runs_once = change % 2 == 0;
    nlohmann::json manifest = PlatformStandIn::Manifest(100 + change);
    manifest["routes"]["rows"][1][3] = runs_once ? "unsafe" : "safe";
    // An instance that learns of the change late, with requests that wait.
    const int late = change % kEntries;
    fleet.instance(late).Signal(SIGSTOP);
    fleet.OnLoop([&]() {
      const uint64_t revision = fleet.store().Put("config", "main", manifest);
      if (runs_once) {
        once.insert(revision);
      }
    });
    std::this_thread::sleep_for(kBetweenChanges);
    fleet.instance(late).Signal(SIGCONT);
  }
  const std::vector<Told>& told = callers.Stop();
  std::this_thread::sleep_for(kRouteTimeout);
  const std::map<std::string, uint64_t> revisions =
      RevisionsByRequest(fleet, kEntries);
  int bound = 0;
  for (const Told& answer : told) {
    const auto revision = revisions.find(answer.id);
    if (!answer.posted || revision == revisions.end() ||
        once.count(revision->second) == 0) {
      continue;
    }
    ++bound;
    const std::lock_guard<std::mutex> lock(mutex);
    const bool kept = !PromisesNotRun(answer.status) || runs[answer.id] == 0;
    if (!kept || runs[answer.id] > 1) {
      CAPTURE(answer.id, answer.status, answer.body, runs[answer.id],
              LogOf(fleet, kEntries, answer.id));
      CHECK(kept);
      CHECK(runs[answer.id] <= 1);
    }
  }
  CAPTURE(told.size());
  CHECK(bound > 100);
}

// Guards against promises for requests that run, under targets and instances
// that fail in all the ways that the platform allows at once.
TEST_CASE("what is refused with a promise never runs while much goes wrong") {
  constexpr int kEntries = 6;
  constexpr int kTargets = 6;
  constexpr int kCallers = 24;
  constexpr int kSlots = 4;
  constexpr Milliseconds kPlay{20'000};
  constexpr Milliseconds kStep{200};
  // Time for which a former name stays listed.
  constexpr Milliseconds kListedOn{2'000};
  // Requests that are still on their way run until then.
  constexpr Milliseconds kRouteTimeout{3'000};
  const int seed = GENERATE(range(1, SeedCount() + 1));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  RunCounter counter;
  PlatformStandIn fleet(kEntries);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  std::vector<std::unique_ptr<UnreliableTarget>> targets;
  targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(std::make_unique<UnreliableTarget>(i, random(), counter));
  }
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    for (int i = 0; i < kTargets; ++i) {
      fleet.ListOther(targets[i]->name(), targets[i]->address(), i, kSlots);
    }
  });
  std::this_thread::sleep_for(kListTime);
  RecordedCallers callers(fleet, kEntries, kCallers);
  const TimePoint end = Clock::now() + kPlay;
  // Former names that are still listed, and when they are removed.
  std::multimap<TimePoint, std::string> former;
  int paused = -1;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(kStep);
    if (paused >= 0) {
      fleet.instance(paused).Signal(SIGCONT);
      paused = -1;
    }
    const int place = static_cast<int>(random() % kTargets);
    const std::string old = targets[place]->name();
    targets[place]->StartAgain();
    former.emplace(Clock::now() + kListedOn, old);
    fleet.OnLoop([&]() {
      fleet.ListOther(targets[place]->name(), targets[place]->address(), place,
                      kSlots);
      while (!former.empty() && former.begin()->first < Clock::now()) {
        fleet.store().Remove("servers", former.begin()->second);
        former.erase(former.begin());
      }
    });
    const int instance = static_cast<int>(random() % kEntries);
    switch (random() % 8) {
      case 0:
        paused = instance;
        fleet.instance(instance).Signal(SIGSTOP);
        break;
      case 1:
        fleet.instance(instance).Kill();
        fleet.StartInstance(instance);
        break;
      default:
        break;
    }
  }
  if (paused >= 0) {
    fleet.instance(paused).Signal(SIGCONT);
  }
  const std::vector<Told>& told = callers.Stop();
  std::this_thread::sleep_for(kRouteTimeout);
  int served = 0;
  std::map<unsigned, int> statuses;
  for (const Told& answer : told) {
    const int runs = counter.Of(answer.id);
    const bool kept =
        !answer.posted || !PromisesNotRun(answer.status) || runs == 0;
    const bool once = !answer.posted || runs <= 1;
    const bool own = answer.status != 200 || answer.body == "ran " + answer.id;
    ++statuses[answer.status];
    served += answer.status == 200 ? 1 : 0;
    if (!kept || !once || !own) {
      CAPTURE(answer.id, answer.status, answer.body, runs,
              LogOf(fleet, kEntries, answer.id));
      CHECK(kept);
      CHECK(once);
      CHECK(own);
    }
  }
  std::string summary = fmt::format("seed {}: {} requests", seed, told.size());
  for (const auto& [status, count] : statuses) {
    summary += fmt::format(", {} of status {}", count, status);
  }
  std::cout << summary << "\n";
  CHECK(served > static_cast<int>(told.size()) / 2);
}

}  // namespace
}  // namespace redwing::testing
