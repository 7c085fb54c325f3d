// An accepted configuration is in force everywhere within seconds and never
// reverts; a withdrawn key stops working within seconds, also on connections
// that are open, with the store down and regions apart.

#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "framework/settings/endpoint.h"
#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr double kRate = 2000;
constexpr double kBurst = 500;
constexpr int kRegions = 3;

json Load(const std::string& key, int duration_ms, int max_tries = 1) {
  json groups = json::array();
  for (int region = 1; region <= kRegions; ++region) {
    groups.push_back({{"name", "g" + std::to_string(region)},
                      {"key", key},
                      {"region", "r" + std::to_string(region)},
                      {"rate_per_s", 60},
                      {"callers", 20},
                      {"requests", {{{"service", "svc"}, {"path", "/x"}}}}});
  }
  return {{"duration_ms", duration_ms},
          {"timeout_ms", 3000},
          {"max_tries", max_tries},
          {"groups", groups}};
}

std::string KeyId(const std::string& key) {
  return key.substr(4, 16);
}

int64_t LastRunUs(const Fleet& fleet) {
  const json runs = fleet.Runs();
  return runs.empty() ? 0 : runs.back().at(0).get<int64_t>();
}

// Number of runs after a time.
int RunsAfter(const Fleet& fleet, int64_t at_us) {
  int count = 0;
  for (const json& run : fleet.Runs()) {
    count += run.at(0).get<int64_t>() > at_us ? 1 : 0;
  }
  return count;
}

json Withdraw(const Fleet& fleet, const std::string& key) {
  return CallJson(http::verb::delete_, fleet.admin(), "/v1/keys/" + KeyId(key),
                  nullptr, fleet.root_key());
}

TEST_CASE("racing editors, a store that loses answers, is down, a region cut") {
  FleetPlan plan = SmallPlan(kRegions, 4, kRate, kBurst);
  // Eleven instances.
  plan.regions.back().entries = 3;
  Fleet fleet(plan);
  fleet.Start();
  constexpr int kSections = 5;
  constexpr int kEdits = 200;
  constexpr int kEditors = 4;
  // Watches every instance's revisions all the time.
  std::atomic<bool> stop = false;
  std::atomic<int> reverted = 0;
  std::thread watcher([&]() {
    std::map<std::string, uint64_t> highest;
    while (!stop) {
      for (const FleetEntry& entry : fleet.entries()) {
        const json status = fleet.StatusOf(entry);
        for (auto revision = status.at("revisions").begin();
             revision != status.at("revisions").end(); ++revision) {
          uint64_t& high = highest[entry.name + "/" + revision.key()];
          reverted += revision->get<uint64_t>() < high ? 1 : 0;
          high = std::max(high, revision->get<uint64_t>());
        }
      }
    }
  });
  std::atomic<int> accepted = 0;
  std::vector<std::thread> editors;
  editors.reserve(kEditors);
  fleet.SetPlatformFault(
      {{"mode", "lose_answers"}, {"share", 0.3}, {"delay_ms", 5}});
  for (int editor = 0; editor < kEditors; ++editor) {
    editors.emplace_back([&fleet, &accepted, editor]() {
      std::mt19937 random(static_cast<unsigned>(editor) + 1);
      for (int i = 0; i < kEdits / kEditors; ++i) {
        const std::string path =
            "/v1/sections/team" + std::to_string(random() % kSections);
        try {
          uint64_t revision = 0;
          try {
            revision = CallJson(http::verb::get, fleet.admin(), path, nullptr,
                                fleet.root_key())
                           .at("revision");
          } catch (const std::runtime_error&) {
            // The section does not exist yet, or the store is down.
          }
          CallJson(http::verb::put, fleet.admin(), path,
                   {{"from_revision", revision},
                    {"body",
                     {{"team", "t" + std::to_string(editor) + "-" +
                                   std::to_string(i)}}}},
                   fleet.root_key());
          ++accepted;
        } catch (const std::runtime_error&) {
          // Another editor was first, or the store is down.
        }
      }
    });
  }
  // What region 1 answers region 2 is late: the third region's is newer.
  for (int i = 0; i < 2; ++i) {
    fleet.SetRules({{{"from", 1}, {"to", 2}, {"hold", true}}});
    std::this_thread::sleep_for(Milliseconds(1000));
    fleet.SetRules({{{"from", 1}, {"to", 2}, {"hold", false}}});
    std::this_thread::sleep_for(Milliseconds(300));
  }
  fleet.SetPlatformFault({{"mode", "down"}});
  fleet.SetRulesAround(3, {{"cut", true}});
  std::this_thread::sleep_for(Milliseconds(2500));
  fleet.SetPlatformFault({{"mode", "lose_answers"}, {"share", 0.3}});
  std::this_thread::sleep_for(Milliseconds(1500));
  fleet.SetRulesAround(3, {{"cut", false}});
  for (std::thread& editor : editors) {
    editor.join();
  }
  fleet.SetPlatformFault({{"mode", "ok"}});
  const json sections = CallJson(http::verb::get, fleet.admin(), "/v1/sections",
                                 nullptr, fleet.root_key());
  // Accepted edits are exactly the revisions in the store, but for those whose
  // outcome the editor was told is not known.
  uint64_t stored = 0;
  std::map<std::string, uint64_t> revisions;
  for (const json& section : sections.at("sections")) {
    const std::string name = section.at("name");
    revisions["section." + name] = section.at("revision");
    stored +=
        name.rfind("team", 0) == 0 ? section.at("revision").get<uint64_t>() : 0;
  }
  CHECK(accepted > 10);
  CHECK(stored >= static_cast<uint64_t>(accepted.load()));
  const bool in_force = WaitUntil(
      [&]() {
        for (const FleetEntry& entry : fleet.entries()) {
          const json status = fleet.StatusOf(entry);
          for (const auto& [name, revision] : revisions) {
            if (status.at("revisions").value(name, uint64_t{0}) != revision) {
              return false;
            }
          }
        }
        return true;
      },
      Milliseconds(5000));
  CHECK(in_force);
  stop = true;
  watcher.join();
  CHECK(reverted == 0);
  const json audit = CallJson(http::verb::get, fleet.admin(),
                              "/v1/audit/verify", nullptr, fleet.root_key());
  CAPTURE(audit.dump());
  CHECK(audit.at("problems").empty());
  CHECK(audit.at("records").get<uint64_t>() >= stored);
}

TEST_CASE("a withdrawn key stops, the store up or down") {
  Fleet fleet(SmallPlan(kRegions, 3, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::string mode = GENERATE("ok", "down");
  CAPTURE(mode);
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, 7000), "withdrawn");
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.SetPlatformFault({{"mode", mode}});
  std::this_thread::sleep_for(Milliseconds(1000));
  REQUIRE(LastRunUs(fleet) > 0);
  const json status = Withdraw(fleet, key);
  CAPTURE(status.dump());
  CHECK(status.at("in_force") == true);
  const int64_t withdrawn_us = LastRunUs(fleet);
  const json report = fleet.EndLoad(*load, "withdrawn");
  // The target is two seconds.
  CHECK(RunsAfter(fleet, withdrawn_us + 2'000'000) == 0);
  CHECK(report.at("all").at("errors").at("key_withdrawn/not_run") > 100);
  CHECK(report.at("joined").at("false_not_run") == 0);
}

TEST_CASE("a region that cannot hear of a withdrawal refuses in time") {
  FleetPlan plan = SmallPlan(kRegions, 3, kRate, kBurst);
  Fleet fleet(plan);
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::string beta = fleet.IssueKey("beta");
  // The store's own region, or another one, is cut off from the others.
  const int region = GENERATE(1, 3);
  CAPTURE(region);
  json settings = Load(alpha, 10'000);
  const json other = Load(beta, 10'000);
  for (json group : other.at("groups")) {
    group["name"] = "beta-" + group["name"].get<std::string>();
    settings["groups"].push_back(group);
  }
  const std::unique_ptr<Process> load = fleet.BeginLoad(settings, "apart");
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.SetRulesAround(region, {{"cut", true}});
  if (region == 1) {
    // The store dies with its region, else that region would go on by it.
    fleet.SetPlatformFault({{"mode", "down"}});
  }
  std::this_thread::sleep_for(Milliseconds(300));
  // By way of an instance that is not cut off.
  FleetEntry& taker = fleet.entry("entry-r2-1");
  const std::string target =
      "/internal/v1/withdraw?key_id=" + KeyId(alpha) + "&by=test";
  const json status = fleet.CallInternal(taker, "POST", target);
  CAPTURE(status.dump());
  CHECK(status.at("in_force") == true);
  const int64_t withdrawn_us = LastRunUs(fleet);
  const json report = fleet.EndLoad(*load, "apart");
  // Freshness limit (3 s) plus two seconds.
  int late = 0;
  int beta_late = 0;
  for (const json& run : fleet.Runs()) {
    if (run.at(0).get<int64_t>() > withdrawn_us + 5'000'000) {
      late += run.at(3) == "alpha" ? 1 : 0;
      beta_late += run.at(3) == "beta" ? 1 : 0;
    }
  }
  CHECK(late == 0);
  // The other regions go on serving others.
  CHECK(beta_late > 50);
  const json& cut =
      report.at("groups").at("beta-g" + std::to_string(region)).at("errors");
  CAPTURE(cut.dump());
  CHECK(cut.contains("stale/not_run"));
  CHECK(report.at("joined").at("false_not_run") == 0);
}

TEST_CASE("after a pause nothing is served on the old state") {
  // Whether the withdrawal can reach the paused instance at all: without it
  // only the age of its state tells.
  const bool hears = GENERATE(true, false);
  CAPTURE(hears);
  Fleet fleet(SmallPlan(kRegions, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  FleetEntry& paused = fleet.entry("entry-r2-1");
  if (!hears) {
    fleet.KillEntry(fleet.entry("entry-r2-2"));
  }
  json settings = Load(key, 9000);
  settings["entries"] = {paused.http_address};
  settings["direct"] = true;
  for (json& group : settings["groups"]) {
    group["requests"][0]["path"] = "/v1/services/svc/x";
  }
  const std::unique_ptr<Process> load = fleet.BeginLoad(settings, "pause");
  std::this_thread::sleep_for(Milliseconds(2000));
  REQUIRE(!fleet.Runs().empty());
  paused.process->Signal(SIGSTOP);
  if (!hears) {
    fleet.SetRulesAround(2, {{"cut", true}});
  }
  std::this_thread::sleep_for(Milliseconds(500));
  Withdraw(fleet, key);
  std::this_thread::sleep_for(Milliseconds(4000));
  // What was sent to it while it slept waits in its sockets.
  const size_t before = fleet.Runs().size();
  paused.process->Signal(SIGCONT);
  fleet.EndLoad(*load, "pause");
  CHECK(fleet.Runs().size() == before);
}

TEST_CASE("an instance joins with the store down, or serves nothing") {
  FleetPlan plan = SmallPlan(2, 2, kRate, kBurst);
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  FleetEntry& entry = fleet.entry("entry-r2-2");
  fleet.KillEntry(entry);
  fleet.SetPlatformFault({{"mode", "down"}});
  const auto ready = [&fleet, &entry]() {
    return fleet.StatusOf(entry).at("ready").get<bool>();
  };
  SECTION("peers are there") {
    fleet.StartEntry(entry);
    CHECK(WaitUntil(ready, Milliseconds(5000)));
  }
  SECTION("neither store nor peers") {
    for (FleetEntry& other : fleet.entries()) {
      if (other.name != entry.name) {
        fleet.KillEntry(other);
      }
    }
    fleet.StartEntry(entry);
    std::this_thread::sleep_for(Milliseconds(1500));
    CHECK_FALSE(ready());
    HttpCall call;
    call.endpoint = TcpEndpoint(entry.http_listen);
    call.target = "/readyz";
    const HttpReply reply = CallSync(call).value();
    CHECK(reply.status == 503);
    CHECK(reply.body.find("neither the store nor a complete peer") !=
          std::string::npos);
    call.target = "/v1/services/svc/x";
    call.headers = {{"Authorization", "Bearer " + key}};
    CHECK(CallSync(call).value().body.find("\"not_ready\"") !=
          std::string::npos);
  }
}

TEST_CASE("foreign, mutated, replayed and oversized datagrams are dropped") {
  Fleet fleet(SmallPlan(1, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  FleetEntry& entry = fleet.entries().front();
  boost::asio::io_context io;
  boost::asio::ip::udp::socket socket(
      io, boost::asio::ip::udp::endpoint(
              boost::asio::ip::make_address("127.0.1.200"), 0));
  const boost::asio::ip::udp::endpoint to = UdpEndpoint(entry.peer_listen);
  std::mt19937_64 random(7);
  constexpr int kDatagrams = 400;
  for (int i = 0; i < kDatagrams; ++i) {
    std::string bytes(random() % (i % 10 == 0 ? 60'000 : 300), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    if (!bytes.empty() && i % 2 == 0) {
      bytes[0] = 1;
    }
    socket.send_to(boost::asio::buffer(bytes), to);
    if (i % 20 == 0) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }
  CHECK(WaitUntil(
      [&]() {
        return fleet.Counter(entry, "redwing_peer_dropped_total") >=
               kDatagrams * 0.5;
      },
      Milliseconds(3000)));
  CHECK(fleet.StatusOf(entry).at("fresh") == true);
}

TEST_CASE("operators edit only their sections, stale and harmful edits fail") {
  FleetPlan plan = SmallPlan(2, 1, kRate, kBurst);
  Fleet fleet(plan);
  fleet.Start();
  const json issued =
      CallJson(http::verb::post, fleet.admin(), "/v1/keys",
               {{"operator", "sales-op"}, {"sections", {"workspaces"}}},
               fleet.root_key());
  const std::string key = issued.at("key");
  const auto status_of = [&](http::verb method, const std::string& target,
                             const json& body, const std::string& with_key) {
    HttpCall call;
    call.endpoint = TcpEndpoint(fleet.admin());
    call.method = method;
    call.target = target;
    call.body = body.is_null() ? "" : body.dump();
    call.headers = {{"Authorization", "Bearer " + with_key}};
    return CallSync(call).value();
  };
  const json body = plan.sections.at("workspaces");
  const json edit = {{"from_revision", 1}, {"body", body}};
  CHECK(status_of(http::verb::get, "/v1/sections", nullptr, "nobody").status ==
        401);
  CHECK(status_of(http::verb::put, "/v1/sections/network", edit, key).status ==
        403);
  CHECK(
      status_of(http::verb::put, "/v1/sections/workspaces", edit, key).status ==
      200);
  const HttpReply stale =
      status_of(http::verb::put, "/v1/sections/workspaces", edit, key);
  CHECK(stale.status == 409);
  CHECK(stale.body.find("by sales-op") != std::string::npos);
  json broken = edit;
  broken["from_revision"] = 2;
  broken["body"]["workspaces"][0]["may_call"] = {"nothing"};
  CHECK(status_of(http::verb::put, "/v1/sections/workspaces", broken, key)
            .status == 422);
  const json rolled = CallJson(http::verb::post, fleet.admin(),
                               "/v1/sections/workspaces/rollback",
                               {{"from_revision", 2}, {"to_revision", 1}}, key);
  CHECK(rolled.at("revision") == 3);
  for (const char* region : {"r1", "r2"}) {
    const HttpReply drained =
        status_of(http::verb::post, "/v1/drains",
                  {{"kind", "regions"}, {"name", region}, {"drained", true}},
                  fleet.root_key());
    // The second drain would leave the service without a target.
    CHECK(drained.status == (region == std::string("r1") ? 200 : 422));
  }
  CHECK(Withdraw(fleet, key).at("in_force") == true);
  CHECK(WaitUntil(
      [&]() {
        return status_of(http::verb::get, "/v1/sections", nullptr, key)
                   .status == 401;
      },
      Milliseconds(5000)));
}

// Sends a request to an entry of the first region. Returns the status.
unsigned SendNamed(Fleet& fleet,
                   const std::string& key,
                   const std::string& id) {
  HttpCall call;
  call.endpoint = TcpEndpoint(fleet.entries().front().http_listen);
  call.target = "/v1/services/svc/x";
  call.headers = {{"Authorization", "Bearer " + key}, {"X-Request-Id", id}};
  return CallSync(call).value().status;
}

TEST_CASE("an operator asks why a request was decided so") {
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
  // The regions whose instances tell of a request, by what they say.
  const auto regions_that_say = [&](const std::string& id,
                                    const std::string& words) {
    const json answer =
        CallJson(http::verb::get, fleet.admin(), "/v1/decisions?request=" + id,
                 nullptr, fleet.root_key());
    CHECK(answer.at("instances").size() == fleet.entries().size());
    std::set<std::string> regions;
    for (const json& instance : answer.at("instances")) {
      for (const json& decision : instance.at("decisions")) {
        const std::string text = decision.at("text");
        if (text.find(words) != std::string::npos) {
          regions.insert(instance.at("region"));
        }
      }
    }
    return regions;
  };
  using Regions = std::set<std::string>;
  int sent = 0;
  REQUIRE(WaitUntil(
      [&]() {
        const std::string id = "served-" + std::to_string(++sent);
        return SendNamed(fleet, key, id) == 200 &&
               regions_that_say(id, "event=attempt") == Regions{"r2"};
      },
      Milliseconds(10'000)));
  const std::string served = "served-" + std::to_string(sent);
  CHECK(SendNamed(fleet, "rwk_none", "refused/1") == 401);
  CHECK(regions_that_say(served, "event=request request=" + served) ==
        Regions{"r1"});
  CHECK(regions_that_say(served, "event=attempt request=" + served) ==
        Regions{"r2"});
  CHECK(regions_that_say("refused%2F1", "outcome=unknown_key") ==
        Regions{"r1"});
  CHECK(regions_that_say("never-sent", "event=").empty());
  Process explain(
      "redwing-ctl",
      {"--admin", fleet.admin(), "--key", fleet.root_key(), "explain", served},
      "/dev/null");
  CHECK(explain.Wait(Milliseconds(10'000)) == 0);
}

}  // namespace
}  // namespace redwing::testing
