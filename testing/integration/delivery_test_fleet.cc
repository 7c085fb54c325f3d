// No request is lost, doubled or cut; "not run" is true; what must run once
// runs at most once. Callers' answers are joined with what targets ran.

#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <random>
#include <thread>

#include "framework/settings/endpoint.h"
#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"
#include "testing/integration/fleet_checks.h"
#include "testing/integration/fleet_load.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr double kRate = 5000;
constexpr double kBurst = 1000;

json RuleBothWays(int a, int b, json rule) {
  json there = rule;
  there["from"] = a;
  there["to"] = b;
  json back = std::move(rule);
  back["from"] = b;
  back["to"] = a;
  return {there, back};
}

TEST_CASE("connections are cut at every offset, on both sides") {
  Fleet fleet(SmallPlan(1, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  // 0 is callers, 1 the region: entries and targets.
  const int from = GENERATE(0, 1);
  const int to = GENERATE(0, 1);
  if (from == 0 && to == 0) {
    return;
  }
  CAPTURE(from, to);
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 1, 150, 9000), "cuts");
  // Answers alone first: requests are whole by then, and run.
  for (const int offset : {1, 40, 150, 260}) {
    fleet.SetRules(
        {{{"from", from}, {"to", to}, {"reset_answers_after", offset}}});
    std::this_thread::sleep_for(Milliseconds(550));
  }
  fleet.SetRules({{{"from", from}, {"to", to}, {"reset_answers_after", 0}}});
  for (const int offset : {1, 40, 150, 260, 400, 900, 3200, 9000, 20'100}) {
    fleet.SetRules({{{"from", from}, {"to", to}, {"reset_after", offset}}});
    std::this_thread::sleep_for(Milliseconds(550));
  }
  fleet.SetRules({{{"from", from}, {"to", to}, {"reset_after", 0}}});
  CheckSound(fleet.EndLoad(*load, "cuts"));
}

TEST_CASE("answers are held for seconds and released late") {
  Fleet fleet(SmallPlan(1, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 1, 100, 9000), "held");
  std::this_thread::sleep_for(Milliseconds(1500));
  fleet.SetRules({{{"from", 1}, {"to", 1}, {"hold", true}}});
  std::this_thread::sleep_for(Milliseconds(5000));
  fleet.SetRules({{{"from", 1}, {"to", 1}, {"hold", false}}});
  CheckSound(fleet.EndLoad(*load, "held"));
}

TEST_CASE("answers of another region's entries are crossed") {
  const bool bodies_only = GENERATE(false, true);
  CAPTURE(bodies_only);
  Fleet fleet(SmallPlan(2, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  // Without targets of its own, region 1 forwards all that it gets.
  for (const auto& [name, address] : fleet.target_addresses()) {
    if (fleet.TargetDocument(name).at("region") == "r1") {
      CallJson(http::verb::post, fleet.admin(), "/v1/drains",
               {{"kind", "targets"}, {"name", name}, {"drained", true}},
               fleet.root_key());
    }
  }
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 1, 200, 5000), "crossed");
  std::this_thread::sleep_for(Milliseconds(1000));
  fleet.SetRules(RuleBothWays(
      1, 2, {{"cross", true}, {"cross_bodies_only", bodies_only}}));
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.SetRules(RuleBothWays(1, 2, {{"cross", false}}));
  CheckSound(fleet.EndLoad(*load, "crossed"));
  double noticed = 0;
  for (const FleetEntry& entry : fleet.entries()) {
    noticed +=
        fleet.Counter(entry, bodies_only ? "redwing_answers_altered_total"
                                         : "redwing_answers_crossed_total");
  }
  CHECK(noticed > 0);
}

TEST_CASE("a target that misbehaves harms no request but its own") {
  Fleet fleet(SmallPlan(1, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::string mode =
      GENERATE("truncate", "truncate_chunked", "lying_length", "endless",
               "mute", "early", "error");
  CAPTURE(mode);
  json load_settings = FleetLoad(key, 1, 60, 4000);
  load_settings["timeout_ms"] = 3000;
  const std::unique_ptr<Process> load = fleet.BeginLoad(load_settings, "mode");
  std::this_thread::sleep_for(Milliseconds(1000));
  const std::string one = fleet.target_addresses().at("svc-1");
  CallJson(http::verb::post, one, "/_control/behaviour", {{"mode", mode}});
  std::this_thread::sleep_for(Milliseconds(2000));
  CallJson(http::verb::post, one, "/_control/behaviour", {{"mode", "ok"}});
  const json report = fleet.EndLoad(*load, "mode");
  CheckSound(report);
  // Three failures in a row eject the target; the other one goes on.
  CHECK(PartOk(report) > 0.5);
}

TEST_CASE("an entry is killed with keyed requests in flight") {
  Fleet fleet(SmallPlan(3, 2, kRate, kBurst));
  fleet.Start();
  fleet.SetTargets({{"service_ms", 30}});
  const std::string key = fleet.IssueKey("alpha");
  const json fault = GENERATE(json{{"mode", "ok"}}, json{{"mode", "down"}},
                              json{{"mode", "lose_answers"}});
  CAPTURE(fault.dump());
  fleet.SetPlatformFault(fault);
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 3, 150, 6000), "killed");
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.entry("entry-r1-1").process->Kill();
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.entry("entry-r2-2").process->Kill();
  const json report = fleet.EndLoad(*load, "killed");
  CheckSound(report);
  CHECK(PartOk(report) > 0.8);
}

// Guards against work done twice, or told "not run", while the processes that
// own keys are replaced at their addresses and stand still.
TEST_CASE("entries are replaced and paused with keyed requests in flight") {
  constexpr int kSeed = 42;
  constexpr int kFaults = 12;
  constexpr Milliseconds kBetweenFaults{400};
  constexpr Milliseconds kStartTime{1'500};
  std::mt19937_64 random(kSeed);
  Fleet fleet(SmallPlan(3, 2, kRate, kBurst));
  fleet.Start();
  fleet.SetTargets({{"service_ms", 30}});
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 3, 150, 16'000), "replaced");
  std::this_thread::sleep_for(kStartTime);
  for (int i = 0; i < kFaults; ++i) {
    FleetEntry& entry = fleet.entries()[random() % fleet.entries().size()];
    if (random() % 2 == 0) {
      entry.process->Signal(SIGSTOP);
      std::this_thread::sleep_for(kBetweenFaults);
      entry.process->Signal(SIGCONT);
    } else {
      entry.process->Kill();
      fleet.StartEntry(entry);
    }
    std::this_thread::sleep_for(kBetweenFaults);
  }
  const json report = fleet.EndLoad(*load, "replaced");
  CheckSound(report);
  CHECK(PartOk(report) > 0.8);
}

TEST_CASE(
    "a key is replayed, fits one request, and is forwarded to its owner") {
  Fleet fleet(SmallPlan(2, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::string first = fleet.entries()[0].http_address;
  const std::string other = fleet.entries()[3].http_address;
  const json lookup = CallJson(http::verb::get, first, "/v1/entry?service=svc");
  std::string prefix;
  for (const json& entry : lookup.at("entries")) {
    if (entry.at("address") == first) {
      prefix = entry.at("idempotency_prefix");
    }
  }
  const auto post = [&](const std::string& address,
                        const std::string& idempotency_key,
                        const std::string& body) {
    HttpCall call;
    const size_t colon = address.rfind(':');
    call.endpoint = {
        boost::asio::ip::make_address(address.substr(0, colon)),
        static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
    call.method = http::verb::post;
    call.target = "/v1/services/svc/x";
    call.body = body;
    call.headers = {{"Authorization", "Bearer " + key},
                    {"Idempotency-Key", idempotency_key},
                    {"X-Token", idempotency_key + "/" + body}};
    return CallSync(call).value();
  };
  const auto runs_of = [&fleet](const std::string& token) {
    int count = 0;
    for (const json& run : fleet.Runs()) {
      count += run.at(2) == token ? 1 : 0;
    }
    return count;
  };
  SECTION("bound keys") {
    const std::string bound = prefix + "-transfer";
    CHECK(post(first, bound, "a").status == 200);
    CHECK(post(first, bound, "a").status == 200);
    CHECK(post(other, bound, "a").status == 200);
    CHECK(runs_of(bound + "/a") == 1);
    CHECK(post(other, bound, "b").status == 422);
    CHECK(runs_of(bound + "/b") == 0);
    fleet.entries()[0].process->Kill();
    std::this_thread::sleep_for(Milliseconds(1500));
    const HttpReply gone = post(other, bound, "a");
    CHECK(gone.status == 409);
    CHECK(gone.body.find("may_have_run") != std::string::npos);
    CHECK(runs_of(bound + "/a") == 1);
  }
  SECTION("plain keys") {
    CHECK(post(first, "plain", "a").status == 200);
    CHECK(post(other, "plain", "a").status == 200);
    CHECK(runs_of("plain/a") == 1);
    fleet.SetPlatformFault({{"mode", "lose_answers"}});
    CHECK(post(first, "lost-answer", "a").status == 200);
    CHECK(post(other, "lost-answer", "a").status == 200);
    CHECK(runs_of("lost-answer/a") == 1);
    fleet.SetPlatformFault({{"mode", "down"}});
    const HttpReply down = post(first, "store-down", "a");
    CHECK(down.status == 503);
    CHECK(down.body.find("\"not_run\"") != std::string::npos);
    CHECK(runs_of("store-down/a") == 0);
  }
}

// Guards against "not run" for a key of which only a former process of the
// instance knows that it ran.
TEST_CASE("a key of a replaced process is never told not run") {
  constexpr Milliseconds kWatched{4'000};
  constexpr Milliseconds kPause{5};
  Fleet fleet(SmallPlan(2, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  FleetEntry& owner = fleet.entries()[0];
  const std::string other = fleet.entries()[3].http_address;
  const json lookup =
      CallJson(http::verb::get, owner.http_address, "/v1/entry?service=svc");
  std::string token;
  for (const json& entry : lookup.at("entries")) {
    if (entry.at("address") == owner.http_address) {
      token = entry.at("idempotency_prefix").get<std::string>() + "-replaced";
    }
  }
  const auto post = [&]() {
    HttpCall call;
    call.endpoint = TcpEndpoint(other);
    call.method = http::verb::post;
    call.target = "/v1/services/svc/x";
    call.headers = {{"Authorization", "Bearer " + key},
                    {"Idempotency-Key", token},
                    {"X-Token", token}};
    return CallSync(call);
  };
  REQUIRE(post().value().status == 200);
  std::map<std::string, int> told;
  std::atomic<bool> stopped = false;
  std::thread caller([&]() {
    while (!stopped) {
      const Result<HttpReply> reply = post();
      ++told[reply ? fmt::format("{} {}", reply.value().status,
                                 reply.value().body)
                   : "no answer"];
      std::this_thread::sleep_for(kPause);
    }
  });
  owner.process->Kill();
  fleet.StartEntry(owner);
  std::this_thread::sleep_for(kWatched);
  stopped = true;
  caller.join();
  for (const auto& [answer, count] : told) {
    CAPTURE(answer, count);
    CHECK(answer.find("\"not_run\"") == std::string::npos);
  }
  int runs = 0;
  for (const json& run : fleet.Runs()) {
    runs += run.at(2) == token ? 1 : 0;
  }
  CHECK(runs == 1);
}

// Guards against a request with a key that its owner forwards and that comes
// back to the owner, which takes it for a repeat.
TEST_CASE("a request with a key is answered by targets of another region") {
  Fleet fleet(SmallPlan(2, 1, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::string owner = fleet.entries()[0].http_address;
  for (const auto& [name, address] : fleet.target_addresses()) {
    if (fleet.TargetDocument(name).at("region") == "r1") {
      fleet.ListTarget(name, true);
    }
  }
  std::this_thread::sleep_for(Milliseconds(2000));
  const json lookup = CallJson(http::verb::get, owner, "/v1/entry?service=svc");
  for (const json& entry : lookup.at("entries")) {
    const std::string token =
        entry.at("idempotency_prefix").get<std::string>() + "-moved";
    HttpCall call;
    call.endpoint = TcpEndpoint(owner);
    call.method = http::verb::post;
    call.target = "/v1/services/svc/x";
    call.headers = {{"Authorization", "Bearer " + key},
                    {"Idempotency-Key", token},
                    {"X-Token", token}};
    // The second one is answered from the owner's record.
    for (int i = 0; i < 2; ++i) {
      const HttpReply reply = CallSync(call).value();
      CAPTURE(token, i, reply.status, reply.body);
      CHECK(reply.status == 200);
    }
    int runs = 0;
    for (const json& run : fleet.Runs()) {
      runs += run.at(2) == token ? 1 : 0;
    }
    CHECK(runs == 1);
  }
}

TEST_CASE("every instance is stopped as planned in turn, nothing is cut") {
  FleetPlan plan = SmallPlan(2, 2, kRate, kBurst);
  plan.entry_settings = {{"lookup_ttl_ms", 1000}};
  Fleet fleet(plan);
  fleet.Start();
  fleet.SetTargets({{"service_ms", 40}});
  const std::string key = fleet.IssueKey("alpha");
  // A repeat after a bound process has left is "may have run" by design, so
  // these are requests without keys.
  const json requests = {MixedRequests()[0], MixedRequests()[1]};
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 2, 150, 24'000, requests), "rolling");
  for (FleetEntry& entry : fleet.entries()) {
    std::this_thread::sleep_for(Milliseconds(1500));
    fleet.List(entry, true, false);
    entry.process->Signal(SIGTERM);
    CHECK(entry.process->Wait(Milliseconds(20'000)) == 0);
    fleet.KillEntry(entry);
    std::this_thread::sleep_for(Milliseconds(500));
    fleet.StartEntry(entry);
    fleet.List(entry, false, false);
  }
  const json report = fleet.EndLoad(*load, "rolling");
  CheckSound(report);
  CHECK(report.at("all").at("errors").empty());
}

TEST_CASE("a planned stop waits for requests that take long") {
  FleetPlan plan = SmallPlan(2, 2, kRate, kBurst);
  plan.targets = {{"svc", 4, 64, 1500}};
  plan.entry_settings = {{"lookup_ttl_ms", 300}};
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const json requests = {MixedRequests()[0], MixedRequests()[1]};
  json settings = FleetLoad(key, 2, 20, 6000, requests);
  settings["timeout_ms"] = 15'000;
  const std::unique_ptr<Process> load = fleet.BeginLoad(settings, "long");
  std::this_thread::sleep_for(Milliseconds(3000));
  FleetEntry& entry = fleet.entries().front();
  fleet.List(entry, true, false);
  entry.process->Signal(SIGTERM);
  CHECK(entry.process->Wait(Milliseconds(20'000)) == 0);
  const json report = fleet.EndLoad(*load, "long");
  CheckSound(report);
  CAPTURE(report.at("all").dump());
  CHECK(report.at("all").at("errors").empty());
}

TEST_CASE("a leaving target gets no new work") {
  FleetPlan plan = SmallPlan(2, 2, kRate, kBurst);
  plan.list_lag_ms = 3000;
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 2, 200, 12'000), "leaving");
  std::this_thread::sleep_for(Milliseconds(1500));
  const std::string by = GENERATE("list", "health", "operator");
  CAPTURE(by);
  const int64_t told_at = fleet.Runs().back().at(0).get<int64_t>();
  // Seconds after which no new work may come: the platform's lag counts only
  // where the list tells.
  double allowed_s = 3;
  if (by == "list") {
    fleet.ListTarget("svc-1", true);
    allowed_s += 3;
  } else if (by == "health") {
    CallJson(http::verb::post, fleet.target_addresses().at("svc-1"),
             "/_control/behaviour", {{"leaving", true}});
  } else {
    CallJson(http::verb::post, fleet.admin(), "/v1/drains",
             {{"kind", "targets"}, {"name", "svc-1"}, {"drained", true}},
             fleet.root_key());
  }
  const json report = fleet.EndLoad(*load, "leaving");
  CheckSound(report);
  CHECK(PartOk(report) > 0.99);
  int64_t last = 0;
  for (const json& run : fleet.Runs()) {
    if (run.at(1) == "svc-1") {
      last = run.at(0);
    }
  }
  CHECK(static_cast<double>(last - told_at) / 1e6 < allowed_s);
}

TEST_CASE("a region is killed, callers go on in the others") {
  Fleet fleet(SmallPlan(3, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 3, 200, 8000), "region");
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.KillEntry(fleet.entry("entry-r2-1"));
  fleet.KillEntry(fleet.entry("entry-r2-2"));
  const json report = fleet.EndLoad(*load, "region");
  CheckSound(report);
  CHECK(PartOk(report) > 0.95);
}

TEST_CASE("a region cut off from the others loses and doubles nothing") {
  Fleet fleet(SmallPlan(3, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 3, 150, 9000), "cut-off");
  std::this_thread::sleep_for(Milliseconds(1500));
  json rules = RuleBothWays(2, 1, {{"cut", true}});
  const json more = RuleBothWays(2, 3, {{"cut", true}});
  rules.insert(rules.end(), more.begin(), more.end());
  fleet.SetRules(rules);
  std::this_thread::sleep_for(Milliseconds(4000));
  for (json& rule : rules) {
    rule["cut"] = false;
  }
  fleet.SetRules(rules);
  CheckSound(fleet.EndLoad(*load, "cut-off"));
}

}  // namespace
}  // namespace redwing::testing
