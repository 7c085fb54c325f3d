// A traffic shift stays under the cap of the links it uses, and no steering
// decision overloads a region. Judged by the bytes that passed the proxy and
// by what targets received.

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

#include "testing/harness/deployments.h"
#include "testing/harness/process.h"
#include "testing/harness/sync_client.h"
#include "testing/harness/windows.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr int kRegions = 3;
constexpr double kCapMbit = 40;
constexpr double kCapBytes = kCapMbit * 1e6 / 8;

json Load(const std::string& key,
          double rate,
          int bytes,
          int body_bytes,
          int duration_ms) {
  return {{"duration_ms", duration_ms},
          {"timeout_ms", 8000},
          {"max_tries", 2},
          {"groups",
           {{{"name", "shifted"},
             {"key", key},
             {"region", "r1"},
             {"rate_per_s", rate},
             {"requests",
              {{{"service", "svc"},
                {"path", "/x"},
                {"method", body_bytes > 0 ? "POST" : "GET"},
                {"body_bytes", body_bytes},
                {"response_bytes", bytes}}}}}}}};
}

void Drain(const Fleet& fleet, const std::string& region, bool drained) {
  CallJson(http::verb::post, fleet.admin(), "/v1/drains",
           {{"kind", "regions"}, {"name", region}, {"drained", drained}},
           fleet.root_key());
}

TEST_CASE("a drained region's traffic stays under the links' caps") {
  FleetPlan plan = SmallPlan(kRegions, 3, 5000, 1000);
  for (json& link : plan.sections["network"]["links"]) {
    link["cap_mbit_per_s"] = kCapMbit;
  }
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  // Answers, then requests, that take more than the links have.
  const int bytes = GENERATE(60'000, 0);
  const int body_bytes = bytes > 0 ? 0 : 60'000;
  CAPTURE(bytes, body_bytes);
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, 250, bytes, body_bytes, 9000), "drain");
  std::this_thread::sleep_for(Milliseconds(2000));
  Drain(fleet, "r1", true);
  const json report = fleet.EndLoad(*load, "drain");
  const json meters =
      CallJson(http::verb::get, fleet.proxy(), "/_control/meters");
  double busiest = 0;
  for (const json& meter : meters) {
    const int from = meter.at("from");
    const int to = meter.at("to");
    if (from == 0 || to == 0 || from == to) {
      continue;
    }
    const double worst = WorstSecond(meter.at("tenths"));
    CAPTURE(from, to, worst, meter.at("tenths").dump());
    CHECK(worst <= kCapBytes);
    busiest = std::max(busiest, worst);
  }
  // The shift used what the links have.
  CHECK(busiest > 0.8 * kCapBytes);
  CAPTURE(report.at("all").dump(), report.at("joined").dump());
  CHECK(report.at("joined").at("lost") == 0);
  CHECK(report.at("joined").at("false_not_run") == 0);
  CHECK_FALSE(report.at("all").at("errors").contains("cut/ran"));
}

TEST_CASE("a region admits no more than its rate, whoever sends") {
  FleetPlan plan = SmallPlan(kRegions, 3, 5000, 1000);
  constexpr double kRegionRate = 150;
  constexpr double kRegionBurst = 30;
  for (json& region : plan.sections["network"]["regions"]) {
    region["rate_per_s"] = kRegionRate;
    region["burst"] = kRegionBurst;
  }
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, 600, 0, 0, 9000), "region");
  std::this_thread::sleep_for(Milliseconds(3000));
  Drain(fleet, "r1", true);
  std::this_thread::sleep_for(Milliseconds(3000));
  Drain(fleet, "r1", false);
  const json report = fleet.EndLoad(*load, "region");
  const json runs = fleet.Runs();
  // Targets are placed in the regions in turn.
  for (int region = 1; region <= kRegions; ++region) {
    std::vector<double> times;
    for (const json& run : runs) {
      const std::string target = run.at(1);
      const int number = std::stoi(target.substr(target.rfind('-') + 1));
      if ((number - 1) % kRegions + 1 == region) {
        times.push_back(run.at(0).get<double>() / 1e6);
      }
    }
    CAPTURE(region, times.size());
    CHECK(WorstOverrun(times, kRegionRate, kRegionBurst) <= 0);
  }
  // What one region cannot take goes to the others.
  CHECK(runs.size() > 2 * kRegionRate * 6);
  CHECK(report.at("joined").at("false_not_run") == 0);
}

// Asks a proxy for a link on the port; gives the address it listens at.
std::string OpenLink(const std::string& protocol, unsigned short port) {
  const std::string path = (std::filesystem::temp_directory_path() /
                            fmt::format("redwing-proxy-{}.json", getpid()))
                               .string();
  std::ofstream(path) << R"({"listen": "127.0.0.1:0", "seed": 1})";
  Process proxy("fault-proxy", {"--settings", path}, path + ".log");
  const std::string address = proxy.ReadAnnouncement().at("http");
  const json answer = CallJson(
      http::verb::post, address, "/_control/link",
      {{"protocol", protocol}, {"listen", fmt::format("127.0.0.1:{}", port)}});
  std::filesystem::remove(path);
  std::filesystem::remove(path + ".log");
  return answer.at("listen");
}

TEST_CASE("the proxy opens a link whose port is taken for datagrams") {
  boost::asio::io_context io;
  using boost::asio::ip::udp;
  const udp::socket taken(
      io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const unsigned short port = taken.local_endpoint().port();
  CHECK(OpenLink("both", port) != fmt::format("127.0.0.1:{}", port));
}

// Guards against a proxy that answers 500 while another process has the port.
TEST_CASE("the proxy opens a link whose port is taken for connections") {
  boost::asio::io_context io;
  using boost::asio::ip::tcp;
  const tcp::acceptor taken(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const unsigned short port = taken.local_endpoint().port();
  const std::string protocol = GENERATE("tcp", "both");
  CAPTURE(protocol);
  CHECK(OpenLink(protocol, port) != fmt::format("127.0.0.1:{}", port));
}

}  // namespace
}  // namespace redwing::testing
