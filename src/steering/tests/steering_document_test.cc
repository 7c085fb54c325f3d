#include "steering/steering_document.h"

#include <catch2/catch.hpp>

#include "steering/section_parser.h"

namespace redwing {
namespace {

std::vector<Section> Parse(const std::string& text) {
  const Result<JsonSource> source = JsonSource::Parse(text, "doc");
  REQUIRE(source);
  const Result<std::vector<Section>> sections = ParseSections(source.value());
  REQUIRE(sections);
  return sections.value();
}

constexpr const char* kNetwork = R"("net": {"team": "n", "regions": [
  {"name": "r", "failure_domains": ["d"], "rate_per_s": 1, "burst": 1}]})";

TEST_CASE("the examples are valid") {
  for (const char* name : {"registry.json", "rempah.json"}) {
    const Result<JsonSource> source =
        JsonSource::Load(std::string(REDWING_EXAMPLES_DIR) + "/" + name);
    REQUIRE(source);
    const Result<std::vector<Section>> sections = ParseSections(source.value());
    REQUIRE(sections);
    CHECK(FindDocumentProblems(sections.value()).empty());
  }
}

TEST_CASE("client blocks lead to regions that exist, each block once") {
  const std::vector<Section> sections =
      Parse(std::string("{\"sections\": {") + kNetwork + R"(,
    "map": {"team": "m", "clients": [
      {"block": "10.0.0.0/8", "region": "r"},
      {"block": "2001:db8::/32", "region": "q"},
      {"block": "10.0.0.0/8", "region": "r"}]}}})");
  CHECK(SteeringDocument(sections).clients().Find(
            boost::asio::ip::make_address("10.1.2.3")) == "r");
  CHECK(FindDocumentProblems(sections).size() == 2);
  for (const char* block : {"10.0.0.1/8", "10.0.0.0", "ten", "10.0.0.0/33"}) {
    const Result<Section> section = ParseSection(
        "map", std::string(R"({"team": "m", "clients": [{"block": ")") + block +
                   R"(", "region": "r"}]})");
    CAPTURE(block);
    CHECK_FALSE(section);
  }
}

TEST_CASE("dangling references and names defined twice are found") {
  const std::vector<std::string> problems = FindDocumentProblems(
      Parse(std::string("{\"sections\": {") + kNetwork + R"(,
    "svc": {"team": "s", "services": [{"name": "s", "routes": [
        {"name": "a", "methods": ["GET"], "path_prefix": "/"}],
      "targets": [{"name": "t", "address": "1.2.3.4:5", "region": "r",
                   "failure_domain": "x", "slots": 1}]}]},
    "ws": {"team": "w", "links": [{"from": "r", "to": "q",
                                   "cap_mbit_per_s": 1}],
      "workspaces": [
        {"name": "w", "rate_per_s": 1, "burst": 1, "may_call": ["s/b"]},
        {"name": "w", "rate_per_s": 1, "burst": 1, "may_call": ["s"]}]}}})"));
  REQUIRE(problems.size() == 4);
  CHECK(problems[0].find("failure domain \"x\"") != std::string::npos);
  CHECK(problems[1].find("region \"q\" does not exist") != std::string::npos);
  CHECK(problems[2].find("\"s/b\", which does not exist") != std::string::npos);
  CHECK(problems[3].find("is defined twice") != std::string::npos);
}

TEST_CASE("routes match whole path segments, the longest prefix first") {
  Service service;
  service.routes = {{"all", {"GET"}, "/", false, true, 0, 0, {}},
                    {"tags", {"GET"}, "/tags", false, true, 0, 0, {}},
                    {"write", {"POST"}, "/tags/new", false, false, 0, 0, {}}};
  bool known = false;
  CHECK(service.FindRoute("GET", "/tags/1", &known)->name == "tags");
  CHECK(service.FindRoute("GET", "/tagsx", &known)->name == "all");
  CHECK(service.FindRoute("POST", "/tags/new", &known)->name == "write");
  CHECK(service.FindRoute("PUT", "/tags", &known) == nullptr);
  CHECK(known);
}

}  // namespace
}  // namespace redwing
