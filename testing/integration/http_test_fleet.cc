// What a caller may send and what it gets, on the wire, from a real entry.

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

// One fleet serves all cases: none of them disturbs it.
struct SharedFleet {
  SharedFleet() : fleet(SmallPlan(1, 2, 10'000, 1'000)) {
    fleet.Start();
    key = fleet.IssueKey("alpha");
    address = fleet.entries().front().http_address;
  }
  Fleet fleet;
  std::string key;
  std::string address;
};

SharedFleet& Shared() {
  static SharedFleet shared;
  return shared;
}

std::string Request(const std::string& line,
                    const std::string& fields = "",
                    const std::string& body = "") {
  return line + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::string Auth() {
  return "Authorization: Bearer " + Shared().key + "\r\n";
}

std::string Send(const std::string& bytes) {
  return SendRaw(Shared().address, bytes, Milliseconds(1500));
}

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_CASE("ambiguous requests are refused and the connection is closed") {
  const std::string smuggled = "GET /v1/entry?service=svc HTTP/1.1\r\n\r\n";
  const std::string post = "POST /v1/services/svc/x";
  const std::string request = GENERATE_COPY(
      Request(post, "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
              "0\r\n\r\n"),
      Request(post, "Content-Length: 4\r\nContent-Length: 5\r\n", "abcd"),
      Request(post, "Content-Length: 4, 4\r\n", "abcd"),
      Request(post, "Content-Length: -4\r\n", "abcd"),
      Request(post, "X-A: b\r\n folded\r\n"),
      Request(post, "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
      Request(post, "Transfer-Encoding : chunked\r\n", "0\r\n\r\n"),
      Request(post, "Host: other\r\n"),
      std::string("POST /v1/services/svc/x HTTP/1.1\nHost: h\r\n\r\n"),
      std::string("garbage\r\n\r\n"));
  CAPTURE(request);
  const std::string answer = Send(request + smuggled);
  CHECK(answer.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(answer.find("\"error\":\"malformed_request\"") != std::string::npos);
  CHECK(answer.find("\"verdict\":\"not_run\"") != std::string::npos);
  CHECK(CountOf(answer, "HTTP/1.1 ") == 1);
}

TEST_CASE("a bad chunk is refused, no target runs the request") {
  const size_t before = Shared().fleet.Runs().size();
  const std::string answer =
      Send(Request("POST /v1/services/svc/x",
                   Auth() + "X-Token: bad-chunk\r\n"
                            "Transfer-Encoding: chunked\r\n",
                   "5\r\nabcdeXX3\r\nabc\r\n0\r\n\r\n"));
  CHECK(answer.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(Shared().fleet.Runs().size() == before);
}

TEST_CASE("each refusal has its status, name and verdict") {
  struct Case {
    std::string request;
    std::string status;
    std::string error;
  };
  const std::string big(17 * 1024, 'x');
  const Case c = GENERATE_COPY(
      Case{Request("GET /v1/services/svc/x"), "401", "unknown_key"},
      Case{Request("GET /v1/services/svc/x", "X-Api-Key: rwk_no\r\n"), "401",
           "unknown_key"},
      Case{Request("GET /v1/services/nope/x", Auth()), "404",
           "unknown_service"},
      Case{Request("DELETE /v1/services/svc/x", Auth()), "405",
           "method_not_allowed"},
      Case{Request("POST /v1/services/svc/x",
                   Auth() + "Content-Length: 999999999\r\n"),
           "413", "body_too_large"},
      Case{Request("GET /v1/services/svc/../y", Auth()), "400",
           "malformed_request"},
      Case{Request("GET /v1/services/svc/x", "X-Big: " + big + "\r\n"), "431",
           "header_too_large"},
      Case{Request("GET /v1/entry?service=nope"), "404", "unknown_service"},
      Case{Request("GET /v1/entry"), "400", "malformed_request"},
      Case{Request("GET /v1/entry?service=svc&region=mars"), "400",
           "malformed_request"},
      Case{Request("GET /v1/entry?service=svc&client=mars"), "400",
           "malformed_request"},
      Case{Request("GET /v1/entry?service=svc&regoin=r1"), "400",
           "malformed_request"},
      Case{Request("GET /nowhere"), "404", "unknown_route"},
      Case{Request("GET /internal/v1/status"), "403", "forbidden"},
      Case{Request("GET /v1/services/svc/x",
                   Auth() + "X-Redwing-Hop: forged\r\n"),
           "400", "bad_message"});
  CAPTURE(c.request.substr(0, 80));
  const std::string answer = Send(c.request);
  CHECK(answer.rfind("HTTP/1.1 " + c.status, 0) == 0);
  CHECK(answer.find("\"error\":\"" + c.error + "\"") != std::string::npos);
  CHECK(answer.find("\"verdict\":\"not_run\"") != std::string::npos);
}

TEST_CASE("pipelined requests are answered in order") {
  std::string requests;
  for (int i = 0; i < 20; ++i) {
    requests +=
        Request("GET /v1/services/svc/x",
                Auth() + "X-Token: pipe-" + std::to_string(i) + "-end\r\n");
  }
  const std::string answer = Send(requests);
  size_t last = 0;
  for (int i = 0; i < 20; ++i) {
    const size_t at = answer.find("pipe-" + std::to_string(i) + "-end");
    CAPTURE(i);
    REQUIRE(at != std::string::npos);
    CHECK(at > last);
    last = at;
  }
}

TEST_CASE("HEAD has no body, 100-continue is answered, HTTP/1.0 closes") {
  const std::string head =
      Send(Request("HEAD /v1/entry?service=svc") +
           Request("GET /healthz", "Connection: close\r\n"));
  CHECK(CountOf(head, "HTTP/1.1 200") == 2);
  CHECK(CountOf(head, "ttl_ms") == 0);

  const std::string continued =
      Send(Request("POST /v1/services/svc/x",
                   Auth() + "Expect: 100-continue\r\nContent-Length: 3\r\n"
                            "Connection: close\r\nX-Token: cont\r\n",
                   "abc"));
  CHECK(continued.rfind("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200", 0) == 0);

  const std::string refused =
      Send(Request("POST /v1/services/svc/x",
                   "Expect: 100-continue\r\nContent-Length: 3\r\n"));
  CHECK(refused.rfind("HTTP/1.1 401", 0) == 0);

  const std::string old =
      Send("GET /healthz HTTP/1.0\r\n\r\nGET /healthz HTTP/1.0\r\n\r\n");
  CHECK(CountOf(old, "HTTP/1.1 200") == 1);
}

TEST_CASE("a small chunked body reaches the target framed") {
  const std::string answer =
      Send(Request("POST /v1/services/svc/x",
                   Auth() + "X-Token: chunked\r\nConnection: close\r\n"
                            "Transfer-Encoding: chunked\r\n",
                   "5\r\nabcde\r\n0\r\n\r\n"));
  CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(answer.find("chunked\n") != std::string::npos);
}

TEST_CASE("a look-up for a client lists the region of its block first") {
  FleetPlan plan = SmallPlan(2, 1, 10'000, 1'000);
  plan.sections["map"] = {
      {"team", "map"},
      {"clients", {{{"block", "10.2.0.0/16"}, {"region", "r2"}}}}};
  Fleet fleet(plan);
  fleet.Start();
  const auto first_region = [&fleet](const std::string& parameters) {
    return CallJson(http::verb::get, fleet.entries().front().http_address,
                    "/v1/entry?service=svc" + parameters)
        .at("entries")
        .at(0)
        .at("region")
        .get<std::string>();
  };
  CHECK(first_region("") == "r1");
  CHECK(first_region("&client=10.2.3.4") == "r2");
  CHECK(first_region("&client=10.3.3.4") == "r1");
  CHECK(first_region("&client=10.2.3.4&region=r1") == "r1");
}

TEST_CASE("no target sees a key, and nobody names its own workspace") {
  const std::string& key = Shared().key;
  const std::vector<std::string> places = {
      "Authorization: Bearer " + key + "\r\n",
      "Authorization: bearer " + key + "\r\nX-Api-Key: " + key + "\r\n",
      "X-Api-Key: " + key + "\r\nCookie: k=" + key + "\r\nReferer: http://h/?" +
          key + "\r\nProxy-Authorization: Basic " + key + "\r\n"};
  const std::string with_keys =
      "GET /v1/services/svc/x?a=" + key + "&access_token=" + key;
  for (const std::string& fields : places) {
    const std::string answer = Send(Request(
        with_keys, fields + "X-Token: scrub\r\nX-Redwing-Workspace: beta\r\n"
                            "Connection: close, X-Redwing-Workspace\r\n"));
    CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
  }
  const std::string by_query =
      Send(Request("GET /v1/services/svc/x?api_key=" + key,
                   "X-Token: scrub\r\nConnection: close\r\n"));
  CHECK(by_query.rfind("HTTP/1.1 200", 0) == 0);
  const std::string in_path =
      Send(Request("GET /v1/services/svc/" + key, Auth()));
  CHECK(in_path.rfind("HTTP/1.1 400", 0) == 0);
  const std::string open = Send(
      Request("GET /v1/services/svc/open/x",
              Auth() + "X-Token: scrub-open\r\nX-Redwing-Workspace: beta\r\n"
                       "Connection: close\r\n"));
  CHECK(open.rfind("HTTP/1.1 200", 0) == 0);
  int seen = 0;
  for (const json& run : Shared().fleet.Runs()) {
    const std::string token = run.at(2);
    if (token == "scrub") {
      ++seen;
      CHECK(run.at(3) == "alpha");
    }
    if (token == "scrub-open") {
      CHECK(run.at(3).get<std::string>().empty());
    }
    CHECK(run.at(4) == false);
  }
  CHECK(seen == 4);
}

TEST_CASE("a caller that sends slowly is timed out") {
  FleetPlan plan = SmallPlan(1, 1, 10'000, 1'000);
  plan.entry_settings = {{"header_timeout_ms", 400}, {"io_timeout_ms", 400}};
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::string address = fleet.entries().front().http_address;
  // Without the time limits, these would wait for the limit of SendRaw().
  const TimePoint begun = Clock::now();
  CHECK(SendRaw(address, "GET /healthz HTTP/1.1\r\nHost:", Milliseconds(20'000))
            .empty());
  const std::string answer = SendRaw(
      address,
      "POST /v1/services/svc/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
          key + "\r\nContent-Length: 10\r\n\r\nabc",
      Milliseconds(20'000));
  CHECK(Clock::now() - begun < Milliseconds(15'000));
  CHECK(fleet.Runs().empty());
}

TEST_CASE("a 200 MB answer passes with memory staying flat") {
  SharedFleet& shared = Shared();
  const size_t before = shared.fleet.entries().front().process->ResidentBytes();
  const std::string bytes = std::to_string(200 * 1024 * 1024);
  const json report =
      shared.fleet.RunLoad({{"duration_ms", 1000},
                            {"timeout_ms", 60'000},
                            {"groups",
                             {{{"name", "big"},
                               {"key", shared.key},
                               {"rate_per_s", 2},
                               {"requests",
                                {{{"service", "svc"},
                                  {"path", "/x"},
                                  {"response_bytes", 200 * 1024 * 1024}}}}}}}},
                           "big");
  CAPTURE(report.dump());
  CHECK(report.at("all").at("ok") == report.at("all").at("sent"));
  CHECK(report.at("all").at("sent") > 0);
  for (const FleetEntry& entry : shared.fleet.entries()) {
    CHECK(entry.process->ResidentBytes() < before + 16 * 1024 * 1024);
  }
}

}  // namespace
}  // namespace redwing::testing
